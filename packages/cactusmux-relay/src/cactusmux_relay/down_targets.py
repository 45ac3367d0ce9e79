"""Detects unreachable targets from failed connections.

A refused connection marks a target as down at once. A connection that isn't
accepted in time may be delayed by this instance's own link, so it is compared
with connections to other targets (see ``connection_races``). A target is up
again when it has restarted or accepts a connection.

Requests avoid a target as soon as this instance finds it down. Actions that
can't be undone, such as moving its layers, wait until another instance has
reported the same.
"""

from collections.abc import Callable
import random

from cactusmux_base import events
from cactusmux_base import timers
import gevent

from . import connection_probes
from . import connection_races
from . import shared_checks
from . import targets

# Counts towards the longest pause that callers see: see
# live_streams.MIN_SILENCE_S.
PROBE_TIMEOUT_S = 0.04
# Minimum interval between two probes of a target that was found up.
PROBE_PERIOD_S = 0.4
RECHECK_PERIOD_S = 0.7
# How often the schedule is checked for targets that are due for a recheck.
RECHECK_POLL_PERIOD_S = 0.1
# For how long a recovery is announced to other instances.
RECOVERY_ANNOUNCE_S = 1.0
# Number of reference targets that suspected targets are compared with.
REFERENCE_COUNT = 3
# For how long a report of another instance counts after its arrival.
PEER_REPORT_LIFETIME_S = 3.0
# Targets suspected within this time are checked in one race.
SUSPECT_BATCH_S = 0.005

Callback = Callable[[str], None]


