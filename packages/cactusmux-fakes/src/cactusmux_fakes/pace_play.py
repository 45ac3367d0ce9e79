"""Simulates plain requests to targets whose slowdown factor changes.

Instances run a real :class:`plain_relay.PlainRelay` with their own load
trackers and limits; targets and datagrams are simulated without a network.
"""

import collections
from collections.abc import Callable
import functools
import itertools
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import event_ids
from cactusmux_relay import instance_rank
from cactusmux_relay import live_streams
from cactusmux_relay import load_tracker
from cactusmux_relay import outcomes
from cactusmux_relay import plain_relay
from cactusmux_relay import request_handling
from cactusmux_relay import retry_budget
from cactusmux_relay import sending
from cactusmux_relay import soft_exchange
from cactusmux_relay import target_calls
from cactusmux_relay import target_limits
from cactusmux_relay import target_paces
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from cactusmux_routing import breakers
from gevent import lock
from gevent import pool

from . import idle_crashes
from . import play_timers
from . import relay_rig

SLOTS = 8
USUAL_RESPONSE_S = 0.1
OBJECTIVE_S = 0.25
TIME_LIMIT_S = 30.0
# Time for all instances to reach a steady state before targets restart.
SETTLING_S = 8.0
# A target counts as fully used once its response rate reaches this fraction
# of that of the others.
FULL_USE = 0.7
USE_WINDOW_S = 1.0

# Slowdown factor by seconds since the start and number of running requests.
Pace = Callable[[float, int], float]


def usual_pace(_age_s: float, _running: int) -> float:
    """Returns the slowdown factor of a target that has warmed up."""
    return 1.0


class Answered(NamedTuple):
    """A response: when it was requested and received, and its target."""

    asked_at: float
    answered_at: float
    target_id: str

    @property
    def seconds(self) -> float:
        """Returns how long the caller waited."""
        return self.answered_at - self.asked_at


class Server:
    """A target with a number of slots; further requests wait."""

    def __init__(self, target_id: str, timer: play_timers.PlayTimers) -> None:
        self._timer = timer
        self._slots = lock.BoundedSemaphore(SLOTS)
        self._pace: Pace = usual_pace
        self._started_at = timer.now()
        self.running = 0
        self.present = 0
        self.most_present = 0
        self.target = targets.Target(
            id=target_id,
            service=relay_rig.PLAIN_SERVICE,
            address=f'{target_id}:80',
            zone='a',
            slots=SLOTS,
            is_leaving=False,
            born_ms=1,
        )

    def restart(self, pace: Pace) -> None:
        """Restarts with another slowdown; running requests still finish."""
        self._pace = pace
        self._started_at = self._timer.now()
        born_ms = self.target.born_ms + 1
        self.target = self.target._replace(born_ms=born_ms)
        self.most_present = 0

    def run(self) -> None:
        """Runs one request."""
        self.present += 1
        self.most_present = max(self.most_present, self.present)
        with self._slots:
            self.running += 1
            age_s = self._timer.now() - self._started_at
            self._timer.sleep(
                USUAL_RESPONSE_S * self._pace(age_s, self.running)
            )
            self.running -= 1
        self.present -= 1


class _Sender(sending.Sender):
    """Replaces connections; records the target of each request."""

    def __init__(
        self,
        server_by_id: dict[str, Server],
        target_id_by_request: dict[str, str],
    ) -> None:
        self._server_by_id = server_by_id
        self._target_id_by_request = target_id_by_request

    def send(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        path: cost_model.Path = (),
        last_event_id: event_ids.EventId | None = None,
        live: live_streams.LiveStream | None = None,
        *,
        has_run: bool = False,
    ) -> outcomes.SendOutcome:
        self._target_id_by_request[exchange.facts.request_id] = target.id
        self._server_by_id[target.id].run()
        return outcomes.CompleteResponse(
            target_calls.ResponseHead(200, ()), b''
        )


class Instance:
    """One instance with its own state and relay."""

    def __init__(self, place: int, play: 'Play', has_limits: bool) -> None:
        timer = play.timer
        rng = random.Random(place)
        self.metric = metrics.MemoryMetrics()
        self.book = target_registry.TargetRegistry()
        self.ledger = load_tracker.LoadTracker(timer)
        self.ledger.set_instances(play.instance_count)
        target_backoffs = backoffs.Backoffs(self.book, timer, self.metric)
        budget = retry_budget.RetryBudget(timer, 1.0, 1e6, 10.0)
        health = breakers.Breakers(timer, rng, self.metric, lambda lost: True)
        rank = instance_rank.InstanceRank(place, play.instance_count)
        self.paces = target_paces.TargetPaces(
            self.book,
            self.ledger,
            request_handling.ConfigurationInForce(),
            lambda: rank,
            timer,
            self.metric,
        )
        limits: target_limits.TargetLimits = target_limits.UnlimitedTargets()
        if has_limits:
            limits = self.paces
            self.paces.start()
        self.relay = plain_relay.PlainRelay(
            self.book,
            self.ledger,
            _Sender(play.server_by_id, play.target_id_by_request),
            budget,
            health,
            timer,
            self.metric,
            rng,
            'a',
            target_backoffs,
            limits,
            crashes=idle_crashes.build_crashes(self.book, timer, self.metric),
        )


