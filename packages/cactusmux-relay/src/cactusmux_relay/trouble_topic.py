"""Spreads which instances report that they are in trouble.

In a large fleet an instance hears directly from another only every few
seconds, too late for callers. So each instance forwards the statements that
it has received, and all know them within about three gossip periods.
"""

from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import msgspec

from . import gossip_topics

# Validity of a statement, from the time at which its instance made it.
VALID_S = 3.0
# The number of a statement is remembered for this time, so that a delayed
# copy of an expired one isn't accepted as new.
REMEMBERED_S = 2 * VALID_S
# Maximum of statements in one datagram; they take about 250 bytes.
MAX_STATEMENTS = 8
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


class _Received(NamedTuple):
    number: int
    stated_at: float


class TroubleTopic(gossip_topics.GossipTopic):
    """Sends the own statement and forwards those of peers.

    A statement is identified by its number, so that a copy forwarded by a
    peer isn't accepted as a new one, however late it arrives.

    :param is_troubled: returns whether this instance is in trouble.
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
        self._received_by_name: dict[str, _Received] = {}
        self._reported: frozenset[str] = frozenset()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = decoding.msgpack_decoder(list[Statement])

    def own(self) -> bytes:
        """Returns the own statement and the newest ones of peers."""
        now = self._timer.now()
        statements = []
        if self._is_troubled():
            number = int(self._timer.wall() * MS_PER_S)
            statements.append(Statement(self._own_name, number, 0))
        newest = sorted(
            self._valid_statements(now).items(),
            key=lambda each: each[1].stated_at,
            reverse=True,
        )
        for name, received in newest[: MAX_STATEMENTS - len(statements)]:
            age_ms = int((now - received.stated_at) * MS_PER_S)
            statements.append(Statement(name, received.number, age_ms))
        return self._encoder.encode(statements) if statements else b''

    def take(self, sender: str, data: bytes) -> None:
        """Handles statements that ``sender`` made or forwarded."""
        now = self._timer.now()
        for each in self._decoder.decode(data)[:MAX_STATEMENTS]:
            age_s = max(0, each.age_ms) / MS_PER_S
            known = self._received_by_name.get(each.name)
            if each.name == self._own_name or age_s > VALID_S:
                continue
            if known is None or known.number < each.number:
                received = _Received(each.number, now - age_s)
                self._received_by_name[each.name] = received

    def troubled_names(self) -> frozenset[str]:
        """Returns the names of instances in trouble, including this one."""
        now = self._timer.now()
        names = set(self._valid_statements(now))
        if self._is_troubled():
            names.add(self._own_name)
        found = frozenset(names)
        if found != self._reported:
            self._report_change(found, now)
        return found

    def _report_change(self, found: frozenset[str], now: float) -> None:
        self._reported = found
        self._metric.gauge('believed.instances_troubled', len(found))
        valid = self._valid_statements(now).values()
        oldest_s = max((now - each.stated_at for each in valid), default=0)
        events.info(
            'instances_troubled',
            count=len(found),
            names=','.join(sorted(found)[:MAX_STATEMENTS]),
            oldest_s=round(oldest_s, 1),
        )

    def _valid_statements(self, now: float) -> dict[str, _Received]:
        for name, received in list(self._received_by_name.items()):
            if now - received.stated_at > REMEMBERED_S:
                del self._received_by_name[name]
        return {
            name: received
            for name, received in self._received_by_name.items()
            if now - received.stated_at <= VALID_S
        }
