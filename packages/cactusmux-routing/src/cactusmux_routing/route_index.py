"""Index of the targets that hold a model's layers, by first layer."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from . import target_loads


class Holder(NamedTuple):
    """A target that holds layers ``first`` to ``last`` (exclusive)."""

    load: target_loads.TargetLoad
    first: int
    last: int
    adapters: frozenset[str]


class LayerRange(NamedTuple):
    """Layers ``first`` to ``last`` (exclusive)."""

    first: int
    last: int


class RouteIndex(NamedTuple):
    """Holders that are part of at least one complete route, by first layer.

    ``missing`` is the first range of layers that no holder covers; it is
    ``None`` if there is a route.
    """

    layers: int
    holders_by_first: dict[int, tuple[Holder, ...]]
    missing: LayerRange | None


def build_index(holders: Iterable[Holder], layers: int) -> RouteIndex:
    """Keeps the holders that can be part of a complete route."""
    usable = tuple(h for h in holders if h.last <= layers)
    from_start = _reachable(0, usable, lambda h: (h.first, h.last))
    to_end = _reachable(layers, usable, lambda h: (h.last, h.first))
    if layers not in from_start:
        first = max(from_start)
        last = min(x for x in to_end if x > first)
        return RouteIndex(layers, {}, LayerRange(first, last))
    by_first: dict[int, list[Holder]] = {}
    for holder in usable:
        if holder.first in from_start and holder.last in to_end:
            by_first.setdefault(holder.first, []).append(holder)
    holders_by_first = {first: tuple(held) for first, held in by_first.items()}
    return RouteIndex(layers, holders_by_first, None)


def _reachable(
    start: int,
    holders: tuple[Holder, ...],
    endpoints: Callable[[Holder], tuple[int, int]],
) -> set[int]:
    links = {endpoints(holder) for holder in holders}
    reached = {start}
    frontier = [start]
    while frontier:
        boundary = frontier.pop()
        for near, far in links:
            if near == boundary and far not in reached:
                reached.add(far)
                frontier.append(far)
    return reached
