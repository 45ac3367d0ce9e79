"""Measures the decision functions alone; run as a module.

``python -m bench.bench_decisions`` takes under a minute; ``--long`` adds
more fleets, seeds and policies. Policies are compared in one run, one after
the other on the same fleet.
"""

from collections.abc import Callable, Sequence
import gc
import random
import sys
import time
from typing import NamedTuple

from absl import logging
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_routing import choosers
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from cactusmux_routing import flow_bound
from cactusmux_routing import flow_chooser
from cactusmux_routing import policies
from cactusmux_routing import target_table

from . import decision_plots
from . import figures
from . import made_up_tables
from . import pool_model
from . import queue_model
from . import storm_model

COMMAND = 'python -m bench.bench_decisions'
INSTANCES = 16
# Streams before a fleet, against those that run at full rate.
STREAMS_TO_BOUND = 1.25
FLEETS = (
    (1, 200, 1, 1, 3),
    (2, 200, 1, 2, 4),
    (5, 200, 2, 1, 4),
)
LONG_FLEETS = (*FLEETS, (3, 400, 2, 2, 6), (4, 200, 1, 1, 3))
POLICIES = ('random', 'least_loaded', 'flow')
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
    """What was served at a load, and the best that could be."""

    load: float
    worth_per_s: float
    bound_per_s: float
    used: float


def main() -> None:
    """Measures all figures and records them as part ``decisions``."""
    logging.set_verbosity(logging.ERROR)
    long = '--long' in sys.argv[1:]
    made = [
        *_measure_throughput(long),
        *_measure_decision(),
        *_measure_shares(),
        *_measure_overload(),
        *_measure_storm((1, 2)),
        *_measure_fair_share_cost(),
    ]
    figures.record('decisions', made)
    for figure in made:
        met = '' if figures.is_met(figure) else '  MISSED'
        print(
            f'{figure.name:34} {figure.value:10.3f} {figure.unit:12}'
            f'{figure.target}{met}'
        )


def _figure(
    name: str, value: float, unit: str, target: str = ''
) -> figures.Figure:
    return figures.Figure(name, round(value, 4), unit, target, COMMAND)


def _measure_throughput(long: bool) -> list[figures.Figure]:
    fleets = LONG_FLEETS if long else FLEETS
    names = tuple(policies.CHOOSER_BY_NAME) if long else POLICIES
    ratios_by_policy: dict[str, list[float]] = {name: [] for name in names}
    for arguments in fleets:
        fleet = made_up_tables.make_fleet(*arguments)
        bound = flow_bound.achievable_bound(
            fleet.targets, fleet.shape_by_model, fleet.links
        ).tps_by_model
        # All models are asked for alike: the narrowest one counts.
        bound_tps = min(bound.values()) * len(bound)
        for name in names:
            ratio = _throughput(name, fleet, bound_tps) / bound_tps
            ratios_by_policy[name].append(ratio)
    decision_plots.plot_throughput(ratios_by_policy)
    mean = {name: _mean(x) for name, x in ratios_by_policy.items()}
    made = [
        _figure(f'throughput_to_bound_{name}', mean[name], 'ratio')
        for name in names
        if name != 'flow'
    ]
    return [
        _figure('throughput_to_bound', mean['flow'], 'ratio', '>= 0.95'),
        _figure(
            'throughput_to_bound_worst', min(ratios_by_policy['flow']), 'ratio'
        ),
        _figure(
            'throughput_to_random', mean['flow'] / mean['random'], 'ratio'
        ),
        _figure(
            'throughput_to_least_loaded',
            mean['flow'] / mean['least_loaded'],
            'ratio',
        ),
        *made,
    ]


def _throughput(
    name: str, fleet: made_up_tables.Fleet, bound_tps: float
) -> float:
    def make(
        timer: timers.TimerService, rng: random.Random
    ) -> choosers.RouteChooser:
        if name == 'flow':
            return flow_chooser.FlowChooser(timer, rng, fleet.links)
        return policies.make_chooser(name, timer, rng).unwrap()

    streams = int(bound_tps / queue_model.STREAM_TPS * STREAMS_TO_BOUND)
    model = queue_model.QueueModel(fleet, make, INSTANCES, streams, seed=7)
    return model.run(warm_up_s=15.0, measured_s=15.0)


def _measure_decision() -> list[figures.Figure]:
    fleet = made_up_tables.make_fleet(1, 6400, 8, 4, 13)
    clock = timers.ManualTimers(0.0)
    chooser = flow_chooser.FlowChooser(clock, random.Random(1), fleet.links)
    table = {target.address: target for target in fleet.targets}
    chooser.update(target_table.TargetTable(table))
    requests = [
        choosers.RouteRequest(
            f'm{i % 8}',
            'v1',
            '',
            made_up_tables.LAYERS,
            zone=fleet.zones[i % len(fleet.zones)],
            prefix_hash=i,
        )
        for i in range(2000)
    ]
    _cpu_s(lambda: [chooser.choose(r) for r in requests])
    assign_s = _cpu_s(lambda: clock.advance(20.0)) / 8
    _cpu_s(lambda: [chooser.choose(r) for r in requests])

    def decide() -> None:
        for request in requests:
            chooser.note_started(chooser.choose(request).unwrap())

    decide_s = _cpu_s(decide) / len(requests)
    later = target_table.TargetTable(
        {x: t._replace(taken_at=20.0) for x, t in table.items()}
    )
    update_s = _cpu_s(lambda: chooser.update(later))

    def lose() -> None:
        chooser.remove(fleet.targets[0].address)
        chooser.choose(requests[0]).unwrap()

    return [
        _figure('route_decision_us_at_6400', decide_s * 1e6, 'us', '<= 200'),
        _figure('route_update_ms_at_6400', update_s * 1e3, 'ms'),
        _figure('route_target_lost_ms_at_6400', _cpu_s(lose) * 1e3, 'ms'),
        _figure('flow_assignment_ms_at_6400', assign_s * 1e3, 'ms'),
    ]


