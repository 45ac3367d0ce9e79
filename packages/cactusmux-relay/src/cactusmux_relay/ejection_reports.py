"""Shares reports of ejected targets among the instances.

It handles targets that fail requests while their health check is good, in a
fleet so large that each instance sees a given target only now and then. Each
instance passes on what it was told, with its age, so that two reports reach
all instances within a few datagrams. Reports of one instance alone change
nothing: it may be the one that is at fault, or its requests may be.
"""

from collections.abc import Callable
import hashlib
import random
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import target_registry

TOPIC = 'ejected'
# A target is left out once this many different instances have reported it.
ENOUGH_REPORTERS = 2
# Each instance draws from this range for how long a report counts: those for
# which it ends first try the target again and renew the reports, so that
# not all instances try at the same moment.
LEAST_REPORT_S = 1.0
MOST_REPORT_S = 3.0
# How long this instance remembers its own last failure at a target.
OWN_FAILURE_S = 10.0
# Reports kept of one target: twice as many as needed, as they end at
# different times.
MAX_REPORTERS = 4
# Targets in one datagram, at most some 500 bytes.
MAX_TOLD = 16
# Targets of which reports are kept; the first ones are dropped beyond that.
MAX_KNOWN = 64
# Ages that differ by less are of the same report: the way of a datagram adds
# to the time at which a report seems to have been made.
SAME_REPORT_S = 0.2
# Size of the hash that stands for an instance's name.
KEY_BYTES = 4
MS_PER_S = 1000.0


class TargetReports(msgspec.Struct, array_like=True, frozen=True):
    """The newest reports of one target.

    :ivar age_ms_by_reporter: age of each report, by :func:`reporter_key`.
    """

    target_id: str
    age_ms_by_reporter: dict[int, int]


class _Report(NamedTuple):
    """A report of one instance on one target, in monotonic time.

    :ivar at: when the target was ejected.
    :ivar until: when the report ceases to count at this instance.
    """

    at: float
    until: float


def _ignore() -> None:
    return


