"""Slowdown factors of targets, from the targets' own reports.

The holder of the placement lease requests the reports of all targets in turn;
any instance requests those of the targets that a stalled stream depends on.
Instances report slow targets to each other.
"""

from collections.abc import Mapping
import random
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
import gevent
from returns import result

from . import layer_orders
from . import shared_checks
from . import targets

# Minimum interval at which an instance requests reports from the same target.
MIN_REPORT_INTERVAL_S = 0.8
# A slow target counts as normal again without a newer report for this time.
MAX_REPORT_AGE_S = 4.0
MIN_SLOW_PACE = 1.15


class _PaceReport(NamedTuple):
    at: float
    pace: float


class SlowTargets:
    """Slowdown factors by target id: 1 is normal, 2 is twice as slow."""

    def __init__(
        self,
        orders: layer_orders.LayerOrders,
        timer: timers.TimerService,
        instances: shared_checks.Instances = shared_checks.single_instance,
        rng: random.Random | None = None,
    ) -> None:
        """Starts without any report.

        :param instances: returns how many instances share the requests for
            reports of suspected targets.
        """
        self._orders = orders
        self._timer = timer
        self._shared_period = shared_checks.SharedPeriod(
            MIN_REPORT_INTERVAL_S, instances, rng or random.Random()
        )
        self._check_at_by_id: dict[str, float] = {}
        self._requested_at_by_id: dict[str, float] = {}
        self._own_report_by_id: dict[str, _PaceReport] = {}
        self._peer_report_by_id: dict[str, _PaceReport] = {}

    def request_report(self, target: targets.Target) -> None:
        """Requests the report of a target in a separate task."""
        now = self._timer.now()
        requested_at = self._requested_at_by_id.get(target.id)
        if (
            requested_at is not None
            and now - requested_at < MIN_REPORT_INTERVAL_S
        ):
            return
        self._drop_old_requests(now)
        self._requested_at_by_id.pop(target.id, None)
        self._requested_at_by_id[target.id] = now
        gevent.spawn(self._request_now, target)

    def check_suspect(self, target: targets.Target) -> None:
        """Requests the report of a suspected target, at a bounded rate.

        All instances may suspect it at the same time and share the requests.
        If a peer already reports that it is slow, even the first request is
        delayed by a random time; otherwise it is sent at once, as this
        instance may be the only one with a stream there.
        """
        now = self._timer.now()
        self._drop_old_checks(now)
        check_at = self._check_at_by_id.get(target.id)
        if check_at is None:
            check_at = now
            if target.id in self._peer_report_by_id:
                check_at += self._shared_period.first_s()
            self._check_at_by_id[target.id] = check_at
        if check_at <= now:
            self._check_at_by_id[target.id] = (
                now + self._shared_period.next_s()
            )
            self.request_report(target)

    def _drop_old_requests(self, now: float) -> None:
        """Drops old request times; the dictionary is ordered by age."""
        while self._requested_at_by_id:
            oldest = next(iter(self._requested_at_by_id))
            if now - self._requested_at_by_id[oldest] < MAX_REPORT_AGE_S:
                return
            del self._requested_at_by_id[oldest]

    def _drop_old_checks(self, now: float) -> None:
        for target_id, check_at in list(self._check_at_by_id.items()):
            if check_at < now - MAX_REPORT_AGE_S:
                del self._check_at_by_id[target_id]

    def own_slow_targets(self) -> dict[str, float]:
        """Returns the slowdown factors of targets that reported slow here."""
        oldest = self._timer.now() - MAX_REPORT_AGE_S
        for target_id, known in list(self._own_report_by_id.items()):
            if known.at < oldest:
                del self._own_report_by_id[target_id]
        return {
            target_id: known.pace
            for target_id, known in self._own_report_by_id.items()
            if known.pace >= MIN_SLOW_PACE
        }

    def record_peer_report(self, pace_by_target: Mapping[str, float]) -> None:
        """Stores the slow targets that a peer reports."""
        now = self._timer.now()
        for target_id, pace in pace_by_target.items():
            self._peer_report_by_id[target_id] = _PaceReport(now, pace)

    def pace_by_target(self) -> dict[str, float]:
        """Returns the slowdown factors of all slow targets."""
        oldest = self._timer.now() - MIN_REPORT_INTERVAL_S
        for target_id, known in list(self._peer_report_by_id.items()):
            if known.at < oldest:
                del self._peer_report_by_id[target_id]
        paces = {
            target_id: known.pace
            for target_id, known in self._peer_report_by_id.items()
        }
        paces.update(self.own_slow_targets())
        return paces

    def _request_now(self, target: targets.Target) -> None:
        match self._orders.report(target):
            case result.Success(report):
                self._store_report(target, report.pace)

    def _store_report(self, target: targets.Target, pace: float) -> None:
        known = self._own_report_by_id.get(target.id)
        was_slow = known is not None and known.pace >= MIN_SLOW_PACE
        if (pace >= MIN_SLOW_PACE) != was_slow:
            events.info('target_pace', target=target.id, pace=round(pace, 2))
        self._own_report_by_id[target.id] = _PaceReport(
            self._timer.now(), pace
        )
