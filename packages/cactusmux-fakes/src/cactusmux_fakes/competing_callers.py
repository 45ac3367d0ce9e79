"""Simulates admission of callers of different urgency, without a network.

Simulates requests, queueing, retries after a rejection and gossip between
instances on manual time. A stream holds its tokens for a random time; gossip
messages are lost and delayed like datagrams.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_relay import admission_queue
from cactusmux_relay import down_targets
from cactusmux_relay import service_admission
from cactusmux_relay import service_load
from cactusmux_relay import stream_admission
from cactusmux_relay import target_registry
from cactusmux_relay import targets

from . import relay_rig
from . import sample_engine

STEP_S = 0.02
# As in :mod:`soft_exchange`: a small fleet broadcasts to all peers, a larger
# one sends to a random sample.
NEWS_PERIOD_S = 0.25
SAMPLE_PERIOD_S = 0.5
NEWS_SAMPLE = 8
TOLD_ALL = 12
RETURNING_WAIT_S = 1.0
TIME_LIMIT_S = 20.0
# Instances learn within this time that a loss has reduced the KV cache
# capacity.
LOSS_KNOWN_S = 0.15
# Time to the first event on idle targets, subtracted from the objective.
FIRST_S = 0.15


class Kind(NamedTuple):
    """Requests of one urgency.

    :ivar per_s: request rate, over all instances.
    """

    rank: int
    per_s: float
    objective_s: float


class Burst(NamedTuple):
    """A temporary increase of the request rate of one kind."""

    rank: int
    factor: float
    from_s: float
    until_s: float


class Play(NamedTuple):
    """Parameters of a simulation.

    :ivar share_of_first: fraction of requests from the first organisation.
    :ivar chain_dies_at_s: when one chain of targets fails, with the KV cache
        capacity of its streams.
    """

    instances: int
    chains: int
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...] = ()
    length_s: float = 20.0
    organisations: int = 8
    share_of_first: float = 0.125
    chain_dies_at_s: float | None = None
    loss: float = 0.1
    retries_at_once: bool = False
    hold_s: float = 3.5


class Outcome(NamedTuple):
    """How one request of a caller ended.

    :ivar waited_s: time in admission queues, over all tries.
    :ivar past_objective_s: how long the first try was queued past its
        objective.
    """

    asked_at: float
    rank: int
    organisation: int
    tokens: float
    is_served: bool
    is_late: bool
    rejections: int
    waited_s: float
    past_objective_s: float


class _Try(NamedTuple):
    kind: Kind
    organisation: int
    tokens: float
    first_at: float
    rejections: int
    waited_s: float
    past_s: float


class _Waiter(NamedTuple):
    instance: int
    number: int
    candidate: stream_admission.Candidate
    tried: _Try


class Fleet:
    """Instances with an admission queue each, and their callers."""

    def __init__(self, play: Play, seed: int) -> None:
        self._play = play
        self._rng = random.Random(seed)
        self._timer = timers.ManualTimers()
        self._start = self._timer.now()
        self._registry = target_registry.TargetRegistry()
        self._targets = _chains(play.chains)
        self._publish_targets()
        self._load_trackers = [
            service_load.ServiceLoadTracker(
                self._timer, lambda: play.instances
            )
            for _ in range(play.instances)
        ]
        self.services = [
            self._make_admission(each) for each in self._load_trackers
        ]
        self._event_queue: list[tuple[float, int, object]] = []
        self._sequence = itertools.count()
        self._waiters: list[_Waiter] = []
        self.outcomes: list[Outcome] = []
        self.held = 0.0
        self.largest_overfill = 0.0

    @property
    def room_tokens(self) -> float:
        """KV cache capacity of all present targets, in tokens."""
        return self.services[0].load.room_tokens

    def run(self) -> list[Outcome]:
        """Runs until all requests have ended; returns their outcomes."""
        is_sampled = len(self.services) > TOLD_ALL + 1
        period_s = SAMPLE_PERIOD_S if is_sampled else NEWS_PERIOD_S
        next_news = [self._rng.uniform(0.0, period_s) for _ in self.services]
        has_died = self._play.chain_dies_at_s is None
        while True:
            at = self._timer.now() - self._start
            if at >= self._play.length_s and not self._is_busy:
                return self.outcomes
            dies_at_s = self._play.chain_dies_at_s
            if not has_died and dies_at_s is not None and at >= dies_at_s:
                has_died = True
                self._targets = [
                    each for each in self._targets if each.id[0] != '0'
                ]
                self._publish_targets()
            if at < self._play.length_s:
                self._submit_arrivals(at)
            for index, due in enumerate(next_news):
                if at >= due:
                    next_news[index] = due + period_s
                    self._send_gossip(index)
            self._run_due()
            self._poll_waiters()
            self._timer.advance(STEP_S)

    @property
    def _is_busy(self) -> bool:
        return bool(self._waiters) or any(
            isinstance(each[2], _Try) for each in self._event_queue
        )

    def _make_admission(
        self, pressures: service_load.ServiceLoadTracker
    ) -> service_admission.ServiceAdmission:
        service = service_admission.ServiceAdmission(
            sample_engine.SERVICE,
            sample_engine.ENGINE,
            self._registry,
            down_targets.DownTargets(self._timer, self._rng),
            pressures,
            self._timer,
        )
        ranks = 1 + max(each.rank for each in self._play.kinds)
        service.configure(sample_engine.ENGINE, ranks)
        return service

    def _publish_targets(self) -> None:
        state = relay_rig.make_desired_state()
        self._registry.replace(self._targets, state.service_by_name)

    def _submit_arrivals(self, at: float) -> None:
        for kind in self._play.kinds:
            per_s = kind.per_s
            for burst in self._play.bursts:
                if burst.rank == kind.rank and (
                    burst.from_s <= at < burst.until_s
                ):
                    per_s *= burst.factor
            for _ in range(_poisson(self._rng, per_s * STEP_S)):
                self._submit(
                    _Try(
                        kind,
                        self._draw_organisation(),
                        self._draw_tokens(),
                        self._timer.now(),
                        0,
                        0.0,
                        0.0,
                    )
                )

    def _draw_organisation(self) -> int:
        if self._rng.random() < self._play.share_of_first:
            return 0
        return self._rng.randrange(1, self._play.organisations)

    def _draw_tokens(self) -> float:
        """Draws the tokens of a request; a tenth of requests is large."""
        if self._rng.random() < 0.1:
            return self._rng.uniform(2000.0, 3000.0)
        return self._rng.uniform(600.0, 1000.0)

    def _submit(self, tried: _Try) -> None:
        instance = self._rng.randrange(len(self.services))
        service = self.services[instance]
        now = self._timer.now()
        is_returning = tried.rejections > 0
        until = tried.first_at + tried.kind.objective_s - FIRST_S
        if is_returning:
            until = now + RETURNING_WAIT_S
        candidate = stream_admission.Candidate(
            tried.kind.rank,
            tried.organisation,
            tried.tokens,
            now,
            until,
            is_returning,
        )
        number, verdict = service.submit(candidate)
        waiter = _Waiter(instance, number, candidate, tried)
        if isinstance(verdict, admission_queue.Waiting):
            self._waiters.append(waiter)
        else:
            self._handle_verdict(waiter, verdict)

    def _poll_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            service = self.services[waiter.instance]
            verdict = service.verdict(waiter.number)
            if isinstance(verdict, admission_queue.Waiting):
                self._waiters.append(waiter)
            else:
                self._handle_verdict(waiter, verdict)

    def _handle_verdict(
        self, waiter: _Waiter, verdict: admission_queue.Verdict
    ) -> None:
        now = self._timer.now()
        waited_s = now - waiter.candidate.asked_at
        past_s = waiter.tried.past_s
        if not waiter.candidate.is_returning:
            past_s = (
                max(0.0, now - waiter.candidate.until) if waited_s else 0.0
            )
        tried = waiter.tried._replace(
            waited_s=waiter.tried.waited_s + waited_s, past_s=past_s
        )
        if isinstance(verdict, admission_queue.Admitted):
            self._start_stream(waiter, tried)
            return
        assert isinstance(verdict, admission_queue.Rejected)
        service = self.services[waiter.instance]
        service.record_rejection(waiter.candidate)
        retry_s = stream_admission.retry_after_s(
            verdict.expected_s, self._rng.random(), tried.kind.rank
        )
        if self._play.retries_at_once:
            retry_s = 0.0
        tried = tried._replace(rejections=tried.rejections + 1)
        in_time = now + retry_s < tried.first_at + TIME_LIMIT_S
        if tried.rejections < 2 and in_time:
            self._schedule(now + retry_s, tried)
        else:
            self._record_outcome(tried, is_served=False)

    def _start_stream(self, waiter: _Waiter, tried: _Try) -> None:
        now = self._timer.now()
        hold_s = self._play.hold_s * self._rng.uniform(0.6, 1.4)
        self._schedule(now + hold_s, waiter._replace(tried=tried))
        self.held += tried.tokens
        dies_at_s = self._play.chain_dies_at_s
        since_s = now - self._start - (dies_at_s or 0.0)
        if dies_at_s is None or not 0.0 <= since_s < LOSS_KNOWN_S:
            overfill = self.held / max(1.0, self.room_tokens)
            self.largest_overfill = max(self.largest_overfill, overfill)
        self._record_outcome(tried, is_served=True)

    def _record_outcome(self, tried: _Try, is_served: bool) -> None:
        self.outcomes.append(
            Outcome(
                tried.first_at - self._start,
                tried.kind.rank,
                tried.organisation,
                tried.tokens,
                is_served,
                is_served and tried.rejections > 0,
                tried.rejections,
                tried.waited_s,
                tried.past_s,
            )
        )

    def _schedule(self, at: float, what: object) -> None:
        heapq.heappush(self._event_queue, (at, next(self._sequence), what))

    def _run_due(self) -> None:
        now = self._timer.now()
        while self._event_queue and self._event_queue[0][0] <= now:
            at, _, what = heapq.heappop(self._event_queue)
            if isinstance(what, _Try):
                self._submit(what)
            elif isinstance(what, _Waiter):
                self._end_stream(what)
            elif isinstance(what, tuple):
                receiver, sender, data = what
                self._load_trackers[receiver].take(str(sender), data)

    def _end_stream(self, waiter: _Waiter) -> None:
        service = self.services[waiter.instance]
        service.release(waiter.candidate)
        service.record_hold_time(self._timer.now() - waiter.candidate.asked_at)
        self.held -= waiter.candidate.tokens

    def _send_gossip(self, sender: int) -> None:
        data = self._load_trackers[sender].own()
        if not data:
            return
        others = [each for each in range(len(self.services)) if each != sender]
        if len(others) > TOLD_ALL:
            others = self._rng.sample(others, NEWS_SAMPLE)
        for receiver in others:
            if self._rng.random() >= self._play.loss:
                at = self._timer.now() + self._rng.uniform(0.0, 0.1)
                self._schedule(at, (receiver, sender, data))


def _chains(count: int) -> list[targets.Target]:
    """Returns chains of ten targets that together hold all layers."""
    layers = sample_engine.ENGINE.layers
    step = layers // 10
    return [
        sample_engine.target(
            f'{chain}-{first}',
            'l4',
            'a',
            targets.LayerRange(first, first + step),
            f'127.0.{chain}.1:{10000 + first}',
        )
        for chain in range(count)
        for first in range(0, layers, step)
    ]


def _poisson(rng: random.Random, mean: float) -> int:
    """Returns a random number of arrivals with a Poisson distribution."""
    count = 0
    at = rng.expovariate(1.0) if mean > 0 else 1.0
    while at < mean:
        count += 1
        at += rng.expovariate(1.0)
    return count
