"""Tests of traffic assignment and of the chooser that uses it."""

import collections
import random

from cactusmux_base import timers
from cactusmux_routing import choosers
from cactusmux_routing import flow_bound
from cactusmux_routing import flow_chooser
from cactusmux_routing import links
from cactusmux_routing import target_table
from cactusmux_routing import traffic_assignment
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from . import test_choosers
from . import test_flow_bound

Stage = traffic_assignment.Stage
ASSIGNMENT_S = 2.0
RANGES = [(0, 4), (4, 8), (0, 2), (2, 8), (2, 4), (4, 6), (6, 8)]


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.lists(st.integers(10, 100), min_size=14, max_size=14))
def test_assigned_traffic_is_close_to_the_bound(capacities: list[int]) -> None:
    capacity_by_stage = {
        Stage(first, last, zone): float(capacities.pop())
        for first, last in RANGES
        for zone in 'ab'
    }
    shares = traffic_assignment.assign(
        capacity_by_stage, 8, links.DEFAULT_LINKS
    )
    pools = tuple(
        flow_bound.Pool(s.zone, (flow_bound.Arc('m', s.first, s.last),), tps)
        for s, tps in capacity_by_stage.items()
    )
    bound = flow_bound.maximum_flow(pools, 8, links.DEFAULT_LINKS)
    carried = min(
        capacity_by_stage[stage] / share
        for stage, share in shares.share_by_stage.items()
    )
    assert 0.85 * bound <= carried <= bound * 1.001
    for layer in range(8):
        crossing = sum(
            share
            for stage, share in shares.share_by_stage.items()
            if stage.first <= layer < stage.last
        )
        assert crossing == pytest.approx(1.0)


def test_assignment_avoids_a_link_of_low_capacity() -> None:
    capacity_by_stage = {
        Stage(0, 8, 'a'): 100.0,
        Stage(8, 16, 'b'): 100.0,
        Stage(8, 16, 'a'): 100.0,
    }
    table = links.LinkTable({}, {('a', 'b'): links.Link(0.001, 10.0)})
    shares = traffic_assignment.assign(capacity_by_stage, 16, table)
    assert shares.share_by_stage.get(Stage(8, 16, 'b'), 0.0) <= 0.1


def make_chooser(
    known: list[target_table.Target],
    table: links.LinkTable = links.DEFAULT_LINKS,
) -> tuple[timers.ManualTimers, flow_chooser.FlowChooser]:
    clock = timers.ManualTimers()
    chooser = flow_chooser.FlowChooser(clock, random.Random(5), table)
    chooser.update(target_table.TargetTable({t.address: t for t in known}))
    chooser.choose(test_choosers.REQUEST).unwrap()
    clock.advance(ASSIGNMENT_S)
    return clock, chooser


def count_routes(
    chooser: choosers.RouteChooser, number: int, prefix_hash: int = 0
) -> collections.Counter:
    counter: collections.Counter = collections.Counter()
    request = test_choosers.REQUEST._replace(prefix_hash=prefix_hash)
    for _ in range(number):
        route = chooser.choose(request).unwrap()
        chooser.record_started(route)
        counter.update(stage.address for stage in route.stages)
    return counter


def test_traffic_follows_capacity_without_any_report() -> None:
    known = [
        test_flow_bound.target('big', 'a', 300, ('m', 0, 8)),
        test_flow_bound.target('small', 'a', 100, ('m', 0, 8)),
    ]
    counter = count_routes(make_chooser(known)[1], 400)
    assert counter['big'] == pytest.approx(300, abs=12)


def test_lost_stage_is_avoided_before_the_next_assignment() -> None:
    known = [
        test_flow_bound.target('a1', 'a', 300, ('m', 0, 4)),
        test_flow_bound.target('a2', 'a', 300, ('m', 4, 8)),
        test_flow_bound.target('b', 'a', 100, ('m', 0, 8)),
    ]
    _, chooser = make_chooser(known)
    chooser.remove('a2')
    assert set(count_routes(chooser, 20)) == {'b'}


def test_new_only_holder_is_used_before_the_next_assignment() -> None:
    known = [
        test_flow_bound.target('a1', 'a', 300, ('m', 0, 4)),
        test_flow_bound.target('a2', 'a', 300, ('m', 4, 8)),
    ]
    _, chooser = make_chooser(known)
    chooser.update_target(test_flow_bound.target('b', 'b', 9, ('m', 4, 8)))
    chooser.remove('a2')
    assert set(count_routes(chooser, 20)) == {'a1', 'b'}


def test_own_streams_count_as_load_until_the_next_report() -> None:
    known = [test_choosers.make_target(f't{i}', 0, 8) for i in range(4)]
    counter = count_routes(make_chooser(known)[1], 400)
    assert max(counter.values()) - min(counter.values()) <= 8


def test_changed_capacity_is_followed_within_seconds() -> None:
    known = [test_choosers.make_target(name, 0, 8) for name in 'ab']
    clock, chooser = make_chooser(known)
    count_routes(chooser, 1)
    clock.advance(flow_chooser.REASSIGN_INTERVAL_S)
    now = clock.now()
    chooser.update_target(known[0]._replace(capacity_tps=1.0, taken_at=now))
    chooser.update_target(known[1]._replace(taken_at=now))
    count_routes(chooser, 1)
    clock.advance(ASSIGNMENT_S)
    counter = count_routes(chooser, 200)
    assert counter['b'] >= 190


def test_prefix_goes_to_one_target_only_while_that_is_not_slower() -> None:
    known = [test_choosers.make_target(f't{i}', 0, 8) for i in range(8)]
    chosen = count_routes(make_chooser(known)[1], 4, prefix_hash=77)
    other = count_routes(make_chooser(known)[1], 4, prefix_hash=77)
    assert chosen.most_common(1) == other.most_common(1)
    counter = count_routes(make_chooser(known)[1], 400, prefix_hash=77)
    assert max(counter.values()) <= 400 / 8 * 1.5
