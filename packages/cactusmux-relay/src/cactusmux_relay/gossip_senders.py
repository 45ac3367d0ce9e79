"""Bounds what senders of gossip that aren't listed can make us hold."""

from collections.abc import Callable

from cactusmux_base import events
from cactusmux_base import timers

# An instance is heard shortly before it is listed; a whole fleet that starts
# at once has fewer of them.
MAX_UNLISTED = 512
# An unlisted sender that is silent for longer is forgotten.
FORGET_S = 30.0
REPORT_PERIOD_S = 5.0
# Counting them for each datagram would take too long.
REVIEW_PERIOD_S = 1.0


class GossipSenders:
    """Remembers when each sender was heard.

    :param is_listed: returns whether an instance of this name is listed.
    :ivar heard_at_by_name: when each sender was last heard.
    """

    def __init__(
        self, timer: timers.TimerService, is_listed: Callable[[str], bool]
    ) -> None:
        self._timer = timer
        self._is_listed = is_listed
        self.heard_at_by_name: dict[str, float] = {}
        self._full_until = 0.0
        self._refused_count = 0
        self._reported_at = -REPORT_PERIOD_S

    def record(self, name: str) -> bool:
        """Records a sender; returns whether its message is to be applied."""
        now = self._timer.now()
        is_known = name in self.heard_at_by_name
        is_stranger = not is_known and not self._is_listed(name)
        if is_stranger and not self._has_room(now):
            self._refuse(now)
            return False
        self.heard_at_by_name[name] = now
        return True

    def _has_room(self, now: float) -> bool:
        if len(self.heard_at_by_name) < MAX_UNLISTED:
            return True
        if now < self._full_until:
            return False
        self._forget_silent(now)
        unlisted = sum(not self._is_listed(n) for n in self.heard_at_by_name)
        if unlisted < MAX_UNLISTED:
            return True
        self._full_until = now + REVIEW_PERIOD_S
        return False

    def _forget_silent(self, now: float) -> None:
        for name, heard_at in list(self.heard_at_by_name.items()):
            if now - heard_at > FORGET_S and not self._is_listed(name):
                del self.heard_at_by_name[name]

    def _refuse(self, now: float) -> None:
        self._refused_count += 1
        if now - self._reported_at < REPORT_PERIOD_S:
            return
        events.warning('news_of_strangers', count=self._refused_count)
        self._reported_at = now
        self._refused_count = 0