class DownTargets:
    """Tracks which targets are down, by the start that went down."""

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        instances: shared_checks.Instances = shared_checks.single_instance,
    ) -> None:
        """Creates the tracker; :meth:`start` begins the rechecks.

        :param instances: returns how many instances share the rechecks.
        """
        self._recheck_intervals = shared_checks.SharedPeriod(
            RECHECK_PERIOD_S, instances, rng
        )
        self._recheck_at_by_id: dict[str, float] = {}
        # Targets that haven't been rechecked since they went down.
        self._not_rechecked_ids: set[str] = set()
        self._recovered_at_by_start: dict[targets.Start, float] = {}
        self._timer = timer
        self._rng = rng
        self._suspect_by_id: dict[str, targets.Target] = {}
        self._target_by_id: dict[str, targets.Target] = {}
        self._refused_ids: set[str] = set()
        self._peer_report_at_by_id: dict[str, float] = {}
        self._probed_at_by_id: dict[str, float] = {}
        self._known_targets: list[targets.Target] = []
        self._callbacks: list[Callback] = []
        self._up_callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callback) -> None:
        """Calls ``callback`` with the id of each target marked as down."""
        self._callbacks.append(callback)

    def subscribe_up(self, callback: Callable[[], None]) -> None:
        """Calls ``callback`` when a recheck finds a target up again."""
        self._up_callbacks.append(callback)

    def start(self) -> None:
        """Starts the periodic rechecks of targets that are down."""
        self._timer.every(RECHECK_POLL_PERIOD_S, self._recheck)

    @property
    def ids(self) -> frozenset[str]:
        """Ids of the targets that are down."""
        return frozenset(self._target_by_id)

    @property
    def refused_ids(self) -> frozenset[str]:
        """Ids of the targets that are down and refuse connections.

        No process listens there, so work that ran on them is certainly lost.
        """
        return frozenset(self._refused_ids & self._target_by_id.keys())

    def confirmed_ids(self, is_only_instance: bool) -> frozenset[str]:
        """Returns the targets whose failure is confirmed.

        A target that refuses connections is confirmed at once, others by a
        recent report of another instance.

        :param is_only_instance: whether no other instance could confirm it.
        """
        if is_only_instance:
            return self.ids
        oldest = self._timer.now() - PEER_REPORT_LIFETIME_S
        return frozenset(
            target_id
            for target_id in self._target_by_id
            if target_id in self._refused_ids
            or self._peer_report_at_by_id.get(target_id, oldest) > oldest
        )

    def record_peer_report(self, target: targets.Target) -> None:
        """Records a peer's report that a target is down, and probes it."""
        self._peer_report_at_by_id[target.id] = self._timer.now()
        self.probe(target)

    @property
    def tracked_count(self) -> int:
        """Number of targets for which any state is kept."""
        return len(self._target_by_id.keys() | self._probed_at_by_id.keys())

    def mark(
        self, target: targets.Target, cause: str, is_refused: bool = True
    ) -> None:
        """Marks a target as down.

        :param is_refused: whether the target itself refused the connection,
            which needs no confirmation by another instance.
        """
        if is_refused:
            self._refused_ids.add(target.id)
        if target.id in self._target_by_id:
            return
        self._target_by_id[target.id] = target
        self._recovered_at_by_start.pop(target.start, None)
        self._not_rechecked_ids.add(target.id)
        first_at = self._timer.now() + RECHECK_PERIOD_S
        self._recheck_at_by_id[target.id] = first_at
        events.warning(
            'target_down',
            target=target.id,
            address=target.address,
            born_ms=target.born_ms,
            cause=cause,
        )
        for callback in self._callbacks:
            _call(callback, target.id)

    def update(self, target_by_id: dict[str, targets.Target]) -> None:
        """Applies a new target list; removed and restarted targets are up."""
        self._known_targets = list(target_by_id.values())
        for target_id, down in list(self._target_by_id.items()):
            current = target_by_id.get(target_id)
            if current is None or current.born_ms != down.born_ms:
                self._mark_up(target_id, 'restarted or removed')
        for known in (self._probed_at_by_id, self._peer_report_at_by_id):
            for target_id in known.keys() - target_by_id.keys():
                del known[target_id]

    def probe(self, target: targets.Target) -> None:
        """Checks in a separate task whether a target is down."""
        now = self._timer.now()
        probed_at = self._probed_at_by_id.get(target.id, 0.0)
        if target.id in self._target_by_id or (
            now - probed_at < PROBE_PERIOD_S
        ):
            return
        self._probed_at_by_id[target.id] = now
        gevent.spawn(self._run_probe, target)

    def probe_now(self, target: targets.Target) -> connection_probes.Outcome:
        """Checks whether a target is down; blocks for one attempt."""
        if target.id in self._refused_ids & self._target_by_id.keys():
            return connection_probes.Outcome.REFUSED
        self._probed_at_by_id[target.id] = self._timer.now()
        return self._run_probe(target)

    def _run_probe(self, target: targets.Target) -> connection_probes.Outcome:
        result = self._connect(target, PROBE_TIMEOUT_S)
        if result.outcome is connection_probes.Outcome.REFUSED:
            self.mark(target, result.cause)
        if result.outcome is connection_probes.Outcome.UNANSWERED:
            if not self._suspect_by_id:
                gevent.spawn(self._race_suspects)
            self._suspect_by_id[target.id] = target
        return result.outcome

    def _race_suspects(self) -> None:
        """Determines which of the suspected targets are down."""
        self._timer.sleep(SUSPECT_BATCH_S)
        suspects = list(self._suspect_by_id.values())
        references = self._sample_references()
        self._suspect_by_id = {}
        result_by_id = connection_races.race_connections(
            self._connect, suspects, references
        )
        for target in suspects:
            result = result_by_id.get(target.id)
            if result is None:
                events.info('probe_inconclusive', target=target.id)
            elif result.outcome is not connection_probes.Outcome.ACCEPTED:
                is_refused = (
                    result.outcome is connection_probes.Outcome.REFUSED
                )
                self.mark(target, result.cause, is_refused)

    def _sample_references(self) -> list[targets.Target]:
        """Samples targets that are neither down nor suspected."""
        others = [
            each
            for each in self._known_targets
            if each.id not in self._target_by_id
            and each.id not in self._suspect_by_id
        ]
        return self._rng.sample(others, min(REFERENCE_COUNT, len(others)))

    def record_peer_recovery(self, start: targets.Start) -> None:
        """Records a peer's report that a target is up; rechecks it next."""
        target = self._target_by_id.get(start.target_id)
        if target is not None and target.start == start:
            self._not_rechecked_ids.discard(target.id)
            self._recheck_at_by_id[target.id] = self._timer.now()

    def recently_recovered(self) -> list[targets.Start]:
        """Returns the target starts that were recently found up again."""
        oldest = self._timer.now() - RECOVERY_ANNOUNCE_S
        for start, recovered_at in list(self._recovered_at_by_start.items()):
            if recovered_at < oldest:
                del self._recovered_at_by_start[start]
        return list(self._recovered_at_by_start)

    def _recheck(self) -> None:
        now = self._timer.now()
        for target in list(self._target_by_id.values()):
            if self._recheck_at_by_id.get(target.id, now) > now:
                continue
            delay_s = self._first_recheck_delay_s(target.id)
            if delay_s > 0.0:
                self._recheck_at_by_id[target.id] = now + delay_s
                continue
            period_s = RECHECK_PERIOD_S
            if self._has_recent_peer_report(target.id):
                period_s = self._recheck_intervals.next_s()
            self._recheck_at_by_id[target.id] = now + period_s
            gevent.spawn(self._recheck_one, target)

    def _first_recheck_delay_s(self, target_id: str) -> float:
        """Returns the extra delay before the first recheck of a target.

        All instances detect a failure at the same moment; the delay spreads
        their first rechecks.
        """
        if target_id not in self._not_rechecked_ids:
            return 0.0
        self._not_rechecked_ids.discard(target_id)
        return (
            self._recheck_intervals.first_s()
            if self._has_recent_peer_report(target_id)
            else 0.0
        )

    def _has_recent_peer_report(self, target_id: str) -> bool:
        """Whether another instance also considers a target down.

        If not, for example after a short fault of this instance's link, no
        other instance shares the rechecks of that target.
        """
        reported_at = self._peer_report_at_by_id.get(target_id)
        return (
            reported_at is not None
            and self._timer.now() - reported_at < PEER_REPORT_LIFETIME_S
        )

    def _recheck_one(self, target: targets.Target) -> None:
        result = self._connect(target, PROBE_TIMEOUT_S)
        is_known = target.id in self._target_by_id
        if is_known and result.outcome is connection_probes.Outcome.ACCEPTED:
            self._recovered_at_by_start[target.start] = self._timer.now()
            self._mark_up(target.id, result.cause)
            for callback in self._up_callbacks:
                callback()

    def _connect(
        self, target: targets.Target, timeout_s: float
    ) -> connection_probes.ProbeResult:
        return connection_probes.probe_address(
            target.address, timeout_s, self._timer
        )

    def _mark_up(self, target_id: str, cause: str) -> None:
        self._refused_ids.discard(target_id)
        self._recheck_at_by_id.pop(target_id, None)
        self._not_rechecked_ids.discard(target_id)
        if self._target_by_id.pop(target_id, None) is not None:
            events.info('target_up', target=target_id, cause=cause)


def _call(callback: Callback, target_id: str) -> None:
    """Calls a subscriber; if it fails, the others are still called."""
    try:
        callback(target_id)
    except Exception as error:
        events.error(
            'lost_target_not_handled', target=target_id, cause=repr(error)
        )
