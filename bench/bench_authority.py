"""Measures stale orders, placement and store calls for leases."""

from collections.abc import Callable, Mapping
import math
import random
import time

from absl import logging
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_control import lease_types
from cactusmux_control import leases
from cactusmux_control import orders
from cactusmux_control import placement
from cactusmux_control import placement_types
from cactusmux_control import plan_record
from cactusmux_control import pool
from cactusmux_fakes import direct_targets
from cactusmux_fakes import engines
from cactusmux_fakes import faulty_store
from cactusmux_fakes import fixed_weights
from cactusmux_fakes import memory_store
from cactusmux_platform import instances
from cactusmux_platform import targets
import fire
import numpy

from bench import authority_world
from bench import figures

COMMAND = 'python -m bench.bench_authority'
SERVERS = 1600
ACCELERATORS_PER_SERVER = 4
ZONES = 13
REGIONS = 4
INSTANCES = 360
CANDIDATES = 26
LEASE_RUN_S = 300.0
MEMORY_MB_BY_KIND = (24_000, 32_000, 48_000, 80_000)
SPEED_BY_KIND = (1.0, 1.0, 2.0, 4.0)
LAYERS = 64
LAYER_MB = 1500
MODELS_PER_SERVICE = 4
REPEATS = 3
SEED = 7
PAUSE_PAST_PIN_S = 4 * orders.PIN_DURATION_S
FAILED_SERVERS = 32
ALL_AT_ONCE = placement_types.Limits(max_changes=2 * SERVERS)


def make_pool(servers: int) -> tuple[placement_types.PoolTarget, ...]:
    """Returns targets of 4 kinds, in 13 zones of 4 regions."""
    return tuple(_make_target(number) for number in range(servers))


def _make_target(number: int) -> placement_types.PoolTarget:
    zone = number % ZONES
    kind = number // ZONES % len(MEMORY_MB_BY_KIND)
    return placement_types.PoolTarget(
        address=f'10.{number // 250}.{number % 250}.1:8000',
        region=f'region-{zone % REGIONS}',
        zone=f'zone-{zone:02}',
        accelerator=f'kind-{kind}',
        memory_mb=MEMORY_MB_BY_KIND[kind],
        speed=SPEED_BY_KIND[kind],
    )


def make_documents() -> tuple[documents.ServiceDocument, ...]:
    """Returns two services with four models each."""
    model = documents.Model(LAYERS, 8192, LAYER_MB, 'v1', ('a', 'b'), 2)
    return tuple(
        documents.ServiceDocument(
            service,
            documents.Pool(share=0.5, floor=0.3),
            {f'{service}-{n}': model for n in range(MODELS_PER_SERVICE)},
            {},
            {},
            {},
        )
        for service in ('art', 'thread')
    )


def measure_placement() -> list[figures.Figure]:
    """Times planning at target size: initially, again, without a zone."""
    pool = make_pool(SERVERS)
    in_force = make_documents()
    empty = placement_types.Situation(in_force, pool, {}, {})
    plan, cold_ms = _time_plan(lambda: placement.plan(empty, ALL_AT_ONCE))
    held = plan.holdings_by_address
    settled = placement_types.Situation(in_force, pool, held, held)
    again, again_ms = _time_plan(lambda: placement.plan(settled))
    assert again.holdings_by_address == held
    left = tuple(target for target in pool if target.zone != 'zone-03')
    without_zone = placement_types.Situation(in_force, left, held, held)
    repaired, repair_ms = _time_plan(lambda: placement.plan(without_zone))
    failed = random.Random(SEED).sample(pool, FAILED_SERVERS)
    fewer = tuple(target for target in pool if target not in failed)
    after_failures = placement_types.Situation(in_force, fewer, held, held)
    replanned = placement.plan(after_failures)
    record = plan_record.PlanRecord(1, held, frozenset(held))
    stall_ms = _longest_stall_ms(empty)
    return [
        _figure('placement_ms_at_6400', cold_ms, 'ms'),
        _figure('placement_replan_ms_at_6400', again_ms, 'ms'),
        _figure('placement_zone_lost_ms_at_6400', repair_ms, 'ms'),
        _figure(
            'placement_moves_after_zone_lost',
            _count_moves(repaired, held),
            'targets',
        ),
        _figure(
            'placement_moves_after_32_servers_lost',
            _count_moves(replanned, held),
            'targets',
        ),
        _figure('placement_longest_stall_ms_at_6400', stall_ms, 'ms'),
        _figure(
            'placement_record_bytes_at_6400',
            len(plan_record.encode(record)),
            'bytes',
            f'<= {plan_record.MAX_VALUE_BYTES}',
        ),
    ]


def _count_moves(
    plan: placement_types.Plan,
    held: Mapping[str, placement_types.Holdings],
) -> int:
    return sum(
        holdings != held[address]
        for address, holdings in plan.holdings_by_address.items()
    )


def _time_plan(
    plan: Callable[[], placement_types.Plan],
) -> tuple[placement_types.Plan, float]:
    """Returns the plan and its median processor time, in ms."""
    spent_ms = []
    for _ in range(REPEATS):
        started = time.process_time()
        new_plan = plan()
        spent_ms.append((time.process_time() - started) * 1000.0)
    return new_plan, float(numpy.median(spent_ms))


