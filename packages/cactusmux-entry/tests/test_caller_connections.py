"""Which connections give way when callers hold too much."""

import resource

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import caller_connections
import pytest

MAX_CONNECTIONS = 3
MAX_BYTES = 10_000


class World:
    """A table of connections; notes which were closed, in order."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.metrics = metrics.MemoryMetrics()
        self.closed: list[str] = []
        self.table = caller_connections.CallerConnections(
            caller_connections.Limits(MAX_CONNECTIONS, MAX_BYTES),
            self.clock,
            self.metrics,
        )

    def open(self, name: str) -> caller_connections.Connection | None:
        opened = self.table.open(lambda: self.closed.append(name))
        self.clock.advance(1.0)
        return opened


@pytest.fixture
def world() -> World:
    return World()


def test_longest_idle_connection_gives_way(world: World) -> None:
    first, second, _ = (world.open(name) for name in 'abc')
    world.table.receive(first, 10)
    world.table.begin_run(first)
    world.table.end_request(first)
    assert world.open('d')
    assert world.closed == ['b']
    assert second.is_dropped


def test_least_progress_gives_way_without_idle_ones(world: World) -> None:
    connections = [world.open(name) for name in 'abc']
    for connection, size in zip(connections, (500, 10, 300), strict=True):
        world.table.receive(connection, size)
    world.clock.advance(5.0)
    assert world.open('d')
    assert world.closed == ['b']


def test_young_request_goes_after_one_that_makes_no_progress(
    world: World,
) -> None:
    old, other, young = (world.open(name) for name in 'abc')
    world.table.receive(old, 400)
    world.table.receive(other, 900)
    world.clock.advance(100.0)
    world.table.receive(young, 1)
    assert world.open('d')
    assert world.closed == ['a']


def test_running_requests_never_give_way(world: World) -> None:
    for name in 'abc':
        world.table.begin_run(world.open(name))
    assert world.open('d') is None
    assert world.closed == []
    assert (
        world.metrics.counter_by_name['entry.closed.connection_refused'] == 1
    )


def test_released_connection_makes_room(world: World) -> None:
    first, *_ = (world.open(name) for name in 'abc')
    world.table.release(first)
    assert world.open('d')
    assert world.closed == []


def test_bytes_of_the_least_progress_are_given_up(world: World) -> None:
    slow, fast, new = (world.open(name) for name in 'abc')
    world.table.receive(slow, 2000)
    world.clock.advance(100.0)
    world.table.receive(fast, 7000)
    world.clock.advance(2.0)
    world.table.receive(new, 2000)
    assert world.closed == ['a']
    world.table.receive(new, 500)
    assert world.closed == ['a']


def test_largest_of_young_requests_gives_way(world: World) -> None:
    connections = [world.open(name) for name in 'abc']
    for connection, size in zip(connections, (1000, 8000, 2000), strict=True):
        world.table.receive(connection, size)
    assert world.closed == ['b']


def test_request_gives_way_to_running_ones(world: World) -> None:
    running, reading, _ = (world.open(name) for name in 'abc')
    world.table.receive(running, 9000)
    world.table.begin_run(running)
    world.table.receive(reading, 2000)
    assert world.closed == ['b']
    assert reading.is_dropped
    world.table.receive(reading, 2000)
    assert world.closed == ['b']


def test_answered_request_frees_its_bytes(world: World) -> None:
    first, second, _ = (world.open(name) for name in 'abc')
    for _ in range(3):
        world.table.receive(first, 9000)
        world.table.begin_run(first)
        world.table.end_request(first)
    world.table.receive(second, 9000)
    world.table.release(second)
    world.table.receive(first, 9000)
    assert world.closed == []


def test_descriptors_bound_the_connections() -> None:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert caller_connections.usable_connections(5) == 5
    usable = caller_connections.usable_connections(10**9)
    assert 2 * usable < descriptors
