"""Polls targets for reports and publishes the reports in the region."""

from collections.abc import Callable, Iterable

from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from cactusmux_platform import instances
from cactusmux_platform import targets
import gevent
from returns import result

from . import assignments
from . import soft_state

# Two instances poll each target, so its state is read about once a second.
POLL_PERIOD_S = 2.0
FAILED_POLLS_TO_WITHDRAW = 2

ListTargets = Callable[[], Iterable[instances.ListedInstance]]


class TargetPoller:
    """Polls the targets assigned to this instance, each in its own task.

    :param list_targets: returns the platform's list as last read.
    """

    def __init__(
        self,
        job_assignments: assignments.JobAssignments,
        state: soft_state.SoftState,
        client: targets.TargetClient,
        list_targets: ListTargets,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._assignments = job_assignments
        self._state = state
        self._client = client
        self._list_targets = list_targets
        self._timer = timer
        self._metrics = metrics
        self._published: set[str] = set()
        self._in_progress: set[str] = set()
        self._failures_by_address: dict[str, int] = {}
        self._job: timers.Subscription | None = None

    def start(self) -> None:
        """Starts to poll every ``POLL_PERIOD_S``."""
        self._job = self._timer.every(POLL_PERIOD_S, self.tick)

    def stop(self) -> None:
        """Stops polling; peers take over once this instance has left."""
        if self._job is not None:
            self._job.cancel()

    def tick(self) -> None:
        """Starts a poll of each target without a poll in progress."""
        listed = self._assignments.targets_to_poll(self._list_targets())
        addresses = {target.address for target in listed}
        self._withdraw_except(addresses)
        for target in listed:
            if target.leaving:
                self._state.mark_target_leaving(target.address)
        for address in addresses - self._in_progress:
            self._in_progress.add(address)
            gevent.spawn(self._poll, address)

    def _poll(self, address: str) -> None:
        try:
            polled = self._client.report(address)
        finally:
            self._in_progress.discard(address)
        if not isinstance(polled, result.Success):
            self._record_failure(address, polled.failure())
            return
        self._failures_by_address.pop(address, None)
        self._published.add(address)
        self._state.publish_report(polled.unwrap())

    def _record_failure(
        self, address: str, failure: targets.TargetError
    ) -> None:
        self._metrics.count(f'peers.poll.{failure.reason}')
        failures = self._failures_by_address.get(address, 0) + 1
        self._failures_by_address[address] = failures
        if failures >= FAILED_POLLS_TO_WITHDRAW:
            self._withdraw(address)

    def _withdraw_except(self, addresses: set[str]) -> None:
        for address in self._published - addresses:
            self._withdraw(address)
        for address in self._failures_by_address.keys() - addresses:
            del self._failures_by_address[address]

    def _withdraw(self, address: str) -> None:
        if address in self._published:
            self._published.discard(address)
            self._state.withdraw_report(address)
