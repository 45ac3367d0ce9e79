"""Shares reports of ejected targets among instances by gossip.

This detects targets that pass their health checks but fail requests, in a
fleet so large that each instance uses a given target only occasionally. Each
instance forwards the reports that it received, with their ages, so that two
reports reach all instances within a few datagrams. Reports of a single
instance have no effect: the instance itself or its requests may be at fault.
"""

from collections.abc import Callable
import hashlib
import random
from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import target_registry

TOPIC = 'ejected'
# A target is excluded once this many different instances have reported it.
MIN_REPORTERS = 2
# Each instance draws the lifetime of a report from this range. Instances whose
# lifetime ends first retry the target and renew the reports, so that not all
# instances retry at the same moment.
MIN_REPORT_LIFETIME_S = 1.0
MAX_REPORT_LIFETIME_S = 3.0
# For how long this instance's own last failure at a target counts.
OWN_FAILURE_LIFETIME_S = 10.0
# Reports kept per target: twice as many as needed, because they expire at
# different times.
MAX_REPORTERS = 4
# Targets in one gossip message, at most about 500 bytes.
MAX_TARGETS_PER_MESSAGE = 16
# Targets for which reports are kept; beyond that the first ones are dropped.
MAX_REPORTED_TARGETS = 64
# Reports whose times differ by at most this are the same report: the transfer
# time of a datagram shifts the time computed from the report's age.
SAME_REPORT_TOLERANCE_S = 0.2
# Size of the hash that identifies the reporting instance.
REPORTER_KEY_BYTES = 4
MS_PER_S = 1000.0


class TargetReports(msgspec.Struct, array_like=True, frozen=True):
    """The newest reports of one target.

    :ivar age_ms_by_reporter: age of each report, by :func:`reporter_key`.
    """

    target_id: str
    age_ms_by_reporter: dict[int, int]


class _Report(NamedTuple):
    """A report by one instance about one target, in monotonic seconds.

    :ivar at: when the target was ejected.
    :ivar until: when the report expires at this instance.
    """

    at: float
    until: float


def _do_nothing() -> None:
    return


