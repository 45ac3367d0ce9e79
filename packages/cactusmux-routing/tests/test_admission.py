"""Tests of admission: service order, early rejection, lending and drain."""

import collections
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_routing import admission
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from cactusmux_routing import refusals
from cactusmux_routing import retries
from cactusmux_routing import tickets
import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

CAPACITY_TPS = 1000.0
COST = 50.0
MAX_STREAMS = 50
RUN_S = COST * admission.RUN_TIME_MARGIN / admission.STREAM_TPS


class AdmissionHarness:
    """An instance's admission controller and its decisions."""

    def __init__(self, max_waiting: int = 1000, model_tps: float = 0) -> None:
        self.clock = timers.ManualTimers()
        self.meter = demand.DemandMeter(self.clock)
        self.metric = metrics.MemoryMetrics()
        self.share = fair_share.FairShare(self.clock, self.meter)
        weights = dict.fromkeys('opq', 1.0)
        policy = fair_share.ServicePolicy(documents.Pool(0.5), weights)
        self.share.set_pool(CAPACITY_TPS, {'s': policy, 't': policy})
        self.controller = admission.AdmissionController(
            self.clock,
            random.Random(3),
            self.share,
            self.meter,
            self.metric,
            max_waiting=max_waiting,
        )
        if model_tps:
            self.controller.set_model_capacity('m', model_tps)
        self.granted: list[tickets.Ticket] = []
        self.refused: list[refusals.Refused] = []

    def submit(
        self,
        service: str = 's',
        organisation: str = 'o',
        kind: str = 'draft',
        worth: float = 1.0,
        deadline_s: float = 60.0,
        cost: float = COST,
    ) -> None:
        deadline = retries.Deadline(self.clock.now() + deadline_s)
        request = tickets.RequestClass(
            service, organisation, kind, 'm', worth, cost, deadline
        )
        self.controller.submit(request, self._record)

    def fill(self, number: int = MAX_STREAMS, **fields) -> None:
        for _ in range(number):
            self.submit(**fields)

    def release(self, number: int) -> None:
        for _ in range(number):
            ticket = self.granted.pop(0)
            self.controller.release(ticket, ticket.request.cost)

    def _record(self, answer: admission.Decision) -> None:
        ticket = answer.value_or(None)
        if ticket is None:
            self.refused.append(answer.failure())
        else:
            self.granted.append(ticket)


def test_requests_start_at_once_below_the_stream_limit() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS)
    assert len(harness.granted) == MAX_STREAMS
    harness.submit()
    assert len(harness.granted) == MAX_STREAMS
    assert harness.controller.waiting == 1
    harness.release(1)
    assert harness.controller.waiting == 0


def test_request_that_would_start_too_late_is_refused_at_once() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS + 200, deadline_s=6.0)
    assert harness.refused
    assert harness.controller.waiting <= 6.0 * CAPACITY_TPS / COST
    for refusal in harness.refused:
        assert refusal.retry_after_s > 0
    assert harness.controller.waiting + len(harness.refused) == 200


def test_deadline_shorter_than_the_work_is_refused_at_once() -> None:
    harness = AdmissionHarness()
    harness.submit(deadline_s=RUN_S - 0.1)
    assert type(harness.refused[0]) is refusals.PredictedLate
    assert harness.metric.counter_by_name['admission.refused.predicted_late']


def test_waiting_request_is_refused_once_it_must_miss_its_deadline() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS, deadline_s=60.0)
    harness.submit(deadline_s=5.0)
    harness.clock.advance(5.0 - RUN_S - 0.01)
    assert not harness.refused
    harness.clock.advance(0.02)
    assert type(harness.refused[0]) is refusals.WaitedTooLong
    assert harness.controller.waiting == 0


def test_retry_after_spreads_callers_at_the_rate_they_are_served() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS + 400, deadline_s=4.0)
    delays = sorted(r.retry_after_s for r in harness.refused)
    assert len(delays) > 300
    per_second = CAPACITY_TPS / COST
    within = collections.Counter(int(delay) for delay in delays)
    assert max(within.values()) <= 2.5 * per_second
    assert delays[-1] >= 0.5 * len(delays) / per_second


def test_returning_service_starts_past_borrowed_requests() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS, service='t')
    borrowed = [
        ticket
        for ticket in harness.granted
        if ticket.priority == tickets.PRIORITY_BORROWED
    ]
    assert len(borrowed) == MAX_STREAMS // 2
    harness.clock.advance(1.0)
    harness.fill(MAX_STREAMS // 2, service='s')
    own = [x for x in harness.granted if x.request.service == 's']
    assert len(own) >= MAX_STREAMS // 2 * 0.9
    assert {x.priority for x in own} == {tickets.PRIORITY_ENTITLED}


def test_flooding_organisation_does_not_starve_another() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS + 100, organisation='o')
    harness.fill(20, organisation='p')
    seen = len(harness.granted)
    for _ in range(20):
        harness.release(1)
        harness.clock.advance(0.05)
    served = [x.request.organisation for x in harness.granted[seen - 20 :]]
    assert served.count('p') >= 8


