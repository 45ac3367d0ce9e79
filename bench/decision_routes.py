"""Measures route choice: throughput, decision cost, mass failure."""

import random

from cactusmux_base import timers
from cactusmux_routing import choosers
from cactusmux_routing import flow_bound
from cactusmux_routing import flow_chooser
from cactusmux_routing import policies
from cactusmux_routing import target_table

from . import decision_figures
from . import decision_plots
from . import figures
from . import made_up_tables
from . import queue_model

INSTANCES = 16
# Ratio of the number of streams to that which can run at full rate.
STREAMS_TO_BOUND = 1.25
FLEETS = (
    (1, 200, 1, 1, 3),
    (2, 200, 1, 2, 4),
    (5, 200, 2, 1, 4),
)
LONG_FLEETS = (*FLEETS, (3, 400, 2, 2, 6), (4, 200, 1, 1, 3))
POLICIES = ('random', 'least_loaded', 'flow')


def measure_throughput(long: bool) -> list[figures.Figure]:
    """Compares policies with the throughput bound and each other."""
    fleets = LONG_FLEETS if long else FLEETS
    names = tuple(policies.CHOOSER_BY_NAME) if long else POLICIES
    ratios_by_policy: dict[str, list[float]] = {name: [] for name in names}
    for arguments in fleets:
        fleet = made_up_tables.make_fleet(*arguments)
        bound = flow_bound.throughput_bound(
            fleet.targets, fleet.shape_by_model, fleet.links
        ).tps_by_model
        # Models are in equal demand, so the one with the lowest bound limits
        # the total.
        bound_tps = min(bound.values()) * len(bound)
        for name in names:
            model = _queue_model(name, fleet, bound_tps)
            tps = model.run(warm_up_s=15.0, measured_s=15.0)
            ratios_by_policy[name].append(tps / bound_tps)
    decision_plots.plot_throughput(ratios_by_policy)
    mean = {
        name: decision_figures.mean(x) for name, x in ratios_by_policy.items()
    }
    made = [
        decision_figures.figure(
            f'throughput_to_bound_{name}', mean[name], 'ratio'
        )
        for name in names
        if name != 'flow'
    ]
    return [
        decision_figures.figure(
            'throughput_to_bound', mean['flow'], 'ratio', '>= 0.95'
        ),
        decision_figures.figure(
            'throughput_to_bound_worst', min(ratios_by_policy['flow']), 'ratio'
        ),
        decision_figures.figure(
            'throughput_to_random', mean['flow'] / mean['random'], 'ratio'
        ),
        decision_figures.figure(
            'throughput_to_least_loaded',
            mean['flow'] / mean['least_loaded'],
            'ratio',
        ),
        *made,
    ]


def _queue_model(
    name: str, fleet: made_up_tables.Fleet, bound_tps: float
) -> queue_model.QueueModel:
    def make(
        timer: timers.TimerService, rng: random.Random
    ) -> choosers.RouteChooser:
        if name == 'flow':
            return flow_chooser.FlowChooser(timer, rng, fleet.links)
        return policies.make_chooser(name, timer, rng).unwrap()

    streams = int(bound_tps / queue_model.STREAM_TPS * STREAMS_TO_BOUND)
    return queue_model.QueueModel(fleet, make, INSTANCES, streams, seed=7)


def measure_decision() -> list[figures.Figure]:
    """Measures processor time per decision at the target size."""
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
    decision_figures.cpu_s(lambda: [chooser.choose(r) for r in requests])
    assign_s = decision_figures.cpu_s(lambda: clock.advance(20.0)) / 8
    decision_figures.cpu_s(lambda: [chooser.choose(r) for r in requests])

    def decide() -> None:
        for request in requests:
            chooser.record_started(chooser.choose(request).unwrap())

    decide_s = decision_figures.cpu_s(decide) / len(requests)
    later = target_table.TargetTable(
        {x: t._replace(taken_at=20.0) for x, t in table.items()}
    )
    update_s = decision_figures.cpu_s(lambda: chooser.update(later))

    def lose() -> None:
        chooser.remove(fleet.targets[0].address)
        chooser.choose(requests[0]).unwrap()

    return [
        decision_figures.figure(
            'route_decision_us_at_6400', decide_s * 1e6, 'us', '<= 200'
        ),
        decision_figures.figure(
            'route_update_ms_at_6400', update_s * 1e3, 'ms'
        ),
        decision_figures.figure(
            'route_target_lost_ms_at_6400',
            decision_figures.cpu_s(lose) * 1e3,
            'ms',
        ),
        decision_figures.figure(
            'flow_assignment_ms_at_6400', assign_s * 1e3, 'ms'
        ),
    ]


def measure_mass_failure() -> list[figures.Figure]:
    """Measures rerouting when a quarter of the targets fails at once."""
    fleet = made_up_tables.make_fleet(*FLEETS[0])
    addresses = [target.address for target in fleet.targets]
    lost = frozenset(random.Random(1).sample(addresses, len(addresses) // 4))
    left = [t for t in fleet.targets if t.address not in lost]
    bound_tps = flow_bound.throughput_bound(
        left, fleet.shape_by_model, fleet.links
    ).total_tps
    made = []
    for name in ('flow', 'least_loaded'):
        model = _queue_model(name, fleet, bound_tps)
        model.run(warm_up_s=10.0, measured_s=5.0)
        model.fail(lost)
        after = [model.run(0.0, 1.0) / bound_tps for _ in range(15)]
        low = [s for s, ratio in enumerate(after) if ratio < 0.9]
        # The end of the first second from which throughput stays sufficient.
        reroute_s = min(low[-1] + 2.0, len(after)) if low else 1.0
        suffix = '' if name == 'flow' else f'_{name}'
        unit = 's' if reroute_s < len(after) else 's at least'
        made.append(
            decision_figures.figure(
                f'mass_failure_reroute_s{suffix}', reroute_s, unit
            )
        )
    return made
