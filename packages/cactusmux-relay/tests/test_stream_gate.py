"""Tests for waits and rejections of streams, and for unranked services."""

import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import caller_response
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_relay import admission_ticket
from cactusmux_relay import context
from cactusmux_relay import desired_state
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import http_server
from cactusmux_relay import path_choice
from cactusmux_relay import refusal_gossip
from cactusmux_relay import refused_callers
from cactusmux_relay import retry_budget
from cactusmux_relay import service_load
from cactusmux_relay import stream_gate
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest
from returns import result

DEMAND = path_choice.Demand(800.0, 200.0, 0.25)
URGENCIES = (0, 1, 2)
ORGANISATION = desired_state.Organisation('almaty', None)
KEY = service_load.organisation_key('almaty')
SERVICE = sample_engine.SERVICE
CALLER = 12345


class _Rig:
    """A gate for a service with one card that holds the whole model."""

    def __init__(self):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.rng = random.Random(1)
        card = desired_state.Card('whole', 160_000.0, 1.0, 1.0)
        self.engine = sample_engine.ENGINE._replace(
            card_by_name={'whole': card}
        )
        self.service = desired_state.Service(
            SERVICE, '/health', 10, self.engine
        )
        layers = targets.LayerRange(0, self.engine.layers)
        target = sample_engine.target('t', 'whole', 'a', layers)
        registry = target_registry.TargetRegistry()
        registry.replace([target], {SERVICE: self.service})
        self.pressures = service_load.ServiceLoadTracker(self.timer, lambda: 1)
        callers = refused_callers.RefusedCallers(self.timer, self.rng)
        self.gossip = refusal_gossip.RefusalGossip(self.timer, callers)
        self.gate = stream_gate.UrgencyGate(
            registry,
            down_targets.DownTargets(self.timer, self.rng),
            self.pressures,
            self.gossip,
            self.timer,
            self.metric,
            self.rng,
        )

    def exchange(self, urgency=1, urgencies=URGENCIES, timeout_s=20.0):
        """Returns a request received now."""
        now = self.timer.now()
        facts = dialect.RequestFacts(
            'r1', 'h', None, None, '', 800.0, 200.0, None, None, []
        )
        route = relay_rig.route(
            '/stream/', desired_state.RequestKind.STREAM, 's'
        )
        return context.Exchange(
            request=http_server.Request('POST', '/stream/', [], b'', now),
            facts=facts,
            answerer=None,
            route=route._replace(urgency=urgency),
            service=self.service,
            organisation=ORGANISATION,
            ends_at=now + timeout_s,
            urgencies=urgencies,
        )

    def admit(self, exchange=None, is_returning=False):
        """Requests admission for a stream."""
        exchange = exchange or self.exchange()
        return self.gate.admit(exchange, DEMAND, CALLER, is_returning)

    @property
    def held(self):
        """Returns the tokens held at the service."""
        return self.pressures.load(SERVICE, 3, 1.0).used_tokens

    def fill(self, tokens_left=0.0, rank=1):
        """Lets other streams hold all capacity except ``tokens_left``."""
        card = self.engine.card_by_name['whole']
        layers = self.engine.layers
        free_mb = card.memory_mb - layers * self.engine.layer_mb
        room = path_choice.MAX_CACHE_FILL * free_mb / self.engine.token_mb
        self.pressures.add_held_tokens(SERVICE, rank, KEY, room - tokens_left)


@pytest.fixture(name='rig')
def _rig():
    return _Rig()


@pytest.fixture(name='lines')
def _lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        events, 'info', lambda event, **values: found.append((event, values))
    )
    return found


def test_service_of_equal_urgency_is_admitted_without_a_decision(rig, lines):
    """Such a service gets no decision, wait, random draw, log or counter."""
    drawn = rig.rng.getstate()
    started_at = rig.timer.now()
    rig.fill()
    pressures = rig.pressures
    rig.gate._pressures = None
    admission = rig.admit(rig.exchange(urgencies=()))
    ticket = admission.unwrap()
    assert ticket is admission_ticket.UNRANKED_TICKET
    assert ticket.restricted_demand(DEMAND) is DEMAND
    assert ticket.path_wait_s(0.05) == 0.05
    assert ticket.retry_after_s(1.1) == 1.1
    assert ticket.reserved_retry_share == 0.0
    assert rig.rng.getstate() == drawn
    assert rig.timer.now() == started_at
    assert rig.gossip.own() == b''
    assert not lines
    assert not rig.metric.counter_by_name
    assert pressures.load(SERVICE, 1, 1.0).asked == (0.0,)


def test_admitted_stream_holds_its_tokens_until_it_ends(rig):
    ticket = rig.admit().unwrap()
    assert rig.held == DEMAND.tokens
    ticket.release(has_run=True)
    ticket.release(has_run=True)
    assert rig.held == 0.0
    assert rig.metric.counter_by_name['relay.admission.admitted.1'] == 1


def test_request_waits_within_its_objective_for_capacity(rig, lines):
    first = rig.admit().unwrap()
    rig.fill(tokens_left=1500.0)
    rig.timer.after(0.2, lambda: first.release(True))
    exchange = rig.exchange()
    started_at = rig.timer.now()
    assert isinstance(rig.admit(exchange), result.Success)
    assert 0.2 <= rig.timer.now() - started_at <= exchange.route.objective_s
    assert rig.metric.counter_by_name['relay.admission.waited.1'] == 1
    assert [event for event, _ in lines] == ['stream_waits']
    values = lines[0][1]
    assert values['barred_by'] == 'room'
    assert {'fill', 'limit', 'pressure_age_s', 'heard', 'urgency'} <= set(
        values
    )


