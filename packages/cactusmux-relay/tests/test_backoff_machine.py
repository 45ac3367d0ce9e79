"""State machine test: no request reaches a target during its backoff.

It runs random sequences of requests, responses and restarts of targets with
a manual timer.
"""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import idle_crashes
from cactusmux_fakes import plain_dialect
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_fakes import silent_orders
from cactusmux_fakes import single_limiter
from cactusmux_relay import backoff_orders
from cactusmux_relay import backoffs
from cactusmux_relay import connection_probes
from cactusmux_relay import context
from cactusmux_relay import desired_state
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import ejection_reports
from cactusmux_relay import failing_targets
from cactusmux_relay import http_server
from cactusmux_relay import live_streams
from cactusmux_relay import load_tracker
from cactusmux_relay import outcomes
from cactusmux_relay import path_finder
from cactusmux_relay import plain_relay
from cactusmux_relay import quarantine
from cactusmux_relay import refused_callers
from cactusmux_relay import retry_budget
from cactusmux_relay import sending
from cactusmux_relay import slow_targets
from cactusmux_relay import stage_replacer
from cactusmux_relay import stream_run
from cactusmux_relay import target_calls
from cactusmux_relay import target_crashes
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from cactusmux_routing import breakers
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

PLAIN_IDS = ('p0', 'p1', 'p2')
# Two copies of a model, each in two stages.
LAYERS_BY_ENGINE = {
    'e0': (0, 40),
    'e1': (40, 80),
    'f0': (0, 40),
    'f1': (40, 80),
}
IDS = (*PLAIN_IDS, *LAYERS_BY_ENGINE)
SIGNED = (b'signature', b's')
NOT_RUN = (b'not-run', b'1')
SECONDS = strategies.sampled_from([0.05, 0.4, 1.0, 3.0, 20.0])
EVENTS = [scripted_target.event(number) for number in (1, 2)]


class _Call:
    """A response that is available at once."""

    def __init__(self, head, events, is_broken):
        self._head = head
        self._events = events
        self._is_broken = is_broken

    def read_head(self):
        if self._head is None:
            raise target_calls.AnswerBroken('', 'reset')
        return self._head

    def read_body(self, _max_bytes):
        return b''

    def body_chunks(self):
        yield from self._events
        if self._is_broken:
            raise target_calls.AnswerBroken('', 'reset')

    def close(self):
        pass


class _Targets:
    """Stands in for connections; records requests during a backoff."""

    def __init__(self, timer):
        self._timer = timer
        self._backoffs_by_address = {}
        self.answer_by_address = {}
        self.too_early = []
        self.reached = 0

    def call(self, address, _request, _fresh):
        now = self._timer.now()
        self.reached += 1
        for start_at, end_at in self._backoffs_by_address.get(address, ()):
            if start_at <= now < end_at:
                self.too_early.append((address, start_at, now, end_at))
        kind, seconds = self.answer_by_address.get(address, ('good', None))
        if kind == 'away':
            backoff = (now, now + seconds)
            self._backoffs_by_address.setdefault(address, []).append(backoff)
        return _answer(kind, seconds)

    def restart(self, address):
        self._backoffs_by_address.pop(address, None)


def _answer(kind, seconds):
    if kind == 'lost':
        return _Call(None, (), True)
    if kind == 'broken':
        head = target_calls.ResponseHead(200, (SIGNED,))
        return _Call(head, EVENTS[:1], True)
    if kind == 'failed':
        return _Call(target_calls.ResponseHead(500, (SIGNED,)), (), False)
    if kind == 'full':
        return _Call(target_calls.ResponseHead(503, (NOT_RUN,)), (), False)
    if kind == 'away':
        after = (b'retry-after', str(seconds).encode())
        head = target_calls.ResponseHead(503, (NOT_RUN, after))
        return _Call(head, (), False)
    return _Call(target_calls.ResponseHead(200, (SIGNED,)), EVENTS, False)


class _NoProbes(down_targets.DownTargets):
    """All targets accept connections."""

    def probe(self, target):
        pass

    def probe_now(self, target):
        return connection_probes.Outcome.ACCEPTED


class _Caller(http_server.Answerer):
    def answer(self, status, headers, body):
        pass

    def start(self, status, headers):
        pass

    def send(self, data):
        pass

    def finish(self):
        pass

    def abort(self):
        pass