def test_kinds_are_served_by_worth_and_none_starves() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS)
    harness.fill(60, kind='letter', worth=1.0)
    harness.fill(60, kind='report', worth=2.0)
    harness.release(40)
    kinds = collections.Counter(x.request.kind for x in harness.granted[10:])
    assert kinds['report'] == pytest.approx(32, abs=2)
    assert kinds['letter'] == pytest.approx(8, abs=2)


def test_organisation_with_low_worth_gets_its_long_term_share() -> None:
    harness = AdmissionHarness()
    served: collections.Counter = collections.Counter()
    for _ in range(150):
        harness.fill(20, organisation='o', worth=9.0)
        harness.fill(20, organisation='p', worth=1.0)
        harness.clock.advance(1.0)
        served.update(x.request.organisation for x in harness.granted[:20])
        harness.release(20)
    assert served['p'] >= 0.3 * served.total()
    assert served['o'] >= 0.5 * served.total()


def test_earlier_deadline_of_a_kind_is_first() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS)
    harness.submit(deadline_s=50.0)
    harness.submit(deadline_s=20.0)
    harness.release(1)
    last = harness.granted[-1].request.deadline.ends_at
    assert last == harness.clock.now() + 20.0


def test_full_queue_refuses_the_organisation_that_fills_it() -> None:
    harness = AdmissionHarness(max_waiting=10)
    harness.fill(MAX_STREAMS + 10, organisation='o')
    assert not harness.refused
    harness.submit(organisation='p')
    assert harness.refused[0].organisation == 'o'
    assert type(harness.refused[0]) is refusals.QueueFull
    harness.submit(organisation='o')
    assert harness.refused[1].organisation == 'o'
    assert harness.controller.waiting == 10


def test_model_has_no_more_streams_than_its_targets_can_take() -> None:
    harness = AdmissionHarness(model_tps=CAPACITY_TPS / 5)
    harness.fill(MAX_STREAMS)
    assert len(harness.granted) == MAX_STREAMS // 5


def test_drain_refuses_queued_requests_and_keeps_running_ones() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS + 5)
    harness.controller.drain()
    harness.submit()
    assert [type(x) for x in harness.refused] == [refusals.Draining] * 6
    assert harness.controller.running == MAX_STREAMS


def test_organisation_without_a_share_is_refused() -> None:
    harness = AdmissionHarness()
    harness.submit(organisation='unknown')
    assert type(harness.refused[0]) is refusals.NoShare


def test_release_twice_counts_once() -> None:
    harness = AdmissionHarness()
    harness.fill(2)
    ticket = harness.granted[0]
    harness.controller.release(ticket, COST)
    harness.controller.release(ticket, COST)
    assert harness.controller.running == 1


def test_admit_blocks_its_task_until_capacity_is_free() -> None:
    harness = AdmissionHarness()
    harness.fill(MAX_STREAMS)
    deadline = retries.Deadline(harness.clock.now() + 60.0)
    request = tickets.RequestClass('s', 'o', 'draft', 'm', 1.0, COST, deadline)
    task = gevent.spawn(harness.controller.admit, request)
    gevent.sleep(0)
    assert not task.ready()
    harness.release(1)
    assert task.get(timeout=5).unwrap().request == request


STEP = st.one_of(
    st.tuples(
        st.just('submit'),
        st.sampled_from('st'),
        st.sampled_from('opq'),
        st.sampled_from([('draft', 1.0), ('report', 9.0)]),
        st.floats(2.5, 8.0),
    ),
    st.tuples(st.just('end'), st.integers(1, 5)),
    st.tuples(st.just('advance'), st.floats(0.01, 2.0)),
)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(STEP, max_size=120))
def test_every_request_gets_one_answer_by_its_deadline(steps: list) -> None:
    harness = AdmissionHarness(max_waiting=8, model_tps=CAPACITY_TPS / 10)
    submitted = 0
    ended = 0
    for step in steps:
        if step[0] == 'submit':
            _, service, organisation, (kind, worth), deadline_s = step
            harness.submit(service, organisation, kind, worth, deadline_s)
            submitted += 1
        elif step[0] == 'end':
            number = min(step[1], len(harness.granted))
            harness.release(number)
            ended += number
        else:
            harness.clock.advance(step[1])
        answered = ended + len(harness.granted) + len(harness.refused)
        assert answered + harness.controller.waiting == submitted
        assert harness.controller.waiting <= 8
    harness.clock.advance(9.0)
    assert harness.controller.waiting == 0
