"""Ejects targets that pass their health checks but fail streams.

Each target has a circuit breaker, which is fed with the outcomes of the
streams that this target served or failed. An error response ejects a target
at once: in a large fleet one instance uses a given target so rarely that
callers would see hundreds of failures before this instance saw three in a
row. Ejection is a soft exclusion: an ejected target is still used if no path
exists without it.
"""

from collections.abc import Callable
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_routing import breakers

from . import cost_model
from . import ejection_reports
from . import load_tracker
from . import target_registry
from . import targets

# A failed stream counts as load for its expected duration, up to this limit.
# Two failed attempts then count for less than one stream that runs.
MAX_FAILED_LOAD_S = 2.0
# How often the breakers of removed targets are dropped.
CLEANUP_PERIOD_S = 10.0


def _no_ids() -> frozenset[str]:
    return frozenset()


class FailingTargets:
    """Tracks which targets to avoid because they fail streams."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        tracker: load_tracker.LoadTracker,
        reports: ejection_reports.EjectionReports,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._load_tracker = tracker
        self.reports = reports
        self._timer = timer
        self._metric = metric
        # All targets may be ejected at once, because the exclusion is soft.
        self._breakers = breakers.Breakers(
            timer, rng, metric, lambda lost: True
        )
        self._known_addresses: set[str] = set()

    def start(self) -> None:
        """Starts the periodic removal of breakers of removed targets."""
        self._timer.every(CLEANUP_PERIOD_S, self.forget_gone)

    def ids(self) -> frozenset[str]:
        """Returns the targets to use only if no path exists without them."""
        ejected = self._breakers.ejected()
        excluded_ids = self.reports.excluded_ids()
        if not ejected:
            return excluded_ids
        return excluded_ids | self._registry.ids_at(ejected)

    def confirmed_ids(self) -> frozenset[str]:
        """Returns the targets whose failures don't come from one request.

        Either several requests of this instance failed, or enough other
        instances reported failures. A single request that always fails ejects
        every target that it is sent to.
        """
        repeatedly = self._registry.ids_at(self._breakers.ejected_repeatedly())
        return repeatedly | self.reports.peer_reported_ids()

    def begin(
        self,
        request_id: str,
        path: cost_model.Path,
        tokens: float,
        expected_s: float,
        lost_ids: Callable[[], frozenset[str]] = _no_ids,
    ) -> 'AttemptHealthRecorder':
        """Records the start of a stream on a path.

        :param expected_s: expected duration of the stream.
        :param lost_ids: returns the targets that the stream has lost so far.
        """
        for stage in path:
            self.record_started(stage.target)
        return AttemptHealthRecorder(
            self, request_id, path, tokens, expected_s, lost_ids
        )

    def record_started(self, target: targets.Target) -> None:
        """Records that a stream is sent through a target."""
        self._breakers.record_started(target.address)

    def record_success(self, target: targets.Target) -> None:
        """Records that a target contributed to a first event."""
        self._breakers.record_success(target.address)
        self.reports.record_success(target.id)

    def record_abandoned(self, target: targets.Target) -> None:
        """Records that a request ended without a result for a target."""
        self._breakers.record_abandoned(target.address)

    def record_failure(
        self, target: targets.Target, is_answered: bool
    ) -> None:
        """Records that a target has failed a stream.

        :param is_answered: whether the target sent an error response. A
            broken connection may be the fault of this instance's own link.
        """
        self._known_addresses.add(target.address)
        self._breakers.record_failure(target.address, certain=is_answered)
        is_ejected = target.address in self._breakers.ejected()
        self.reports.record_failure(target.id, is_ejected)
        self._metric.count('relay.stream_target_failed')

    def hold_load(
        self, target: targets.Target, tokens: float, seconds: float
    ) -> None:
        """Counts a failed stream as load, so the target doesn't look idle."""
        ids = (target.id,)
        self._load_tracker.add(ids, tokens)
        self._timer.after(
            min(seconds, MAX_FAILED_LOAD_S),
            lambda: self._load_tracker.remove(ids, tokens),
        )

    def forget_gone(self) -> None:
        """Drops the breakers of addresses that no target uses any more."""
        gone = self._known_addresses - self._registry.target_by_address.keys()
        for address in gone:
            self._breakers.forget(address)
        self._known_addresses -= gone


class AttemptHealthRecorder:
    """Records the outcome of one stream attempt for the targets on its path.

    No outcome is recorded for targets that the stream has lost: their work is
    discarded, and replacements may have taken over their stages.
    """

    def __init__(
        self,
        failing: FailingTargets,
        request_id: str,
        path: cost_model.Path,
        tokens: float,
        expected_s: float,
        lost_ids: Callable[[], frozenset[str]] = _no_ids,
    ) -> None:
        self._lost_ids = lost_ids
        self._failing = failing
        self._request_id = request_id
        self._path = path
        self._tokens = tokens
        self._expected_s = expected_s
        self._is_settled = False

    def use_path(
        self, path: cost_model.Path, expected_pause_ms: float
    ) -> None:
        """Switches to a new path of the same stream."""
        if not self._is_settled:
            starts = {stage.target.start for stage in path}
            starts_before = {stage.target.start for stage in self._path}
            for stage in self._path:
                if stage.target.start not in starts:
                    self._failing.record_abandoned(stage.target)
            for stage in path:
                if stage.target.start not in starts_before:
                    self._failing.record_started(stage.target)
        self._path = path

    def record_event(self) -> None:
        """Records an event; the first one proves that all stages work."""
        if self._is_settled:
            return
        self._is_settled = True
        lost_ids = self._lost_ids()
        for stage in self._path:
            if stage.target.id in lost_ids:
                self._failing.record_abandoned(stage.target)
            else:
                self._failing.record_success(stage.target)

    def record_error_response(
        self, status: int, named_address: str | None
    ) -> str:
        """Records an error response; returns the id of the target at fault.

        :param named_address: address of the target that the response blames.
        """
        target = self._at_fault(named_address)
        self._fail(target, f'status_{status}', is_answered=True)
        return target.id

    def record_broken_response(self, detail: str) -> None:
        """Records that the attempt ended without a valid response."""
        if not self._is_settled:
            self._fail(self._path[0].target, detail, is_answered=False)

    def end(self) -> None:
        """Ends the attempt; targets without a result count as abandoned."""
        if self._is_settled:
            return
        self._is_settled = True
        for stage in self._path:
            self._failing.record_abandoned(stage.target)

    def _at_fault(self, named_address: str | None) -> targets.Target:
        for stage in self._path:
            if stage.target.address == named_address:
                return stage.target
        return self._path[0].target

    def _fail(
        self, at_fault: targets.Target, detail: str, is_answered: bool
    ) -> None:
        if at_fault.id in self._lost_ids():
            self.end()
            return
        self._is_settled = True
        for stage in self._path:
            if stage.target.id != at_fault.id:
                self._failing.record_abandoned(stage.target)
        self._failing.record_failure(at_fault, is_answered)
        self._failing.hold_load(at_fault, self._tokens, self._expected_s)
        events.info(
            'stream_target_failed',
            id=self._request_id,
            target=at_fault.id,
            address=at_fault.address,
            detail=detail,
        )