class BackoffMachine(stateful.RuleBasedStateMachine):
    """One instance with plain targets and with targets of a model."""

    def __init__(self):
        super().__init__()
        timer = timers.ManualTimers()
        rng = random.Random(1)
        metric = metrics.MemoryMetrics()
        self.timer = timer
        self.targets = _Targets(timer)
        self.registry = target_registry.TargetRegistry()
        self.born_by_id = dict.fromkeys(IDS, 1)
        self.state = relay_rig.make_desired_state()
        self._publish()
        self.backoff = backoffs.Backoffs(self.registry, timer, metric)
        spelling = plain_dialect.PlainDialect()
        sender = sending.Sender(
            self.targets,
            spelling,
            timer,
            self.backoff,
            self.registry,
            single_limiter.build_limiter(self.registry, timer, metric),
        )
        ledger = load_tracker.LoadTracker(timer)
        budget = retry_budget.RetryBudget(timer, 1.0, 1e6, 10.0)
        budget.set_instances(1)
        down = _NoProbes(timer, rng)
        health = breakers.Breakers(timer, rng, metric, lambda lost: True)
        self.plain = plain_relay.PlainRelay(
            self.registry,
            ledger,
            sender,
            budget,
            health,
            timer,
            metric,
            rng,
            'a',
            self.backoff,
            crashes=idle_crashes.build_crashes(
                self.registry, timer, metric, down
            ),
        )
        paces = slow_targets.SlowTargets(silent_orders.SilentOrders(), timer)
        reports = ejection_reports.EjectionReports(
            'own', self.registry, timer, metric, rng
        )
        failing = failing_targets.FailingTargets(
            self.registry, ledger, reports, timer, metric, rng
        )
        finder = path_finder.PathFinder(
            self.registry,
            ledger,
            down,
            paces,
            timer,
            metric,
            self.backoff,
            rng,
            soft_exclusions=(failing.ids,),
        )
        live = live_streams.LiveStreams(
            timer, down, down.probe, lambda target: None
        )
        orders = backoff_orders.BackoffLayerOrders(
            silent_orders.SilentOrders(), self.backoff
        )
        replacer = stage_replacer.StageReplacer(
            stage_replacer.ReplacerDependencies(
                finder=finder,
                book=self.registry,
                ledger=ledger,
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
        self.streams = stream_run.StreamParts(
            finder=finder,
            ledger=ledger,
            sender=sender,
            header_dialect=spelling,
            budget=budget,
            down=down,
            refused=refused_callers.RefusedCallers(timer, rng),
            live=live,
            replacer=replacer,
            timer=timer,
            metric=metric,
            failing=failing,
            quarantine=parts,
            crashes=target_crashes.TargetCrashes(
                parts, down, self.registry, timer
            ),
        )

    def _publish(self):
        found = [self._target(name) for name in IDS]
        self.registry.replace(found, self.state.service_by_name)

    def _target(self, name):
        born_ms = self.born_by_id[name]
        if name in PLAIN_IDS:
            return targets.Target(
                name,
                relay_rig.PLAIN_SERVICE,
                _address(name),
                'a',
                6,
                False,
                born_ms,
            )
        layers = targets.LayerRange(*LAYERS_BY_ENGINE[name])
        target = sample_engine.target(
            name, 'a100', 'a', layers, _address(name)
        )
        return target._replace(born_ms=born_ms)

    @stateful.rule(seconds=strategies.floats(0.0, 5.0))
    def time_passes(self, seconds):
        self.timer.advance(seconds)

    @stateful.rule(
        name=strategies.sampled_from(IDS),
        kind=strategies.sampled_from(
            ['good', 'failed', 'full', 'lost', 'broken', 'away', 'away']
        ),
        seconds=SECONDS,
    )
    def response_kind_changes(self, name, kind, seconds):
        self.targets.answer_by_address[_address(name)] = (kind, seconds)

    @stateful.rule(seconds=SECONDS)
    def all_targets_back_off(self, seconds):
        for name in IDS:
            self.targets.answer_by_address[_address(name)] = ('away', seconds)

    @stateful.rule(name=strategies.sampled_from(IDS))
    def target_restarts(self, name):
        self.born_by_id[name] += 1
        self.targets.restart(_address(name))
        self._publish()

    @stateful.rule(
        route=strategies.sampled_from(relay_rig.ROUTES),
        repeats=strategies.integers(1, 8),
    )
    def requests_arrive(self, route, repeats):
        for _ in range(repeats):
            self._send_request(route)

    def _send_request(self, route):
        begun = self.timer.now()
        reached = self.targets.reached
        exchange = self._exchange(route)
        try:
            if exchange.service.engine is None:
                self.plain.serve(exchange)
            else:
                stream_run.StreamRun(self.streams, exchange).serve()
        except context.RequestRefused as refused:
            self._check_refusal(exchange, refused)
            if refused.refusal == outcomes.Refusal.NO_TARGET:
                assert self.timer.now() == begun
                assert self.targets.reached > reached or self._all_in_backoff(
                    exchange.service
                )
        except (context.PassFailureOn, context.StreamAborted):
            pass

    def _check_refusal(self, exchange, refused):
        if refused.has_run:
            return
        service = exchange.service
        if self._all_in_backoff(service):
            ready = self.registry.ready(service.name)
            left_s = min(self.backoff.left_s(each) for each in ready)
            assert refused.retry_after_s >= left_s

    def _all_in_backoff(self, service):
        ready = self.registry.ready(service.name)
        return {each.id for each in ready} <= self.backoff.ids

    def _exchange(self, route):
        service = self.state.service_by_name[route.services[0].service]
        now = self.timer.now()
        return context.Exchange(
            request=http_server.Request('POST', route.prefix, (), b'', now),
            facts=dialect.RequestFacts(
                'r1', 'h', None, None, '', 800.0, 200.0, None, None, []
            ),
            answerer=_Caller(),
            route=route,
            service=service,
            organisation=desired_state.Organisation('almaty', None),
            ends_at=now + route.timeout_s,
        )

    @stateful.invariant()
    def no_request_reaches_a_target_in_backoff(self):
        assert self.targets.too_early == []


def _address(name):
    return f'{name}:80'


TestBackoff = BackoffMachine.TestCase
TestBackoff.settings = hypothesis.settings(
    deadline=None, max_examples=60, stateful_step_count=30
)
