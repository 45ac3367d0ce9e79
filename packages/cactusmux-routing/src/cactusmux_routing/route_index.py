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
    """Holders that lie on at least one whole route, by first layer.

    ``missing`` names the first layers that no holder joins to the rest;
    it is ``None`` when there is a route.
    """

    layers: int
    holders_by_first: dict[int, tuple[Holder, ...]]
    missing: LayerRange | None


def build_index(holders: Iterable[Holder], layers: int) -> RouteIndex:
    """Keeps the holders from which a route can be made."""
    kept = tuple(h for h in holders if h.last <= layers)
    from_start = _reach(0, kept, lambda h: (h.first, h.last))
    to_end = _reach(layers, kept, lambda h: (h.last, h.first))
    if layers not in from_start:
        first = max(from_start)
        last = min(x for x in to_end if x > first)
        return RouteIndex(layers, {}, LayerRange(first, last))
    by_first: dict[int, list[Holder]] = {}
    for holder in kept:
        if holder.first in from_start and holder.last in to_end:
            by_first.setdefault(holder.first, []).append(holder)
    holders_by_first = {first: tuple(held) for first, held in by_first.items()}
    return RouteIndex(layers, holders_by_first, None)


def _reach(
    start: int,
    holders: tuple[Holder, ...],
    ends: Callable[[Holder], tuple[int, int]],
) -> set[int]:
    links = {ends(holder) for holder in holders}
    reached = {start}
    frontier = [start]
    while frontier:
        boundary = frontier.pop()
        for near, far in links:
            if near == boundary and far not in reached:
                reached.add(far)
                frontier.append(far)
    return reached