def test_request_is_rejected_when_its_objective_would_be_missed(rig, lines):
    rig.fill(tokens_left=500.0)
    held = rig.held
    exchange = rig.exchange()
    started_at = rig.timer.now()
    admission = rig.admit(exchange)
    assert isinstance(admission, result.Failure)
    assert rig.timer.now() - started_at < exchange.route.objective_s
    assert rig.held == held
    assert rig.metric.counter_by_name['relay.admission.rejected.1'] == 1
    event, values = lines[-1]
    assert event == 'stream_rejected'
    assert values['reason'] in ('too_late', 'waited_too_long')
    assert values['retry_ms'] == round(admission.failure() * 1000.0)
    assert rig.gossip.own()


def test_retry_delay_is_within_a_third_of_the_time_left(rig):
    """Callers ignore a longer retry delay."""
    rig.fill(tokens_left=-1e6)
    admission = rig.admit(rig.exchange(timeout_s=3.0))
    assert 0.0 < admission.failure() <= 1.0


def test_retry_of_a_rejected_caller_may_wait_longer(rig):
    rig.fill(tokens_left=500.0)
    started_at = rig.timer.now()
    rig.timer.after(
        0.8, lambda: rig.pressures.add_held_tokens(SERVICE, 1, KEY, -2000.0)
    )
    assert isinstance(rig.admit(is_returning=True), result.Success)
    assert rig.timer.now() - started_at >= 0.8


def test_caller_that_disconnects_while_queued_leaves_no_state(rig):
    rig.fill(tokens_left=500.0)
    held = rig.held

    def disconnect():
        raise http_server.CallerDisconnected

    rig.timer.after(0.1, disconnect)
    with pytest.raises(http_server.CallerDisconnected):
        rig.admit()
    assert rig.held == held
    service = rig.gate._service_by_name[SERVICE]
    assert not service.queue.waiting


def test_streams_that_resume_go_first_until_they_have_a_path(rig):
    started_at = rig.admit().unwrap()
    started_at.set_resuming(True)
    rig.timer.after(0.1, lambda: started_at.set_resuming(False))
    at = rig.timer.now()
    rig.admit(rig.exchange(urgency=0)).unwrap()
    assert rig.timer.now() == at
    rig.admit(rig.exchange(urgency=1)).unwrap()
    assert rig.timer.now() - at >= 0.1


def test_version_with_fewer_urgencies_does_not_fail_waiting_requests(rig):
    rig.fill(tokens_left=500.0)

    def apply_version():
        rig.pressures.add_held_tokens(SERVICE, 1, KEY, -5000.0)
        rig.admit(rig.exchange(urgency=0, urgencies=(0, 1))).unwrap()

    rig.timer.after(0.1, apply_version)
    waiting = rig.exchange(urgency=2)
    assert isinstance(rig.admit(waiting), result.Success)
    assert not rig.gate._service_by_name[SERVICE].queue.waiting


def test_last_retries_are_left_to_urgent_streams(rig):
    budget = retry_budget.RetryBudget(rig.timer, 0.0, 10.0, 10.0)
    budget.set_instances(1)
    tickets = [
        rig.admit(rig.exchange(urgency)).unwrap() for urgency in URGENCIES
    ]
    for _ in range(6):
        assert budget.take(SERVICE)
    left = [
        budget.has_left(SERVICE, each.reserved_retry_share) for each in tickets
    ]
    assert left == [True, True, False]
    assert budget.take(SERVICE)
    left = [
        budget.has_left(SERVICE, each.reserved_retry_share) for each in tickets
    ]
    assert left == [True, False, False]


def _ranked_rig():
    rig = relay_rig.RelayRig()
    state = relay_rig.make_desired_state(version=2)
    urgency_by_name = {'/stream/': 0, '/once/': 2}
    routes = tuple(
        each._replace(urgency=urgency_by_name.get(each.name, each.urgency))
        for each in state.routes
    )
    rig.in_force.replace(state._replace(routes=routes))
    return rig


def _status(received):
    head = caller_response.parse(received).head
    return head.status_code, dict(head.headers)


def _engine_target():
    events_sent = b''.join(
        scripted_target.chunk(scripted_target.event(number))
        for number in range(1, 4)
    )
    head = scripted_target.stream_head({'Signature': 'first'})

    def script(sock, _request):
        sock.sendall(head + events_sent + scripted_target.chunk(b''))
        return False

    return scripted_target.ScriptedTarget(script)


def test_nearly_full_service_serves_only_the_urgent_stream():
    """Runs requests through the whole relay, from caller to target."""
    rig = _ranked_rig()
    target = _engine_target()
    rig.use_engines(target.address)
    room = 45_000.0
    rig.pressures.record_request(SERVICE, 0, KEY, 0.8 * room)
    rig.pressures.add_held_tokens(SERVICE, 1, KEY, 0.7 * room)
    try:
        less_urgent = rig.ask(relay_rig.request('/once/', prompt='800'))
        urgent = rig.ask(relay_rig.request('/stream/', prompt='800'))
    finally:
        rig.server.stop()
    status, headers = _status(less_urgent)
    assert status == 503
    assert 0.0 < float(headers[b'retry-after']) <= 5.0 / 3.0
    assert _status(urgent)[0] == 200
    (received,) = target.received
    assert received.value_by_header['urgency'] == '0'
    # The held tokens were released with the end of the request.
    assert rig.pressures.load(SERVICE, 2, 1.0).held[0] == 0.0


def test_equal_urgency_is_not_sent_to_targets():
    rig = relay_rig.RelayRig()
    target = _engine_target()
    rig.use_engines(target.address)
    try:
        answer = rig.ask(relay_rig.request('/stream/', prompt='800'))
    finally:
        rig.server.stop()
    assert _status(answer)[0] == 200
    assert 'urgency' not in target.received[0].value_by_header
