"""Tests of the throughput bound on cases that are solved by hand."""

import random

from cactusmux_platform import targets
from cactusmux_routing import flow_bound
from cactusmux_routing import links
from cactusmux_routing import target_table
import pytest

SHAPES = {'m': flow_bound.ModelShape('v1', 8)}
SLOW = links.LinkTable({}, {('a', 'b'): links.Link(0.01, 30)})


def target(
    address: str, zone: str, capacity_tps: float, *ranges: tuple
) -> target_table.Target:
    holdings = tuple(
        targets.Holding(model, 'v1', first, last)
        for model, first, last in ranges
    )
    return target_table.Target(
        address, zone, 'r', 'k', holdings, capacity_tps, 0, 0, 0.0
    )


def stage(zone: str, capacity_tps: float, first: int, last: int):
    address = f'{zone}-{first}-{last}-{capacity_tps}'
    return target(address, zone, capacity_tps, ('m', first, last))


CASES = {
    'chain is as strong as its weakest stage': (
        [stage('a', 100, 0, 4), stage('a', 40, 4, 8)],
        links.DEFAULT_LINKS,
        40,
    ),
    'two chains with different splits add up': (
        [
            stage('a', 100, 0, 4),
            stage('a', 40, 4, 8),
            stage('a', 70, 0, 2),
            stage('a', 25, 2, 8),
        ],
        links.DEFAULT_LINKS,
        65,
    ),
    'splits that meet at a boundary lend to each other': (
        [
            stage('a', 100, 0, 4),
            stage('a', 40, 4, 8),
            stage('a', 30, 4, 6),
            stage('a', 90, 6, 8),
        ],
        links.DEFAULT_LINKS,
        70,
    ),
    'layers that nobody holds allow nothing': (
        [stage('a', 100, 0, 4), stage('a', 100, 5, 8)],
        links.DEFAULT_LINKS,
        0,
    ),
    'a link limits what passes between zones': (
        [stage('a', 100, 0, 4), stage('b', 100, 4, 8)],
        SLOW,
        30,
    ),
    'a link limits only what must pass it': (
        [
            stage('a', 100, 0, 4),
            stage('b', 100, 4, 8),
            stage('a', 20, 4, 8),
        ],
        SLOW,
        50,
    ),
}


@pytest.mark.parametrize('name', CASES)
def test_bound_of_one_model_matches_the_solution_by_hand(name: str) -> None:
    known, table, expected = CASES[name]
    pools = flow_bound.pool_targets(known, SHAPES)
    assert flow_bound.maximum_flow(pools, 8, table) == expected
    linear = flow_bound.linear_bound(pools, SHAPES, table)
    assert linear.total_tps == pytest.approx(expected)
    bound = flow_bound.throughput_bound(known, SHAPES, table)
    assert bound.total_tps == expected


def test_targets_shared_by_two_models_are_counted_once() -> None:
    shapes = {
        'm': flow_bound.ModelShape('v1', 8, 100.0),
        'n': flow_bound.ModelShape('v1', 4, 100.0),
    }
    known = [target('t', 'a', 90, ('m', 0, 8), ('n', 0, 4))]
    bound = flow_bound.throughput_bound(known, shapes, links.DEFAULT_LINKS)
    assert bound.total_tps == pytest.approx(90)
    shapes['n'] = shapes['n']._replace(worth=5.0, demand_tps=60.0)
    bound = flow_bound.throughput_bound(known, shapes, links.DEFAULT_LINKS)
    assert bound.tps_by_model == pytest.approx({'m': 30, 'n': 60})


def test_target_with_two_ranges_of_one_model_is_charged_for_both() -> None:
    known = [target('t', 'a', 90, ('m', 0, 4), ('m', 4, 8))]
    bound = flow_bound.throughput_bound(known, SHAPES, links.DEFAULT_LINKS)
    assert bound.total_tps == pytest.approx(45)


def test_models_share_a_link() -> None:
    shapes = {'m': SHAPES['m'], 'n': SHAPES['m']}
    known = [
        target(f'{model}{zone}', zone, 100, (model, first, last))
        for model in ('m', 'n')
        for zone, first, last in (('a', 0, 4), ('b', 4, 8))
    ]
    bound = flow_bound.throughput_bound(known, shapes, SLOW)
    assert bound.total_tps == pytest.approx(30)


@pytest.mark.parametrize('seed', range(5))
def test_both_methods_agree_on_random_targets(seed: int) -> None:
    rng = random.Random(seed)
    ends = [(0, 2), (0, 4), (2, 4), (4, 6), (4, 8), (6, 8), (2, 8)]
    known = [
        target(f't{i}', rng.choice('ab'), rng.randint(1, 9), ('m', *pair))
        for i, pair in enumerate(rng.choices(ends, k=40))
    ]
    pools = flow_bound.pool_targets(known, SHAPES)
    linear = flow_bound.linear_bound(pools, SHAPES, links.DEFAULT_LINKS)
    flow = flow_bound.maximum_flow(pools, 8, links.DEFAULT_LINKS)
    assert linear.total_tps == pytest.approx(flow)
