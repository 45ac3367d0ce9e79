"""Sends orders that bring targets to the plan, under a lease."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import failures
from cactusmux_base import ids
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import stores
from cactusmux_platform import targets
from cactusmux_platform import weights
from returns import result

from . import documents
from . import lease_types
from . import load_budget
from . import order_tasks
from . import placement
from . import placement_types
from . import plan_record
from . import pool

PERIOD_S = 2.0
ROUND_LIMIT_S = 5.0
PIN_DURATION_S = 600.0


class Round(NamedTuple):
    """Result of a round; ``waiting`` targets still need an order."""

    sent: int
    waiting: int
    shortfalls: tuple[failures.CactusmuxError, ...]


class Sources(NamedTuple):
    """Sources of a round's input.

    ``authority`` is called with the seconds that the authority must remain
    valid; ``documents_in_force`` returns ``None`` until all are known.
    """

    authority: Callable[[float], lease_types.Authority | None]
    documents_in_force: Callable[
        [], Sequence[documents.ServiceDocument] | None
    ]
    known_targets: Callable[[], Sequence[pool.KnownTarget]]


class _Planned(NamedTuple):
    """The last plan and its input."""

    situation: placement_types.Situation
    plan: placement_types.Plan


class OrderDispatcher:
    """Plans, records the plan and sends orders, in periodic rounds.

    :param region: region of the targets in ``sources``; the lease behind
        ``sources.authority`` must be that region's.
    :param weight_part: fraction of the weight store's rate for the region.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        client: targets.TargetClient,
        weight_store: weights.WeightStore,
        sources: Sources,
        region: str,
        weight_part: float = 1.0,
        delivery_s: float = lease_types.DEFAULT_SETTINGS.delivery_s,
        limits: placement_types.Limits = placement.DEFAULT_LIMITS,
    ) -> None:
        self._timer = timer
        self._metric = metric
        self._client = client
        self._budget = load_budget.LoadBudget(
            weight_store, metric, weight_part
        )
        self._sources = sources
        self._delivery_s = delivery_s
        self._limits = limits
        self._plans = plan_record.PlanStore(store, region)
        self._planned: _Planned | None = None
        self._fencing = 0
        self._pinned_until = 0.0
        self._pinned: frozenset[str] = frozenset()
        self._history = order_tasks.OrderHistory(timer)
        self._running = False
        self._subscription: timers.Subscription | None = None

    def start(self) -> None:
        """Runs a round every period."""
        self._subscription = self._timer.every(PERIOD_S, self._run_periodic)

    def stop(self) -> None:
        """Stops further rounds; a round in progress is finished."""
        if self._subscription is not None and not self._running:
            self._subscription.cancel()
        self._subscription = None

    def run_round(self) -> result.Result[Round, failures.CactusmuxError]:
        """Plans, records changes and sends orders that are due."""
        authority = self._sources.authority(0.0)
        if authority is None:
            self._fencing = 0
            return result.Failure(order_tasks.NoAuthority())
        in_force = self._sources.documents_in_force()
        if in_force is None:
            return result.Failure(order_tasks.DocumentsUnknown())
        if authority.fencing != self._fencing:
            taken = self._take_over(authority)
            if isinstance(taken, result.Failure):
                return taken
        return self._run(tuple(in_force))

    def _run_periodic(self) -> None:
        if self._running or self._subscription is None:
            return
        self._running = True
        try:
            self._count_outcome(self.run_round())
        except Exception as error:
            # The lease is renewed independently: if the rounds ended here, no
            # instance would send orders while this one runs.
            self._metric.count('orders.round_crashed')
            events.error('order_round_crashed', error=repr(error))
        finally:
            self._running = False

    def _take_over(
        self, authority: lease_types.Authority
    ) -> result.Result[plan_record.PlanRecord, failures.CactusmuxError]:
        taken = self._plans.take_over(authority.fencing)
        match taken:
            case result.Success(record):
                self._fencing = authority.fencing
                self._history.clear()
                self._pinned = record.open_addresses
                self._pinned_until = self._timer.now() + PIN_DURATION_S
                events.info(
                    'placement_taken_over',
                    fencing=authority.fencing,
                    pinned=len(record.open_addresses),
                )
        return taken

    def _run(
        self, in_force: tuple[documents.ServiceDocument, ...]
    ) -> result.Result[Round, failures.CactusmuxError]:
        known_by_address = {
            known.instance.address: known
            for known in self._sources.known_targets()
            if pool.is_usable(known)
        }
        plan = self._plan(in_force, list(known_by_address.values()))
        tasks = order_tasks.list_tasks(
            in_force, known_by_address, plan, self._pinned
        )
        self._history.forget_others(tasks)
        recorded = self._record(plan, tasks)
        if isinstance(recorded, result.Failure):
            # Another holder may have written the record: read it again in the
            # next round.
            self._fencing = 0
            return recorded
        self._budget.begin_round(self._history.loading_mb(tasks))
        sent = self._send_all(tasks)
        return result.Success(Round(sent, len(tasks) - sent, plan.shortfalls))

    def _plan(
        self,
        in_force: tuple[documents.ServiceDocument, ...],
        known: Sequence[pool.KnownTarget],
    ) -> placement_types.Plan:
        if self._timer.now() >= self._pinned_until:
            self._pinned &= {
                one.instance.address
                for one in known
                if not pool.ignores_fencing(one, in_force)
            }
        situation = placement_types.Situation(
            in_force,
            pool.build_pool(known, pool.layer_mb_by_model(in_force)),
            self._plans.record.holdings_by_address,
            pool.reported_holdings(known),
            self._pinned,
        )
        if self._planned is None or self._planned.situation != situation:
            self._planned = self._plan_anew(situation)
        return self._planned.plan

    def _plan_anew(self, situation: placement_types.Situation) -> _Planned:
        started_at = self._timer.now()
        plan = placement.plan(
            situation, self._limits, lambda: self._timer.sleep(0.0)
        )
        self._metric.timing('placement.plan', self._timer.now() - started_at)
        self._metric.count('placement.planned')
        return _Planned(situation, plan)

    def _record(
        self, plan: placement_types.Plan, tasks: Sequence[order_tasks.Task]
    ) -> result.Result[plan_record.PlanRecord, failures.CactusmuxError]:
        open_addresses = self._pinned | {task.address for task in tasks}
        # A pinned target that is unreachable now may return.
        former = self._plans.record.holdings_by_address
        holdings_by_address = plan.holdings_by_address | {
            address: former[address]
            for address in self._pinned
            if address in former
        }
        if not plan_record.needs_new_record(
            self._plans.record, holdings_by_address, open_addresses
        ):
            return result.Success(self._plans.record)
        return self._plans.save(
            plan_record.PlanRecord(
                self._fencing, holdings_by_address, open_addresses
            )
        )

    def _send_all(self, tasks: Sequence[order_tasks.Task]) -> int:
        """Sends due orders until authority, load budget or time runs out."""
        ends_at = self._timer.now() + ROUND_LIMIT_S
        sent = 0
        for task in tasks:
            if self._timer.now() >= ends_at:
                self._metric.count('orders.held.round_limit')
                break
            if not self._history.is_due(task):
                continue
            authority = self._sources.authority(self._delivery_s)
            if authority is None or authority.fencing != self._fencing:
                self._metric.count('orders.held.no_authority')
                break
            if not self._may_send(task, authority):
                continue
            sent += self._send(task, authority.fencing)
        return sent

    def _may_send(
        self, task: order_tasks.Task, authority: lease_types.Authority
    ) -> bool:
        if task.unfenced and self._timer.now() < authority.unfenced_from:
            self._metric.count('orders.held.unfenced_wait')
            return False
        if self._history.is_under_way(task) or not task.load_mb:
            return True
        if self._budget.reserve(task.load_mb, task.urgent):
            return True
        self._metric.count('orders.held.load_budget')
        return False

    def _send(self, task: order_tasks.Task, fencing: int) -> bool:
        order = targets.Order(ids.new_id(), fencing, task.holdings)
        answer = self._client.send_order(task.address, order)
        accepted = isinstance(answer, result.Success)
        self._history.record_attempt(task, accepted)
        match answer:
            case result.Success(_):
                if not task.unfenced:
                    # From now on it refuses orders of former holders.
                    self._pinned -= {task.address}
                self._metric.count('orders.sent')
                events.info(
                    'order_sent',
                    address=task.address,
                    order_id=order.order_id,
                    fencing=fencing,
                )
            case result.Failure(failure):
                self._metric.count(f'orders.failed.{failure.reason}')
                events.warning(
                    'order_failed',
                    address=task.address,
                    order_id=order.order_id,
                    reason=failure.reason,
                )
        return accepted

    def _count_outcome(
        self, outcome: result.Result[Round, failures.CactusmuxError]
    ) -> None:
        match outcome:
            case result.Success(done):
                self._metric.gauge('orders.waiting', done.waiting)
                for shortfall in done.shortfalls:
                    self._metric.count(f'placement.{shortfall.reason}')
            case result.Failure(failure):
                self._metric.count(f'orders.round_failed.{failure.reason}')
