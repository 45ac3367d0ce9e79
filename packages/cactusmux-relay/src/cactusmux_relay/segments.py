"""The graph of layer boundaries, and the cheapest path through it."""

from collections.abc import Callable, Iterable
import math
from typing import NamedTuple

from . import cost_model
from . import desired_state
from . import targets

MAX_STAGES = 32
# Each search bans the segments by which a target would take part twice.
MAX_SEARCHES = 8
# With more targets, only whole ranges are segments.
MOST_WITH_PARTS = 64
# A token that goes on within a zone.
HOP_MS = 0.1


class Segment(NamedTuple):
    """A run of layers on one target; a target may run a part of its own.

    :ivar idle_ms: a token step on the idle target, with the way to it.
    :ivar room: tokens that fit beside the layers that the target holds.
    """

    target: targets.Target
    layers: targets.LayerRange
    idle_ms: float
    room: float


# Cost of a segment, ``None`` where it can't be used.
Price = Callable[[Segment], float | None]
# Cost of going on from a zone in another one, ``None`` where that's too much.
CrossingPrice = Callable[[str, str], float | None]


class SegmentGraph:
    """All segments of one model's targets between common boundaries.

    A target that holds layers 20 to 40 also gives the segments from 20 to
    any boundary of others within, and from there to 40, so that targets
    with different ranges replace each other.
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
        # Many targets with like ranges replace each other as they are.
        parts = len(known) <= MOST_WITH_PARTS
        found: list[Segment] = []
        for each in known:
            found.extend(_segments_of(engine, each, sorted(boundaries), parts))
        # In the order of their first layer one pass finds all paths.
        found.sort(key=lambda each: (each.layers, each.target.id))
        self.segments = tuple(found)

    def cheapest(
        self, price: Price, crossing_price: CrossingPrice
    ) -> cost_model.Path | None:
        """Returns the path of least total price that runs every layer once.

        A target takes part at most once. ``None`` when no path is left.
        """
        banned: set[Segment] = set()
        for _ in range(MAX_SEARCHES):
            found = self._search(price, crossing_price, banned)
            if found is None:
                return None
            repeated = _repeated(found)
            if not repeated:
                return tuple(
                    cost_model.Stage(each.target, each.layers)
                    for each in found
                )
            banned.update(repeated)
        return None

    def _search(
        self,
        price: Price,
        crossing_price: CrossingPrice,
        banned: set[Segment],
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
            if before >= known or (banned and segment in banned):
                continue
            cost = price(segment)
            if cost is None:
                continue
            previous = last_by_boundary.get(first)
            if previous is not None:
                if previous.target.id == segment.target.id:
                    continue
                zones = (previous.target.zone, segment.target.zone)
                if zones[0] != zones[1]:
                    crossing = crossing_price(*zones)
                    if crossing is None:
                        continue
                    cost += crossing
            total = before + cost
            if total < known:
                cost_by_boundary[end] = total
                stages_by_boundary[end] = stages_by_boundary[first] + 1
                last_by_boundary[end] = segment
        return self._walk_back(last_by_boundary)

    def _walk_back(
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
    """Returns the smaller segments of targets that occur twice."""
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
    parts: bool,
) -> Iterable[Segment]:
    first, end = target.layers
    card = engine.card_by_name[target.card]
    room = cost_model.kv_cache_tokens(engine, card, target.layers.size)
    inner: list[int] = []
    if parts:
        inner = [each for each in boundaries if first < each < end]
    ranges = [(first, end)]
    ranges.extend((first, each) for each in inner)
    ranges.extend((each, end) for each in inner)
    for start, stop in ranges:
        part = targets.LayerRange(start, stop)
        idle_ms = cost_model.decode_step_ms(engine, card, part.size, 1.0, 0.0)
        yield Segment(target, part, idle_ms + HOP_MS, room)
