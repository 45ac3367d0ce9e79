"""Measures fair share and admission with a synthetic pool."""

from collections.abc import Sequence
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_routing import demand
from cactusmux_routing import fair_share

from . import decision_figures
from . import decision_plots
from . import figures
from . import pool_model

OVERLOAD_SEEDS = (3, 4, 5, 6)
LOADS = (0.5, 0.9, 1.2, 2.0, 5.0)
KINDS = (
    pool_model.Kind('letter', 10.0, 100.0, 15.0),
    pool_model.Kind('report', 3.0, 150.0, 20.0),
    pool_model.Kind('note', 1.0, 50.0, 15.0),
)
DRAFTS = (pool_model.Kind('draft', 1.0, 100.0, 20.0),)
HALF_TPS = pool_model.CAPACITY_TPS / 2
POOL_INSTANCES = 8


class Overload(NamedTuple):
    """The worth served at a load, and its upper bound."""

    load: float
    worth_per_s: float
    bound_per_s: float
    used: float


def measure_shares() -> list[figures.Figure]:
    """Measures shares in a flood, and when an owner's demand returns."""
    worst = min(_measure_flood(frozenset()), _measure_flood(frozenset({3})))
    spread_s = _measure_share_return(())
    one_entry_s = _measure_share_return((0,))
    return [
        decision_figures.figure(
            'fair_share_worst_ratio', worst, 'ratio', '>= 0.9'
        ),
        decision_figures.figure(
            'share_return_s', max(spread_s, one_entry_s), 's', '<= 2.0'
        ),
        decision_figures.figure('share_return_spread_s', spread_s, 's'),
        decision_figures.figure('share_return_one_entry_s', one_entry_s, 's'),
    ]


def _measure_flood(cut_off: frozenset[int]) -> float:
    """Returns the lowest share when a service asks 10 times its own."""
    sources = [
        pool_model.Source('a', lambda now: 1.2 * HALF_TPS, DRAFTS),
        pool_model.Source('b', lambda now: 10.0 * HALF_TPS, DRAFTS),
    ]
    model = pool_model.PoolModel(sources, POOL_INSTANCES, 1, cut_off)
    model.run(40.0)
    return min(model.tps(x.service, 10.0, 40.0) / HALF_TPS for x in sources)


def _measure_share_return(entries: Sequence[int]) -> float:
    """Returns when an owner regains at least 0.9 of its share for good."""
    owner = pool_model.Source(
        'a',
        lambda now: 1.2 * HALF_TPS if now >= 20.0 else 0.0,
        DRAFTS,
        entries,
    )
    flood = pool_model.Source('b', lambda now: 10.0 * HALF_TPS, DRAFTS)
    model = pool_model.PoolModel([owner, flood], POOL_INSTANCES, 5)
    model.run(20.0)
    model.burst(owner, 120)
    model.run(15.0)
    low = [
        step
        for step in range(75)
        if model.tps('a', 20.0 + step / 5, 20.2 + step / 5) < 0.9 * HALF_TPS
    ]
    return (low[-1] + 1) / 5 if low else 0.0


def measure_overload() -> list[figures.Figure]:
    """Measures the worth served below and above capacity."""
    made = []
    points = [_measure_overload_point(load) for load in LOADS]
    decision_plots.plot_overload(
        [p.load for p in points],
        [p.worth_per_s for p in points],
        [p.bound_per_s for p in points],
    )
    for point in points:
        target = '>= 0.9' if point.load == 2.0 else ''
        name = f'{point.load:g}'.replace('.', '_')
        made.append(
            decision_figures.figure(
                f'worth_goodput_at_{name}x_to_bound',
                point.worth_per_s / point.bound_per_s,
                'ratio',
                target,
            )
        )
    past = [p.worth_per_s for p in points if p.load >= 0.9]
    kept = min(later / past[0] for later in past[1:])
    made.append(
        decision_figures.figure(
            'worth_goodput_kept_past_bound', kept, 'ratio', '>= 1'
        )
    )
    return made


def _measure_overload_point(load: float) -> Overload:
    worth = used = 0.0
    seeds = OVERLOAD_SEEDS if load == 2.0 else OVERLOAD_SEEDS[:1]
    for seed in seeds:
        sources = [
            pool_model.Source(x, lambda now: load * HALF_TPS, KINDS)
            for x in ('a', 'b')
        ]
        model = pool_model.PoolModel(sources, POOL_INSTANCES, seed)
        model.run(50.0)
        done = [x for x in model.done if 20.0 <= x.at < 50.0]
        worth += sum(x.kind.worth for x in done) / 30.0 / len(seeds)
        used += sum(model.tps(x, 20.0, 50.0) for x in 'ab') / len(seeds)
    bound = _worth_bound(load)
    return Overload(load, worth, bound, used / pool_model.CAPACITY_TPS)


def _worth_bound(load: float) -> float:
    """Returns the most worth per second: best worth per token first."""
    left_tps = pool_model.CAPACITY_TPS
    mean = sum(kind.tokens for kind in KINDS) / len(KINDS)
    requests = load * pool_model.CAPACITY_TPS / mean / len(KINDS)
    worth = 0.0
    for kind in sorted(KINDS, key=lambda k: -k.worth / k.tokens):
        used_tps = min(left_tps, requests * kind.tokens)
        left_tps -= used_tps
        worth += used_tps / kind.tokens * kind.worth
    return worth


def measure_fair_share_cost() -> list[figures.Figure]:
    """Measures the cost of dividing the pool at the target size."""
    clock = timers.ManualTimers()
    meter = demand.DemandMeter(clock)
    share = fair_share.FairShare(clock, meter)
    leaves = [demand.Leaf(f's{i % 2}', f'o{i}') for i in range(260)]
    weights = {leaf.organisation: 1.0 for leaf in leaves}
    policy = fair_share.ServicePolicy(documents.Pool(0.5), weights)
    share.set_pool(1.6e6, {'s0': policy, 's1': policy})
    share.set_peer_counts({f'z{i}': 28 for i in range(13)})
    asked = dict.fromkeys(leaves, 500.0)
    zones = [
        demand.ZoneDemand(f'z{i}', 28, asked, clock.now()) for i in range(13)
    ]
    for leaf in leaves:
        meter.record(leaf, 17.0)
    repeats = 20

    def divide() -> None:
        for _ in range(repeats):
            share.update_demand(zones)
            share.refresh()

    cost_s = decision_figures.cpu_s(divide) / repeats
    fraction = cost_s / fair_share.REFRESH_S
    return [
        decision_figures.figure(
            'fair_share_divide_ms_at_260', cost_s * 1e3, 'ms'
        ),
        decision_figures.figure(
            'fair_share_cpu_fraction_at_260', fraction, 'of a core'
        ),
    ]
