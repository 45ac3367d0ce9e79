"""Tests for the estimated load of a service with unreliable gossip."""

from cactusmux_base import timers
from cactusmux_relay import admission_queue
from cactusmux_relay import service_load
from cactusmux_relay import stream_admission
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

SERVICE = 'drafts'
ORGANISATION = 7
ROOM = 20_000.0
INSTANCES = 4
RANKS = 3
LARGEST = 3000.0
HOLD_S = 3.0


class _Instance:
    def __init__(self, timer, instances=INSTANCES):
        self.timer = timer
        self.tracker = service_load.ServiceLoadTracker(
            timer, lambda: instances
        )
        self.queue = admission_queue.AdmissionQueue(self._hold)
        self.running = []

    def load(self):
        return self.tracker.load(SERVICE, RANKS, ROOM)

    @property
    def held(self):
        return sum(each.tokens for each in self.running)

    def request(self, rank, tokens):
        """Submits a request that can't wait; returns if it was admitted."""
        self.tracker.record_request(SERVICE, rank, ORGANISATION, tokens)
        now = self.timer.now()
        request = stream_admission.Candidate(
            rank, ORGANISATION, tokens, now, now, False
        )
        activity = stream_admission.Activity(HOLD_S)
        _, verdict = self.queue.submit(request, self.load(), activity, now)
        return isinstance(verdict, admission_queue.Admitted)

    def end_oldest(self):
        """Ends the stream that was admitted earliest."""
        request = self.running.pop(0)
        self.tracker.add_held_tokens(
            SERVICE, request.rank, request.organisation, -request.tokens
        )

    def _hold(self, request):
        self.running.append(request)
        self.tracker.add_held_tokens(
            SERVICE, request.rank, request.organisation, request.tokens
        )


@pytest.fixture(name='clock')
def _clock():
    return timers.ManualTimers()


def _pair(clock, instances=2):
    return _Instance(clock, instances), _Instance(clock, instances)


def test_reports_add_up_what_instances_hold(clock):
    one, other = _pair(clock)
    other.tracker.add_held_tokens(SERVICE, 1, ORGANISATION, 900.0)
    one.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 500.0)
    one.tracker.take('other', other.tracker.own())
    load = one.load()
    assert load.held == (500.0, 900.0, 0.0)
    assert load.fill == pytest.approx(1400.0 / ROOM)
    assert load.held_by_organisation == {ORGANISATION: 1400.0}
    assert load.report_coverage == 1.0


def test_sample_is_extrapolated_to_all_instances(clock):
    one, other = _pair(clock, instances=5)
    other.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 1000.0)
    one.tracker.take('other', other.tracker.own())
    assert one.load().used_tokens == 4000.0
    assert one.load().report_coverage == 0.25


def test_stale_reports_are_replaced_by_own_load(clock):
    one, other = _pair(clock)
    other.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 1000.0)
    one.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 300.0)
    one.tracker.take('other', other.tracker.own())
    clock.advance(service_load.MAX_REPORT_AGE_S + 0.1)
    load = one.load()
    assert load.has_no_reports
    # The peer is assumed to hold as much as this instance.
    assert load.used_tokens == 600.0


def test_duplicated_datagram_does_not_renew_an_old_report(clock):
    one, other = _pair(clock)
    other.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 1000.0)
    early = other.tracker.own()
    one.tracker.take('other', early)
    clock.advance(1.5)
    one.tracker.take('other', early)
    clock.advance(1.0)
    assert one.load().heard == 0


def test_reordered_datagram_is_ignored(clock):
    one, other = _pair(clock)
    other.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 400.0)
    early = other.tracker.own()
    clock.advance(0.3)
    other.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 400.0)
    one.tracker.take('other', other.tracker.own())
    one.tracker.take('other', early)
    assert one.load().used_tokens == 800.0


def test_idle_instance_reports_that_it_holds_nothing(clock):
    """Without a report, peers would assume the mean of the busy instances."""
    one, other = _pair(clock)
    one.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 1000.0)
    other.tracker.take('one', one.tracker.own())
    one.tracker.take('other', other.tracker.own())
    assert one.load().used_tokens == 1000.0
    assert not one.load().has_no_reports


def test_service_cut_off_from_a_full_report_is_not_taken_for_idle(clock):
    one, other = _pair(clock)
    for name in ('x', 'y'):
        other.tracker.add_held_tokens(name, 0, ORGANISATION, 2000.0)
    other.tracker.add_held_tokens(SERVICE, 0, ORGANISATION, 1000.0)
    one.tracker.take('other', other.tracker.own())
    assert one.load().has_no_reports


def test_report_is_empty_where_no_service_has_ranks(clock):
    assert _Instance(clock).tracker.own() == b''


