"""What instances believe of a service's fill, whatever becomes of news."""

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
        self.book = service_load.ServiceLoadTracker(timer, lambda: instances)
        self.queue = admission_queue.AdmissionQueue(self._hold)
        self.running = []

    def pressure(self):
        return self.book.load(SERVICE, RANKS, ROOM)

    @property
    def held(self):
        return sum(each.tokens for each in self.running)

    def ask(self, rank, tokens):
        """Asks with no time to wait; returns whether it was admitted."""
        self.book.note_asked(SERVICE, rank, ORGANISATION, tokens)
        now = self.timer.now()
        ask = stream_admission.Candidate(
            rank, ORGANISATION, tokens, now, now, False
        )
        course = stream_admission.Activity(HOLD_S)
        _, verdict = self.queue.submit(ask, self.pressure(), course, now)
        return isinstance(verdict, admission_queue.Admitted)

    def end_oldest(self):
        """Ends the stream that was admitted first."""
        ask = self.running.pop(0)
        self.book.hold(SERVICE, ask.rank, ask.organisation, -ask.tokens)

    def _hold(self, ask):
        self.running.append(ask)
        self.book.hold(SERVICE, ask.rank, ask.organisation, ask.tokens)


@pytest.fixture(name='clock')
def _clock():
    return timers.ManualTimers()


def _pair(clock, instances=2):
    return _Instance(clock, instances), _Instance(clock, instances)


def test_news_add_up_what_instances_hold(clock):
    one, other = _pair(clock)
    other.book.hold(SERVICE, 1, ORGANISATION, 900.0)
    one.book.hold(SERVICE, 0, ORGANISATION, 500.0)
    one.book.take('other', other.book.own())
    pressure = one.pressure()
    assert pressure.held == (500.0, 900.0, 0.0)
    assert pressure.fill == pytest.approx(1400.0 / ROOM)
    assert pressure.held_by_organisation == {ORGANISATION: 1400.0}
    assert pressure.heard_share == 1.0


def test_sample_stands_for_all_instances(clock):
    one, other = _pair(clock, instances=5)
    other.book.hold(SERVICE, 0, ORGANISATION, 1000.0)
    one.book.take('other', other.book.own())
    assert one.pressure().used_tokens == 4000.0
    assert one.pressure().heard_share == 0.25


def test_stale_news_leave_our_own_knowledge_alone(clock):
    one, other = _pair(clock)
    other.book.hold(SERVICE, 0, ORGANISATION, 1000.0)
    one.book.hold(SERVICE, 0, ORGANISATION, 300.0)
    one.book.take('other', other.book.own())
    clock.advance(service_load.STALE_S + 0.1)
    pressure = one.pressure()
    assert pressure.is_guess
    # The other is taken to hold as much as we do.
    assert pressure.used_tokens == 600.0


def test_doubled_datagram_does_not_make_old_news_fresh(clock):
    one, other = _pair(clock)
    other.book.hold(SERVICE, 0, ORGANISATION, 1000.0)
    early = other.book.own()
    one.book.take('other', early)
    clock.advance(1.5)
    one.book.take('other', early)
    clock.advance(1.0)
    assert one.pressure().heard == 0


def test_overtaken_datagram_is_ignored(clock):
    one, other = _pair(clock)
    other.book.hold(SERVICE, 0, ORGANISATION, 400.0)
    early = other.book.own()
    clock.advance(0.3)
    other.book.hold(SERVICE, 0, ORGANISATION, 400.0)
    one.book.take('other', other.book.own())
    one.book.take('other', early)
    assert one.pressure().used_tokens == 800.0


def test_idle_instance_tells_that_it_holds_nothing(clock):
    """Its silence would be taken for the mean of those that are busy."""
    one, other = _pair(clock)
    one.book.hold(SERVICE, 0, ORGANISATION, 1000.0)
    other.book.take('one', one.book.own())
    one.book.take('other', other.book.own())
    assert one.pressure().used_tokens == 1000.0
    assert not one.pressure().is_guess


def test_service_left_out_for_its_bytes_is_not_taken_for_idle(clock):
    one, other = _pair(clock)
    for name in ('x', 'y'):
        other.book.hold(name, 0, ORGANISATION, 2000.0)
    other.book.hold(SERVICE, 0, ORGANISATION, 1000.0)
    one.book.take('other', other.book.own())
    assert one.pressure().is_guess


def test_nothing_is_told_where_nothing_is_ranked(clock):
    assert _Instance(clock).book.own() == b''


