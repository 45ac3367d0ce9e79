"""Tests of route selection that apply to every chooser."""

import random

from cactusmux_base import timers
from cactusmux_platform import targets
from cactusmux_routing import choosers
from cactusmux_routing import policies
from cactusmux_routing import routes
from cactusmux_routing import target_table
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

LAYERS = 8
REQUEST = choosers.RouteRequest('m', 'v1', '', LAYERS)
POLICIES = sorted(policies.CHOOSER_BY_NAME)


def make_target(
    address: str,
    first: int,
    last: int,
    version: str = 'v1',
    adapters: tuple[str, ...] = (),
    running: int = 0,
    taken_at: float = 0.0,
    zone: str = 'a',
) -> target_table.Target:
    holding = targets.Holding('m', version, first, last, adapters)
    return target_table.Target(
        address, zone, 'r', 'k', (holding,), 100.0, running, 0, taken_at
    )


def make_chooser(
    name: str, known: list[target_table.Target], seed: int = 1
) -> choosers.RouteChooser:
    timer = timers.ManualTimers()
    chooser = policies.make_chooser(name, timer, random.Random(seed)).unwrap()
    chooser.update(target_table.TargetTable({t.address: t for t in known}))
    return chooser


COMPLETE = [
    make_target('a1', 0, 4),
    make_target('a2', 0, 4),
    make_target('b1', 4, 8),
]
FAILURES = [
    ([], '', choosers.MissingLayers, (0, 8)),
    ([make_target('a', 0, 4)], '', choosers.MissingLayers, (4, 8)),
    ([make_target('a', 4, 8)], '', choosers.MissingLayers, (0, 4)),
    (
        [make_target('a', 0, 4), make_target('b', 6, 8)],
        '',
        choosers.MissingLayers,
        (4, 6),
    ),
    (
        [make_target('a', 0, 4), make_target('b', 4, 8, version='v2')],
        '',
        choosers.MissingLayers,
        (4, 8),
    ),
    (
        [make_target('a', 0, 4, adapters=('x',)), make_target('b', 4, 8)],
        'x',
        choosers.AdapterNotLoaded,
        (4, 8),
    ),
]


@pytest.mark.parametrize('policy', POLICIES)
@pytest.mark.parametrize('known, adapter, kind, missing', FAILURES)
def test_failure_names_the_missing_layers(
    policy: str,
    known: list[target_table.Target],
    adapter: str,
    kind: type[choosers.NoRoute],
    missing: tuple[int, int],
) -> None:
    chooser = make_chooser(policy, known)
    request = REQUEST._replace(adapter=adapter)
    failure = chooser.choose(request).failure()
    assert type(failure) is kind
    assert tuple(failure.missing) == missing


@pytest.mark.parametrize('policy', POLICIES)
def test_avoided_target_is_never_on_a_route(policy: str) -> None:
    chooser = make_chooser(policy, COMPLETE)
    request = REQUEST._replace(avoid=frozenset({'a1'}))
    for _ in range(50):
        route = chooser.choose(request).unwrap()
        assert [stage.address for stage in route.stages] == ['a2', 'b1']


@pytest.mark.parametrize('policy', POLICIES)
def test_route_fails_when_all_holders_are_avoided(policy: str) -> None:
    chooser = make_chooser(policy, COMPLETE)
    request = REQUEST._replace(avoid=frozenset({'b1'}))
    failure = chooser.choose(request).failure()
    assert type(failure) is choosers.AllAvoided
    assert tuple(failure.missing) == (4, 8)


@pytest.mark.parametrize('policy', POLICIES)
def test_removed_target_gets_no_new_requests(policy: str) -> None:
    chooser = make_chooser(policy, COMPLETE)
    chooser.choose(REQUEST).unwrap()
    chooser.remove('a2')
    for _ in range(50):
        assert chooser.choose(REQUEST).unwrap().stages[0].address == 'a1'


@pytest.mark.parametrize('policy', POLICIES)
def test_changed_holding_is_routed_by_its_new_layers(policy: str) -> None:
    chooser = make_chooser(policy, COMPLETE)
    chooser.choose(REQUEST).unwrap()
    chooser.update_target(make_target('b1', 4, 6, taken_at=1.0))
    failure = chooser.choose(REQUEST).failure()
    assert tuple(failure.missing) == (6, 8)
    chooser.update_target(make_target('b1', 4, 8, taken_at=0.5))
    assert chooser.choose(REQUEST).failure().missing == failure.missing


RANGES = st.sampled_from([(0, 2), (0, 4), (2, 4), (2, 6), (4, 8), (6, 8)])


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    policy=st.sampled_from(POLICIES),
    ranges=st.lists(RANGES, max_size=12),
    avoided=st.sets(st.integers(0, 11)),
    seed=st.integers(0, 99),
)
def test_every_chosen_route_covers_all_layers_once(
    policy: str,
    ranges: list[tuple[int, int]],
    avoided: set[int],
    seed: int,
) -> None:
    known = [make_target(f't{i}', a, b) for i, (a, b) in enumerate(ranges)]
    chooser = make_chooser(policy, known, seed)
    avoid = frozenset(f't{i}' for i in avoided)
    allowed = {r for i, r in enumerate(ranges) if i not in avoided}
    for _ in range(5):
        chosen = chooser.choose(REQUEST._replace(avoid=avoid))
        if not has_path(allowed):
            assert isinstance(chosen.failure(), choosers.NoRoute)
            continue
        route = routes.check_route(chosen.unwrap(), LAYERS).unwrap()
        assert not avoid & {stage.address for stage in route.stages}
        chooser.record_started(route)


def has_path(ranges: set[tuple[int, int]], boundary: int = 0) -> bool:
    if boundary == LAYERS:
        return True
    return any(a == boundary and has_path(ranges, b) for a, b in ranges)
