"""Upper bound on the tokens per second that the targets allow.

Targets of one zone that hold the same layers of the same models are pooled
first: they connect the same nodes, so their capacities add up without changing
the flow. A node stands for a layer boundary in a zone, split in two, with
links between its halves::

    source -> in(0, z) -stage-> out(b, z) -link-> in(b, z') ... -> sink

A single model whose targets each hold one range of layers is solved by maximum
flow, in integers. Several models, or targets with several holdings, are solved
as a linear program: the sum over a target's holdings stays within its
capacity, and the sum over all models within a link's. The result is an upper
bound for any policy; it assumes that traffic can be split arbitrarily.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from . import links
from . import target_table

_SOURCE = 'source'
_SINK = 'sink'
_MAX_INT = 2**30


class ModelShape(NamedTuple):
    """Version and number of layers of a model, with its demand.

    ``demand_tps`` limits the model's flow; ``worth`` is the value of one token
    in the objective.
    """

    version: str
    layers: int
    demand_tps: float = links.UNLIMITED_TPS
    worth: float = 1.0


class ThroughputBound(NamedTuple):
    """Tokens per second, in total and by model."""

    total_tps: float
    tps_by_model: dict[str, float]


class Arc(NamedTuple):
    """Layers of a model that a pool of targets computes."""

    model: str
    first: int
    last: int


class Pool(NamedTuple):
    """Targets of one zone with the same holdings, as one capacity."""

    zone: str
    arcs: tuple[Arc, ...]
    capacity_tps: float


def pool_targets(
    known: Iterable[target_table.Target],
    shape_by_model: Mapping[str, ModelShape],
) -> tuple[Pool, ...]:
    """Sums the capacity of targets with the same zone and holdings."""
    capacity_by_place: dict[tuple[str, tuple[Arc, ...]], float] = (
        collections.defaultdict(float)
    )
    for target in known:
        arcs = tuple(
            Arc(holding.model, holding.first, holding.last)
            for holding in target.holdings
            if holding.model in shape_by_model
            and shape_by_model[holding.model].version == holding.version
        )
        if arcs:
            capacity_by_place[target.zone, arcs] += target.capacity_tps
    return tuple(
        Pool(zone, arcs, capacity_tps)
        for (zone, arcs), capacity_tps in capacity_by_place.items()
    )


def throughput_bound(
    known: Iterable[target_table.Target],
    shape_by_model: Mapping[str, ModelShape],
    link_table: links.LinkTable,
) -> ThroughputBound:
    """Returns the bound, by maximum flow where that is exact.

    Otherwise it solves the linear program, which is slower.
    """
    pools = pool_targets(known, shape_by_model)
    if len(shape_by_model) == 1 and all(len(p.arcs) == 1 for p in pools):
        ((model, shape),) = shape_by_model.items()
        flow = float(maximum_flow(pools, shape.layers, link_table))
        flow = min(flow, shape.demand_tps)
        return ThroughputBound(flow, {model: flow})
    return linear_bound(pools, shape_by_model, link_table)


def maximum_flow(
    pools: tuple[Pool, ...], layers: int, link_table: links.LinkTable
) -> int:
    """Returns the maximum flow of one model, in whole tokens per second.

    Each pool must hold exactly one range of layers.
    """
    from scipy import sparse
    from scipy.sparse import csgraph

    number_by_node: dict[object, int] = {_SOURCE: 0, _SINK: 1}
    capacity_by_edge: dict[tuple[int, int], int] = collections.defaultdict(int)
    for start, end, capacity_tps in _edges(pools, layers, link_table):
        edge = (
            number_by_node.setdefault(start, len(number_by_node)),
            number_by_node.setdefault(end, len(number_by_node)),
        )
        capacity = min(int(capacity_tps), _MAX_INT)
        capacity_by_edge[edge] = min(
            capacity_by_edge[edge] + capacity, _MAX_INT
        )
    rows = [start for start, _ in capacity_by_edge]
    columns = [end for _, end in capacity_by_edge]
    size = len(number_by_node)
    graph = sparse.csr_matrix(
        (list(capacity_by_edge.values()), (rows, columns)),
        shape=(size, size),
        dtype='int32',
    )
    return int(csgraph.maximum_flow(graph, 0, 1).flow_value)


def _edges(
    pools: tuple[Pool, ...], layers: int, link_table: links.LinkTable
) -> Iterable[tuple[object, object, float]]:
    zones_in: dict[int, set[str]] = collections.defaultdict(set)
    zones_out: dict[int, set[str]] = collections.defaultdict(set)
    for pool in pools:
        ((_, first, last),) = pool.arcs
        zones_in[first].add(pool.zone)
        zones_out[last].add(pool.zone)
        start = ('in', first, pool.zone)
        end = ('out', last, pool.zone)
        yield start, end, pool.capacity_tps
    for zone in zones_in[0]:
        yield _SOURCE, ('in', 0, zone), _MAX_INT
    for zone in zones_out[layers]:
        yield ('out', layers, zone), _SINK, _MAX_INT
    for boundary in zones_out.keys() & zones_in.keys():
        for before in zones_out[boundary]:
            for after in zones_in[boundary]:
                link = link_table.between(before, after)
                yield (
                    ('out', boundary, before),
                    ('in', boundary, after),
                    link.capacity_tps,
                )


def linear_bound(
    pools: tuple[Pool, ...],
    shape_by_model: Mapping[str, ModelShape],
    link_table: links.LinkTable,
) -> ThroughputBound:
    """Returns the flow of maximum total worth over all models.

    Capacity of shared pools goes to the models with the higher worth.
    """
    from scipy import optimize

    program = _Program()
    for number, pool in enumerate(pools):
        for arc in pool.arcs:
            program.add_stage(number, pool, arc)
    for model, shape in shape_by_model.items():
        program.add_links(model, shape, link_table)
    if not program.objective:
        return ThroughputBound(0.0, dict.fromkeys(shape_by_model, 0.0))
    solved = optimize.linprog(
        program.objective,
        A_ub=program.matrix(program.limits),
        b_ub=list(program.capacity_by_limit.values()),
        A_eq=program.matrix(program.balances),
        b_eq=[0.0] * len(program.balances),
        method='highs',
    )
    tps_by_model = {
        model: sum(float(solved.x[i]) for i in program.entries[model])
        for model in shape_by_model
    }
    return ThroughputBound(sum(tps_by_model.values()), tps_by_model)


class _Node(NamedTuple):
    model: str
    side: str
    boundary: int
    zone: str


class _Program:
    """A linear program: columns are flows, rows are limits and balances.

    A balance row holds the flow into and out of one node.
    """

    def __init__(self) -> None:
        self.objective: list[float] = []
        self.capacity_by_limit: dict[object, float] = {}
        self.limits: dict[object, dict[int, float]] = {}
        self.balances: dict[_Node, dict[int, float]] = {}
        self.entries: dict[str, list[int]] = collections.defaultdict(list)

    def add_stage(self, number: int, pool: Pool, arc: Arc) -> None:
        column = self._column(0.0)
        self._limit(('pool', number), pool.capacity_tps, column)
        start = _Node(arc.model, 'in', arc.first, pool.zone)
        end = _Node(arc.model, 'out', arc.last, pool.zone)
        self.balances.setdefault(start, {})[column] = -1.0
        self.balances.setdefault(end, {})[column] = 1.0

    def add_links(
        self, model: str, shape: ModelShape, link_table: links.LinkTable
    ) -> None:
        nodes = [node for node in self.balances if node.model == model]
        starts = [node for node in nodes if node.side == 'out']
        ends = [node for node in nodes if node.side == 'in']
        for node in ends:
            if node.boundary == 0:
                column = self._column(-shape.worth)
                self.balances[node][column] = 1.0
                self.entries[model].append(column)
                self._limit(('demand', model), shape.demand_tps, column)
        for node in starts:
            if node.boundary == shape.layers:
                self.balances[node][self._column(0.0)] = -1.0
        for before in starts:
            for after in ends:
                if before.boundary == after.boundary:
                    self._add_link(before, after, link_table)

    def _add_link(
        self, before: _Node, after: _Node, link_table: links.LinkTable
    ) -> None:
        column = self._column(0.0)
        self.balances[before][column] = -1.0
        self.balances[after][column] = 1.0
        capacity_tps = link_table.between(before.zone, after.zone).capacity_tps
        self._limit(('link', before.zone, after.zone), capacity_tps, column)

    def _column(self, cost: float) -> int:
        self.objective.append(cost)
        return len(self.objective) - 1

    def _limit(self, limit: object, capacity: float, column: int) -> None:
        self.capacity_by_limit[limit] = capacity
        self.limits.setdefault(limit, {})[column] = 1.0

    def matrix(self, rows: Mapping[Any, dict[int, float]]) -> object:
        from scipy import sparse

        filled = sparse.lil_matrix((len(rows), len(self.objective)))
        for number, value_by_column in enumerate(rows.values()):
            for column, value in value_by_column.items():
                filled[number, column] = value
        return filled.tocsr()