def _longest_stall_ms(situation: placement_types.Situation) -> float:
    """Returns the longest processor time without a yield, in ms."""
    at = [time.process_time()]
    placement.plan(
        situation, ALL_AT_ONCE, lambda: at.append(time.process_time())
    )
    at.append(time.process_time())
    return float(numpy.max(numpy.diff(at))) * 1000.0


def measure_round() -> list[figures.Figure]:
    """Times a round of orders at the target size with no changes due."""
    in_force = make_documents()
    pool_targets = make_pool(SERVERS)
    held = placement.plan(
        placement_types.Situation(in_force, pool_targets, {}, {}), ALL_AT_ONCE
    ).holdings_by_address
    known = [
        pool.KnownTarget(
            instances.ListedInstance(
                target.address,
                instances.Role.ENGINE,
                target.region,
                target.zone,
                accelerator=target.accelerator,
                memory_mb=target.memory_mb,
            ),
            targets.TargetReport(
                target.address, held[target.address], 1000.0, 0, 0
            ),
            0.0,
        )
        for target in pool_targets
    ]
    clock = timers.ManualTimers()
    metric = metrics.MemoryMetrics()
    dispatcher = orders.OrderDispatcher(
        memory_store.MemoryStore(clock),
        clock,
        metric,
        direct_targets.DirectTargetClient(engines.Fabric(clock)),
        fixed_weights.FixedWeightStore(1000.0),
        orders.Sources(
            lambda _: lease_types.Authority(1, math.inf, 0.0),
            lambda: in_force,
            lambda: known,
        ),
        'all',
    )
    for _ in range(REPEATS):
        dispatcher.run_round()
    planned = metric.counter_by_name['placement.planned']
    started = time.process_time()
    for _ in range(REPEATS):
        dispatcher.run_round()
    round_s = (time.process_time() - started) / REPEATS
    assert metric.counter_by_name['placement.planned'] == planned
    return [
        _figure('order_round_ms_at_6400', round_s * 1000.0, 'ms'),
        _figure(
            'order_rounds_cpu_fraction_at_6400',
            round_s / orders.PERIOD_S,
            'of a core',
            '<= 0.015',
        ),
    ]


def measure_lease_calls() -> list[figures.Figure]:
    """Counts store calls of all instances, with one holder per region."""
    clock = timers.ManualTimers()
    memory = memory_store.MemoryStore(clock)
    stores = []
    for number in range(INSTANCES):
        store = faulty_store.FaultyStore(memory, clock, None)  # type: ignore
        stores.append(store)
        holder = leases.LeaseHolder(
            store,
            clock,
            metrics.MemoryMetrics(),
            leases.order_lease(f'region-{number % REGIONS}'),
            f'10.9.{number // 250}.{number % 250}:80',
            may_acquire=lambda n=number: n < CANDIDATES,
        )
        holder.start()
    clock.advance(lease_types.DEFAULT_SETTINGS.ttl_s)
    for store in stores:
        store.calls_by_kind.clear()
    clock.advance(LEASE_RUN_S)
    reads = sum(store.calls_by_kind.get('get', 0) for store in stores)
    calls = sum(sum(store.calls_by_kind.values()) for store in stores)
    writes = calls - reads
    return [
        _figure(
            'store_writes_per_s_leases_at_360', writes / LEASE_RUN_S, '1/s'
        ),
        _figure('store_reads_per_s_leases_at_360', reads / LEASE_RUN_S, '1/s'),
    ]


def measure_stale_orders(sequences: int) -> list[figures.Figure]:
    """Runs fault sequences with targets that do and do not check fencing."""
    seeds = range(sequences)
    fenced = authority_world.run_sequences(seeds, checks_fencing=True)
    unfenced = authority_world.run_sequences(seeds, checks_fencing=False)
    effective = fenced.effective + unfenced.effective
    found = [_figure('stale_orders_effective', effective, 'orders', '== 0')]
    for kind, counts in (('fenced', fenced), ('unfenced', unfenced)):
        found += [
            _figure(
                f'stale_orders_effective_{kind}',
                counts.effective,
                'orders',
                '== 0',
            ),
            _figure(f'stale_orders_sent_{kind}', counts.stale, 'orders'),
            _figure(
                f'stale_orders_taken_{kind}', counts.stale_taken, 'orders'
            ),
            _figure(f'orders_sent_{kind}', counts.orders, 'orders'),
        ]
    past_pin = authority_world.run_sequences(
        range(sequences // 3), False, PAUSE_PAST_PIN_S
    )
    found += [
        _figure(
            'stale_orders_effective_unfenced_past_pin',
            past_pin.effective,
            'orders',
        ),
        _figure(
            'stale_orders_taken_unfenced_past_pin',
            past_pin.stale_taken,
            'orders',
        ),
    ]
    return found


def _figure(
    name: str, value: float, unit: str, target: str = ''
) -> figures.Figure:
    return figures.Figure(name, round(value, 4), unit, target, COMMAND)


def main(sequences: int = 150) -> None:
    """Runs all measurements and records their figures.

    :param sequences: fault sequences for each kind of target
    """
    logging.set_verbosity(logging.FATAL)
    found = measure_placement()
    found += measure_round()
    found += measure_lease_calls()
    found += measure_stale_orders(sequences)
    for figure in found:
        verdict = '' if figures.is_met(figure) else ' MISSED'
        target = f' ({figure.target})' if figure.target else ''
        print(f'{figure.name} {figure.value} {figure.unit}{target}{verdict}')
    figures.record('authority', found)


if __name__ == '__main__':
    fire.Fire(main)
