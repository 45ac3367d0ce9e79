"""Callers and the router between them and the pool."""

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

ROOM_POLL_S = 0.01
MAX_TRIES = 2
MAX_RUNS = 2
MAX_REJECTIONS = 4
LEAST_RETRY_S = 0.8
LONGEST_RETRY_S = 1.4
# Shape of the gamma distributions of lengths.
LENGTH_SHAPE = 4.0


class Outcome(NamedTuple):
    """What a caller got.

    :ivar first_s: from its first try to the first event, 0 if none came.
    :ivar pause_s: longest between events.
    """

    kind: str
    arrived_s: float
    is_whole: bool
    is_in_aim: bool
    refusals: int
    first_s: float
    pause_s: float


class _ModelTimers(timers.ManualTimers):
    """The model's time for parts that ask a timer service for it."""

    def __init__(self, env: simpy.Environment) -> None:
        super().__init__()
        self._env = env

    def now(self) -> float:
        return float(self._env.now)


class _Request:
    """A caller's request, over all its tries and runs."""

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
        # For the first path of a try, where it was admitted by urgency.
        self.pause_share = 1.0
        self.path_until = 0.0

    @property
    def demand(self) -> path_choice.Demand:
        """Returns what the router knows of the request."""
        return path_choice.Demand(
            self.prompt + self.written,
            self.kind.answer_tokens,
            self.kind.pause_s * self.pause_share,
        )

    def note_event(self, now: float) -> None:
        """Notes that an event has reached the caller."""
        if not self.event_at:
            self.first_at = now
        else:
            pause_s = now - self.event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.event_at = now


def _draw(ledger: load_tracker.LoadTracker, rng: random.Random) -> float:
    """Draws as the router does where loads are known by samples."""
    if not ledger.is_sampled:
        return 0.0
    spread = path_finder.MAX_COST_EXPONENT
    return rng.uniform(-spread, spread)


