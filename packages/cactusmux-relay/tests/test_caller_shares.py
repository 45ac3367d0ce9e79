"""Callers of zones whose instances differ in links and processors."""

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

MOST = directory.MAX_ADDRESSES
ANSWERS = 2000
NONE = frozenset()


def _instance(name, link_mbps=10.0, cores=0.516):
    return membership.Instance(
        name, 'a', 'r', f'{name}:1', f'{name}:2', link_mbps, cores
    )


def _zone(large=2, small=22):
    """A zone of vinokniha-grown."""
    return [_instance(f'L{n}', 100.0, 2.15) for n in range(large)] + [
        _instance(f's{n}') for n in range(small)
    ]


def _callers(candidates, troubled=NONE):
    """Returns the share of callers by name; they pick at random."""
    rng = random.Random(7)
    callers = collections.Counter()
    for _ in range(ANSWERS):
        named = instance_selection.choose(candidates, troubled, MOST, rng)
        for each in named:
            callers[each.name] += 1.0 / len(named) / ANSWERS
    return callers


def test_small_instances_get_fewer_callers_than_large_ones():
    """A link of 10 Mbit/s got as many callers as one of 100."""
    callers = _callers(_zone())
    small = [callers[f's{n}'] for n in range(22)]
    large = [callers['L0'], callers['L1']]
    assert max(small) < 0.55 * min(large)
    # The least number of named instances keeps the load spread.
    assert max(large) < 2.1 / 24


def test_no_instance_is_starved():
    callers = _callers(_zone())
    assert min(callers[each.name] for each in _zone()) > 0.5 / 24


def test_smaller_instances_get_fewer_callers_than_middle_ones():
    middle = [_instance(f'm{n}', 40.0, 1.0) for n in range(8)]
    callers = _callers(_zone(2, 14) + middle)
    assert callers['s0'] < 0.6 * callers['m0'] < 0.9 * callers['L0']


def test_troubled_instance_gets_no_callers_while_others_are_well():
    callers = _callers(_zone(), frozenset({'L1', 's3', 's4'}))
    assert not callers.keys() & {'L1', 's3', 's4'}
    assert len(callers) == 21


def test_zone_without_sound_large_ones_names_the_small_ones():
    callers = _callers(_zone(), frozenset({'L0', 'L1'}))
    assert len(callers) == 22
    assert max(callers.values()) == pytest.approx(1 / 22)


def test_zone_of_which_all_are_troubled_is_named_as_if_none_were():
    candidates = _zone()
    troubled = frozenset(each.name for each in candidates)
    callers = _callers(candidates, troubled)
    assert len(callers) == 24
    assert callers['s0'] < 0.6 * callers['L0']


def test_mostly_troubled_zone_does_not_send_all_to_the_sound_few():
    """Two instances would get the callers of 24."""
    troubled = frozenset(f's{n}' for n in range(22))
    callers = _callers(_zone(), troubled)
    assert callers['L0'] == pytest.approx(1 / 12)
    assert len(callers) == 24


@pytest.mark.parametrize('troubled', [NONE, frozenset({'s1'})])
def test_equal_instances_are_named_as_before(troubled):
    equal = [_instance(f's{n}') for n in range(5)]
    rng = random.Random(1)
    assert instance_selection.choose(equal, troubled, MOST, rng) == equal
    many = [_instance(f's{n}') for n in range(70)]
    assert instance_selection.choose(many, troubled, MOST, rng) == many[:MOST]


def test_slight_differences_change_nothing():
    near = [_instance('x', 100.0, 2.0), _instance('y', 60.0, 1.1)]
    assert (
        instance_selection.choose(near, NONE, MOST, random.Random(1)) == near
    )


def test_instances_that_say_nothing_are_taken_as_equal():
    """Entries of an older version have no link and no processor time."""
    silent = [_instance(f's{n}', 0.0, 0.0) for n in range(6)]
    mixed = [*silent, _instance('L0', 100.0, 2.15)]
    rng = random.Random(1)
    assert instance_selection.choose(mixed, NONE, MOST, rng) == mixed


def test_nobody_is_named_where_there_is_nobody():
    assert instance_selection.choose([], NONE, MOST, random.Random(1)) == []


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
def test_at_least_half_of_the_sound_ones_are_named(capacities, seed):
    candidates = [
        _instance(f'i{n}', link, cores)
        for n, (link, cores, _) in enumerate(capacities)
    ]
    troubled = frozenset(
        f'i{n}' for n, each in enumerate(capacities) if each[2]
    )
    rng = random.Random(seed)
    named = instance_selection.choose(candidates, troubled, MOST, rng)
    names = {each.name for each in named}
    assert 0 < len(names) == len(named) <= MOST
    sound = {each.name for each in candidates} - troubled
    assert len(names & sound) >= min(MOST, math.ceil(len(sound) / 2))
    if instance_selection.is_uneven(candidates) and (
        len(sound) >= len(candidates) / 2
    ):
        assert not names & troubled


class _Heard:
    heard_at_by_name: dict[str, float] = {}


def test_directory_asks_for_trouble_at_each_answer():
    troubled = set()
    found = directory.Directory(
        _Heard(),
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
