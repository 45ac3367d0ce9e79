"""Simulated callers and the router between them and the pool."""

from collections.abc import Generator
import functools
import random
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_relay import admission_queue
from cactusmux_relay import cost_model
from cactusmux_relay import load_tracker
from cactusmux_relay import path_choice
from cactusmux_relay import path_finder
from cactusmux_relay import soft_exchange
from cactusmux_relay import stream_admission
import simpy

from . import deployments
from . import gates
from . import policies
from . import runs
from . import simulated_pool

PATH_POLL_S = 0.01
MAX_ATTEMPTS = 2
MAX_RUNS = 2
MAX_REJECTIONS = 4
MIN_RETRY_S = 0.8
MAX_RETRY_S = 1.4
# Shape parameter of the gamma distributions of prompt and answer lengths.
LENGTH_SHAPE = 4.0


class Outcome(NamedTuple):
    """The result of a request as seen by its caller.

    :ivar first_s: time from the first attempt to the first event, 0 if none
        came.
    :ivar pause_s: longest pause between events.
    """

    kind: str
    arrived_s: float
    is_whole: bool
    is_in_aim: bool
    refusals: int
    first_s: float
    pause_s: float


class _ModelTimers(timers.ManualTimers):
    """Simulated time for components that take a timer service."""

    def __init__(self, env: simpy.Environment) -> None:
        super().__init__()
        self._env = env

    def now(self) -> float:
        return float(self._env.now)


class _Request:
    """A caller's request over all its attempts and runs."""

    def __init__(
        self, name: str, kind: deployments.RequestKind, rng: random.Random
    ) -> None:
        self.name = name
        self.kind = kind
        self.prompt = _length(rng, kind.prompt_tokens)
        self.answer = int(_length(rng, kind.answer_tokens))
        self.written = 0
        self.refusals = 0
        self.first_at = 0.0
        self.event_at = 0.0
        self.longest_pause_s = 0.0
        # For the first path of an attempt that was admitted by urgency.
        self.pause_share = 1.0
        self.path_until = 0.0

    @property
    def demand(self) -> path_choice.Demand:
        """Returns the request's properties known to the router."""
        return path_choice.Demand(
            self.prompt + self.written,
            self.kind.answer_tokens,
            self.kind.pause_s * self.pause_share,
        )

    def record_event(self, now: float) -> None:
        """Records that an event has reached the caller."""
        if not self.event_at:
            self.first_at = now
        else:
            pause_s = now - self.event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.event_at = now


def _draw_exponent(
    tracker: load_tracker.LoadTracker, rng: random.Random
) -> float:
    """Draws a price exponent as the router does if loads are sampled."""
    if not tracker.is_sampled:
        return 0.0
    spread = path_finder.MAX_COST_EXPONENT
    return rng.uniform(-spread, spread)


def _copy_loads(own: load_tracker.InstanceLoads) -> load_tracker.InstanceLoads:
    return load_tracker.InstanceLoads(
        dict(own.tokens_by_target),
        dict(own.requests_by_target),
        own.pipe_tokens,
    )


def _end(ended: simpy.Event, is_whole: bool) -> None:
    ended.succeed(is_whole)


def _length(rng: random.Random, mean: float) -> float:
    return max(4.0, rng.gammavariate(LENGTH_SHAPE, mean / LENGTH_SHAPE))


