"""Stateful test of the bound on requests in flight over all instances.

Of the requests started within the limits in one epoch, no more are in flight
at once than the highest limit of any instance has permits. With requests no
longer than an epoch, at most twice as many are thus in flight. The bound must
hold even if datagrams are lost, duplicated or late.
"""

import collections

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import instance_rank
from cactusmux_relay import load_tracker
from cactusmux_relay import recoveries
from cactusmux_relay import request_handling
from cactusmux_relay import slow_start
from cactusmux_relay import target_limits
from cactusmux_relay import target_paces
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

INSTANCES = 5
SLOTS = 8
NAMES = ('new', 'a', 'b', 'c')
PLACES = strategies.integers(0, INSTANCES - 1)
VERDICTS = strategies.sampled_from(
    [*slow_start.Verdict, *[slow_start.Verdict.NEAR] * 6]
)


def _target(name, born_ms):
    return targets.Target(
        name, 'plain', f'{name}:1', 'a', SLOTS, False, born_ms
    )


class _Instance:
    def __init__(self, place, timer):
        self.registry = target_registry.TargetRegistry()
        self.tracker = load_tracker.LoadTracker(timer)
        self.tracker.set_instances(INSTANCES)
        rank = instance_rank.InstanceRank(place, INSTANCES)
        self.paces = target_paces.TargetPaces(
            self.registry,
            self.tracker,
            request_handling.ConfigurationInForce(),
            lambda: rank,
            timer,
            metrics.MemoryMetrics(),
        )

    def set_targets(self, born_ms):
        self.registry.replace(
            [_target(each, born_ms if each == 'new' else 1) for each in NAMES],
            {},
        )
        self.paces.review()


class SlowStartMachine(stateful.RuleBasedStateMachine):
    """Several instances, one target that has just started, and gossip."""

    def __init__(self):
        super().__init__()
        self.timer = timers.ManualTimers()
        self.instances = [
            _Instance(place, self.timer) for place in range(INSTANCES)
        ]
        for each in self.instances:
            each.set_targets(1)
        self.timer.advance(recoveries.INITIAL_DISCOVERY_S)
        for each in self.instances:
            each.set_targets(2)
        self.in_flight = []
        self.datagrams = []
        self.max_permits_by_epoch = collections.Counter()

    @property
    def epoch(self):
        return int(self.timer.wall() / slow_start.PLAIN_EPOCH_S)

    def _record_permits(self):
        for each in self.instances:
            for limit in each.paces._limit_by_start.values():
                permits = slow_start.total_permits(limit, SLOTS)
                most = self.max_permits_by_epoch[self.epoch]
                self.max_permits_by_epoch[self.epoch] = max(most, permits)

    @stateful.rule(place=PLACES, times=strategies.integers(1, 4))
    def send(self, place, times):
        instance = self.instances[place]
        for _ in range(times):
            at_limit = 'new' in instance.paces.ids_at_limit()
            self._record_permits()
            if at_limit or not instance.paces._limit_by_start:
                return
            instance.tracker.add(('new',), 0.0)
            target = instance.registry.target_by_id['new']
            sent = instance.paces.record_sent((target,))
            self.in_flight.append((instance, sent, self.epoch))

    @stateful.rule(
        number=strategies.integers(0, 50),
        verdict=VERDICTS,
    )
    def answer(self, number, verdict):
        if not self.in_flight:
            return
        place = number % len(self.in_flight)
        instance, sent, _ = self.in_flight.pop(place)
        instance.tracker.remove(('new',), 0.0)
        instance.paces.record_response(sent, target_limits.Assessment(verdict))
        self._record_permits()

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 0.6, 1.1]))
    def wait(self, seconds):
        self.timer.advance(seconds)

    @stateful.rule(place=PLACES)
    def tell(self, place):
        instance = self.instances[place]
        data = instance.paces.own()
        loads = instance.tracker.own_loads()
        counts = dict(loads.requests_by_target)
        self.datagrams.append(
            (place, data, load_tracker.InstanceLoads({}, counts, {}))
        )

    @stateful.rule(number=strategies.integers(0, 50), place=PLACES)
    def arrive(self, number, place):
        """Delivers any datagram, at any delay and any number of times."""
        if not self.datagrams:
            return
        sender, data, loads = self.datagrams[number % len(self.datagrams)]
        if sender == place:
            return
        self.instances[place].tracker.record_peer_loads(str(sender), loads)
        if data:
            self.instances[place].paces.take(str(sender), data)
        self._record_permits()

    @stateful.invariant()
    def sum_is_bounded(self):
        started_by_epoch = collections.Counter(
            epoch for _, _, epoch in self.in_flight
        )
        for epoch, started in started_by_epoch.items():
            assert started <= self.max_permits_by_epoch[epoch] <= SLOTS


TestSlowStartMachine = SlowStartMachine.TestCase
TestSlowStartMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
