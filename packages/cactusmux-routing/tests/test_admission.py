"""Tests of admission: turns, honest early refusals, lending and drain."""

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
ROOM = 50
RUN_S = COST * admission.RUN_MARGIN / admission.STREAM_TPS


class Bench:
    """An instance's admission, with the answers it gave."""

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
        self.controller.submit(request, self._take)

    def fill(self, number: int = ROOM, **fields) -> None:
        for _ in range(number):
            self.submit(**fields)

    def end(self, number: int) -> None:
        for _ in range(number):
            ticket = self.granted.pop(0)
            self.controller.release(ticket, ticket.request.cost)

    def _take(self, answer: admission.Decision) -> None:
        ticket = answer.value_or(None)
        if ticket is None:
            self.refused.append(answer.failure())
        else:
            self.granted.append(ticket)


def test_requests_start_at_once_while_there_is_room() -> None:
    bench = Bench()
    bench.fill(ROOM)
    assert len(bench.granted) == ROOM
    bench.submit()
    assert len(bench.granted) == ROOM
    assert bench.controller.waiting == 1
    bench.end(1)
    assert bench.controller.waiting == 0


def test_request_that_would_start_too_late_is_refused_now() -> None:
    bench = Bench()
    bench.fill(ROOM + 200, deadline_s=6.0)
    assert bench.refused
    assert bench.controller.waiting <= 6.0 * CAPACITY_TPS / COST
    for refusal in bench.refused:
        assert refusal.retry_after_s > 0
    assert bench.controller.waiting + len(bench.refused) == 200


def test_deadline_shorter_than_the_work_is_refused_at_once() -> None:
    bench = Bench()
    bench.submit(deadline_s=RUN_S - 0.1)
    assert type(bench.refused[0]) is refusals.PredictedLate
    assert bench.metric.counter_by_name['admission.refused.predicted_late']


def test_waiting_request_is_refused_when_its_time_is_up() -> None:
    bench = Bench()
    bench.fill(ROOM, deadline_s=60.0)
    bench.submit(deadline_s=5.0)
    bench.clock.advance(5.0 - RUN_S - 0.01)
    assert not bench.refused
    bench.clock.advance(0.02)
    assert type(bench.refused[0]) is refusals.WaitedTooLong
    assert bench.controller.waiting == 0


def test_retry_after_spreads_callers_at_the_rate_they_are_served() -> None:
    bench = Bench()
    bench.fill(ROOM + 400, deadline_s=4.0)
    delays = sorted(r.retry_after_s for r in bench.refused)
    assert len(delays) > 300
    per_second = CAPACITY_TPS / COST
    within = collections.Counter(int(delay) for delay in delays)
    assert max(within.values()) <= 2.5 * per_second
    assert delays[-1] >= 0.5 * len(delays) / per_second


