"""Tests for the selection among instances of unequal capacity."""

import collections
import math
import random

from cactusmux_base import timers
from cactusmux_relay import directory
from cactusmux_relay import instance_selection
from cactusmux_relay import membership
import hypothesis
from hypothesis import strategies as st
import pytest

MAX_NAMED = directory.MAX_ADDRESSES
ANSWERS = 2000
NONE = frozenset()


def _instance(name, link_mbps=10.0, cores=0.516):
    return membership.Instance(
        name, 'a', 'r', f'{name}:1', f'{name}:2', link_mbps, cores
    )


def _zone(large=2, small=22):
    """Returns the instances of a zone as in the vinokniha-grown scenario."""
    return [_instance(f'L{n}', 100.0, 2.15) for n in range(large)] + [
        _instance(f's{n}') for n in range(small)
    ]


def _callers(candidates, troubled=NONE):
    """Returns each instance's share of callers that pick at random."""
    rng = random.Random(7)
    callers = collections.Counter()
    for _ in range(ANSWERS):
        named = instance_selection.select_instances(
            candidates, troubled, MAX_NAMED, rng
        )
        for each in named:
            callers[each.name] += 1.0 / len(named) / ANSWERS
    return callers


def test_small_instances_get_fewer_callers_than_large_ones():
    """Guards against a 10 Mbit/s link with as many callers as a 100 one."""
    callers = _callers(_zone())
    small = [callers[f's{n}'] for n in range(22)]
    large = [callers['L0'], callers['L1']]
    assert max(small) < 0.55 * min(large)
    # The minimum number of named instances keeps the load distributed.
    assert max(large) < 2.1 / 24


def test_each_instance_gets_callers():
    callers = _callers(_zone())
    assert min(callers[each.name] for each in _zone()) > 0.5 / 24


def test_smaller_instances_get_fewer_callers_than_middle_ones():
    middle = [_instance(f'm{n}', 40.0, 1.0) for n in range(8)]
    callers = _callers(_zone(2, 14) + middle)
    assert callers['s0'] < 0.6 * callers['m0'] < 0.9 * callers['L0']


def test_troubled_instance_gets_no_callers_while_others_are_healthy():
    callers = _callers(_zone(), frozenset({'L1', 's3', 's4'}))
    assert not callers.keys() & {'L1', 's3', 's4'}
    assert len(callers) == 21


def test_zone_without_healthy_large_instances_names_the_small_ones():
    callers = _callers(_zone(), frozenset({'L0', 'L1'}))
    assert len(callers) == 22
    assert max(callers.values()) == pytest.approx(1 / 22)


def test_zone_with_all_instances_in_trouble_is_named_as_if_healthy():
    candidates = _zone()
    troubled = frozenset(each.name for each in candidates)
    callers = _callers(candidates, troubled)
    assert len(callers) == 24
    assert callers['s0'] < 0.6 * callers['L0']


def test_mostly_troubled_zone_does_not_send_all_callers_to_few_instances():
    """Otherwise two instances would get the callers of 24."""
    troubled = frozenset(f's{n}' for n in range(22))
    callers = _callers(_zone(), troubled)
    assert callers['L0'] == pytest.approx(1 / 12)
    assert len(callers) == 24


@pytest.mark.parametrize('troubled', [NONE, frozenset({'s1'})])
def test_equal_instances_are_all_named(troubled):
    equal = [_instance(f's{n}') for n in range(5)]
    rng = random.Random(1)
    assert (
        instance_selection.select_instances(equal, troubled, MAX_NAMED, rng)
        == equal
    )
    many = [_instance(f's{n}') for n in range(70)]
    assert (
        instance_selection.select_instances(many, troubled, MAX_NAMED, rng)
        == many[:MAX_NAMED]
    )


def test_slight_differences_change_nothing():
    near = [_instance('x', 100.0, 2.0), _instance('y', 60.0, 1.1)]
    assert (
        instance_selection.select_instances(
            near, NONE, MAX_NAMED, random.Random(1)
        )
        == near
    )


def test_instances_without_reported_capacity_are_taken_as_equal():
    """Entries of an older version have no link or processor capacity."""
    silent = [_instance(f's{n}', 0.0, 0.0) for n in range(6)]
    mixed = [*silent, _instance('L0', 100.0, 2.15)]
    rng = random.Random(1)
    assert (
        instance_selection.select_instances(mixed, NONE, MAX_NAMED, rng)
        == mixed
    )


def test_no_candidates_give_no_instances():
    assert (
        instance_selection.select_instances(
            [], NONE, MAX_NAMED, random.Random(1)
        )
        == []
    )


_CAPACITY = st.sampled_from([0.0, 1.0, 7.0, 10.0, 100.0])


@hypothesis.given(
    capacities=st.lists(
        st.tuples(_CAPACITY, _CAPACITY, st.booleans()),
        min_size=1,
        max_size=90,
    ),
    seed=st.integers(0, 1000),
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_at_least_half_of_the_healthy_instances_are_named(capacities, seed):
    candidates = [
        _instance(f'i{n}', link, cores)
        for n, (link, cores, _) in enumerate(capacities)
    ]
    troubled = frozenset(
        f'i{n}' for n, each in enumerate(capacities) if each[2]
    )
    rng = random.Random(seed)
    named = instance_selection.select_instances(
        candidates, troubled, MAX_NAMED, rng
    )
    names = {each.name for each in named}
    assert 0 < len(names) == len(named) <= MAX_NAMED
    healthy = {each.name for each in candidates} - troubled
    assert len(names & healthy) >= min(MAX_NAMED, math.ceil(len(healthy) / 2))
    if instance_selection.has_unequal_capacity(candidates) and (
        len(healthy) >= len(candidates) / 2
    ):
        assert not names & troubled


class _Gossip:
    heard_at_by_name: dict[str, float] = {}


def test_directory_checks_for_trouble_at_each_response():
    troubled = set()
    found = directory.Directory(
        _Gossip(),
        timers.ManualTimers(),
        'L0',
        lambda: frozenset(troubled),
        random.Random(1),
    )
    found.update(_zone())
    assert 'L0:1' in found.addresses('a')
    assert len(found.addresses('a')) == 12
    troubled.add('L0')
    assert 'L0:1' not in found.addresses('a')
    troubled.clear()
    assert 'L0:1' in found.addresses('a')
