"""The product's chooser: flow weights corrected by predicted load."""

import random

from cactusmux_base import timers
from cactusmux_platform import targets

from . import baseline_choosers
from . import choosers
from . import links
from . import route_index
from . import routes
from . import stage_plans

# A plan is made anew for changed capacities no more often than this.
REPLAN_S = 5.0
MAX_DRAWS = 8
# The holder of a cached prefix may be this much slower than the other.
CACHE_SLOWDOWN = 1.25


class FlowChooser(baseline_choosers.PowerOfTwoChooser):
    """Draws two holders a stage by flow weight, takes the faster one.

    Weights share the traffic as the achievable bound would; the predicted
    time between tokens corrects them by load. Drawing spreads instances
    that have the same old reports. A holder that may have the prompt's
    prefix cached is preferred as long as it is about as fast.

    :param link_table: delay and capacity of links between zones.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        link_table: links.LinkTable = links.NO_LINKS,
    ) -> None:
        super().__init__(timer, rng)
        self._links = link_table
        self._plan_by_key: dict[choosers.IndexKey, stage_plans.StagePlan] = {}
        self._planned_at_by_model: dict[str, float] = {}

    def _walk(
        self, request: choosers.RouteRequest, index: route_index.RouteIndex
    ) -> routes.Route | None:
        plan = self._plan(request, index)
        stages = []
        boundary = 0
        zone = request.zone
        while boundary < index.layers:
            holder = self._draw(request, plan.draw(boundary, zone), zone)
            if holder is None:
                return None
            target = holder.load.target
            stages.append(targets.Stage(target.address, boundary, holder.last))
            boundary = holder.last
            zone = target.zone
        return routes.Route(
            request.model, request.version, request.adapter, tuple(stages)
        )

    def _draw(
        self,
        request: choosers.RouteRequest,
        draw: stage_plans.Draw,
        zone: str,
    ) -> route_index.Holder | None:
        drawn = self._rng.choices(
            draw.holders,
            cum_weights=draw.cumulative,
            k=baseline_choosers.DRAWS,
        )
        if request.avoid:
            drawn = self._allowed(request.avoid, draw, drawn)
            if not drawn:
                return None
        best = min(drawn, key=baseline_choosers.wait_s)
        if request.prefix_hash:
            cached = draw.cached(request.prefix_hash)
            slowest_s = best.load.wait_s * CACHE_SLOWDOWN
            if (
                cached.load.wait_s <= slowest_s
                and cached.load.target.address not in request.avoid
            ):
                return cached
        return best

    def _allowed(
        self,
        avoid: frozenset[str],
        draw: stage_plans.Draw,
        drawn: list[route_index.Holder],
    ) -> list[route_index.Holder]:
        for _ in range(MAX_DRAWS):
            kept = [h for h in drawn if h.load.target.address not in avoid]
            if kept:
                return kept
            drawn = self._rng.choices(
                draw.holders,
                cum_weights=draw.cumulative,
                k=baseline_choosers.DRAWS,
            )
        return []

    def _plan(
        self, request: choosers.RouteRequest, index: route_index.RouteIndex
    ) -> stage_plans.StagePlan:
        now = self._timer.now()
        if request.model in self._recapacitated:
            planned_at = self._planned_at_by_model.get(request.model, now)
            if now - planned_at >= REPLAN_S:
                self._forget_plans(request.model)
        key = choosers.index_key(request)
        plan = self._plan_by_key.get(key)
        if plan is None:
            plan = stage_plans.StagePlan(index, self._links)
            self._plan_by_key[key] = plan
            self._planned_at_by_model[request.model] = now
        return plan

    def _forget_index(self, model: str) -> None:
        super()._forget_index(model)
        self._forget_plans(model)

    def _forget_plans(self, model: str) -> None:
        self._recapacitated.discard(model)
        stale = [key for key in self._plan_by_key if key.model == model]
        for key in stale:
            del self._plan_by_key[key]
