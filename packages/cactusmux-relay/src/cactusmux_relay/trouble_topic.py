"""Which instances say that they are in trouble, told among all of them.

An instance is heard of directly only every few seconds in a large fleet, too
late for callers. So each passes on what it has heard, and all know within
about three periods of the news.
"""

from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import msgspec

from . import gossip_topics

# A statement is valid for this time after its instance made it.
KEPT_S = 3.0
# The number of an expired statement is kept for this time, so that a late
# copy of it isn't taken for a new one.
REMEMBERED_S = 2 * KEPT_S
# Statements in one datagram: some 250 bytes.
MAX_TOLD = 8
MS_PER_S = 1000.0


class Statement(msgspec.Struct, array_like=True, frozen=True):
    """An instance's statement that it is in trouble.

    :ivar number: wall time in ms at which it was made, to tell a newer
        statement of an instance from an older one.
    :ivar age_ms: time since it was made.
    """

    name: str
    number: int
    age_ms: int


class _Heard(NamedTuple):
    number: int
    stated_at: float


class TroubleTopic(gossip_topics.GossipTopic):
    """Tells of our own trouble, and keeps what others say of theirs.

    A statement is known by its number, so that it isn't taken for a new one
    when it comes by way of others, however late.

    :param is_troubled: whether this instance is in trouble.
    """

    name = 'trouble'

    def __init__(
        self,
        own_name: str,
        is_troubled: Callable[[], bool],
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self._own_name = own_name
        self._is_troubled = is_troubled
        self._timer = timer
        self._metric = metric
        self._heard_by_name: dict[str, _Heard] = {}
        self._noted: frozenset[str] = frozenset()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[Statement])

    def own(self) -> bytes:
        """Returns our statement and the newest ones of others."""
        now = self._timer.now()
        told = []
        if self._is_troubled():
            number = int(self._timer.wall() * MS_PER_S)
            told.append(Statement(self._own_name, number, 0))
        newest = sorted(
            self._counting(now).items(),
            key=lambda each: each[1].stated_at,
            reverse=True,
        )
        for name, heard in newest[: MAX_TOLD - len(told)]:
            age_ms = int((now - heard.stated_at) * MS_PER_S)
            told.append(Statement(name, heard.number, age_ms))
        return self._encoder.encode(told) if told else b''

    def take(self, sender: str, data: bytes) -> None:
        """Takes statements, made by ``sender`` or heard by it."""
        now = self._timer.now()
        for each in self._decoder.decode(data)[:MAX_TOLD]:
            age_s = max(0, each.age_ms) / MS_PER_S
            known = self._heard_by_name.get(each.name)
            if each.name == self._own_name or age_s > KEPT_S:
                continue
            if known is None or known.number < each.number:
                heard = _Heard(each.number, now - age_s)
                self._heard_by_name[each.name] = heard

    def troubled_names(self) -> frozenset[str]:
        """Returns the names of instances in trouble, ours included."""
        now = self._timer.now()
        names = set(self._counting(now))
        if self._is_troubled():
            names.add(self._own_name)
        found = frozenset(names)
        if found != self._noted:
            self._note_change(found, now)
        return found

    def _note_change(self, found: frozenset[str], now: float) -> None:
        self._noted = found
        self._metric.gauge('believed.instances_troubled', len(found))
        counting = self._counting(now).values()
        oldest_s = max((now - each.stated_at for each in counting), default=0)
        events.info(
            'instances_troubled',
            count=len(found),
            names=','.join(sorted(found)[:MAX_TOLD]),
            oldest_s=round(oldest_s, 1),
        )

    def _counting(self, now: float) -> dict[str, _Heard]:
        for name, heard in list(self._heard_by_name.items()):
            if now - heard.stated_at > REMEMBERED_S:
                del self._heard_by_name[name]
        return {
            name: heard
            for name, heard in self._heard_by_name.items()
            if now - heard.stated_at <= KEPT_S
        }