class Play:
    """A fleet, its targets and callers.

    :param loss: fraction of datagrams that are lost.
    """

    def __init__(
        self,
        instances: int,
        servers: int,
        rate: float,
        has_limits: bool,
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.timer = play_timers.PlayTimers()
        self.instance_count = instances
        self._rng = random.Random(seed)
        self._rate = rate
        self._loss = loss
        self.answers: list[Answered] = []
        self.target_id_by_request: dict[str, str] = {}
        self._numbers = itertools.count()
        self._callers = pool.Group()
        self.server_by_id = {
            name: Server(name, self.timer)
            for name in (f's{number}' for number in range(servers))
        }
        self.instances = [
            Instance(place, self, has_limits) for place in range(instances)
        ]
        self.publish()
        is_small = instances - 1 <= soft_exchange.MAX_BROADCAST_PEERS
        period_s = soft_exchange.PERIOD_S
        if not is_small:
            period_s = soft_exchange.SAMPLE_PERIOD_S
        for each in self.instances:
            self.timer.after(
                self._rng.uniform(0.0, period_s),
                functools.partial(self._start_gossip, each, period_s),
            )
        self._schedule_next()

    def publish(self) -> None:
        """Publishes the current targets to all instances."""
        for each in self.instances:
            present = [one.target for one in self.server_by_id.values()]
            each.book.replace(present, {})

    def run(self, seconds: float) -> None:
        """Advances the simulation by some seconds."""
        self.timer.play(seconds)

    def stop(self) -> None:
        """Ends all running requests."""
        self._callers.kill()

    def restart(self, names: list[str], pace: Pace) -> float:
        """Restarts targets; returns the time of the restart."""
        for name in names:
            self.server_by_id[name].restart(pace)
        self.publish()
        return self.timer.now()

    def _schedule_next(self) -> None:
        self.timer.after(
            self._rng.expovariate(self._rate), self._handle_arrival
        )

    def _handle_arrival(self) -> None:
        self._callers.spawn(
            self._send_request, self._rng.choice(self.instances)
        )
        self._schedule_next()

    def _send_request(self, instance: Instance) -> None:
        asked_at = self.timer.now()
        request_id = str(next(self._numbers))
        instance.relay.serve(
            relay_rig.plain_exchange(
                request_id, asked_at, OBJECTIVE_S, TIME_LIMIT_S
            )
        )
        target_id = self.target_id_by_request.pop(request_id)
        answered = Answered(asked_at, self.timer.now(), target_id)
        self.answers.append(answered)

    def _start_gossip(self, sender: Instance, period_s: float) -> None:
        self._send_gossip(sender)
        self.timer.every(period_s, lambda: self._send_gossip(sender))

    def _send_gossip(self, sender: Instance) -> None:
        others = [each for each in self.instances if each is not sender]
        if len(others) > soft_exchange.MAX_BROADCAST_PEERS:
            others = self._rng.sample(others, soft_exchange.SAMPLE_SIZE)
        own = sender.ledger.own_loads()
        loads = load_tracker.InstanceLoads(
            dict(own.tokens_by_target), dict(own.requests_by_target), {}
        )
        data = sender.paces.own()
        name = str(self.instances.index(sender))
        for each in others:
            if self._rng.random() < self._loss:
                continue
            each.ledger.record_peer_loads(name, loads)
            if data:
                each.paces.take(name, data)

    def from_targets(self, names: list[str], since: float) -> list[Answered]:
        """Returns responses of some targets to requests since a time."""
        return [
            each
            for each in self.answers
            if each.target_id in names and each.asked_at >= since
        ]

    def full_use_s(self, names: list[str], since: float) -> float:
        """Returns how long targets took to be used as much as the others.

        Infinite if they never were.
        """
        count_by_window: dict[int, collections.Counter] = {}
        for each in self.answers:
            if each.answered_at >= since:
                window = int((each.answered_at - since) / USE_WINDOW_S)
                counts = count_by_window.setdefault(
                    window, collections.Counter()
                )
                counts[each.target_id in names] += 1
        others = len(self.server_by_id) - len(names)
        for window, counts in sorted(count_by_window.items()):
            usual = counts[False] / others * len(names)
            if counts[True] >= FULL_USE * usual:
                return (window + 1) * USE_WINDOW_S
        return float('inf')


def late(answers: list[Answered]) -> int:
    """Returns how many responses missed their objective."""
    return sum(each.seconds > OBJECTIVE_S for each in answers)


def worst_s(answers: list[Answered]) -> float:
    """Returns the longest response time."""
    return max((each.seconds for each in answers), default=0.0)