class EjectionReports(gossip_topics.GossipTopic):
    """Reports of this instance and of the others by target.

    :param on_news: called when others should hear something at once.
    """

    def __init__(
        self,
        instance: str,
        book: target_registry.TargetRegistry,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        on_news: Callable[[], None] = _ignore,
    ) -> None:
        self.name = TOPIC
        self._key = reporter_key(instance)
        self._book = book
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._on_news = on_news
        self._reports_by_id: dict[str, dict[int, _Report]] = {}
        self._own_failure_at_by_id: dict[str, float] = {}
        self._success_at_by_id: dict[str, float] = {}
        self._left_out: frozenset[str] = frozenset()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[TargetReports])

    def note_failure(self, target_id: str, is_ejected: bool) -> None:
        """Notes that our last request to a target failed.

        :param is_ejected: by our own breaker, which the others are told.
        """
        now = self._timer.now()
        self._own_failure_at_by_id[target_id] = now
        if is_ejected:
            self._add(target_id, self._key, now)

    def note_success(self, target_id: str) -> None:
        """Drops what was reported of a target that has just served us."""
        self._own_failure_at_by_id.pop(target_id, None)
        self._reports_by_id.pop(target_id, None)
        self._success_at_by_id[target_id] = self._timer.now()

    def excluded_ids(self) -> frozenset[str]:
        """Returns the targets that enough instances have ejected."""
        if not self._reports_by_id and not self._left_out:
            return self._left_out
        self._forget_past()
        left_out = frozenset(
            target_id
            for target_id in self._reports_by_id
            if self._is_left_out(target_id)
        )
        self._log_changes(left_out)
        self._left_out = left_out
        return left_out

    def reported_by_others(self) -> frozenset[str]:
        """Returns the targets that enough other instances have ejected."""
        return frozenset(
            target_id
            for target_id in self._reports_by_id
            if self._others(target_id) >= ENOUGH_REPORTERS
        )

    def own(self) -> bytes:
        """Returns the newest reports, ours and those that we were told."""
        self._forget_past()
        newest = sorted(
            self._reports_by_id.items(),
            key=lambda item: max(each.at for each in item[1].values()),
        )
        told = [
            TargetReports(target_id, self._ages_ms(reports))
            for target_id, reports in newest[-MAX_TOLD:]
        ]
        return self._encoder.encode(told) if told else b''

    def take(self, sender: str, data: bytes) -> None:
        """Takes the reports that another instance has, with their ages."""
        now = self._timer.now()
        for told in self._decoder.decode(data)[:MAX_TOLD]:
            if told.target_id not in self._book.target_by_id:
                continue
            for reporter, age_ms in told.age_ms_by_reporter.items():
                if reporter != self._key:
                    at = now - max(0, age_ms) / MS_PER_S
                    self._add(told.target_id, reporter, at)

    def _add(self, target_id: str, reporter: int, at: float) -> None:
        """Adds a report unless it is known, expired or before a success."""
        if at + MOST_REPORT_S <= self._timer.now():
            return
        if at <= self._success_at_by_id.get(target_id, 0.0):
            return
        reports = self._reports_by_id.setdefault(target_id, {})
        known = reports.get(reporter)
        if known is not None and at <= known.at + SAME_REPORT_S:
            return
        lasts_s = self._rng.uniform(LEAST_REPORT_S, MOST_REPORT_S)
        reports[reporter] = _Report(at, at + lasts_s)
        is_news = known is None and len(reports) <= ENOUGH_REPORTERS
        if len(reports) > MAX_REPORTERS:
            del reports[min(reports, key=lambda each: reports[each].at)]
        self._bound()
        if is_news:
            self._on_news()

    def _bound(self) -> None:
        while len(self._reports_by_id) > MAX_KNOWN:
            del self._reports_by_id[next(iter(self._reports_by_id))]

    def _is_left_out(self, target_id: str) -> bool:
        """Whether enough reports count, our last failure as one of them."""
        others = self._others(target_id)
        has_failed = target_id in self._own_failure_at_by_id
        return others > 0 and others + has_failed >= ENOUGH_REPORTERS

    def _others(self, target_id: str) -> int:
        """Returns how many other instances' reports count now."""
        now = self._timer.now()
        return sum(
            each.until > now
            for reporter, each in self._reports_by_id[target_id].items()
            if reporter != self._key
        )

    def _ages_ms(self, reports: dict[int, _Report]) -> dict[int, int]:
        now = self._timer.now()
        newest = sorted(reports, key=lambda each: reports[each].at)
        return {
            reporter: int((now - reports[reporter].at) * MS_PER_S)
            for reporter in newest[-ENOUGH_REPORTERS:]
        }

    def _forget_past(self) -> None:
        """Drops what is over; reports are told on for their longest time."""
        now = self._timer.now()
        for target_id, reports in list(self._reports_by_id.items()):
            for reporter, report in list(reports.items()):
                if report.at + MOST_REPORT_S <= now:
                    del reports[reporter]
            if not reports:
                del self._reports_by_id[target_id]
        _drop_before(self._own_failure_at_by_id, now - OWN_FAILURE_S)
        _drop_before(self._success_at_by_id, now - MOST_REPORT_S)

    def _log_changes(self, left_out: frozenset[str]) -> None:
        for target_id in left_out - self._left_out:
            reports = self._reports_by_id[target_id]
            self._metric.count('relay.target_left_out')
            events.info(
                'target_left_out',
                target=target_id,
                reporters=len(reports),
                has_failed_here=target_id in self._own_failure_at_by_id,
                ages_ms=sorted(self._ages_ms(reports).values()),
            )
        for target_id in self._left_out - left_out:
            self._metric.count('relay.target_let_in')
            events.info('target_let_in', target=target_id)


def reporter_key(instance: str) -> int:
    """Returns the short key that stands for an instance in reports."""
    digest = hashlib.blake2b(instance.encode(), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def _drop_before(at_by_id: dict[str, float], oldest: float) -> None:
    for target_id, at in list(at_by_id.items()):
        if at < oldest:
            del at_by_id[target_id]