class EjectionReports(gossip_topics.GossipTopic):
    """Reports by this and other instances, grouped by target.

    :param request_send: called when the reports should be sent immediately.
    """

    def __init__(
        self,
        instance: str,
        registry: target_registry.TargetRegistry,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        request_send: Callable[[], None] = _do_nothing,
    ) -> None:
        self.name = TOPIC
        self._key = reporter_key(instance)
        self._registry = registry
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._request_send = request_send
        self._reports_by_id: dict[str, dict[int, _Report]] = {}
        self._own_failure_at_by_id: dict[str, float] = {}
        self._success_at_by_id: dict[str, float] = {}
        self._excluded_ids: frozenset[str] = frozenset()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = decoding.msgpack_decoder(list[TargetReports])

    def record_failure(self, target_id: str, is_ejected: bool) -> None:
        """Records that this instance's last request to a target failed.

        :param is_ejected: whether this instance's breaker ejected the target,
            which is reported to the other instances.
        """
        now = self._timer.now()
        self._own_failure_at_by_id[target_id] = now
        if is_ejected:
            self._add(target_id, self._key, now)

    def record_success(self, target_id: str) -> None:
        """Drops the reports of a target that served a request here."""
        self._own_failure_at_by_id.pop(target_id, None)
        self._reports_by_id.pop(target_id, None)
        self._success_at_by_id[target_id] = self._timer.now()

    def excluded_ids(self) -> frozenset[str]:
        """Returns the targets that are excluded because of reports."""
        if not self._reports_by_id and not self._excluded_ids:
            return self._excluded_ids
        self._drop_expired()
        excluded_ids = frozenset(
            target_id
            for target_id in self._reports_by_id
            if self._is_excluded(target_id)
        )
        self._log_changes(excluded_ids)
        self._excluded_ids = excluded_ids
        return excluded_ids

    def peer_reported_ids(self) -> frozenset[str]:
        """Returns the targets that enough other instances have reported."""
        return frozenset(
            target_id
            for target_id in self._reports_by_id
            if self._peer_report_count(target_id) >= MIN_REPORTERS
        )

    def own(self) -> bytes:
        """Returns the newest reports, both own and received, encoded."""
        self._drop_expired()
        newest = sorted(
            self._reports_by_id.items(),
            key=lambda item: max(each.at for each in item[1].values()),
        )
        reported = [
            TargetReports(target_id, self._ages_ms(reports))
            for target_id, reports in newest[-MAX_TARGETS_PER_MESSAGE:]
        ]
        return self._encoder.encode(reported) if reported else b''

    def take(self, sender: str, data: bytes) -> None:
        """Merges the reports and their ages received from a peer."""
        now = self._timer.now()
        for reported in self._decoder.decode(data)[:MAX_TARGETS_PER_MESSAGE]:
            if reported.target_id not in self._registry.target_by_id:
                continue
            for reporter, age_ms in reported.age_ms_by_reporter.items():
                if reporter != self._key:
                    at = now - max(0, age_ms) / MS_PER_S
                    self._add(reported.target_id, reporter, at)

    def _add(self, target_id: str, reporter: int, at: float) -> None:
        """Adds a report unless it is known, expired or predates a success."""
        if at + MAX_REPORT_LIFETIME_S <= self._timer.now():
            return
        if at <= self._success_at_by_id.get(target_id, 0.0):
            return
        reports = self._reports_by_id.setdefault(target_id, {})
        known = reports.get(reporter)
        if known is not None and at <= known.at + SAME_REPORT_TOLERANCE_S:
            return
        lifetime_s = self._rng.uniform(
            MIN_REPORT_LIFETIME_S, MAX_REPORT_LIFETIME_S
        )
        reports[reporter] = _Report(at, at + lifetime_s)
        is_new_evidence = known is None and len(reports) <= MIN_REPORTERS
        if len(reports) > MAX_REPORTERS:
            del reports[min(reports, key=lambda each: reports[each].at)]
        self._drop_excess_targets()
        if is_new_evidence:
            self._request_send()

    def _drop_excess_targets(self) -> None:
        while len(self._reports_by_id) > MAX_REPORTED_TARGETS:
            del self._reports_by_id[next(iter(self._reports_by_id))]

    def _is_excluded(self, target_id: str) -> bool:
        """Whether enough reports count, including this instance's failure."""
        peer_reports = self._peer_report_count(target_id)
        has_failed = target_id in self._own_failure_at_by_id
        return peer_reports > 0 and peer_reports + has_failed >= MIN_REPORTERS

    def _peer_report_count(self, target_id: str) -> int:
        """Returns how many reports of other instances are unexpired."""
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
            for reporter in newest[-MIN_REPORTERS:]
        }

    def _drop_expired(self) -> None:
        """Drops expired state; reports are forwarded up to the maximum age."""
        now = self._timer.now()
        for target_id, reports in list(self._reports_by_id.items()):
            for reporter, report in list(reports.items()):
                if report.at + MAX_REPORT_LIFETIME_S <= now:
                    del reports[reporter]
            if not reports:
                del self._reports_by_id[target_id]
        _drop_before(self._own_failure_at_by_id, now - OWN_FAILURE_LIFETIME_S)
        _drop_before(self._success_at_by_id, now - MAX_REPORT_LIFETIME_S)

    def _log_changes(self, excluded_ids: frozenset[str]) -> None:
        for target_id in excluded_ids - self._excluded_ids:
            reports = self._reports_by_id[target_id]
            self._metric.count('relay.target_left_out')
            events.info(
                'target_left_out',
                target=target_id,
                reporters=len(reports),
                has_failed_here=target_id in self._own_failure_at_by_id,
                ages_ms=sorted(self._ages_ms(reports).values()),
            )
        for target_id in self._excluded_ids - excluded_ids:
            self._metric.count('relay.target_let_in')
            events.info('target_let_in', target=target_id)


def reporter_key(instance: str) -> int:
    """Returns the short key that identifies an instance in reports."""
    digest = hashlib.blake2b(instance.encode(), digest_size=REPORTER_KEY_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def _drop_before(at_by_id: dict[str, float], oldest: float) -> None:
    for target_id, at in list(at_by_id.items()):
        if at < oldest:
            del at_by_id[target_id]