def test_returning_service_starts_past_borrowed_requests() -> None:
    bench = Bench()
    bench.fill(ROOM, service='t')
    borrowed = [
        ticket
        for ticket in bench.granted
        if ticket.priority == tickets.PRIORITY_BORROWED
    ]
    assert len(borrowed) == ROOM // 2
    bench.clock.advance(1.0)
    bench.fill(ROOM // 2, service='s')
    own = [x for x in bench.granted if x.request.service == 's']
    assert len(own) >= ROOM // 2 * 0.9
    assert {x.priority for x in own} == {tickets.PRIORITY_ENTITLED}


def test_flooding_organisation_leaves_the_others_their_turns() -> None:
    bench = Bench()
    bench.fill(ROOM + 100, organisation='o')
    bench.fill(20, organisation='p')
    seen = len(bench.granted)
    for _ in range(20):
        bench.end(1)
        bench.clock.advance(0.05)
    turns = [x.request.organisation for x in bench.granted[seen - 20 :]]
    assert turns.count('p') >= 8


def test_kinds_get_turns_by_worth_and_none_starves() -> None:
    bench = Bench()
    bench.fill(ROOM)
    bench.fill(60, kind='letter', worth=1.0)
    bench.fill(60, kind='report', worth=2.0)
    bench.end(40)
    kinds = collections.Counter(x.request.kind for x in bench.granted[10:])
    assert kinds['report'] == pytest.approx(32, abs=2)
    assert kinds['letter'] == pytest.approx(8, abs=2)


def test_organisation_with_little_worth_gets_its_share_in_the_end() -> None:
    bench = Bench()
    turns: collections.Counter = collections.Counter()
    for _ in range(150):
        bench.fill(20, organisation='o', worth=9.0)
        bench.fill(20, organisation='p', worth=1.0)
        bench.clock.advance(1.0)
        turns.update(x.request.organisation for x in bench.granted[:20])
        bench.end(20)
    assert turns['p'] >= 0.3 * turns.total()
    assert turns['o'] >= 0.5 * turns.total()


def test_earlier_deadline_of_a_kind_is_first() -> None:
    bench = Bench()
    bench.fill(ROOM)
    bench.submit(deadline_s=50.0)
    bench.submit(deadline_s=20.0)
    bench.end(1)
    last = bench.granted[-1].request.deadline.ends_at
    assert last == bench.clock.now() + 20.0


def test_full_queue_refuses_the_one_who_fills_it() -> None:
    bench = Bench(max_waiting=10)
    bench.fill(ROOM + 10, organisation='o')
    assert not bench.refused
    bench.submit(organisation='p')
    assert bench.refused[0].organisation == 'o'
    assert type(bench.refused[0]) is refusals.QueueFull
    bench.submit(organisation='o')
    assert bench.refused[1].organisation == 'o'
    assert bench.controller.waiting == 10


def test_model_has_no_more_streams_than_its_targets_can_take() -> None:
    bench = Bench(model_tps=CAPACITY_TPS / 5)
    bench.fill(ROOM)
    assert len(bench.granted) == ROOM // 5


def test_drain_answers_all_that_wait_and_cuts_nothing() -> None:
    bench = Bench()
    bench.fill(ROOM + 5)
    bench.controller.drain()
    bench.submit()
    assert [type(x) for x in bench.refused] == [refusals.Draining] * 6
    assert bench.controller.running == ROOM


def test_organisation_without_a_share_is_refused() -> None:
    bench = Bench()
    bench.submit(organisation='unknown')
    assert type(bench.refused[0]) is refusals.NoShare


def test_release_twice_counts_once() -> None:
    bench = Bench()
    bench.fill(2)
    ticket = bench.granted[0]
    bench.controller.release(ticket, COST)
    bench.controller.release(ticket, COST)
    assert bench.controller.running == 1


def test_admit_blocks_its_task_until_there_is_room() -> None:
    bench = Bench()
    bench.fill(ROOM)
    deadline = retries.Deadline(bench.clock.now() + 60.0)
    request = tickets.RequestClass('s', 'o', 'draft', 'm', 1.0, COST, deadline)
    task = gevent.spawn(bench.controller.admit, request)
    gevent.sleep(0)
    assert not task.ready()
    bench.end(1)
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
    bench = Bench(max_waiting=8, model_tps=CAPACITY_TPS / 10)
    submitted = 0
    ended = 0
    for step in steps:
        if step[0] == 'submit':
            _, service, organisation, (kind, worth), deadline_s = step
            bench.submit(service, organisation, kind, worth, deadline_s)
            submitted += 1
        elif step[0] == 'end':
            number = min(step[1], len(bench.granted))
            bench.end(number)
            ended += number
        else:
            bench.clock.advance(step[1])
        answered = ended + len(bench.granted) + len(bench.refused)
        assert answered + bench.controller.waiting == submitted
        assert bench.controller.waiting <= 8
    bench.clock.advance(9.0)
    assert bench.controller.waiting == 0
