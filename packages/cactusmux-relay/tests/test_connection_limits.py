"""Which connections are closed, and which are refused, under pressure."""

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import connection_limits
from cactusmux_relay import descriptor_budget
import hypothesis
from hypothesis import strategies
import pytest

IDLE = connection_limits.Stage.IDLE
HEAD = connection_limits.Stage.HEAD
BODY = connection_limits.Stage.BODY
SERVED = connection_limits.Stage.SERVED
ROOM = 8


class _Connection(connection_limits.Closable):
    def __init__(self):
        self.is_closed = False
        self.is_unread = False

    def has_unread(self):
        return self.is_unread

    def displace(self):
        self.is_closed = True


class _World:
    def __init__(self, room=ROOM):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.account = connection_limits.ConnectionAccount(
            room, self.timer, self.metric
        )
        self.entry = self.account.listener('entry')
        self.ready = self.account.listener('ready', 2)
        self.directory = self.account.listener('directory', 2)

    def connect(self, listener=None, address=None, stage=IDLE):
        """Connects, each time from another address by default."""
        address = address or f'a{self.account.open_count}'
        connection = _Connection()
        seat = (listener or self.entry).admit(connection, address)
        if seat is not None:
            seat.enter(stage)
        return seat

    def fill(self, stage=IDLE, count=ROOM, **where):
        return [self.connect(stage=stage, **where) for _ in range(count)]


@pytest.fixture(name='world')
def _world():
    return _World()


def _closed(seats):
    return [
        index for index, each in enumerate(seats) if each.connection.is_closed
    ]


def test_longest_idle_connection_gives_way(world):
    seats = world.fill()
    seats[0].enter(SERVED)
    seats[0].enter(IDLE)
    assert world.connect(address='new') is not None
    assert _closed(seats) == [1]
    assert world.account.open_count == ROOM


def test_idle_connection_with_a_request_on_its_way_is_kept(world):
    seats = world.fill()
    seats[0].connection.is_unread = True
    world.connect(address='new')
    assert _closed(seats) == [1]


def test_incomplete_heads_are_closed_before_incomplete_bodies(world):
    seats = [
        *world.fill(BODY, 3),
        *world.fill(HEAD, 2),
        *world.fill(SERVED, ROOM - 5),
    ]
    order = []
    for _ in range(5):
        before = _closed(seats)
        assert world.connect(address='new', stage=SERVED) is not None
        order.extend(each for each in _closed(seats) if each not in before)
    assert order == [3, 4, 0, 1, 2]


def test_new_connection_is_refused_while_all_are_in_service(world):
    seats = world.fill(SERVED)
    assert world.connect(address='new') is None
    assert _closed(seats) == []
    assert world.metric.counter_by_name['connections.refused'] == 1
    seats[0].leave()
    assert world.connect(address='new') is not None


def test_readiness_is_answered_while_callers_hold_all_room(world):
    world.fill(SERVED)
    for listener in (world.ready, world.directory):
        assert world.connect(listener) is not None
        assert world.connect(listener) is not None
        assert world.connect(listener, stage=SERVED) is not None


def test_reserved_connection_is_not_displaced_for_a_request(world):
    reserved = world.fill(IDLE, 2, listener=world.ready)
    world.fill(SERVED)
    assert world.connect(address='new') is None
    assert _closed(reserved) == []


def test_crowd_at_readiness_leaves_room_for_requests(world):
    crowd = world.fill(IDLE, 50, listener=world.ready, address='crowd')
    assert world.account.open_count <= ROOM + 2
    assert world.connect(address='new', stage=SERVED) is not None
    assert not crowd[-1].connection.is_closed


def test_one_address_does_not_take_the_room_of_all(world):
    ordinary = world.connect(address='ordinary')
    crowd = world.fill(count=50, address='crowd')
    assert not ordinary.connection.is_closed
    assert world.account.open_count == ROOM
    assert len([each for each in crowd if not each.connection.is_closed]) == 7


def test_crowd_in_service_leaves_room_for_other_addresses(world):
    found = world.fill(SERVED, 50, address='crowd')
    assert len([each for each in found if each is not None]) == 7
    assert world.connect(address='ordinary') is not None


def test_closed_connection_returns_its_place_once(world):
    seats = world.fill()
    world.connect(address='new')
    seats[0].enter(SERVED)
    seats[0].leave()
    seats[0].leave()
    assert world.account.open_count == ROOM


def test_log_of_closed_connections_is_bounded(world, monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, 'warning', lambda event, **fields: lines.append(fields)
    )
    world.fill()
    world.fill(count=100)
    assert len(lines) == 1
    world.timer.advance(connection_limits.REPORT_PERIOD_S)
    world.fill(count=1)
    assert sum(each['closed'] for each in lines) == 101
    closed = world.metric.counter_by_name['connections.closed.idle']
    assert closed == 101


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 3),
            strategies.sampled_from(list(connection_limits.Stage)),
            strategies.booleans(),
        ),
        max_size=80,
    )
)
def test_account_agrees_with_the_open_connections(steps):
    world = _World()
    listeners = (world.entry, world.ready, world.directory)
    seats = []
    for listener, address, stage, leaves in steps:
        if leaves and seats:
            seats.pop(address % len(seats)).leave()
        seat = world.connect(listeners[listener], f'a{address}', stage)
        seats = [each for each in seats if not each.connection.is_closed]
        if seat is not None:
            seats.append(seat)
        assert world.account.open_count == len(seats) <= ROOM + 4
        assert all(
            not each.connection.is_closed
            for each in seats
            if each.stage is SERVED
        )


@pytest.mark.parametrize('descriptors', [64, 256, 600, 1024, 4200, 20000])
def test_budget_leaves_a_descriptor_for_each_request_in_service(descriptors):
    budget = descriptor_budget.divide(descriptors, 200)
    reserved = descriptor_budget.OTHER_LISTENERS * budget.reserved_per_listener
    files = min(200, descriptors // descriptor_budget.FILES_DIVISOR)
    used = 2 * budget.shared + reserved + files
    assert budget.shared >= 1
    assert used <= descriptors - descriptor_budget.MIN_OWN_DESCRIPTORS


def test_limit_is_the_smaller_of_the_machine_and_the_process(monkeypatch):
    monkeypatch.setattr(
        descriptor_budget.resource, 'getrlimit', lambda kind: (1024, 4096)
    )
    found = [descriptor_budget.limit(each) for each in (0, 600, 4200)]
    assert found == [1024, 600, 1024]
