"""Instances that accept callers but serve them badly, and how peers learn."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_relay import instance_trouble
from cactusmux_relay import soft_exchange
from cactusmux_relay import store_availability
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from cactusmux_relay import trouble_topic
import msgspec
import pytest

PERIOD_S = instance_trouble.PERIOD_S


class _Down:
    def __init__(self):
        self.ids = frozenset()


class _Rig:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.registry = target_registry.TargetRegistry()
        self.down = _Down()
        self.availability = store_availability.StoreAvailability(self.timer)
        self.changes = []
        self.trouble = instance_trouble.InstanceTrouble(
            self.registry,
            self.down,
            self.availability,
            self.timer,
            self.metric,
            lambda: self.changes.append(self.trouble.is_troubled),
        )

    def check(self, *lates):
        """Checks once per period, each time late by the given seconds."""
        for late_s in lates:
            self.timer.advance(PERIOD_S + late_s)
            self.trouble.check()
        return self.trouble.is_troubled


def test_instance_on_time_is_not_in_trouble():
    rig = _Rig()
    assert not rig.check(*[0.02] * 40)
    assert rig.changes == []


def test_single_short_delay_is_no_trouble():
    """Otherwise a garbage collection takes an instance out for seconds."""
    assert not _Rig().check(0.0, 0.2, 0.0, 0.2, 0.0)


@pytest.mark.parametrize('lates', [[0.3], [0.12, 0.12]])
def test_late_instance_is_in_trouble_until_on_time_for_a_while(lates):
    rig = _Rig()
    assert rig.check(*lates)
    assert rig.metric.gauge_by_name['instance.troubled'] == 1.0
    periods = int(instance_trouble.HELD_S / PERIOD_S)
    assert rig.check(*[0.0] * (periods - 1))
    assert not rig.check(0.0, 0.0)
    assert rig.changes == [True, False]


def test_instance_without_most_targets_is_in_trouble():
    rig = _Rig()
    members = [
        sample_engine.target(f't{n}', 'a100', 'a', targets.LayerRange(0, 40))
        for n in range(4)
    ]
    rig.registry.replace(members, {})
    rig.down.ids = frozenset({'t0', 't1'})
    assert not rig.check(0.0)
    rig.down.ids = frozenset({'t0', 't1', 't2'})
    assert rig.check(0.0)


def test_instance_without_the_store_is_in_trouble():
    rig = _Rig()
    assert not rig.check(*[0.0] * 20)
    rig.availability.record_answered()
    periods = int(store_availability.MAX_ANSWER_GAP_S / PERIOD_S)
    assert not rig.check(*[0.0] * periods)
    assert rig.check(0.0)
    rig.availability.record_answered()
    periods = int(instance_trouble.HELD_S / PERIOD_S)
    assert not rig.check(*[0.0] * (periods + 1))


class _Fleet:
    """Instances that gossip to samples, with some messages lost."""

    def __init__(self, count, loss=0.0):
        self.timer = timers.ManualTimers()
        self._rng = random.Random(4)
        self._loss = loss
        self.troubled = set()
        self.largest = 0
        self.topic_by_name = {
            f'i{n}': trouble_topic.TroubleTopic(
                f'i{n}',
                lambda name=f'i{n}': name in self.troubled,
                self.timer,
                metrics.MemoryMetrics(),
            )
            for n in range(count)
        }

    def exchange(self, periods):
        """Lets each instance send once per period, at a time of its own."""
        names = list(self.topic_by_name)
        step_s = soft_exchange.SAMPLE_PERIOD_S / len(names)
        for _ in range(periods):
            for name in names:
                self.timer.advance(step_s)
                data = self.topic_by_name[name].own()
                self.largest = max(self.largest, len(data))
                others = [each for each in names if each != name]
                receivers = self._rng.sample(others, soft_exchange.SAMPLE_SIZE)
                for each in receivers:
                    if data and self._rng.random() >= self._loss:
                        self.topic_by_name[each].take(name, data)

    def count_informed(self, name):
        """Returns how many instances know that one is in trouble."""
        return sum(
            name in each.troubled_names()
            for each in self.topic_by_name.values()
        )


@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_trouble_soon_spreads_through_a_large_fleet(loss):
    """Without forwarding, only about half of them would know."""
    fleet = _Fleet(72, loss)
    fleet.troubled = {'i5'}
    fleet.exchange(4)
    assert fleet.count_informed('i5') >= 70
    fleet.exchange(20)
    assert fleet.count_informed('i5') == 72


def test_trouble_that_is_over_is_forgotten():
    """Copies forwarded in circles must not keep it alive forever."""
    fleet = _Fleet(72)
    fleet.troubled = {'i5'}
    fleet.exchange(10)
    fleet.troubled = set()
    fleet.exchange(int(trouble_topic.VALID_S / soft_exchange.SAMPLE_PERIOD_S))
    fleet.timer.advance(0.1)
    assert fleet.count_informed('i5') == 0
    fleet.exchange(40)
    assert fleet.count_informed('i5') == 0


def test_late_copies_do_not_renew_a_statement():
    timer = timers.ManualTimers()
    topic = trouble_topic.TroubleTopic(
        'own', lambda: False, timer, metrics.MemoryMetrics()
    )
    data = msgspec.msgpack.encode([trouble_topic.Statement('x', 1, 0)])
    for _ in range(5):
        topic.take('x', data)
        timer.advance(trouble_topic.VALID_S / 4)
    assert topic.troubled_names() == frozenset()


def test_gossip_stays_short_with_many_in_trouble():
    fleet = _Fleet(72)
    fleet.troubled = {f'i{n}' for n in range(40)}
    fleet.exchange(6)
    assert fleet.largest <= 300


def test_undecodable_gossip_raises():
    topic = _Fleet(20).topic_by_name['i1']
    with pytest.raises(msgspec.MsgspecError):
        topic.take('i2', b'\xff')
