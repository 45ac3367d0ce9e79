"""Simulates streams to model targets whose slowdown factor changes.

Instances run real :class:`stream_run.StreamRun` objects with their own path
finders, load trackers and limits. Targets are simulated without a network,
and each holds all layers. Instances exchange gossip four times a second.
"""

from collections.abc import Iterator
import itertools
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import desired_state
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import ejection_reports
from cactusmux_relay import event_ids
from cactusmux_relay import failing_targets
from cactusmux_relay import http_server
from cactusmux_relay import instance_rank
from cactusmux_relay import live_streams
from cactusmux_relay import load_tracker
from cactusmux_relay import outcomes
from cactusmux_relay import path_finder
from cactusmux_relay import quarantine
from cactusmux_relay import refused_callers
from cactusmux_relay import request_handling
from cactusmux_relay import retry_budget
from cactusmux_relay import sending
from cactusmux_relay import slow_targets
from cactusmux_relay import soft_exchange
from cactusmux_relay import stage_replacer
from cactusmux_relay import stream_run
from cactusmux_relay import target_calls
from cactusmux_relay import target_crashes
from cactusmux_relay import target_limits
from cactusmux_relay import target_paces
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from gevent import lock
from gevent import pool

from . import pace_play
from . import plain_dialect
from . import play_timers
from . import relay_rig
from . import sample_engine
from . import scripted_target
from . import silent_orders

# Memory for all layers and the KV cache of some 18 requests.
CARD = desired_state.Card('whole', 160000.0, 8.0, 8.0)
EVENTS = 20
ANSWER_TOKENS = 80.0
PROMPT_TOKENS = 800.0
ENGINE = sample_engine.ENGINE._replace(
    usual_answer=ANSWER_TOKENS, card_by_name={CARD.name: CARD}
)
ROUTE = relay_rig.ROUTES[3]
TIME_LIMIT_S = 30.0


class Streamed(NamedTuple):
    """A stream as its caller received it.

    :ivar target_id: the last target that it was sent to.
    """

    asked_at: float
    target_id: str
    first_s: float
    longest_pause_s: float

    @property
    def is_late(self) -> bool:
        """Whether the first event or a later one came too late."""
        is_first_late = self.first_s > ROUTE.objective_s
        return is_first_late or self.longest_pause_s > ROUTE.gap_s


class Engine:
    """A target that prefills one prompt at a time, then decodes."""

    def __init__(self, target_id: str, timer: play_timers.PlayTimers) -> None:
        layers = targets.LayerRange(0, ENGINE.layers)
        self.target = sample_engine.target(
            target_id, CARD.name, 'a', layers, f'{target_id}:80'
        )
        self._timer = timer
        self._prefill_lock = lock.BoundedSemaphore(1)
        self._pace: pace_play.Pace = pace_play.usual_pace
        self._started_at = timer.now()
        self._running = 0

    def restart(self, pace: pace_play.Pace) -> None:
        """Restarts with another slowdown; running streams still finish."""
        self._pace = pace
        self._started_at = self._timer.now()
        born_ms = self.target.born_ms + 1
        self.target = self.target._replace(born_ms=born_ms)

    def _sleep_ms(self, milliseconds: float) -> None:
        age_s = self._timer.now() - self._started_at
        pace = self._pace(age_s, self._running)
        self._timer.sleep(pace * milliseconds / cost_model.MS_PER_S)

    def events(self) -> Iterator[bytes]:
        """Prefills a prompt, then yields the events of the response."""
        self._running += 1
        try:
            with self._prefill_lock:
                self._sleep_ms(
                    cost_model.prefill_ms(
                        ENGINE, CARD, ENGINE.layers, PROMPT_TOKENS
                    )
                )
            for number in range(1, EVENTS + 1):
                step_ms = cost_model.decode_step_ms(
                    ENGINE, CARD, ENGINE.layers, self._running, 0.0
                )
                self._sleep_ms(step_ms * ENGINE.event_tokens)
                yield scripted_target.event(number)
        finally:
            self._running -= 1


