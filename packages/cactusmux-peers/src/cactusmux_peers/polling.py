"""Polls targets for their reports and publishes them to the region."""

from collections.abc import Callable, Iterable

from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from cactusmux_platform import instances
from cactusmux_platform import targets
import gevent
from returns import result

from . import duties
from . import soft_state

POLL_PERIOD_S = 1.0
# Pollers that do not publish look only for signs of leaving or of a
# publisher that has failed.
STANDBY_EVERY_POLLS = 2
# A standby publishes when the region's report is older than this.
TAKEOVER_AGE_S = 5.0
FAILED_POLLS_TO_WITHDRAW = 2

ListTargets = Callable[[], Iterable[instances.ListedInstance]]


class TargetPoller:
    """Polls this instance's targets, each in a task of its own.

    :param list_targets: the platform's list, as last read.
    """

    def __init__(
        self,
        duty: duties.Duties,
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
        self._ticks = 0
        self._published: set[str] = set()
        self._polling: set[str] = set()
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
        """Polls what is due."""
        self._ticks += 1
        listed = tuple(self._list_targets())
        rank_by_address = self._duty.targets_to_poll(listed)
        self._drop_handed_over(rank_by_address)
        for target in listed:
            if target.leaving and target.address in rank_by_address:
                self._state.mark_target_leaving(target.address)
        for address, rank in rank_by_address.items():
            if rank > 0 and self._ticks % STANDBY_EVERY_POLLS:
                continue
            if address not in self._polling:
                self._polling.add(address)
                gevent.spawn(self._poll, address, rank)

    def _poll(self, address: str, rank: int) -> None:
        try:
            polled = self._client.report(address)
        finally:
            self._polling.discard(address)
        if not isinstance(polled, result.Success):
            self._note_failure(address, polled.failure())
            return
        self._failures_by_address.pop(address, None)
        report = polled.unwrap()
        if report.leaving:
            self._state.mark_target_leaving(address)
        if rank > 0 and self._is_published_by_other(address):
            self._withdraw(address)
            return
        self._published.add(address)
        self._state.publish_report(report)

    def _is_published_by_other(self, address: str) -> bool:
        known = self._state.report_of_others_by_address().get(address)
        return known is not None and known.age_s < TAKEOVER_AGE_S

    def _note_failure(
        self, address: str, failure: targets.TargetError
    ) -> None:
        self._metrics.count(f'peers.poll.{failure.reason}')
        failures = self._failures_by_address.get(address, 0) + 1
        self._failures_by_address[address] = failures
        if failures >= FAILED_POLLS_TO_WITHDRAW:
            self._withdraw(address)

    def _drop_handed_over(self, rank_by_address: dict[str, int]) -> None:
        for address in self._published - rank_by_address.keys():
            self._withdraw(address)
        for address in self._failures_by_address.keys() - rank_by_address:
            del self._failures_by_address[address]

    def _withdraw(self, address: str) -> None:
        if address in self._published:
            self._published.discard(address)
            self._state.withdraw_report(address)