def _measure_shares() -> list[figures.Figure]:
    worst = min(_flood(frozenset()), _flood(frozenset({3})))
    spread_s = _share_return(())
    one_entry_s = _share_return((0,))
    return [
        _figure('fair_share_worst_ratio', worst, 'ratio', '>= 0.9'),
        _figure('share_return_s', max(spread_s, one_entry_s), 's', '<= 2.0'),
        _figure('share_return_spread_s', spread_s, 's'),
        _figure('share_return_one_entry_s', one_entry_s, 's'),
    ]


def _flood(cut_off: frozenset[int]) -> float:
    """One firm asks 10 times its share; returns the worst received part."""
    sources = [
        pool_model.Source('a', lambda now: 1.2 * HALF_TPS, DRAFTS),
        pool_model.Source('b', lambda now: 10.0 * HALF_TPS, DRAFTS),
    ]
    model = pool_model.PoolModel(sources, POOL_INSTANCES, 1, cut_off)
    model.run(40.0)
    return min(model.tps(x.service, 10.0, 40.0) / HALF_TPS for x in sources)


def _share_return(entries: Sequence[int]) -> float:
    """Returns when an owner has 0.9 of its share again, half-second wise."""
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
        for step in range(30)
        if model.tps('a', 20.0 + step / 2, 20.5 + step / 2) < 0.9 * HALF_TPS
    ]
    return (low[-1] + 1) / 2 if low else 0.0


def _measure_overload() -> list[figures.Figure]:
    made = []
    points = [_overload(load) for load in LOADS]
    decision_plots.plot_overload(
        [p.load for p in points],
        [p.worth_per_s for p in points],
        [p.bound_per_s for p in points],
    )
    for point in points:
        target = '>= 0.9' if point.load == 2.0 else ''
        name = f'{point.load:g}'.replace('.', '_')
        made.append(
            _figure(
                f'worth_goodput_at_{name}x_to_bound',
                point.worth_per_s / point.bound_per_s,
                'ratio',
                target,
            )
        )
    past = [p.worth_per_s for p in points if p.load >= 0.9]
    kept = min(later / past[0] for later in past[1:])
    made.append(
        _figure('worth_goodput_kept_past_bound', kept, 'ratio', '>= 1')
    )
    return made


def _overload(load: float) -> Overload:
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
    """Returns the best worth a second: most worth for a token first."""
    left_tps = pool_model.CAPACITY_TPS
    mean = sum(kind.tokens for kind in KINDS) / len(KINDS)
    requests = load * pool_model.CAPACITY_TPS / mean / len(KINDS)
    worth = 0.0
    for kind in sorted(KINDS, key=lambda k: -k.worth / k.tokens):
        used_tps = min(left_tps, requests * kind.tokens)
        left_tps -= used_tps
        worth += used_tps / kind.tokens * kind.worth
    return worth


def _measure_storm(seeds: Sequence[int]) -> list[figures.Figure]:
    limited = [storm_model.StormModel(True, s).run(50.0) for s in seeds]
    naive = storm_model.StormModel(False, seeds[0]).run(50.0)
    decision_plots.plot_storm(
        limited[0].goodput_by_second, naive.goodput_by_second
    )
    returns = [outcome.return_s() for outcome in limited]
    return [
        _figure('retry_storm_return_s', max(returns), 's', '<= 5'),
        _figure('retry_storm_return_naive_s', naive.return_s(), 's at least'),
        _figure(
            'retry_storm_attempts_to_naive',
            limited[0].attempts / naive.attempts,
            'ratio',
        ),
    ]


def _measure_fair_share_cost() -> list[figures.Figure]:
    """Measures what dividing the pool costs at the target size."""
    clock = timers.ManualTimers()
    meter = demand.DemandMeter(clock)
    share = fair_share.FairShare(clock, meter)
    leaves = [demand.Leaf(f's{i % 2}', f'o{i}') for i in range(260)]
    weights = {leaf.organisation: 1.0 for leaf in leaves}
    policy = fair_share.ServicePolicy(documents.Pool(0.5), weights)
    share.set_pool(1.6e6, {'s0': policy, 's1': policy})
    share.set_members({f'z{i}': 28 for i in range(13)})
    asked = dict.fromkeys(leaves, 500.0)
    zones = [
        demand.ZoneDemand(f'z{i}', 28, asked, clock.now()) for i in range(13)
    ]
    for leaf in leaves:
        meter.note(leaf, 17.0)
    repeats = 20

    def divide() -> None:
        for _ in range(repeats):
            share.hear(zones)
            share.renew()

    cost_s = _cpu_s(divide) / repeats
    fraction = cost_s / fair_share.REFRESH_S
    return [
        _figure('fair_share_divide_ms_at_260', cost_s * 1e3, 'ms'),
        _figure('fair_share_cpu_fraction_at_260', fraction, 'of a core'),
    ]


def _cpu_s(work: Callable[[], object]) -> float:
    gc.collect()
    began = time.process_time()
    work()
    return time.process_time() - began


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


if __name__ == '__main__':
    main()
