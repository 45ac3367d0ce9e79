"""Tests that failing targets are ejected and probed, but never all at once."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_routing import breakers
from cactusmux_routing import choosers
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from . import test_choosers

KNOWN = [
    test_choosers.make_target(f'{name}{i}', first, last)
    for name, first, last in (('a', 0, 4), ('b', 4, 8))
    for i in range(4)
]


class Fleet:
    """A chooser and its breakers on a manual clock."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.chooser = test_choosers.make_chooser('flow', KNOWN)
        self.breakers = breakers.Breakers(
            self.clock, random.Random(1), self.metric, self._can_lose
        )

    def _can_lose(self, lost: frozenset[str]) -> bool:
        return self.chooser.has_routes_without(
            lost, breakers.MAX_EJECTED_FRACTION
        )


def test_consecutive_failures_eject_and_successes_between_do_not() -> None:
    fleet = Fleet()
    for _ in range(10):
        fleet.breakers.record_failure('a0')
        fleet.breakers.record_failure('a0')
        for _ in range(3):
            fleet.breakers.record_success('a0')
    assert not fleet.breakers.ejected()
    for _ in range(breakers.CONSECUTIVE_FAILURES):
        fleet.breakers.record_failure('a0')
    assert fleet.breakers.ejected() == {'a0'}


def test_target_that_fails_most_requests_is_ejected() -> None:
    fleet = Fleet()
    for _ in range(15):
        fleet.breakers.record_failure('a0')
        fleet.breakers.record_failure('a0')
        fleet.breakers.record_success('a0')
    assert fleet.breakers.ejected() == {'a0'}


def test_one_probe_at_a_time_and_longer_after_each_failure() -> None:
    fleet = Fleet()
    fleet.breakers.record_failure('a0', certain=True)
    durations = []
    for _ in range(4):
        began_at = fleet.clock.now()
        while 'a0' in fleet.breakers.ejected():
            fleet.clock.advance(0.01)
        durations.append(fleet.clock.now() - began_at)
        fleet.breakers.record_started('a0')
        assert fleet.breakers.ejected() == {'a0'}
        fleet.breakers.record_failure('a0', certain=True)
    for number, seconds in enumerate(durations):
        max_ejection_s = breakers.BASE_EJECTION_S * 2**number
        assert max_ejection_s * 0.49 <= seconds <= max_ejection_s * 1.02
    fleet.clock.advance(breakers.MAX_EJECTION_S)
    fleet.breakers.record_started('a0')
    fleet.breakers.record_success('a0')
    assert not fleet.breakers.ejected()


def test_abandoned_probe_lets_another_one_through() -> None:
    fleet = Fleet()
    fleet.breakers.record_failure('a0', certain=True)
    fleet.clock.advance(breakers.BASE_EJECTION_S)
    fleet.breakers.record_started('a0')
    fleet.breakers.record_abandoned('a0')
    assert not fleet.breakers.ejected()


def test_probe_without_result_does_not_eject_for_ever() -> None:
    fleet = Fleet()
    fleet.breakers.record_failure('a0', certain=True)
    fleet.clock.advance(breakers.BASE_EJECTION_S)
    fleet.breakers.record_started('a0')
    fleet.clock.advance(breakers.PROBE_TIMEOUT_S - 0.01)
    assert fleet.breakers.ejected() == {'a0'}
    fleet.clock.advance(0.02)
    assert not fleet.breakers.ejected()
    fleet.breakers.record_started('a0')
    fleet.breakers.record_success('a0')
    assert not fleet.breakers.ejected()


def test_late_failure_of_an_old_request_does_not_extend_ejection() -> None:
    fleet = Fleet()
    for _ in range(20):
        fleet.breakers.record_failure('a0', certain=True)
    fleet.clock.advance(breakers.BASE_EJECTION_S)
    assert not fleet.breakers.ejected()


@pytest.mark.parametrize('certain', [True, False])
def test_readmissions_are_spread_over_time(certain: bool) -> None:
    fleet = Fleet()
    for name in ('a0', 'a1', 'b0', 'b1'):
        for _ in range(breakers.CONSECUTIVE_FAILURES):
            fleet.breakers.record_failure(name, certain)
    counts = set()
    for _ in range(50):
        counts.add(len(fleet.breakers.ejected()))
        fleet.clock.advance(0.01)
    assert counts == {0, 1, 2, 3, 4}


def test_half_of_the_targets_and_a_route_stay_when_all_fail() -> None:
    fleet = Fleet()
    for target in KNOWN:
        fleet.breakers.record_failure(target.address, certain=True)
    ejected = fleet.breakers.ejected()
    assert 0 < len(ejected) <= len(KNOWN) / 2
    request = test_choosers.REQUEST._replace(avoid=ejected)
    fleet.chooser.choose(request).unwrap()
    name = 'breaker.ejection_withheld'
    assert fleet.metric.counter_by_name[name] == len(KNOWN) - len(ejected)


def test_last_holder_of_a_layer_is_never_ejected() -> None:
    fleet = Fleet()
    for name in ('b1', 'b2', 'b3'):
        fleet.chooser.remove(name)
    fleet.breakers.record_failure('b0', certain=True)
    assert not fleet.breakers.ejected()


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([t.address for t in KNOWN]),
            st.sampled_from(['fail', 'certain', 'ok', 'start', 'wait']),
        ),
        max_size=80,
    )
)
def test_a_route_always_remains(steps: list[tuple[str, str]]) -> None:
    fleet = Fleet()
    for address, step in steps:
        if step == 'wait':
            fleet.clock.advance(0.3)
        elif step == 'start':
            fleet.breakers.record_started(address)
        elif step == 'ok':
            fleet.breakers.record_success(address)
        else:
            fleet.breakers.record_failure(address, step == 'certain')
        ejected = fleet.breakers.ejected()
        assert len(ejected) <= len(KNOWN) * breakers.MAX_EJECTED_FRACTION
        request = test_choosers.REQUEST._replace(avoid=ejected)
        fleet.chooser.choose(request).unwrap()


@pytest.mark.parametrize('policy', test_choosers.POLICIES)
def test_ejected_targets_are_used_only_if_nothing_else_is_left(
    policy: str,
) -> None:
    chooser = test_choosers.make_chooser(policy, test_choosers.COMPLETE)
    ejected = frozenset({'a1', 'b1'})
    request = test_choosers.REQUEST._replace(ejected=frozenset({'a1'}))
    for _ in range(20):
        assert chooser.choose(request).unwrap().stages[0].address == 'a2'
    request = test_choosers.REQUEST._replace(ejected=ejected)
    chooser.choose(request).unwrap()
    failure = chooser.choose(request._replace(avoid=ejected)).failure()
    assert type(failure) is choosers.AllAvoided
