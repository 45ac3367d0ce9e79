"""Polls targets for their reports and publishes them to the region."""

from collections.abc import Callable, Iterable

from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from cactusmux_platform import instances
from cactusmux_platform import targets
import gevent
from returns import result

from . import assignments
from . import soft_state

# A target has two pollers, so that its state is seen about every second.
POLL_PERIOD_S = 2.0
FAILED_POLLS_TO_WITHDRAW = 2

ListTargets = Callable[[], Iterable[instances.ListedInstance]]


class TargetPoller:
    """Polls this instance's targets, each in a task of its own.

    :param list_targets: the platform's list, as last read.
    """

    def __init__(
        self,
        duty: assignments.JobAssignments,
        state: soft_state.SoftState,
        client: targets.TargetClient,
        list_targets: ListTargets,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._duty = duty
        self._state = state
        self._client = client
        self._list_targets = list_targets
        self._timer = timer
        self._metrics = metrics
        self._published: set[str] = set()
        self._under_way: set[str] = set()
        self._failures_by_address: dict[str, int] = {}
        self._job: timers.Subscription | None = None

    def start(self) -> None:
        """Polls every ``POLL_PERIOD_S``."""
        self._job = self._timer.every(POLL_PERIOD_S, self.tick)

    def stop(self) -> None:
        """Ends polling; others take over once this instance has left."""
        if self._job is not None:
            self._job.cancel()

    def tick(self) -> None:
        """Starts a poll of each target that is not being polled still."""
        listed = self._duty.targets_to_poll(self._list_targets())
        addresses = {target.address for target in listed}
        self._drop_all_but(addresses)
        for target in listed:
            if target.leaving:
                self._state.mark_target_leaving(target.address)
        for address in addresses - self._under_way:
            self._under_way.add(address)
            gevent.spawn(self._poll, address)

    def _poll(self, address: str) -> None:
        try:
            polled = self._client.report(address)
        finally:
            self._under_way.discard(address)
        if not isinstance(polled, result.Success):
            self._note_failure(address, polled.failure())
            return
        self._failures_by_address.pop(address, None)
        self._published.add(address)
        self._state.publish_report(polled.unwrap())

    def _note_failure(
        self, address: str, failure: targets.TargetError
    ) -> None:
        self._metrics.count(f'peers.poll.{failure.reason}')
        failures = self._failures_by_address.get(address, 0) + 1
        self._failures_by_address[address] = failures
        if failures >= FAILED_POLLS_TO_WITHDRAW:
            self._withdraw(address)

    def _drop_all_but(self, addresses: set[str]) -> None:
        for address in self._published - addresses:
            self._withdraw(address)
        for address in self._failures_by_address.keys() - addresses:
            del self._failures_by_address[address]

    def _withdraw(self, address: str) -> None:
        if address in self._published:
            self._published.discard(address)
            self._state.withdraw_report(address)
