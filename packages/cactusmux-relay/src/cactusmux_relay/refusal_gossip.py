"""Passes on, from instance to instance, who was rejected a moment ago.

A rejected caller returns to any instance. In a large fleet an instance tells
a sample of the others, so most of them would not recognise the caller. Here
each one also passes on what it has heard, until the news is too old. Only
callers of services whose routes differ in urgency are told of.
"""

from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import refused_callers

# Within this time news passed on by samples have reached nearly all
# instances; callers return no earlier than after a third of it.
PASSED_ON_S = 2.0
# At eight bytes each; the newest are told.
MAX_TOLD = 40
TENTHS_PER_S = 10.0


class RefusalGossip(gossip_topics.GossipTopic):
    """Keys of rejected requests, with their age in tenths of a second."""

    name = 'refused'

    def __init__(
        self,
        timer: timers.TimerService,
        callers: refused_callers.RefusedCallers,
    ) -> None:
        self._timer = timer
        self._callers = callers
        self._refused_at_by_key: dict[int, float] = {}

    def note(self, key: int | None) -> None:
        """Notes a request that this instance has rejected."""
        if key is not None:
            self._keep(key, self._timer.now())

    def own(self) -> bytes:
        """Returns the newest rejections that we know of."""
        now = self._timer.now()
        for key, refused_at in list(self._refused_at_by_key.items()):
            if now - refused_at > PASSED_ON_S:
                del self._refused_at_by_key[key]
        if not self._refused_at_by_key:
            return b''
        newest = sorted(
            self._refused_at_by_key.items(), key=lambda each: -each[1]
        )[:MAX_TOLD]
        return msgspec.msgpack.encode(
            [(key, round((now - at) * TENTHS_PER_S)) for key, at in newest]
        )

    def take(self, sender: str, data: bytes) -> None:
        """Takes rejections that another instance has made or heard of."""
        told = msgspec.msgpack.decode(data, type=list[tuple[int, int]])
        now = self._timer.now()
        for key, tenths in told[:MAX_TOLD]:
            refused_at = now - max(0, tenths) / TENTHS_PER_S
            if now - refused_at > PASSED_ON_S:
                continue
            if key not in self._refused_at_by_key:
                self._callers.note_told([key])
                self._keep(key, refused_at)

    def _keep(self, key: int, refused_at: float) -> None:
        self._refused_at_by_key[key] = refused_at
        while len(self._refused_at_by_key) > refused_callers.MAX_KNOWN:
            del self._refused_at_by_key[next(iter(self._refused_at_by_key))]
