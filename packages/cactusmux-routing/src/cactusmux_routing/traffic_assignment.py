"""Shares of a model's traffic on pools and links, by traffic assignment.

The traffic is put on the graph of :mod:`.flow_bound` in equal increments. Each
increment takes the path that is cheapest at that time, where the cost of a
pool or link grows with its utilisation. Afterwards increments are removed and
placed again, so that early ones can move to other paths. Unlike a maximum
flow, this leaves no pool idle while another one is full, and it prefers links
of short delay as long as they have capacity. It needs no solver: numpy and
scipy would take half of a daemon's memory.
"""

import collections
from collections.abc import Mapping
from typing import NamedTuple

from . import links

INCREMENTS = 128
SWEEPS = 2
# Time that an idle stage takes to compute one token.
STAGE_DELAY_S = 0.002
# Above this utilisation the cost grows linearly, so that it stays finite.
LINEAR_FROM = 0.995


class Stage(NamedTuple):
    """Layers ``first`` to ``last`` (exclusive) as held in a zone."""

    first: int
    last: int
    zone: str


class Hop(NamedTuple):
    """Transfer of activations between zones at a layer boundary."""

    boundary: int
    before: str
    after: str


class TrafficShares(NamedTuple):
    """Fraction of the traffic on each stage and hop."""

    share_by_stage: dict[Stage, float]
    share_by_hop: dict[Hop, float]


Arc = Stage | Hop
Path = tuple[Arc, ...]


class Assignment:
    """Assigns one model's traffic, up to the capacity of its layers.

    The work is done in steps, so that it does not block other tasks for long.
    There must be a route.
    """

    def __init__(
        self,
        capacity_by_stage: Mapping[Stage, float],
        layers: int,
        link_table: links.LinkTable,
    ) -> None:
        self._graph = _Graph(capacity_by_stage, layers, link_table)
        self._paths: list[Path] = []
        self._remaining = INCREMENTS * (1 + SWEEPS)

    def advance(self, increments: int) -> TrafficShares | None:
        """Places some increments; returns the shares once all are placed."""
        for _ in range(min(increments, self._remaining)):
            if len(self._paths) == INCREMENTS:
                self._graph.remove(self._paths.pop(0))
            self._paths.append(self._graph.add(self._graph.cheapest()))
            self._remaining -= 1
        return None if self._remaining else self._shares()

    def _shares(self) -> TrafficShares:
        share_by_stage: dict[Stage, float] = collections.defaultdict(float)
        share_by_hop: dict[Hop, float] = collections.defaultdict(float)
        for path in self._paths:
            for arc in path:
                if isinstance(arc, Stage):
                    share_by_stage[arc] += 1.0 / INCREMENTS
                else:
                    share_by_hop[arc] += 1.0 / INCREMENTS
        return TrafficShares(dict(share_by_stage), dict(share_by_hop))


def assign(
    capacity_by_stage: Mapping[Stage, float],
    layers: int,
    link_table: links.LinkTable,
) -> TrafficShares:
    """Runs an :class:`Assignment` to completion."""
    assignment = Assignment(capacity_by_stage, layers, link_table)
    shares = None
    while shares is None:
        shares = assignment.advance(INCREMENTS)
    return shares


class _Graph:
    def __init__(
        self,
        capacity_by_stage: Mapping[Stage, float],
        layers: int,
        link_table: links.LinkTable,
    ) -> None:
        self._layers = layers
        self._links = link_table
        self._capacity_by_arc: dict[Arc, float] = {}
        for stage, capacity_tps in capacity_by_stage.items():
            self._capacity_by_arc[stage] = capacity_tps
        self._increment_tps = (
            _bottleneck_tps(capacity_by_stage, layers) / INCREMENTS
        )
        self._stages = sorted(capacity_by_stage)
        self._tps_by_arc: dict[Arc, float] = {}
        self._delay_by_arc: dict[Arc, float] = {}
        self._cost_by_arc: dict[Arc, float] = {}
        self._hops_by_stage = self._add_hops()
        for arc in self._capacity_by_arc:
            self._tps_by_arc[arc] = 0.0
            self._update_cost(arc)

    def cheapest(self) -> Path:
        """Returns the path of least cost from layer 0 to the last."""
        cost_by_arc = self._cost_by_arc
        best_by_node: dict[tuple[int, str], tuple[float, Stage, Hop | None]]
        best_by_node = {}
        for stage in self._stages:
            cost, hop = 0.0, None
            if stage.first:
                cost = float('inf')
                for near in self._hops_by_stage[stage]:
                    reached = best_by_node.get((stage.first, near.before))
                    if reached and reached[0] + cost_by_arc[near] < cost:
                        cost = reached[0] + cost_by_arc[near]
                        hop = near
                if hop is None:
                    continue
            cost += cost_by_arc[stage]
            node = (stage.last, stage.zone)
            known = best_by_node.get(node)
            if known is None or cost < known[0]:
                best_by_node[node] = (cost, stage, hop)
        return self._trace(best_by_node)

    def add(self, path: Path) -> Path:
        """Adds an increment to a path and returns the path."""
        self._change(path, self._increment_tps)
        return path

    def remove(self, path: Path) -> None:
        """Removes an increment from a path."""
        self._change(path, -self._increment_tps)

    def _trace(
        self,
        best_by_node: dict[tuple[int, str], tuple[float, Stage, Hop | None]],
    ) -> Path:
        ends = [node for node in best_by_node if node[0] == self._layers]
        node = min(ends, key=lambda end: best_by_node[end][0])
        path: list[Arc] = []
        while True:
            _, stage, hop = best_by_node[node]
            path.append(stage)
            if hop is None:
                return tuple(reversed(path))
            path.append(hop)
            node = (hop.boundary, hop.before)

    def _change(self, path: Path, tps: float) -> None:
        for arc in path:
            self._tps_by_arc[arc] += tps
            self._update_cost(arc)

    def _update_cost(self, arc: Arc) -> None:
        capacity_tps = self._capacity_by_arc[arc]
        tps = self._tps_by_arc[arc] + self._increment_tps
        used = tps / max(capacity_tps, 1e-9)
        if used < LINEAR_FROM:
            factor = 1.0 / (1.0 - used)
        else:
            factor = (1.0 + (used - LINEAR_FROM) / (1.0 - LINEAR_FROM)) / (
                1.0 - LINEAR_FROM
            )
        delay_s = self._delay_by_arc.get(arc, STAGE_DELAY_S)
        self._cost_by_arc[arc] = delay_s * factor

    def _add_hops(self) -> dict[Stage, tuple[Hop, ...]]:
        zones_by_end: dict[int, set[str]] = collections.defaultdict(set)
        for stage in self._stages:
            zones_by_end[stage.last].add(stage.zone)
        hops_by_stage = {}
        for stage in self._stages:
            hops = tuple(
                Hop(stage.first, zone, stage.zone)
                for zone in sorted(zones_by_end[stage.first])
            )
            hops_by_stage[stage] = hops
            for hop in hops:
                link = self._links.between(hop.before, hop.after)
                self._capacity_by_arc[hop] = link.capacity_tps
                self._delay_by_arc[hop] = link.delay_s
        return hops_by_stage


def _bottleneck_tps(
    capacity_by_stage: Mapping[Stage, float], layers: int
) -> float:
    tps_by_layer = [0.0] * layers
    for stage, tps in capacity_by_stage.items():
        for layer in range(stage.first, stage.last):
            tps_by_layer[layer] += tps
    return min(tps_by_layer)
