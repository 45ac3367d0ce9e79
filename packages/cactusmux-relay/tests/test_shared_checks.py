"""Checks of one target are shared among the instances of a large fleet."""

import random

from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_relay import connection_probes
from cactusmux_relay import down_targets
from cactusmux_relay import layer_orders
from cactusmux_relay import recovery_topic
from cactusmux_relay import shared_checks
from cactusmux_relay import slow_targets
from cactusmux_relay import targets
import gevent
import pytest
from returns import result

TARGET = sample_engine.target('t', 'a100', 'a', targets.LayerRange(0, 80))
# If 72 instances all checked every 0.7 s, they'd open 103 connections/s.
MAX_CONNECTIONS_PER_S = 30.0
OBSERVATION_S = 10.0
# Period in which each instance learns which targets its peers found down.
GOSSIP_PERIOD_S = 0.5
FLEET_SIZE = 97


class _Pool:
    """Instances that believe one target down, and connections to it.

    Either the whole fleet believes it and its instances tell each other, or
    only ``holders`` of them do: the links of the others work, and gossip
    doesn't change what they believe.
    """

    def __init__(self, count, monkeypatch, holders=None):
        self.timer = timers.ManualTimers()
        self.connections = 0
        self.is_up = False
        rng = random.Random(count)
        self.instances = [
            down_targets.DownTargets(
                self.timer, random.Random(rng.random()), lambda: count
            )
            for _ in range(count)
        ]
        monkeypatch.setattr(connection_probes, 'probe_address', self._connect)
        monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
        for instance in self.instances:
            instance.start()
        self._holders = self.instances[:holders]
        for instance in self._holders:
            instance.mark(TARGET, 'refused')
        self._report_down()
        self.timer.every(GOSSIP_PERIOD_S, self._report_down)

    def _report_down(self):
        """Lets each instance tell its peers which targets it found down."""
        senders = [instance for instance in self._holders if instance.ids]
        for instance in self._holders:
            if any(sender is not instance for sender in senders):
                instance.record_peer_report(TARGET)

    def _connect(self, address, timeout_s, timer):
        self.connections += 1
        if self.is_up:
            return connection_probes.ProbeResult(
                connection_probes.Outcome.ACCEPTED, 'ok', 0.0
            )
        return connection_probes.ProbeResult(
            connection_probes.Outcome.REFUSED, 'no', 0.0
        )

    def exchange_gossip(self):
        """Lets each instance send its recovery gossip to all peers."""
        topics = [
            recovery_topic.RecoveryTopic(instance)
            for instance in self.instances
        ]
        for sender in topics:
            data = sender.own()
            for receiver in topics:
                if data and receiver is not sender:
                    receiver.take('other', data)

    def seconds_until_up(self, limit_s, with_gossip):
        """Returns the time until all instances know that the target is up."""
        self.is_up = True
        begun = self.timer.now()
        while any(instance.ids for instance in self.instances):
            self.timer.advance(0.1)
            if with_gossip:
                self.exchange_gossip()
            if self.timer.now() - begun > limit_s:
                break
        return self.timer.now() - begun


@pytest.mark.parametrize('count', [72, 195])
def test_large_fleet_shares_the_rechecks_of_a_target_that_is_down(
    count, monkeypatch
):
    """Guards against every instance connecting each 0.7 s to each target."""
    pool = _Pool(count, monkeypatch)
    pool.timer.advance(OBSERVATION_S)
    longest = shared_checks.MAX_DELAY_S * (1.0 - shared_checks.JITTER)
    allowed = max(MAX_CONNECTIONS_PER_S, count / longest)
    assert pool.connections / OBSERVATION_S < allowed


def test_each_instance_of_a_small_fleet_rechecks_in_every_period(monkeypatch):
    pool = _Pool(4, monkeypatch)
    pool.timer.advance(OBSERVATION_S)
    rounds = OBSERVATION_S / down_targets.RECHECK_PERIOD_S
    assert pool.connections >= 4 * (rounds - 2)


@pytest.mark.parametrize('count', [8, 72, 195])
def test_one_recheck_informs_all_that_a_target_is_up_again(count, monkeypatch):
    pool = _Pool(count, monkeypatch)
    pool.timer.advance(3.0)
    assert pool.seconds_until_up(6.0, with_gossip=True) <= 1.0


def test_isolated_instance_detects_a_recovery_itself(monkeypatch):
    pool = _Pool(195, monkeypatch)
    pool.timer.advance(3.0)
    longest = shared_checks.MAX_DELAY_S * (1.0 + shared_checks.JITTER)
    assert pool.seconds_until_up(20.0, with_gossip=False) <= longest + 0.2


def test_target_down_for_one_instance_only_is_rechecked_soon(
    monkeypatch,
):
    """Guards against waiting up to 5.7 s for peers after a link failure."""
    pool = _Pool(FLEET_SIZE, monkeypatch, holders=1)
    longest = (
        down_targets.RECHECK_PERIOD_S + down_targets.RECHECK_POLL_PERIOD_S
    )
    assert pool.seconds_until_up(20.0, with_gossip=True) <= longest + 0.01


def test_target_down_for_one_instance_only_is_rechecked_often(
    monkeypatch,
):
    pool = _Pool(FLEET_SIZE, monkeypatch, holders=1)
    pool.timer.advance(OBSERVATION_S)
    rounds = OBSERVATION_S / down_targets.RECHECK_PERIOD_S
    assert pool.connections >= rounds - 2


class _Reports(layer_orders.LayerOrders):
    """Counts requests for reports."""

    def __init__(self):
        self.query_count = 0

    def set_layers(self, target, layers, number):
        raise AssertionError

    def change_path(self, first, request_id, path):
        raise AssertionError

    def report(self, target):
        self.query_count += 1
        return result.Failure(layer_orders.OrderUnanswered(target.id))


def test_large_fleet_shares_the_reports_of_a_suspected_target(monkeypatch):
    """All instances suspect a slow target when its streams slow down."""
    monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
    timer = timers.ManualTimers()
    reports = _Reports()
    instances = [
        slow_targets.SlowTargets(
            reports, timer, lambda: 72, random.Random(number)
        )
        for number in range(72)
    ]
    for _ in range(100):
        timer.advance(0.1)
        for instance in instances:
            instance.check_suspect(TARGET)
    # All 72 at their shortest interval would make 900 requests.
    assert 72 <= reports.query_count <= 300


def test_target_suspected_by_one_instance_is_queried_at_once(monkeypatch):
    """Guards against a first report after up to 5 s, as no peer asks."""
    monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
    for seed in range(20):
        reports = _Reports()
        instance = slow_targets.SlowTargets(
            reports,
            timers.ManualTimers(),
            lambda: FLEET_SIZE,
            random.Random(seed),
        )
        instance.check_suspect(TARGET)
        assert reports.query_count == 1


def test_target_reported_slow_by_peers_is_not_queried_by_all(monkeypatch):
    """All instances suspect the target at the same moment."""
    monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
    reports = _Reports()
    timer = timers.ManualTimers()
    for number in range(FLEET_SIZE):
        instance = slow_targets.SlowTargets(
            reports, timer, lambda: FLEET_SIZE, random.Random(number)
        )
        instance.record_peer_report({TARGET.id: 2.0})
        instance.check_suspect(TARGET)
    assert reports.query_count <= FLEET_SIZE / 10
