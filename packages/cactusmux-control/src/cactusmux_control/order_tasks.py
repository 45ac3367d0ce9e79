"""Targets whose reported holdings differ from the plan."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_base import timers

from . import documents
from . import placement_types
from . import pool

FIRST_RETRY_S = 4.0
MAX_RETRY_S = 60.0


class NoAuthority(failures.CactusmuxError):
    """This instance does not hold the order lease."""

    reason = 'no_authority'


class DocumentsUnknown(failures.CactusmuxError):
    """The documents in force are not known yet."""

    reason = 'documents_unknown'


class Task(NamedTuple):
    """A target to bring to ``holdings``, by loading ``load_mb``."""

    address: str
    holdings: placement_types.Holdings
    load_mb: float
    urgent: bool
    unfenced: bool
    loading: bool


def list_tasks(
    in_force: Sequence[documents.ServiceDocument],
    known_by_address: Mapping[str, pool.KnownTarget],
    plan: placement_types.Plan,
    pinned: frozenset[str],
) -> list[Task]:
    """Returns tasks in order: urgent ones, then those that load nothing.

    A pinned target that checks fencing always gets an order, so that it
    receives the new fencing number.
    """
    layer_mb_by_model = pool.layer_mb_by_model(in_force)
    tasks = []
    for address, holdings in plan.holdings_by_address.items():
        known = known_by_address[address]
        assert known.report is not None
        reported = known.report.holdings
        unfenced = pool.ignores_fencing(known, in_force)
        needs_new_fencing = address in pinned and not unfenced
        if set(holdings) == set(reported) and not needs_new_fencing:
            continue
        load_mb = sum(
            (one.last - one.first) * layer_mb_by_model.get(one.model, 0)
            for one in holdings
            if one not in reported
        )
        tasks.append(
            Task(
                address=address,
                holdings=holdings,
                load_mb=load_mb,
                urgent=address in plan.urgent,
                unfenced=unfenced,
                loading=known.report.loading,
            )
        )
    return sorted(
        tasks, key=lambda t: (not t.urgent, t.load_mb > 0, t.address)
    )


class _Sent(NamedTuple):
    """The last order to a target, and the time of its next retry."""

    holdings: placement_types.Holdings
    again_at: float
    attempts: int
    accepted: bool


class OrderHistory:
    """Orders sent under the current authority, for scheduling retries."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._sent_by_address: dict[str, _Sent] = {}

    def clear(self) -> None:
        """Drops all entries, for a new authority."""
        self._sent_by_address = {}

    def forget_others(self, tasks: Sequence[Task]) -> None:
        """Drops targets that need no order any more."""
        addresses = {task.address for task in tasks}
        for address in set(self._sent_by_address) - addresses:
            del self._sent_by_address[address]

    def is_under_way(self, task: Task) -> bool:
        """Returns whether the target accepted this order."""
        sent = self._sent_by_address.get(task.address)
        return (
            sent is not None
            and sent.accepted
            and sent.holdings == task.holdings
        )

    def is_due(self, task: Task) -> bool:
        """Returns whether the order is new or its retry is due."""
        sent = self._sent_by_address.get(task.address)
        if sent is None or sent.holdings != task.holdings:
            return True
        return self._timer.now() >= sent.again_at

    def record_attempt(self, task: Task, accepted: bool) -> None:
        """Records a sent order; the retry delay doubles with each attempt."""
        before = self._sent_by_address.get(task.address)
        attempts = 0
        if before is not None and before.holdings == task.holdings:
            attempts = before.attempts + 1
        wait_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**attempts)
        self._sent_by_address[task.address] = _Sent(
            task.holdings, self._timer.now() + wait_s, attempts, accepted
        )

    def loading_mb(self, tasks: Sequence[Task]) -> float:
        """Returns what targets are loading now, in MB."""
        return sum(
            task.load_mb
            for task in tasks
            if task.loading or self.is_under_way(task)
        )
