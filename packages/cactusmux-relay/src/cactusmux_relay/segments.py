"""Finds the cheapest path through a graph of layer boundaries."""

from collections.abc import Callable, Iterable
import math
from typing import NamedTuple

from . import cost_model
from . import desired_state
from . import targets

MAX_STAGES = 32
# A search is repeated while its path uses a target twice; each repetition
# excludes the segments that caused this.
MAX_SEARCHES = 8
# In a larger pool, targets aren't used for a part of their layers.
MAX_TARGETS_TO_SPLIT = 64
# Latency of a token between two targets of a zone.
HOP_MS = 0.1


class Segment(NamedTuple):
    """A range of layers on one target, possibly a part of those it holds.

    :ivar idle_ms: time of a decode step on the idle target, with the
        network latency to it.
    :ivar room: KV cache capacity of the target, in tokens.
    """

    target: targets.Target
    layers: targets.LayerRange
    idle_ms: float
    room: float


# Cost of a segment, ``None`` if it can't be used.
SegmentCost = Callable[[Segment], float | None]
# Cost of a link from one zone to another, ``None`` if it can't be crossed.
CrossingCost = Callable[[str, str], float | None]


class SegmentGraph:
    """The segments of all targets of one model, between layer boundaries.

    A target that holds layers 20 to 40 also adds the segments from 20 to
    each boundary of another target in that range, and from there to 40, so
    that targets with different ranges can replace each other.
    """

    def __init__(
        self, engine: desired_state.Engine, members: Iterable[targets.Target]
    ) -> None:
        self._layers = engine.layers
        known = [
            each
            for each in members
            if each.card in engine.card_by_name and each.layers.size > 0
        ]
        boundaries = {0, engine.layers}
        for each in known:
            boundaries.update(each.layers)
        # In a large pool, enough targets hold the same range.
        may_split = len(known) <= MAX_TARGETS_TO_SPLIT
        found: list[Segment] = []
        for each in known:
            found.extend(
                _segments_of(engine, each, sorted(boundaries), may_split)
            )
        # Sorted by the first layer, so that one pass visits all edges.
        found.sort(key=lambda each: (each.layers, each.target.id))
        self.segments = tuple(found)

    def cheapest(
        self, segment_cost: SegmentCost, crossing_cost: CrossingCost
    ) -> cost_model.Path | None:
        """Returns the cheapest path that runs every layer once.

        Each target is used at most once.

        :returns: ``None`` if there is no such path.
        """
        excluded: set[Segment] = set()
        for _ in range(MAX_SEARCHES):
            found = self._search(segment_cost, crossing_cost, excluded)
            if found is None:
                return None
            repeated = _repeated(found)
            if not repeated:
                return tuple(
                    cost_model.Stage(each.target, each.layers)
                    for each in found
                )
            excluded.update(repeated)
        return None

    def _search(
        self,
        segment_cost: SegmentCost,
        crossing_cost: CrossingCost,
        excluded: set[Segment],
    ) -> list[Segment] | None:
        cost_by_boundary: dict[int, float] = {0: 0.0}
        stages_by_boundary: dict[int, int] = {0: 0}
        last_by_boundary: dict[int, Segment] = {}
        for segment in self.segments:
            first, end = segment.layers
            before = cost_by_boundary.get(first)
            if before is None or stages_by_boundary[first] >= MAX_STAGES:
                continue
            known = cost_by_boundary.get(end, math.inf)
            if before >= known or (excluded and segment in excluded):
                continue
            cost = segment_cost(segment)
            if cost is None:
                continue
            previous = last_by_boundary.get(first)
            if previous is not None:
                if previous.target.id == segment.target.id:
                    continue
                zones = (previous.target.zone, segment.target.zone)
                if zones[0] != zones[1]:
                    crossing = crossing_cost(*zones)
                    if crossing is None:
                        continue
                    cost += crossing
            total = before + cost
            if total < known:
                cost_by_boundary[end] = total
                stages_by_boundary[end] = stages_by_boundary[first] + 1
                last_by_boundary[end] = segment
        return self._reconstruct_path(last_by_boundary)

    def _reconstruct_path(
        self, last_by_boundary: dict[int, Segment]
    ) -> list[Segment] | None:
        found: list[Segment] = []
        boundary = self._layers
        while boundary > 0:
            segment = last_by_boundary.get(boundary)
            if segment is None:
                return None
            found.append(segment)
            boundary = segment.layers.first
        found.reverse()
        return found


def _repeated(found: list[Segment]) -> list[Segment]:
    """Returns the smaller segments of targets that are used twice."""
    largest_by_target: dict[str, Segment] = {}
    repeated = []
    for segment in found:
        other = largest_by_target.get(segment.target.id)
        if other is None:
            largest_by_target[segment.target.id] = segment
            continue
        smaller = min(segment, other, key=lambda each: each.layers.size)
        repeated.append(smaller)
        if smaller is other:
            largest_by_target[segment.target.id] = segment
    return repeated


def _segments_of(
    engine: desired_state.Engine,
    target: targets.Target,
    boundaries: list[int],
    may_split: bool,
) -> Iterable[Segment]:
    first, end = target.layers
    card = engine.card_by_name[target.card]
    room = cost_model.kv_cache_tokens(engine, card, target.layers.size)
    inner: list[int] = []
    if may_split:
        inner = [each for each in boundaries if first < each < end]
    ranges = [(first, end)]
    ranges.extend((first, each) for each in inner)
    ranges.extend((each, end) for each in inner)
    for start, stop in ranges:
        part = targets.LayerRange(start, stop)
        idle_ms = cost_model.decode_step_ms(engine, card, part.size, 1.0, 0.0)
        yield Segment(target, part, idle_ms + HOP_MS, room)
