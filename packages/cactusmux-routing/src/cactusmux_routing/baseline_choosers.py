"""Standard load-balancing policies, selectable as baselines."""

import random

from cactusmux_base import timers

from . import choosers
from . import route_index

SAMPLES = 2


class RandomChooser(choosers.RouteChooser):
    """Picks each stage uniformly at random among its holders."""

    def _pick(
        self,
        request: choosers.RouteRequest,
        candidates: tuple[route_index.Holder, ...],
    ) -> route_index.Holder:
        return self._rng.choice(candidates)


class RoundRobinChooser(choosers.RouteChooser):
    """Picks the holders of a stage in turn, from a random starting point."""

    def __init__(self, timer: timers.TimerService, rng: random.Random) -> None:
        super().__init__(timer, rng)
        self._start = rng.randrange(1 << 16)
        self._turn_by_stage: dict[tuple[str, int], int] = {}

    def _pick(
        self,
        request: choosers.RouteRequest,
        candidates: tuple[route_index.Holder, ...],
    ) -> route_index.Holder:
        stage = (request.model, candidates[0].first)
        turn = self._turn_by_stage.get(stage, self._start)
        self._turn_by_stage[stage] = turn + 1
        return candidates[turn % len(candidates)]


class LeastLoadedChooser(choosers.RouteChooser):
    """Picks the holder with the fewest reported streams per unit of capacity.

    It uses the last report only; ties are broken at random.
    """

    def _pick(
        self,
        request: choosers.RouteRequest,
        candidates: tuple[route_index.Holder, ...],
    ) -> route_index.Holder:
        loads = [_reported_load(holder) for holder in candidates]
        least = min(loads)
        tied = [
            h
            for h, load in zip(candidates, loads, strict=True)
            if load <= least
        ]
        return self._rng.choice(tied)


class PredictedTimeChooser(choosers.RouteChooser):
    """Picks the holder with the shortest predicted time between tokens.

    Unlike :class:`LeastLoadedChooser`, it also counts the streams that this
    instance has started since the report.
    """

    def _pick(
        self,
        request: choosers.RouteRequest,
        candidates: tuple[route_index.Holder, ...],
    ) -> route_index.Holder:
        return min(candidates, key=wait_s)


class PowerOfTwoChooser(choosers.RouteChooser):
    """Samples two holders by capacity and takes the faster one."""

    def _pick(
        self,
        request: choosers.RouteRequest,
        candidates: tuple[route_index.Holder, ...],
    ) -> route_index.Holder:
        weights = [holder.load.capacity_tps for holder in candidates]
        sampled = self._rng.choices(candidates, weights, k=SAMPLES)
        return min(sampled, key=wait_s)


def wait_s(holder: route_index.Holder) -> float:
    """Returns the predicted seconds between two tokens of a new stream."""
    return holder.load.wait_s


def _reported_load(holder: route_index.Holder) -> float:
    target = holder.load.target
    return (target.running + target.queued) / holder.load.capacity_tps
