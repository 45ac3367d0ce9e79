"""Prompts with a part that ends each server that begins to write on it."""

import itertools

import gevent
import pytest

from . import session_world

SUBJECT = '5c1e07a2'
FATAL_PART = '91bd3f06'
INSTANCES = 3
ENGINES = 20
# Some servers are kept as spares.
MIN_PLACED = 16
# The fifth end of a server is the last one that may be needed to recognise
# the part; recognising it sooner is better.
MAX_ENDED = 5
FATAL_REQUESTS = 12
REQUEST_PERIOD_S = 0.2


@pytest.fixture(name='world')
def _world():
    world = session_world.World()
    world.engines = [session_world.Engine('large') for _ in range(ENGINES)]
    for engine in world.engines:
        engine.fatal_part = FATAL_PART
    world.configure()
    for number in range(INSTANCES):
        world.start(f'front-a-{number}')
    session_world.until(lambda: _placed_count(world) >= MIN_PLACED)
    world.write_entries()
    for _, settings in world.instances:
        session_world.until(lambda given=settings: _status(given) == b'200')
    yield world
    for instance, _ in world.instances:
        instance._entry.stop()
    world.store.stop()


def _placed_count(world):
    return sum(each.layers['target'] > 0 for each in world.engines)


def _status(settings, *shared, number=0, path='/drafts/x', own=None):
    """Returns the status of a request with these parts and one of its own."""
    parts = [*shared, own or f'{number:08x}']
    received = session_world.ask(
        settings,
        path,
        request_id=f'{number:016x}',
        prompt=','.join(f'{each}:40' for each in parts),
    )
    return received[9:12]


def _send_fatal_requests(world):
    """Sends requests with the part to all instances; returns the statuses."""
    statuses = []
    instances = itertools.cycle(world.instances)
    for number in range(FATAL_REQUESTS):
        _, settings = next(instances)
        status = _status(settings, SUBJECT, FATAL_PART, number=number)
        statuses.append(status)
        gevent.sleep(REQUEST_PERIOD_S)
    return statuses


def test_part_that_ends_servers_is_not_sent_to_one_after_the_other(world):
    statuses = _send_fatal_requests(world)
    ended = [each for each in world.engines if each.has_ended]
    assert len(ended) <= MAX_ENDED
    assert statuses[-1] == b'503'
    for number, (_, settings) in enumerate(world.instances, FATAL_REQUESTS):
        assert _status(settings, SUBJECT, number=number) == b'200'


def test_stream_that_ends_servers_before_they_answer_is_not_sent_on(world):
    for engine in world.engines:
        engine.fatal_path = '/drafts/fatal'
    instances = itertools.cycle(world.instances)
    for number in range(FATAL_REQUESTS):
        _, settings = next(instances)
        _status(settings, SUBJECT, number=100 + number)
        status = _status(
            settings, SUBJECT, number=number, path='/drafts/fatal', own='0f'
        )
        gevent.sleep(REQUEST_PERIOD_S)
    ended = [each for each in world.engines if each.has_ended]
    assert len(ended) <= MAX_ENDED
    assert status == b'503'
    for number, (_, settings) in enumerate(world.instances, 200):
        assert _status(settings, SUBJECT, number=number) == b'200'