class Callers:
    """Simulates all requests of a deployment under one policy.

    :ivar outcomes: results of the requests that have ended.
    :ivar in_flight: number of requests that have not ended.
    """

    def __init__(
        self,
        env: simpy.Environment,
        deployment: deployments.Deployment,
        sim_pool: simulated_pool.SimulatedPool,
        policy: policies.PathPolicy,
        rng: random.Random,
    ) -> None:
        self._env = env
        self._deployment = deployment
        self._sim_pool = sim_pool
        self._policy = policy
        self._rng = rng
        clock = _ModelTimers(env)
        self._trackers = [
            load_tracker.LoadTracker(clock)
            for _ in range(deployment.instances)
        ]
        for tracker in self._trackers:
            tracker.set_instances(deployment.instances)
        self._gates = [
            gates.Gate(env, deployment, sim_pool, clock, random.Random(number))
            for number in range(deployment.instances)
        ]
        self.outcomes: list[Outcome] = []
        self._rate_factor_by_kind = dict.fromkeys(
            deployment.request_by_kind, 1.0
        )
        self._is_open = True
        self.in_flight = 0

    def start(self) -> None:
        """Starts to send requests and to exchange loads between instances."""
        self._env.process(self._exchange_loads())
        for name, kind in self._deployment.request_by_kind.items():
            seed = self._rng.random()
            self._env.process(
                self._generate_requests(name, kind, random.Random(seed))
            )

    def close(self) -> None:
        """Sends no more requests; those in flight continue."""
        self._is_open = False

    def burst(self, each: deployments.Disturbance) -> None:
        """Multiplies the request rate for a time."""
        kinds = (
            [each.request] if each.request else list(self._rate_factor_by_kind)
        )
        for kind in kinds:
            self._rate_factor_by_kind[kind] = each.times
        self._env.process(self._end_burst(kinds, each.for_s))

    def _end_burst(
        self, kinds: list[str], after_s: float
    ) -> Generator[simpy.Event, None, None]:
        yield self._env.timeout(after_s)
        for kind in kinds:
            self._rate_factor_by_kind[kind] = 1.0

    def _exchange_loads(self) -> Generator[simpy.Event, None, None]:
        """Sends each instance's load to its peers, or to a sample of them."""
        rng = random.Random(self._rng.random())
        is_sampled = self._trackers[0].is_sampled
        period_s = self._deployment.news_s
        if is_sampled:
            period_s = max(period_s, soft_exchange.SAMPLE_PERIOD_S)
        while True:
            yield self._env.timeout(period_s)
            for number, tracker in enumerate(self._trackers):
                peers = [
                    each for each in self._trackers if each is not tracker
                ]
                if is_sampled:
                    peers = rng.sample(peers, soft_exchange.SAMPLE_SIZE)
                own_loads = _copy_loads(tracker.own_loads())
                for other in peers:
                    other.record_peer_loads(str(number), own_loads)
                if self._policy.is_gated:
                    self._send_service_load(number, peers)

    def _send_service_load(
        self, number: int, peers: list[load_tracker.LoadTracker]
    ) -> None:
        data = self._gates[number].service_load.own()
        for place, tracker in enumerate(self._trackers):
            if data and any(tracker is each for each in peers):
                self._gates[place].service_load.take(str(number), data)

    def _generate_requests(
        self,
        name: str,
        kind: deployments.RequestKind,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, None]:
        while True:
            per_s = kind.per_s * self._rate_factor_by_kind[name]
            yield self._env.timeout(rng.expovariate(per_s))
            if not self._is_open:
                return
            request = _Request(name, kind, rng)
            self.in_flight += 1
            # A separate generator, so that all policies get the same requests.
            own_rng = random.Random(rng.random())
            self._env.process(self._run_request(request, own_rng))

    def _run_request(
        self, request: _Request, rng: random.Random
    ) -> Generator[simpy.Event, None, None]:
        """Runs one caller's request, with a retry if no event came."""
        arrived = float(self._env.now)
        is_whole = False
        for _ in range(MAX_ATTEMPTS):
            place = rng.randrange(len(self._trackers))
            retry_s = 0.0
            tracker = self._trackers[place]
            if self._policy.is_gated:
                gate = self._gates[place]
                is_whole, retry_s = yield from self._serve_by_urgency(
                    request, gate, tracker, rng
                )
            else:
                is_whole = yield from self._serve(request, tracker, rng)
            if is_whole or request.event_at:
                break
            request.refusals += 1
            if request.refusals == MAX_ATTEMPTS:
                break
            if not self._policy.is_gated:
                retry_s = rng.uniform(MIN_RETRY_S, MAX_RETRY_S)
            yield self._env.timeout(retry_s)
        first_s = request.first_at - arrived if request.event_at else 0.0
        self.in_flight -= 1
        kind = request.kind
        in_time = (
            first_s <= kind.aim_s and request.longest_pause_s <= kind.pause_s
        )
        self.outcomes.append(
            Outcome(
                request.name,
                arrived,
                is_whole,
                is_whole and in_time,
                request.refusals,
                first_s,
                request.longest_pause_s,
            )
        )

    def _serve_by_urgency(
        self,
        request: _Request,
        gate: gates.Gate,
        tracker: load_tracker.LoadTracker,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, tuple[bool, float]]:
        """Makes one attempt by urgency; also returns the retry delay."""
        now = float(self._env.now)
        is_returning = request.refusals > 0
        rank = request.kind.rank
        candidate = stream_admission.Candidate(
            rank,
            gates.ORGANISATION,
            request.demand.tokens,
            now,
            gate.latest_start(request.kind, request.prompt, is_returning),
            is_returning,
        )
        verdict = yield from gate.enter(candidate)
        if isinstance(verdict, admission_queue.Rejected):
            return False, gate.retry_after_s(verdict.expected_s, rank)
        assert isinstance(verdict, admission_queue.Admitted)
        started_at = float(self._env.now)
        request.pause_share = verdict.pause_share
        request.path_until = candidate.until
        is_whole = yield from self._serve(request, tracker, rng)
        request.path_until = 0.0
        gate.end(candidate, started_at)
        return is_whole, gate.retry_after_s(0.0, rank)

    def _serve(
        self,
        request: _Request,
        tracker: load_tracker.LoadTracker,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, bool]:
        """Makes one attempt: tries paths in turn until a run completes."""
        started = 0
        rejections = 0
        avoided: set[str] = set()
        while started < MAX_RUNS and rejections < MAX_REJECTIONS:
            path = yield from self._find_path(
                request, tracker, avoided, started, rng
            )
            if path is None:
                return False
            ids = [part.target.id for part in path]
            tokens = request.demand.tokens
            ended = self._env.event()
            run = self._make_run(request, path, ended)
            full = run.start()
            if full is not None:
                rejections += 1
                avoided.add(full)
                continue
            started += 1
            request.pause_share = 1.0
            tracker.add(ids, tokens)
            tracker.record_crossings(path, tokens)
            self._sim_pool.active_runs.add(run)
            is_whole = yield ended
            self._sim_pool.active_runs.discard(run)
            tracker.remove(ids, tokens)
            if is_whole:
                return True
        return False

    def _make_run(
        self,
        request: _Request,
        path: cost_model.Path,
        ended: simpy.Event,
    ) -> runs.Run:
        event_tokens = self._sim_pool.engine.event_tokens

        def note_token() -> None:
            request.written += 1
            is_last = request.written == request.answer
            # The first token is an event of its own.
            if (request.written - 1) % event_tokens == 0 or is_last:
                request.record_event(float(self._env.now))

        return runs.Run(
            self._sim_pool.pool,
            path,
            request.prompt + request.written,
            request.answer - request.written,
            note_token,
            lambda is_whole: _end(ended, is_whole),
        )

    def _find_path(
        self,
        request: _Request,
        tracker: load_tracker.LoadTracker,
        avoided: set[str],
        started: int,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, cost_model.Path | None]:
        wait_s = self._policy.room_wait_s
        if started or request.refusals:
            wait_s = self._policy.returning_room_wait_s
        until = self._env.now + wait_s
        if not started:
            until = max(until, request.path_until)
        while True:
            sim_pool = self._sim_pool
            limit = path_choice.PIPE_LIMIT
            if self._env.now >= until:
                limit = path_choice.LAST_RESORT_PIPE_LIMIT
            question = policies.PathRequest(
                sim_pool.engine,
                sim_pool.graph,
                request.demand,
                tracker.all_loads(sim_pool.pace_by_target),
                frozenset(sim_pool.down | avoided),
                limit,
                functools.partial(_draw_exponent, tracker, rng),
            )
            path = self._policy.choose(question)
            if path is not None or self._env.now >= until:
                return path
            yield self._env.timeout(PATH_POLL_S)
