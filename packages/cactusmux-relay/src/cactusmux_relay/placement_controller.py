"""Control loop that keeps the targets in line with each model's placement.

It acts only on the instance that holds the lease. The placement is kept in
the store, so that the next holder of the lease continues with it. Orders are
idempotent and carry the number of orders that the target has begun, so that
a late one has no effect.
"""

from collections.abc import Callable
import math
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import lease_types
import gevent
from returns import result

from . import chain_pool
from . import desired_state
from . import down_targets
from . import held_chains
from . import layer_orders
from . import placement_repair
from . import placement_search
from . import placement_storage
from . import request_handling
from . import slow_targets
from . import take_overs
from . import target_registry
from . import targets
from . import tasks

PERIOD_S = 0.25
# The first placement waits until no new target has appeared for this time.
STABLE_POOL_S = 1.6
# Least time between two orders to a target: the effect of the first one must
# be visible.
ORDER_INTERVAL_S = 1.5
REPORT_PERIOD_S = 0.25
ORDER_DELIVERY_S = 0.8
# Most orders wait for running requests to finish; loads share the bandwidth.
MAX_ORDERS_AT_ONCE = 48
# Each target is asked for its pace once in this period.
PACE_QUERY_PERIOD_S = 1.5
# Most targets asked per step; in a large pool a round takes longer.
MAX_PACE_QUERIES_PER_STEP = 10
# Pause between steps of a search, so that requests are served meanwhile.
SEARCH_PAUSE_S = 0.002

Authority = Callable[[float], lease_types.Authority | None]


