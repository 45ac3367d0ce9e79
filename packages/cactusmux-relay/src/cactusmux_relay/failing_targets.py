"""Targets that accept streams and fail them, while their health is good.

Outcomes of streams feed one circuit breaker a target, at the target at fault.
A failure that a target answers ejects at once: an instance of a large fleet
sees a target so rarely that it would not get to three failures in a row
before the callers had met hundreds. What follows from it is soft: an ejected
target is used where no path can be found without it.
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

# A failed stream counts as load for as long as it would have run, at most so
# long. Two attempts stay below what a stream that runs would have counted.
MAX_HELD_LOAD_S = 2.0
# How often breakers of targets that are gone are dropped.
FORGET_PERIOD_S = 10.0


def _none() -> frozenset[str]:
    return frozenset()


class FailingTargets:
    """Which targets are softly excluded for failing streams."""

    def __init__(
        self,
        book: target_registry.TargetRegistry,
        ledger: load_tracker.LoadTracker,
        reports: ejection_reports.EjectionReports,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._book = book
        self._ledger = ledger
        self.reports = reports
        self._timer = timer
        self._metric = metric
        # Ejecting all of them excludes none, as the exclusion is soft.
        self._health = breakers.Breakers(timer, rng, metric, lambda lost: True)
        self._known_addresses: set[str] = set()

    def start(self) -> None:
        """Begins to forget targets that are gone."""
        self._timer.every(FORGET_PERIOD_S, self.forget_gone)

    def ids(self) -> frozenset[str]:
        """Returns the targets to use only if no path does without them."""
        ejected = self._health.ejected()
        left_out = self.reports.excluded_ids()
        if not ejected:
            return left_out
        return left_out | self._book.ids_at(ejected)

    def confirmed_ids(self) -> frozenset[str]:
        """Returns those that more than one request of ours shows to fail.

        A request that always fails ejects each target that it is sent to.
        """
        repeatedly = self._book.ids_at(self._health.ejected_repeatedly())
        return repeatedly | self.reports.reported_by_others()

    def begin(
        self,
        request_id: str,
        path: cost_model.Path,
        tokens: float,
        expected_s: float,
        lost_ids: Callable[[], frozenset[str]] = _none,
    ) -> 'StreamTrial':
        """Notes that a stream is sent on a path.

        :param expected_s: how long it would run.
        :param lost_ids: returns which of its targets it has lost by now.
        """
        for stage in path:
            self.note_started(stage.target)
        return StreamTrial(
            self, request_id, path, tokens, expected_s, lost_ids
        )

    def note_started(self, target: targets.Target) -> None:
        """Notes that a stream is sent through a target."""
        self._health.record_started(target.address)

    def note_success(self, target: targets.Target) -> None:
        """Notes that a target has done its part of a first event."""
        self._health.record_success(target.address)
        self.reports.note_success(target.id)

    def note_abandoned(self, target: targets.Target) -> None:
        """Notes that a request told nothing of a target."""
        self._health.record_abandoned(target.address)

    def note_failure(self, target: targets.Target, is_answered: bool) -> None:
        """Notes that a target has failed a stream.

        :param is_answered: by an answer, not by an end of the connection,
            which may be our own link's fault.
        """
        self._known_addresses.add(target.address)
        self._health.record_failure(target.address, certain=is_answered)
        is_ejected = target.address in self._health.ejected()
        self.reports.note_failure(target.id, is_ejected)
        self._metric.count('relay.stream_target_failed')

    def hold_load(
        self, target: targets.Target, tokens: float, seconds: float
    ) -> None:
        """Counts a failed stream as load, so that failing isn't idleness."""
        ids = (target.id,)
        self._ledger.add(ids, tokens)
        self._timer.after(
            min(seconds, MAX_HELD_LOAD_S),
            lambda: self._ledger.remove(ids, tokens),
        )

    def forget_gone(self) -> None:
        """Drops the breakers of addresses that no target has any more."""
        gone = self._known_addresses - self._book.target_by_address.keys()
        for address in gone:
            self._health.forget(address)
        self._known_addresses -= gone


class StreamTrial:
    """One attempt of a stream, and what it tells of its path's targets.

    It tells nothing of targets that the stream has lost: what they did is
    undone, and others may do their part by now.
    """

    def __init__(
        self,
        failing: FailingTargets,
        request_id: str,
        path: cost_model.Path,
        tokens: float,
        expected_s: float,
        lost_ids: Callable[[], frozenset[str]] = _none,
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
        """Goes by another path of the same stream from now on."""
        if not self._is_settled:
            starts = {stage.target.start for stage in path}
            starts_before = {stage.target.start for stage in self._path}
            for stage in self._path:
                if stage.target.start not in starts:
                    self._failing.note_abandoned(stage.target)
            for stage in path:
                if stage.target.start not in starts_before:
                    self._failing.note_started(stage.target)
        self._path = path

    def note_event(self) -> None:
        """Notes an event; the first one shows that all stages work."""
        if self._is_settled:
            return
        self._is_settled = True
        lost_ids = self._lost_ids()
        for stage in self._path:
            if stage.target.id in lost_ids:
                self._failing.note_abandoned(stage.target)
            else:
                self._failing.note_success(stage.target)

    def note_answered(self, status: int, named: str | None) -> str:
        """Notes an answer that is a failure; returns the target at fault.

        :param named: address of the target that the answer names.
        """
        target = self._at_fault(named)
        self._fail(target, f'status_{status}', is_answered=True)
        return target.id

    def note_broken(self, detail: str) -> None:
        """Notes that the attempt ended without a valid answer."""
        if not self._is_settled:
            self._fail(self._path[0].target, detail, is_answered=False)

    def end(self) -> None:
        """Notes that nothing more will be known of the attempt."""
        if self._is_settled:
            return
        self._is_settled = True
        for stage in self._path:
            self._failing.note_abandoned(stage.target)

    def _at_fault(self, named: str | None) -> targets.Target:
        for stage in self._path:
            if stage.target.address == named:
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
                self._failing.note_abandoned(stage.target)
        self._failing.note_failure(at_fault, is_answered)
        self._failing.hold_load(at_fault, self._tokens, self._expected_s)
        events.info(
            'stream_target_failed',
            id=self._request_id,
            target=at_fault.id,
            address=at_fault.address,
            detail=detail,
        )
