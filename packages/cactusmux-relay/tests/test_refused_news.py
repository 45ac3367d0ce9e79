"""Rejected callers are recognised by instances that were not told first."""

import random

from cactusmux_base import timers
from cactusmux_relay import refusal_gossip
from cactusmux_relay import refused_callers
import pytest

KEY = refused_callers.key_of('almaty', '5c1e07a2:800,91bd3f06:410')
SAMPLE = 8
PERIOD_S = 0.5


class _Instance:
    def __init__(self, clock):
        self.callers = refused_callers.RefusedCallers(clock, random.Random(1))
        self.news = refusal_gossip.RefusalGossip(clock, self.callers)


@pytest.fixture(name='clock')
def _clock():
    return timers.ManualTimers()


def test_instance_passes_on_what_it_has_heard(clock):
    first, second, third = (_Instance(clock) for _ in range(3))
    first.news.note(KEY)
    second.news.take('first', first.news.own())
    third.news.take('second', second.news.own())
    assert third.callers.is_returning(KEY)


def test_old_news_are_not_passed_on_in_circles(clock):
    first, second = _Instance(clock), _Instance(clock)
    first.news.note(KEY)
    for _ in range(6):
        clock.advance(PERIOD_S)
        second.news.take('first', first.news.own() or b'\x90')
        first.news.take('second', second.news.own() or b'\x90')
    assert first.news.own() == second.news.own() == b''


def test_told_keys_are_bounded_and_the_newest(clock):
    one, other = _Instance(clock), _Instance(clock)
    for key in range(10 * refusal_gossip.MAX_TOLD):
        clock.advance(0.001)
        one.news.note(2**47 + key)
    data = one.news.own()
    assert len(data) < 500
    other.news.take('one', data)
    assert other.callers.is_returning(2**47 + key)


def test_most_of_a_large_fleet_recognises_a_caller_within_two_seconds(clock):
    """By the sample alone, one instance in four would."""
    rng = random.Random(3)
    fleet = [_Instance(clock) for _ in range(72)]
    fleet[0].news.note(KEY)
    for _ in range(4):
        clock.advance(PERIOD_S)
        told = [
            (receiver, sender.news.own())
            for sender in fleet
            for receiver in rng.sample(fleet, SAMPLE)
        ]
        for receiver, data in told:
            if data and rng.random() > 0.1:
                receiver.news.take('sender', data)
    knowing = sum(each.callers.is_returning(KEY) for each in fleet)
    assert knowing >= 65