class PlacementController:
    """Creates and repairs placements and sends the orders for them."""

    def __init__(
        self,
        storage: placement_storage.PlacementStorage,
        in_force: request_handling.ConfigurationInForce,
        registry: target_registry.TargetRegistry,
        orders: layer_orders.LayerOrders,
        authority: Authority,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        on_report: Callable[[targets.Target], None],
        down: down_targets.DownTargets,
        paces: slow_targets.SlowTargets,
        is_alone: Callable[[], bool],
    ) -> None:
        """Initializes the control loop.

        :param authority: returns this instance's authority if it lasts for
            the given number of seconds, else ``None``.
        :param on_report: called with a target as soon as its layers change.
        :param is_alone: returns whether there is no other instance.
        """
        self._storage = storage
        self._in_force = in_force
        self._registry = registry
        self._orders = orders
        self._authority = authority
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._on_report = on_report
        self._down = down
        self._paces = paces
        self._is_alone = is_alone
        self._query_count = 0
        self._known_ids: frozenset[str] = frozenset()
        self._known_at = 0.0
        self._ordered_at_by_start: dict[tuple[str, int], float] = {}
        self._ids_with_order: set[str] = set()
        self._repaired_state_by_service: dict[str, tuple[object, ...]] = {}

    def start(self) -> None:
        """Starts the control loop in a task of its own."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._timer.sleep(PERIOD_S)
            tasks.run_step('placement', self.step, self._timer)

    def step(self) -> None:
        """Runs one iteration if this instance holds the lease."""
        self._update_known_targets()
        authority = self._authority(ORDER_DELIVERY_S)
        state = self._in_force.state
        if authority is None or state is None:
            return
        if not self._storage.load(authority.fencing, state.service_by_name):
            return
        for name, service in state.service_by_name.items():
            if service.engine is None:
                continue
            self._reconcile(name, service.engine)

    def _update_known_targets(self) -> None:
        ids = frozenset(self._registry.target_by_id)
        if not ids <= self._known_ids:
            self._known_at = self._timer.now()
        for start in list(self._ordered_at_by_start):
            if start[0] not in ids:
                del self._ordered_at_by_start[start]
        self._known_ids = ids

    def _reconcile(self, name: str, engine: desired_state.Engine) -> None:
        members = self._registry.ready(name)
        placement = self._storage.get(name)
        if placement is None or not placement.chains:
            waited_s = self._timer.now() - self._known_at
            if not members or waited_s < STABLE_POOL_S:
                return
            changed = placement_search.place(
                engine, members, self._rng, self._pause
            )
        else:
            self._query_paces(members)
            down = self._down.confirmed_ids(self._is_alone())
            pool = chain_pool.make_pool(
                engine, members, down, self._paces.pace_by_target()
            )
            current = placement
            if self._storage.is_outdated(name):
                current = held_chains.adopt_held(engine, members, placement)
            changed = self._repair(name, pool, current)
        old_chains = placement.chains if placement else ()
        if changed.chains != old_chains:
            # The search pauses; the lease may have ended meanwhile.
            if self._authority(ORDER_DELIVERY_S) is None:
                return
            if not self._storage.save(name, changed):
                return
            self._log_changed(name, engine, changed)
        self._storage.keep(name, changed)
        self._send_orders(name, engine, changed)

    def _repair(
        self,
        name: str,
        pool: chain_pool.Pool,
        placement: placement_search.Placement,
    ) -> placement_search.Placement:
        """Repairs a placement unless pool and placement are unchanged."""
        slow = frozenset(
            target_id
            for target_id, pace in pool.pace_by_target.items()
            if pace >= take_overs.SLOW_PACE
        )
        state = (frozenset(pool.usable), slow, placement.chains)
        if self._repaired_state_by_service.get(name) == state:
            return placement
        repaired = placement_repair.repair(pool, placement)
        self._repaired_state_by_service[name] = (*state[:2], repaired.chains)
        return repaired

    def _query_paces(self, members: list[targets.Target]) -> None:
        """Asks some of the targets for their pace, round robin."""
        share = math.ceil(len(members) * PERIOD_S / PACE_QUERY_PERIOD_S)
        for _ in range(min(share, MAX_PACE_QUERIES_PER_STEP)):
            self._query_count += 1
            self._paces.request_report(
                members[self._query_count % len(members)]
            )

    def _pause(self) -> None:
        self._timer.sleep(SEARCH_PAUSE_S)

    def _log_changed(
        self,
        name: str,
        engine: desired_state.Engine,
        placement: placement_search.Placement,
    ) -> None:
        pool = chain_pool.make_pool(
            engine,
            self._registry.ready(name),
            self._down.ids,
            self._paces.pace_by_target(),
        )
        rates = [
            round(chain_pool.chain_rate(pool, chain), 1)
            for chain in placement.chains
        ]
        events.info(
            'placement_changed',
            service=name,
            position=self._storage.position(name),
            rates=rates,
            stages=[len(chain) for chain in placement.chains],
            spares=len(placement.spares),
        )

    def _send_orders(
        self,
        name: str,
        engine: desired_state.Engine,
        placement: placement_search.Placement,
    ) -> None:
        ready = {each.id: each for each in self._registry.ready(name)}
        for target_id, layers in placement.layers_by_target().items():
            target = ready.get(target_id)
            if target is None or target.layers == layers:
                continue
            if target_id in self._ids_with_order:
                continue
            if len(self._ids_with_order) >= MAX_ORDERS_AT_ONCE:
                return
            start = (target.id, target.born_ms)
            ordered_at = self._ordered_at_by_start.get(start)
            now = self._timer.now()
            if ordered_at is not None and now - ordered_at < ORDER_INTERVAL_S:
                continue
            self._ordered_at_by_start[start] = now
            self._ids_with_order.add(target_id)
            gevent.spawn(self._order, engine, target, layers)

    def _order(
        self,
        engine: desired_state.Engine,
        target: targets.Target,
        layers: targets.LayerRange,
    ) -> None:
        try:
            if not self._begin_order(target, layers):
                return
            self._wait_for_layers(engine, target, layers)
        finally:
            self._ids_with_order.discard(target.id)

    def _begin_order(
        self, target: targets.Target, layers: targets.LayerRange
    ) -> bool:
        reported = self._report(target)
        if reported is None or reported.is_leaving:
            return False
        if reported.layers == layers or reported.is_busy:
            return True
        if self._authority(ORDER_DELIVERY_S) is None:
            return False
        ordered = self._orders.set_layers(
            target, layers, reported.order_number
        )
        match ordered:
            case result.Success(_):
                self._metric.count('placement.orders')
                events.info(
                    'layers_ordered',
                    target=target.id,
                    first=layers.first,
                    end=layers.end,
                    number=reported.order_number,
                )
                return True
            case result.Failure(failure):
                events.warning(
                    'order_failed', target=target.id, reason=failure.reason
                )
        return False

    def _wait_for_layers(
        self,
        engine: desired_state.Engine,
        target: targets.Target,
        layers: targets.LayerRange,
    ) -> None:
        share = layers.size / engine.layers
        until = self._timer.now() + engine.load_s * share * 2 + 2.0
        while self._timer.now() < until:
            self._timer.sleep(REPORT_PERIOD_S)
            current = self._registry.target_by_id.get(target.id)
            if current is None or current.born_ms != target.born_ms:
                return
            if current.layers == layers:
                return
            reported = self._report(target)
            if reported is None:
                return
            if not reported.is_busy:
                self._on_report(current._replace(layers=reported.layers))
                return

    def _report(
        self, target: targets.Target
    ) -> layer_orders.LayerReport | None:
        match self._orders.report(target):
            case result.Success(report):
                return report
            case result.Failure(failure):
                events.info(
                    'report_not_had', target=target.id, reason=failure.reason
                )
        return None