def test_report_stays_within_a_few_hundred_bytes(clock):
    one = _Instance(clock)
    for service in range(20):
        for organisation in range(100):
            key = service_load.organisation_key(str(organisation))
            for rank in range(10):
                name = f'service-{service}'
                one.tracker.record_request(name, rank, key, 9e4)
                one.tracker.record_rejection(name, rank, 9e4)
                one.tracker.add_held_tokens(name, rank, key, 9e4)
    assert len(one.tracker.own()) < 700
    usual = _Instance(clock)
    for organisation in range(24):
        key = service_load.organisation_key(str(organisation))
        usual.tracker.record_request(SERVICE, organisation % 3, key, 900.0)
        usual.tracker.add_held_tokens(SERVICE, organisation % 3, key, 900.0)
    assert len(usual.tracker.own()) < 300


def test_unreadable_report_raises_a_decoding_error(clock):
    with pytest.raises(msgspec.MsgspecError):
        _Instance(clock).tracker.take('other', b'\xc1')


def test_fleet_without_reports_never_rejects_everything(clock):
    one = _Instance(clock, instances=1000)
    assert one.load().has_no_reports
    assert one.request(2, LARGEST)
    assert not one.request(0, LARGEST)


class ServiceLoadMachine(stateful.RuleBasedStateMachine):
    """Any order of requests, ends, and lost, late and duplicated gossip."""

    def __init__(self):
        super().__init__()
        self.clock = timers.ManualTimers()
        self.instances = [_Instance(self.clock) for _ in range(INSTANCES)]
        self.in_flight = []

    places = strategies.integers(0, INSTANCES - 1)

    @stateful.rule(
        place=places,
        rank=strategies.integers(0, RANKS - 1),
        tokens=strategies.floats(100.0, LARGEST),
        times=strategies.integers(1, 12),
    )
    def request(self, place, rank, tokens, times):
        for _ in range(times):
            self.instances[place].request(rank, tokens)

    @stateful.rule(place=places)
    def end(self, place):
        if self.instances[place].running:
            self.instances[place].end_oldest()

    @stateful.initialize()
    def all_are_idle(self):
        """Lets each instance report that it holds nothing."""
        for each in self.instances:
            each.load()
        self.report_all()

    @stateful.rule()
    def report_all(self):
        for place, each in enumerate(self.instances):
            data = each.tracker.own()
            self.in_flight.append((place, data))
            for other in self.instances:
                if other is not each:
                    other.tracker.take(str(place), data)

    @stateful.rule(place=places)
    def send(self, place):
        data = self.instances[place].tracker.own()
        if data:
            self.in_flight.append((place, data))

    @stateful.rule(
        place=places,
        which=strategies.integers(0, 50),
        is_kept=strategies.booleans(),
    )
    def deliver(self, place, which, is_kept):
        """Delivers any datagram in any order; a kept one is duplicated."""
        if not self.in_flight:
            return
        index = which % len(self.in_flight)
        sender, data = self.in_flight[index]
        if not is_kept:
            del self.in_flight[index]
        if sender != place:
            self.instances[place].tracker.take(str(sender), data)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 1.0, 2.5]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @stateful.invariant()
    def total_load_is_bounded(self):
        held = sum(each.held for each in self.instances)
        bound = stream_admission.MAX_EQUAL_SHARES * ROOM + INSTANCES * LARGEST
        assert held <= bound

    @stateful.invariant()
    def each_instance_keeps_to_its_limit(self):
        limit = stream_admission.MAX_EQUAL_SHARES * ROOM / INSTANCES
        for each in self.instances:
            assert each.held <= max(limit, LARGEST) + 1.0


ServiceLoadMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestServiceLoadMachine = ServiceLoadMachine.TestCase


REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, INSTANCES - 1),
        strategies.integers(0, RANKS - 1),
        strategies.floats(100.0, LARGEST),
    ),
    max_size=60,
)


@hypothesis.given(REQUESTS)
@hypothesis.settings(deadline=None)
def test_instances_without_reports_keep_to_the_capacity(requests):
    clock = timers.ManualTimers()
    instances = [_Instance(clock) for _ in range(INSTANCES)]
    for place, rank, tokens in requests:
        instances[place].request(rank, tokens)
    for each in instances:
        assert each.held <= max(ROOM / INSTANCES, LARGEST) + 1.0


@hypothesis.given(REQUESTS)
@hypothesis.settings(deadline=None)
def test_instances_with_immediate_reports_keep_to_the_capacity(requests):
    clock = timers.ManualTimers()
    instances = [_Instance(clock) for _ in range(INSTANCES)]
    for place, rank, tokens in requests:
        clock.advance(0.01)
        for sender, one in enumerate(instances):
            data = one.tracker.own()
            for receiver, other in enumerate(instances):
                if sender != receiver and data:
                    other.tracker.take(str(sender), data)
        instances[place].request(rank, tokens)
    # Before the first gossip, each instance may start one request.
    first = INSTANCES * LARGEST
    assert sum(each.held for each in instances) <= max(ROOM, first) + 1.0
