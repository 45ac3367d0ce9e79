"""The bound of the sum over instances, whatever messages are lost.

Stated: of the requests that were begun in one epoch within the limits, no
more are in flight at once than the highest limit of any instance has seats.
So with requests no longer than an epoch, two epochs' worth are in flight at
most. It must hold with every datagram lost, doubled or late.
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
        self.book = target_registry.TargetRegistry()
        self.ledger = load_tracker.LoadTracker(timer)
        self.ledger.set_instances(INSTANCES)
        turn = instance_rank.InstanceRank(place, INSTANCES)
        self.paces = target_paces.TargetPaces(
            self.book,
            self.ledger,
            request_handling.ConfigurationInForce(),
            lambda: turn,
            timer,
            metrics.MemoryMetrics(),
        )

    def have(self, born_ms):
        self.book.replace(
            [_target(each, born_ms if each == 'new' else 1) for each in NAMES],
            {},
        )
        self.paces.review()


class PaceMachine(stateful.RuleBasedStateMachine):
    """Some instances, one target that has just started, and the news."""

    def __init__(self):
        super().__init__()
        self.timer = timers.ManualTimers()
        self.instances = [
            _Instance(place, self.timer) for place in range(INSTANCES)
        ]
        for each in self.instances:
            each.have(1)
        self.timer.advance(recoveries.INITIAL_DISCOVERY_S)
        for each in self.instances:
            each.have(2)
        self.in_flight = []
        self.told = []
        self.most_seats_by_epoch = collections.Counter()

    @property
    def epoch(self):
        return int(self.timer.wall() / slow_start.PLAIN_EPOCH_S)

    def _note_seats(self):
        for each in self.instances:
            for limit in each.paces._limit_by_start.values():
                seats = slow_start.seats(limit, SLOTS)
                most = self.most_seats_by_epoch[self.epoch]
                self.most_seats_by_epoch[self.epoch] = max(most, seats)

    @stateful.rule(place=PLACES, times=strategies.integers(1, 4))
    def send(self, place, times):
        instance = self.instances[place]
        for _ in range(times):
            at_limit = 'new' in instance.paces.at_limit()
            self._note_seats()
            if at_limit or not instance.paces._limit_by_start:
                return
            instance.ledger.add(('new',), 0.0)
            target = instance.book.target_by_id['new']
            sent = instance.paces.note_sent((target,))
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
        instance.ledger.remove(('new',), 0.0)
        instance.paces.note_answer(sent, target_limits.Answer(verdict))
        self._note_seats()

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 0.6, 1.1]))
    def wait(self, seconds):
        self.timer.advance(seconds)

    @stateful.rule(place=PLACES)
    def tell(self, place):
        instance = self.instances[place]
        data = instance.paces.own()
        loads = instance.ledger.own_loads()
        counts = dict(loads.requests_by_target)
        self.told.append(
            (place, data, load_tracker.InstanceLoads({}, counts, {}))
        )

    @stateful.rule(number=strategies.integers(0, 50), place=PLACES)
    def arrive(self, number, place):
        """Delivers any datagram, however late and often."""
        if not self.told:
            return
        sender, data, loads = self.told[number % len(self.told)]
        if sender == place:
            return
        self.instances[place].ledger.note_peer(str(sender), loads)
        if data:
            self.instances[place].paces.take(str(sender), data)
        self._note_seats()

    @stateful.invariant()
    def sum_is_bounded(self):
        begun_by_epoch = collections.Counter(
            epoch for _, _, epoch in self.in_flight
        )
        for epoch, begun in begun_by_epoch.items():
            assert begun <= self.most_seats_by_epoch[epoch] <= SLOTS


TestPaceMachine = PaceMachine.TestCase
TestPaceMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