def _copied(own: load_tracker.InstanceLoads) -> load_tracker.InstanceLoads:
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
    """Plays all requests of a deployment by one policy.

    :ivar outcomes: of the requests that have ended.
    :ivar in_flight: how many haven't.
    """

    def __init__(
        self,
        env: simpy.Environment,
        deployment: deployments.Deployment,
        world: simulated_pool.SimulatedPool,
        policy: policies.PathPolicy,
        rng: random.Random,
    ) -> None:
        self._env = env
        self._deployment = deployment
        self._world = world
        self._policy = policy
        self._rng = rng
        clock = _ModelTimers(env)
        self._ledgers = [
            load_tracker.LoadTracker(clock)
            for _ in range(deployment.instances)
        ]
        for ledger in self._ledgers:
            ledger.set_instances(deployment.instances)
        self._gates = [
            gates.Gate(env, deployment, world, clock, random.Random(number))
            for number in range(deployment.instances)
        ]
        self.outcomes: list[Outcome] = []
        self._times_by_kind = dict.fromkeys(deployment.request_by_kind, 1.0)
        self._is_open = True
        self.in_flight = 0

    def start(self) -> None:
        """Begins to send requests and to spread news of loads."""
        self._env.process(self._spread_news())
        for name, kind in self._deployment.request_by_kind.items():
            seed = self._rng.random()
            self._env.process(self._arrive(name, kind, random.Random(seed)))

    def close(self) -> None:
        """Sends no more requests; those under way go on."""
        self._is_open = False

    def burst(self, each: deployments.Disturbance) -> None:
        """Multiplies the load for a time."""
        kinds = [each.request] if each.request else list(self._times_by_kind)
        for kind in kinds:
            self._times_by_kind[kind] = each.times
        self._env.process(self._end_burst(kinds, each.for_s))

    def _end_burst(
        self, kinds: list[str], after_s: float
    ) -> Generator[simpy.Event, None, None]:
        yield self._env.timeout(after_s)
        for kind in kinds:
            self._times_by_kind[kind] = 1.0

    def _spread_news(self) -> Generator[simpy.Event, None, None]:
        """Has all instances tell the others, a sample in a large fleet."""
        rng = random.Random(self._rng.random())
        is_sampled = self._ledgers[0].is_sampled
        period_s = self._deployment.news_s
        if is_sampled:
            period_s = max(period_s, soft_exchange.SAMPLE_PERIOD_S)
        while True:
            yield self._env.timeout(period_s)
            for number, ledger in enumerate(self._ledgers):
                others = [each for each in self._ledgers if each is not ledger]
                if is_sampled:
                    others = rng.sample(others, soft_exchange.SAMPLE_SIZE)
                told = _copied(ledger.own())
                for other in others:
                    other.note_peer(str(number), told)
                if self._policy.is_gated:
                    self._tell_pressure(number, others)

    def _tell_pressure(
        self, number: int, others: list[load_tracker.LoadTracker]
    ) -> None:
        data = self._gates[number].service_load.own()
        for place, ledger in enumerate(self._ledgers):
            if data and any(ledger is each for each in others):
                self._gates[place].service_load.take(str(number), data)

    def _arrive(
        self,
        name: str,
        kind: deployments.RequestKind,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, None]:
        while True:
            per_s = kind.per_s * self._times_by_kind[name]
            yield self._env.timeout(rng.expovariate(per_s))
            if not self._is_open:
                return
            request = _Request(name, kind, rng)
            self.in_flight += 1
            # Apart, so that all policies get the same requests.
            own_rng = random.Random(rng.random())
            self._env.process(self._call(request, own_rng))

    def _call(
        self, request: _Request, rng: random.Random
    ) -> Generator[simpy.Event, None, None]:
        """One caller: a try, and another one if nothing came of it."""
        arrived = float(self._env.now)
        is_whole = False
        for _ in range(MAX_TRIES):
            place = rng.randrange(len(self._ledgers))
            retry_s = 0.0
            ledger = self._ledgers[place]
            if self._policy.is_gated:
                gate = self._gates[place]
                is_whole, retry_s = yield from self._enter(
                    request, gate, ledger, rng
                )
            else:
                is_whole = yield from self._serve(request, ledger, rng)
            if is_whole or request.event_at:
                break
            request.refusals += 1
            if request.refusals == MAX_TRIES:
                break
            if not self._policy.is_gated:
                retry_s = rng.uniform(LEAST_RETRY_S, LONGEST_RETRY_S)
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

    def _enter(
        self,
        request: _Request,
        gate: gates.Gate,
        ledger: load_tracker.LoadTracker,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, tuple[bool, float]]:
        """One try by urgency; also returns when to come again."""
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
        begun_at = float(self._env.now)
        request.pause_share = verdict.pause_share
        request.path_until = candidate.until
        is_whole = yield from self._serve(request, ledger, rng)
        request.path_until = 0.0
        gate.end(candidate, begun_at)
        return is_whole, gate.retry_after_s(0.0, rank)

    def _serve(
        self,
        request: _Request,
        ledger: load_tracker.LoadTracker,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, bool]:
        """One try: paths one after the other, until one ends well."""
        begun = 0
        rejections = 0
        avoided: set[str] = set()
        while begun < MAX_RUNS and rejections < MAX_REJECTIONS:
            path = yield from self._find_path(
                request, ledger, avoided, begun, rng
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
            begun += 1
            request.pause_share = 1.0
            ledger.add(ids, tokens)
            ledger.note_crossings(path, tokens)
            self._world.active_runs.add(run)
            is_whole = yield ended
            self._world.active_runs.discard(run)
            ledger.remove(ids, tokens)
            if is_whole:
                return True
        return False

    def _make_run(
        self,
        request: _Request,
        path: cost_model.Path,
        ended: simpy.Event,
    ) -> runs.Run:
        event_tokens = self._world.engine.event_tokens

        def note_token() -> None:
            request.written += 1
            is_last = request.written == request.answer
            # The first token makes an event by itself.
            if (request.written - 1) % event_tokens == 0 or is_last:
                request.note_event(float(self._env.now))

        return runs.Run(
            self._world.pool,
            path,
            request.prompt + request.written,
            request.answer - request.written,
            note_token,
            lambda is_whole: _end(ended, is_whole),
        )

    def _find_path(
        self,
        request: _Request,
        ledger: load_tracker.LoadTracker,
        avoided: set[str],
        begun: int,
        rng: random.Random,
    ) -> Generator[simpy.Event, None, cost_model.Path | None]:
        wait_s = self._policy.room_wait_s
        if begun or request.refusals:
            wait_s = self._policy.returning_room_wait_s
        until = self._env.now + wait_s
        if not begun:
            until = max(until, request.path_until)
        while True:
            world = self._world
            limit = path_choice.PIPE_LIMIT
            if self._env.now >= until:
                limit = path_choice.LAST_RESORT_PIPE_LIMIT
            question = policies.PathRequest(
                world.engine,
                world.graph,
                request.demand,
                ledger.all_loads(world.pace_by_target),
                frozenset(world.down | avoided),
                limit,
                functools.partial(_draw, ledger, rng),
            )
            path = self._policy.choose(question)
            if path is not None or self._env.now >= until:
                return path
            yield self._env.timeout(ROOM_POLL_S)