def test_news_stay_within_a_few_hundred_bytes(clock):
    one = _Instance(clock)
    for service in range(20):
        for organisation in range(100):
            key = service_load.organisation_key(str(organisation))
            for rank in range(10):
                name = f'service-{service}'
                one.book.note_asked(name, rank, key, 9e4)
                one.book.note_rejected(name, rank, 9e4)
                one.book.hold(name, rank, key, 9e4)
    assert len(one.book.own()) < 700
    usual = _Instance(clock)
    for organisation in range(24):
        key = service_load.organisation_key(str(organisation))
        usual.book.note_asked(SERVICE, organisation % 3, key, 900.0)
        usual.book.hold(SERVICE, organisation % 3, key, 900.0)
    assert len(usual.book.own()) < 300


def test_unreadable_news_raise_what_the_news_expect(clock):
    with pytest.raises(msgspec.MsgspecError):
        _Instance(clock).book.take('other', b'\xc1')


def test_without_news_a_fleet_never_rejects_everything(clock):
    one = _Instance(clock, instances=1000)
    assert one.pressure().is_guess
    assert one.ask(2, LARGEST)
    assert not one.ask(0, LARGEST)


class PressureMachine(stateful.RuleBasedStateMachine):
    """Any order of requests, ends, and lost, late and doubled news."""

    def __init__(self):
        super().__init__()
        self.clock = timers.ManualTimers()
        self.instances = [_Instance(self.clock) for _ in range(INSTANCES)]
        self.flying = []

    places = strategies.integers(0, INSTANCES - 1)

    @stateful.rule(
        place=places,
        rank=strategies.integers(0, RANKS - 1),
        tokens=strategies.floats(100.0, LARGEST),
        times=strategies.integers(1, 12),
    )
    def ask(self, place, rank, tokens, times):
        for _ in range(times):
            self.instances[place].ask(rank, tokens)

    @stateful.rule(place=places)
    def end(self, place):
        if self.instances[place].running:
            self.instances[place].end_oldest()

    @stateful.initialize()
    def all_are_idle(self):
        """Each instance has told that it holds nothing."""
        for each in self.instances:
            each.pressure()
        self.tell_all()

    @stateful.rule()
    def tell_all(self):
        for place, each in enumerate(self.instances):
            data = each.book.own()
            self.flying.append((place, data))
            for other in self.instances:
                if other is not each:
                    other.book.take(str(place), data)

    @stateful.rule(place=places)
    def send(self, place):
        data = self.instances[place].book.own()
        if data:
            self.flying.append((place, data))

    @stateful.rule(
        place=places,
        which=strategies.integers(0, 50),
        is_kept=strategies.booleans(),
    )
    def deliver(self, place, which, is_kept):
        """Delivers any datagram, early or late; a kept one comes again."""
        if not self.flying:
            return
        index = which % len(self.flying)
        sender, data = self.flying[index]
        if not is_kept:
            del self.flying[index]
        if sender != place:
            self.instances[place].book.take(str(sender), data)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 1.0, 2.5]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @stateful.invariant()
    def room_is_passed_by_the_stated_bound_at_most(self):
        held = sum(each.held for each in self.instances)
        bound = stream_admission.MAX_EQUAL_PARTS * ROOM + INSTANCES * LARGEST
        assert held <= bound

    @stateful.invariant()
    def each_instance_keeps_to_its_cap(self):
        cap = stream_admission.MAX_EQUAL_PARTS * ROOM / INSTANCES
        for each in self.instances:
            assert each.held <= max(cap, LARGEST) + 1.0


PressureMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestPressureMachine = PressureMachine.TestCase


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
def test_without_any_news_instances_keep_to_the_room(requests):
    clock = timers.ManualTimers()
    instances = [_Instance(clock) for _ in range(INSTANCES)]
    for place, rank, tokens in requests:
        instances[place].ask(rank, tokens)
    for each in instances:
        assert each.held <= max(ROOM / INSTANCES, LARGEST) + 1.0


@hypothesis.given(REQUESTS)
@hypothesis.settings(deadline=None)
def test_with_all_news_at_once_instances_keep_to_the_room(requests):
    clock = timers.ManualTimers()
    instances = [_Instance(clock) for _ in range(INSTANCES)]
    for place, rank, tokens in requests:
        clock.advance(0.01)
        for sender, one in enumerate(instances):
            data = one.book.own()
            for receiver, other in enumerate(instances):
                if sender != receiver and data:
                    other.book.take(str(sender), data)
        instances[place].ask(rank, tokens)
    # Before the first news, each may begin one request.
    first = INSTANCES * LARGEST
    assert sum(each.held for each in instances) <= max(ROOM, first) + 1.0
