"""Measures the time and memory of planning and path choice by pool size."""

import random
import statistics
import time
import tracemalloc

from cactusmux_fakes import sample_engine
from cactusmux_relay import path_choice
from cactusmux_relay import placement_search
from cactusmux_relay import segments
from cactusmux_relay import targets

from . import figures

# Copies of the sample pool of 38 targets; 2.45 and 42.1 copies give about 93
# and 1,600 targets.
COPIES_BY_NAME = {'38': 1, '93': 2.45, '1600': 42.1}
DECISIONS = 200
SEED = 1
DEMAND = path_choice.Demand(774.0, 210.0, 0.25)
US_PER_S = 1e6
BYTES_PER_MB = 1e6
COMMAND = 'python -m bench.bench_paths'


def _make_pool(copies: float) -> list[targets.Target]:
    sample = sample_engine.pool()
    count = round(copies * len(sample))
    return [
        sample[number % len(sample)]._replace(id=f't{number:04}')
        for number in range(count)
    ]


def _make_load(members: list[targets.Target]) -> path_choice.Load:
    rng = random.Random(SEED)
    return path_choice.Load(
        {each.id: rng.uniform(0.0, 8000.0) for each in members},
        {each.id: float(rng.randint(0, 12)) for each in members},
        {('a', 'b'): 2000.0, ('b', 'c'): 3000.0},
        {},
    )


def _decision_us(members: list[targets.Target]) -> float:
    """Returns the median time of a path choice, in microseconds."""
    graph = segments.SegmentGraph(sample_engine.ENGINE, members)
    load = _make_load(members)
    times_us = []
    for _ in range(DECISIONS):
        started_at = time.perf_counter()
        path_choice.choose(sample_engine.ENGINE, graph, DEMAND, load)
        times_us.append((time.perf_counter() - started_at) * US_PER_S)
    return statistics.median(times_us)


def _measure(name: str, copies: float) -> list[figures.Figure]:
    members = _make_pool(copies)
    started_at = time.perf_counter()
    placement = placement_search.place(
        sample_engine.ENGINE, members, random.Random(SEED)
    )
    planning_s = time.perf_counter() - started_at
    layers = placement.layers_by_target()
    placed = [
        each._replace(layers=layers.get(each.id, targets.NO_LAYERS))
        for each in members
    ]
    tracemalloc.start()
    placement_search.place(sample_engine.ENGINE, members, random.Random(SEED))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [
        _figure(f'path_decision_us_{name}', _decision_us(placed), 'us', 200),
        _figure(f'planning_s_{name}', planning_s, 's'),
        _figure(f'planning_peak_mb_{name}', peak / BYTES_PER_MB, 'MB'),
    ]


def _figure(
    name: str, value: float, unit: str, limit: float | None = None
) -> figures.Figure:
    target = '' if limit is None else f'<= {limit}'
    return figures.Figure(name, value, unit, target, COMMAND)


def main() -> None:
    """Measures each pool size and records the figures."""
    found = []
    for name, copies in COPIES_BY_NAME.items():
        found.extend(_measure(name, copies))
    for each in found:
        met = 'met' if figures.is_met(each) else 'MISSED'
        print(f'{each.name}: {each.value:.4g} {each.unit} {met}')
    figures.record('paths', found)


if __name__ == '__main__':
    main()