class _Call:
    """A response in progress."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def body_chunks(self) -> Iterator[bytes]:
        yield from self._engine.events()

    def close(self) -> None:
        pass

    def has_unread(self) -> bool:
        return False


class _Sender(sending.Sender):
    """Replaces connections; records the target of each request."""

    def __init__(
        self, engine_by_id: dict[str, Engine], target_id_by_request: dict
    ) -> None:
        self._engine_by_id = engine_by_id
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
        head = target_calls.ResponseHead(200, ())
        call = _Call(self._engine_by_id[target.id])
        return outcomes.StreamingResponse(head, call)  # type: ignore[arg-type]


class _Caller(http_server.Answerer):
    """Records the time of each event."""

    def __init__(self, timer: play_timers.PlayTimers) -> None:
        self._timer = timer
        self.times: list[float] = []

    def answer(
        self, status: int, headers: http_server.Headers, body: bytes
    ) -> None:
        pass

    def start(self, status: int, headers: http_server.Headers) -> None:
        pass

    def send(self, data: bytes) -> None:
        self.times.append(self._timer.now())

    def finish(self) -> None:
        pass

    def abort(self) -> None:
        pass


class Instance:
    """One instance with its own state and streaming components."""

    def __init__(
        self, place: int, play: 'StreamPlay', has_limits: bool
    ) -> None:
        timer = play.timer
        rng = random.Random(place)
        metric = metrics.MemoryMetrics()
        self.book = target_registry.TargetRegistry()
        self.ledger = load_tracker.LoadTracker(timer)
        self.ledger.set_instances(play.instance_count)
        in_force = request_handling.ConfigurationInForce()
        in_force.replace(play.state)
        rank = instance_rank.InstanceRank(place, play.instance_count)
        self.paces = target_paces.TargetPaces(
            self.book, self.ledger, in_force, lambda: rank, timer, metric
        )
        limits: target_limits.TargetLimits = target_limits.UnlimitedTargets()
        if has_limits:
            limits = self.paces
            self.paces.start()
        down = down_targets.DownTargets(timer, rng)
        budget = retry_budget.RetryBudget(timer, 1.0, 1e6, 10.0)
        orders = silent_orders.SilentOrders()
        paces = slow_targets.SlowTargets(orders, timer)
        live = live_streams.LiveStreams(
            timer, down, lambda target: None, lambda target: None
        )
        reports = ejection_reports.EjectionReports(
            str(place), self.book, timer, metric, rng
        )
        finder = path_finder.PathFinder(
            self.book,
            self.ledger,
            down,
            paces,
            timer,
            metric,
            backoffs.Backoffs(self.book, timer, metric),
            rng,
            at_limit=limits.ids_at_limit,
        )
        replacer = stage_replacer.StageReplacer(
            stage_replacer.ReplacerDependencies(
                finder=finder,
                book=self.book,
                ledger=self.ledger,
                paces=paces,
                orders=orders,
                down=down,
                live=live,
                timer=timer,
                metric=metric,
                rng=rng,
            )
        )
        parts = quarantine.Quarantine(timer, metric)
        self.stream_parts = stream_run.StreamParts(
            finder=finder,
            replacer=replacer,
            failing=failing_targets.FailingTargets(
                self.book, self.ledger, reports, timer, metric, rng
            ),
            ledger=self.ledger,
            sender=_Sender(play.engine_by_id, play.target_id_by_request),
            header_dialect=plain_dialect.PlainDialect(),
            budget=budget,
            down=down,
            refused=refused_callers.RefusedCallers(timer, rng),
            live=live,
            timer=timer,
            metric=metric,
            quarantine=parts,
            crashes=target_crashes.TargetCrashes(
                parts, down, self.book, timer
            ),
            limits=limits,
        )


class StreamPlay:
    """A small fleet, its model targets and callers."""

    def __init__(
        self, instances: int, engines: int, rate: float, has_limits: bool
    ) -> None:
        self.timer = play_timers.PlayTimers()
        self.instance_count = instances
        self.state = _state()
        self.streams: list[Streamed] = []
        self.refused = 0
        self.target_id_by_request: dict[str, str] = {}
        self.engine_by_id = {
            name: Engine(name, self.timer)
            for name in (f'e{number}' for number in range(engines))
        }
        self.instances = [
            Instance(place, self, has_limits) for place in range(instances)
        ]
        self._rng = random.Random(1)
        self._rate = rate
        self._numbers = itertools.count()
        self._callers = pool.Group()
        self._publish()
        self.timer.every(soft_exchange.PERIOD_S, self._exchange_gossip)
        self._schedule_next()

    def run(self, seconds: float) -> None:
        """Advances the simulation by some seconds."""
        self.timer.play(seconds)

    def stop(self) -> None:
        """Ends all running streams."""
        self._callers.kill()

    def restart(self, names: list[str], pace: pace_play.Pace) -> float:
        """Restarts targets; returns the time of the restart."""
        for name in names:
            self.engine_by_id[name].restart(pace)
        self._publish()
        return self.timer.now()

    def _publish(self) -> None:
        present = [each.target for each in self.engine_by_id.values()]
        for instance in self.instances:
            instance.book.replace(present, self.state.service_by_name)

    def _exchange_gossip(self) -> None:
        for sender, receiver in itertools.permutations(self.instances, 2):
            own = sender.ledger.own_loads()
            loads = load_tracker.InstanceLoads(
                dict(own.tokens_by_target), dict(own.requests_by_target), {}
            )
            name = str(self.instances.index(sender))
            receiver.ledger.record_peer_loads(name, loads)
            data = sender.paces.own()
            if data:
                receiver.paces.take(name, data)

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
        caller = _Caller(self.timer)
        request_id = str(next(self._numbers))
        exchange = self._exchange(request_id, caller)
        try:
            stream_run.StreamRun(instance.stream_parts, exchange).serve()
        except context.RequestRefused:
            self.refused += 1
            return
        pauses = [
            later - earlier
            for earlier, later in itertools.pairwise(caller.times)
        ]
        self.streams.append(
            Streamed(
                asked_at,
                self.target_id_by_request.pop(request_id),
                caller.times[0] - asked_at,
                max(pauses),
            )
        )

    def _exchange(self, request_id: str, caller: _Caller) -> context.Exchange:
        facts = dialect.RequestFacts(
            request_id,
            '',
            None,
            None,
            '',
            PROMPT_TOKENS,
            ANSWER_TOKENS,
            None,
            None,
            [],
        )
        now = self.timer.now()
        return context.Exchange(
            request=http_server.Request('POST', '/stream/', (), b'', now),
            facts=facts,
            answerer=caller,
            route=ROUTE,
            service=self.state.service_by_name[sample_engine.SERVICE],
            organisation=None,
            ends_at=now + TIME_LIMIT_S,
        )


def _state() -> desired_state.DesiredState:
    state = relay_rig.make_desired_state()
    service = state.service_by_name[sample_engine.SERVICE]
    services = dict(state.service_by_name)
    services[service.name] = service._replace(engine=ENGINE)
    return state._replace(service_by_name=services)
