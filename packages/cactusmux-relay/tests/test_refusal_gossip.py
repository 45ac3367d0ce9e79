"""Tests that forwarded gossip lets the fleet recognise rejected callers."""

import random

from cactusmux_base import timers
from cactusmux_relay import refusal_gossip
from cactusmux_relay import refused_callers
import pytest

KEY = refused_callers.request_key('almaty', '5c1e07a2:800,91bd3f06:410')
SAMPLE = 8
PERIOD_S = 0.5


class _Instance:
    def __init__(self, clock):
        self.callers = refused_callers.RefusedCallers(clock, random.Random(1))
        self.gossip = refusal_gossip.RefusalGossip(clock, self.callers)


@pytest.fixture(name='clock')
def _clock():
    return timers.ManualTimers()


def test_instance_forwards_received_rejections(clock):
    first, second, third = (_Instance(clock) for _ in range(3))
    first.gossip.record_refusal(KEY)
    second.gossip.take('first', first.gossip.own())
    third.gossip.take('second', second.gossip.own())
    assert third.callers.is_returning(KEY)


def test_old_rejections_are_not_forwarded_forever(clock):
    first, second = _Instance(clock), _Instance(clock)
    first.gossip.record_refusal(KEY)
    for _ in range(6):
        clock.advance(PERIOD_S)
        second.gossip.take('first', first.gossip.own() or b'\x90')
        first.gossip.take('second', second.gossip.own() or b'\x90')
    assert first.gossip.own() == second.gossip.own() == b''


def test_reported_keys_are_bounded_and_the_newest(clock):
    one, other = _Instance(clock), _Instance(clock)
    for key in range(10 * refusal_gossip.MAX_REPORTED):
        clock.advance(0.001)
        one.gossip.record_refusal(2**47 + key)
    data = one.gossip.own()
    assert len(data) < 500
    other.gossip.take('one', data)
    assert other.callers.is_returning(2**47 + key)


def test_most_of_a_large_fleet_recognises_a_caller_within_two_seconds(clock):
    """Without forwarding, one instance in four would recognise it."""
    rng = random.Random(3)
    fleet = [_Instance(clock) for _ in range(72)]
    fleet[0].gossip.record_refusal(KEY)
    for _ in range(4):
        clock.advance(PERIOD_S)
        messages = [
            (receiver, sender.gossip.own())
            for sender in fleet
            for receiver in rng.sample(fleet, SAMPLE)
        ]
        for receiver, data in messages:
            if data and rng.random() > 0.1:
                receiver.gossip.take('sender', data)
    knowing = sum(each.callers.is_returning(KEY) for each in fleet)
    assert knowing >= 65
