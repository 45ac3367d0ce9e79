"""Plays callers before a pool that is full, and checks what they get.

While new requests were refused soon and returning callers went first, those
took the capacity from new requests, which were refused in turn: a pool that
could serve nearly all in time served most of them late for as long as the
load lasted.
"""

import random

from cactusmux_base import metrics
from cactusmux_fakes import play_timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import silent_orders
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import load_tracker
from cactusmux_relay import path_choice
from cactusmux_relay import path_finder
from cactusmux_relay import path_queue
from cactusmux_relay import refused_callers
from cactusmux_relay import slow_targets
from cactusmux_relay import stream_paths
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import gevent
import pytest

OBJECTIVE_S = 0.5
# Time for prefill in a busy pool, part of the time to the first event.
PREFILL_S = 0.15
HOLD_S = 2.0
DEMAND = path_choice.Demand(800.0, 200.0, 0.25)
PLAY_S = 20.0
# Streams that the pool holds at a time: four targets with 20 layers each.
STREAMS = 115
CAPACITY_PER_S = STREAMS / HOLD_S
# Arrivals are random, so the pool is short for moments at the same load.
RANDOM_LOSS = 0.1
LARGEST_REFUSED = 0.02


class _Caller:
    def __init__(self, begun):
        self.begun = begun
        self.first_event_s = None
        self.refusals = 0

    @property
    def is_in_time(self):
        return (
            self.first_event_s is not None
            and self.first_event_s <= OBJECTIVE_S
        )


class _Pool:
    """A full pool, one finder and callers that return once."""

    def __init__(self, seed, longest_wait_s=None):
        self._rng = random.Random(seed)
        self._longest_wait_s = longest_wait_s
        self.timer = play_timers.PlayTimers()
        self._tracker = load_tracker.LoadTracker(self.timer)
        self._state = relay_rig.make_desired_state()
        registry = target_registry.TargetRegistry()
        members = [
            sample_engine.target(
                f't{first}',
                'a100',
                'a',
                targets.LayerRange(first, first + 20),
                f'127.0.0.1:{10000 + first}',
            )
            for first in range(0, 80, 20)
        ]
        registry.replace(members, self._state.service_by_name)
        metric = metrics.MemoryMetrics()
        self._finder = path_finder.PathFinder(
            registry,
            self._tracker,
            down_targets.DownTargets(self.timer, random.Random(1)),
            slow_targets.SlowTargets(silent_orders.SilentOrders(), self.timer),
            self.timer,
            metric,
            backoffs.Backoffs(registry, self.timer, metric),
            random.Random(1),
        )
        self._refused = refused_callers.RefusedCallers(self.timer, self._rng)
        self.callers = []

    def play(self, per_s):
        tasks = [gevent.spawn(self._arrive, per_s)]
        self.timer.play(PLAY_S + 10.0)
        gevent.killall(tasks)
        return self.callers

    def _arrive(self, per_s):
        end = self.timer.now() + PLAY_S
        while self.timer.now() < end:
            self.timer.sleep(self._rng.expovariate(per_s))
            caller = _Caller(self.timer.now())
            self.callers.append(caller)
            gevent.spawn(self._ask, caller)

    def _ask(self, caller):
        wait_s = path_queue.new_request_wait_s(OBJECTIVE_S, 0.0)
        if self._longest_wait_s is not None:
            wait_s = self._longest_wait_s
        if not self._run(caller, wait_s, path_queue.Rank.NEW):
            caller.refusals = 1
            self.timer.sleep(self._refused.record_refusal(None))
            wait_s = stream_paths.RETURNING_PATH_WAIT_S
            if not self._run(caller, wait_s, path_queue.Rank.RETURNING):
                caller.refusals = 2

    def _run(self, caller, wait_s, rank):
        choice = self._finder.choose(
            self._exchange(), DEMAND, set(), wait_s, rank
        )
        if choice.path is None:
            return False
        ids = [stage.target.id for stage in choice.path]
        self._tracker.add(ids, DEMAND.tokens)
        caller.first_event_s = self.timer.now() + PREFILL_S - caller.begun
        self.timer.sleep(HOLD_S * self._rng.uniform(0.5, 1.5))
        self._tracker.remove(ids, DEMAND.tokens)
        return True

    def _exchange(self):
        facts = dialect.RequestFacts(
            'r1', 'h', None, None, '', 800.0, 200.0, None, None, []
        )
        return context.Exchange(
            request=None,
            facts=facts,
            answerer=None,
            route=self._state.routes[0],
            service=self._state.service_by_name[sample_engine.SERVICE],
            organisation=None,
            ends_at=self.timer.now() + 20.0,
        )


def _share(found, callers):
    return sum(found) / len(callers)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('load', [0.9, 1.0, 1.1])
def test_callers_are_served_in_time_up_to_the_capacity(load, seed):
    callers = _Pool(seed).play(load * CAPACITY_PER_S)
    in_time = _share([each.is_in_time for each in callers], callers)
    assert in_time >= min(1.0, 1.0 / load) - RANDOM_LOSS


@pytest.mark.parametrize('seed', [1, 2])
def test_refused_callers_are_served_when_they_return(seed):
    callers = _Pool(seed).play(1.0 * CAPACITY_PER_S)
    refused = _share([each.refusals == 2 for each in callers], callers)
    assert refused <= LARGEST_REFUSED


def test_nobody_waits_longer_than_its_objective_allows():
    callers = _Pool(3).play(1.3 * CAPACITY_PER_S)
    for each in callers:
        if not each.refusals:
            assert each.is_in_time


def test_waiting_requests_search_in_the_order_of_their_arrival():
    queue = path_queue.PathQueue()
    numbers = [queue.join(path_queue.Rank.NEW) for _ in range(5)]
    first = [queue.may_search(each) for each in numbers]
    assert first == [True, True, True, False, False]
    queue.leave(numbers[0])
    assert queue.may_search(numbers[3])
    assert not queue.may_search(numbers[4])
    assert not queue.may_search(numbers[0])


def test_refused_callers_search_while_no_new_request_waits():
    queue = path_queue.PathQueue()
    returning = queue.join(path_queue.Rank.RETURNING)
    assert queue.may_search(returning)
    new = queue.join(path_queue.Rank.NEW)
    assert queue.may_search(new)
    assert not queue.may_search(returning)
    resumed = queue.join(path_queue.Rank.RESUMED)
    assert queue.may_search(resumed)
    assert queue.may_search(new)
    queue.leave(new)
    assert queue.may_search(returning)


def test_time_to_wait_is_what_the_objective_leaves():
    assert path_queue.new_request_wait_s(0.5, 0.0) == 0.25
    assert path_queue.new_request_wait_s(0.5, 0.1) == 0.15
    assert path_queue.new_request_wait_s(0.5, 0.6) == 0.0
