"""The default route chooser: assigned traffic shares and predicted load."""

from collections.abc import Mapping
import random

from cactusmux_base import timers
from cactusmux_platform import targets

from . import baseline_choosers
from . import choosers
from . import links
from . import route_index
from . import routes
from . import stage_plans
from . import target_index
from . import target_table
from . import traffic_assignment

# Minimum time between two assignments of one plan.
REASSIGN_INTERVAL_S = 5.0
# A new assignment is computed only if the capacity of a zone for some layers
# changes by more than this fraction.
MIN_CAPACITY_CHANGE = 0.1
# An assignment yields to other tasks after this many increments.
INCREMENTS_PER_STEP = 4
YIELD_S = 0.005
MAX_PLANS = 1024
MAX_RESAMPLES = 8
# The holder of a cached prefix is preferred if it is at most this much slower
# than the best sampled holder.
CACHE_SLOWDOWN = 1.25


class FlowChooser(baseline_choosers.PowerOfTwoChooser):
    """Samples two holders of a stage by traffic share, takes the faster one.

    The shares approximate an optimal spread of the traffic; the predicted time
    between tokens corrects them for load. Sampling keeps instances with the
    same outdated reports from choosing the same targets. A holder that may
    have the prompt's prefix cached is preferred as long as it is about as
    fast. Shares are computed in the background; until they are ready, holders
    are weighted by capacity and link delay.

    :param link_table: delay and capacity of links between zones.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        link_table: links.LinkTable = links.DEFAULT_LINKS,
    ) -> None:
        super().__init__(timer, rng)
        self._links = link_table
        self._planning_by_key: dict[target_index.IndexKey, _Planning] = {}

    def _choose_preferred(
        self, request: choosers.RouteRequest, index: route_index.RouteIndex
    ) -> routes.Route | None:
        plan = self._plan(request, index)
        stages = []
        boundary = 0
        zone = request.zone
        while boundary < index.layers:
            holder = self._sample(request, plan.distribution(boundary, zone))
            if holder is None:
                return None
            target = holder.load.target
            stages.append(targets.Stage(target.address, boundary, holder.last))
            boundary = holder.last
            zone = target.zone
        return routes.Route(
            request.model, request.version, request.adapter, tuple(stages)
        )

    def _sample(
        self,
        request: choosers.RouteRequest,
        distribution: stage_plans.HolderDistribution,
    ) -> route_index.Holder | None:
        sampled = self._rng.choices(
            distribution.holders,
            cum_weights=distribution.cumulative,
            k=baseline_choosers.SAMPLES,
        )
        if request.avoid:
            sampled = self._resample_allowed(
                request.avoid, distribution, sampled
            )
            if not sampled:
                return None
        best = min(sampled, key=baseline_choosers.wait_s)
        if request.prefix_hash:
            cached = distribution.holder_for_prefix(request.prefix_hash)
            slowest_s = best.load.wait_s * CACHE_SLOWDOWN
            if (
                cached.load.wait_s <= slowest_s
                and cached.load.target.address not in request.avoid
            ):
                return cached
        return best

    def _resample_allowed(
        self,
        avoid: frozenset[str],
        distribution: stage_plans.HolderDistribution,
        sampled: list[route_index.Holder],
    ) -> list[route_index.Holder]:
        for _ in range(MAX_RESAMPLES):
            kept = [h for h in sampled if h.load.target.address not in avoid]
            if kept:
                return kept
            sampled = self._rng.choices(
                distribution.holders,
                cum_weights=distribution.cumulative,
                k=baseline_choosers.SAMPLES,
            )
        return []

    def _plan(
        self, request: choosers.RouteRequest, index: route_index.RouteIndex
    ) -> stage_plans.StagePlan:
        key = choosers.index_key(request)
        planning = self._planning_by_key.get(key)
        if planning is None:
            planning = self._add_planning(key)
        if planning.plan is None:
            planning.plan = stage_plans.StagePlan(
                index, planning.shares, self._links
            )
        if planning.changed and planning.assignment is None:
            self._assign(planning, index)
        return planning.plan

    def _add_planning(self, key: target_index.IndexKey) -> '_Planning':
        if len(self._planning_by_key) >= MAX_PLANS:
            oldest = next(iter(self._planning_by_key))
            del self._planning_by_key[oldest]
        planning = _Planning()
        self._planning_by_key[key] = planning
        return planning

    def _assign(
        self, planning: '_Planning', index: route_index.RouteIndex
    ) -> None:
        now = self._timer.now()
        if now < planning.next_at:
            return
        planning.changed = False
        planning.next_at = now + REASSIGN_INTERVAL_S
        capacity_by_stage = stage_plans.stage_capacities(index)
        if _is_unchanged(capacity_by_stage, planning.capacity_by_stage):
            return
        planning.capacity_by_stage = capacity_by_stage
        planning.assignment = traffic_assignment.Assignment(
            capacity_by_stage, index.layers, self._links
        )
        self._timer.after(0.0, lambda: self._work(planning))

    def _work(self, planning: '_Planning') -> None:
        if planning.assignment is None:
            return
        shares = planning.assignment.advance(INCREMENTS_PER_STEP)
        if shares is None:
            self._timer.after(YIELD_S, lambda: self._work(planning))
            return
        planning.assignment = None
        planning.shares = shares
        planning.plan = None

    def _capacity_changed(self, target: target_table.Target) -> None:
        models = {holding.model for holding in target.holdings}
        for key, planning in self._planning_by_key.items():
            if key.model in models:
                planning.changed = True

    def _holders_changed(self, model: str) -> None:
        for key, planning in self._planning_by_key.items():
            if key.model == model:
                planning.plan = None
                planning.changed = True


def _is_unchanged(
    now: Mapping[traffic_assignment.Stage, float],
    assigned: Mapping[traffic_assignment.Stage, float],
) -> bool:
    return now.keys() == assigned.keys() and all(
        abs(now[stage] - assigned[stage])
        <= MIN_CAPACITY_CHANGE * assigned[stage]
        for stage in now
    )


class _Planning:
    """The plan of one index and the assignment that will update it."""

    __slots__ = (
        'plan',
        'shares',
        'changed',
        'next_at',
        'capacity_by_stage',
        'assignment',
    )

    def __init__(self) -> None:
        self.plan: stage_plans.StagePlan | None = None
        self.shares: traffic_assignment.TrafficShares | None = None
        self.changed = True
        self.next_at = 0.0
        self.capacity_by_stage: Mapping[traffic_assignment.Stage, float] = {}
        self.assignment: traffic_assignment.Assignment | None = None
