import random

from cactusmux_base import timers
from cactusmux_relay import refused_callers
import pytest

KEY = refused_callers.key_of('almaty', '5c1e07a2:800,91bd3f06:410')


@pytest.fixture(name='clock')
def _clock():
    return timers.ManualTimers()


@pytest.fixture(name='callers')
def _callers(clock):
    return refused_callers.RefusedCallers(clock, random.Random(1))


def test_refused_request_is_recognised_for_some_seconds(callers, clock):
    callers.note_refused(KEY)
    clock.advance(refused_callers.MEMORY_S - 0.1)
    assert callers.is_returning(KEY)
    clock.advance(0.1)
    assert not callers.is_returning(KEY)


def test_other_requests_are_not_taken_for_refused_ones(callers):
    callers.note_refused(KEY)
    other = refused_callers.key_of('almaty', '5c1e07a2:800,91bd3f07:410')
    foreign = refused_callers.key_of('astana', '5c1e07a2:800,91bd3f06:410')
    assert not callers.is_returning(other)
    assert not callers.is_returning(foreign)


def test_request_without_a_prompt_is_never_recognised(callers):
    key = refused_callers.key_of('almaty', '')
    callers.note_refused(key)
    assert not callers.is_returning(key)
    assert callers.own() == []


def test_other_instance_recognises_what_it_was_told(callers, clock):
    callers.note_refused(KEY)
    other = refused_callers.RefusedCallers(clock, random.Random(2))
    other.note_told(callers.own())
    assert other.is_returning(KEY)
    assert other.own() == []


def test_refusals_are_told_for_a_short_time(callers, clock):
    callers.note_refused(KEY)
    clock.advance(refused_callers.TOLD_S + 0.1)
    assert callers.own() == []


def test_memory_is_bounded_and_the_newest_stay(callers):
    for key in range(refused_callers.MAX_KNOWN + 10):
        callers.note_refused(key)
    assert not callers.is_returning(9)
    assert callers.is_returning(10)
    assert len(callers.own()) == refused_callers.MAX_TOLD


def test_callers_refused_at_once_are_spread_when_they_return(callers):
    waits = [callers.note_refused(key) for key in range(200)]
    assert min(waits) >= refused_callers.LEAST_RETRY_S
    assert max(waits) <= refused_callers.LONGEST_RETRY_S
    half = (
        refused_callers.LEAST_RETRY_S + refused_callers.LONGEST_RETRY_S
    ) / 2
    early = sum(wait < half for wait in waits)
    assert 80 <= early <= 120
