import random

from cactusmux_base import timers
from cactusmux_relay import refused_callers
import pytest

KEY = refused_callers.request_key('almaty', '5c1e07a2:800,91bd3f06:410')


@pytest.fixture(name='clock')
def _clock():
    return timers.ManualTimers()


@pytest.fixture(name='callers')
def _callers(clock):
    return refused_callers.RefusedCallers(clock, random.Random(1))


def test_refused_request_is_recognised_for_some_seconds(callers, clock):
    callers.record_refusal(KEY)
    clock.advance(refused_callers.RECOGNITION_S - 0.1)
    assert callers.is_returning(KEY)
    clock.advance(0.1)
    assert not callers.is_returning(KEY)


def test_other_requests_are_not_taken_for_refused_ones(callers):
    callers.record_refusal(KEY)
    other = refused_callers.request_key('almaty', '5c1e07a2:800,91bd3f07:410')
    foreign = refused_callers.request_key(
        'astana', '5c1e07a2:800,91bd3f06:410'
    )
    assert not callers.is_returning(other)
    assert not callers.is_returning(foreign)


def test_request_without_a_prompt_is_never_recognised(callers):
    key = refused_callers.request_key('almaty', '')
    callers.record_refusal(key)
    assert not callers.is_returning(key)
    assert callers.own_refusals() == []


def test_peer_recognises_reported_refusals(callers, clock):
    callers.record_refusal(KEY)
    other = refused_callers.RefusedCallers(clock, random.Random(2))
    other.record_peer_refusals(callers.own_refusals())
    assert other.is_returning(KEY)
    assert other.own_refusals() == []


def test_refusals_are_reported_for_a_short_time(callers, clock):
    callers.record_refusal(KEY)
    clock.advance(refused_callers.REPORT_DURATION_S + 0.1)
    assert callers.own_refusals() == []


def test_number_of_keys_is_bounded_and_the_newest_stay(callers):
    for key in range(refused_callers.MAX_REMEMBERED + 10):
        callers.record_refusal(key)
    assert not callers.is_returning(9)
    assert callers.is_returning(10)
    assert len(callers.own_refusals()) == refused_callers.MAX_REPORTED


def test_retry_delays_of_callers_refused_at_once_are_spread(callers):
    waits = [callers.record_refusal(key) for key in range(200)]
    assert min(waits) >= refused_callers.MIN_RETRY_S
    assert max(waits) <= refused_callers.MAX_RETRY_S
    half = (refused_callers.MIN_RETRY_S + refused_callers.MAX_RETRY_S) / 2
    early = sum(wait < half for wait in waits)
    assert 80 <= early <= 120
