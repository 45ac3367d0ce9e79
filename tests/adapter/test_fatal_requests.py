"""One plain request that ends each server that runs it, over sockets."""

import itertools

from cactusmux_fakes import scripted_target
import gevent
import pytest

from . import session_world

INSTANCES = 3
SERVERS = 12
FATAL_PATH = '/lookup/fatal'
# Three servers may end before the request is known, and it may be sent to
# servers three times more.
MAX_ENDED = 6
FATAL_REQUESTS = 12
REQUEST_PERIOD_S = 0.2
CONFIG = {
    **session_world.CONFIG,
    'version': 4,
    'routes': [
        *session_world.CONFIG['routes'],
        {
            'name': 'lookup',
            'host_name': 'h.example',
            'path_prefix': '/lookup/',
            'route_kind': 'safe',
            'timeout_ms': 3000,
            'service_name': 'lookups',
            'max_attempts': 2,
        },
    ],
    'services': [*session_world.CONFIG['services'], {'name': 'lookups'}],
    'tenants': [
        {'name': 'hule930', 'api_keys': ['k1']},
        {'name': 'lohu930', 'api_keys': ['k2']},
    ],
}


class Server:
    """A plain server that ends when it runs the fatal request of ``k1``."""

    def __init__(self):
        self.has_ended = False
        self.target = scripted_target.ScriptedTarget(self._script)

    def _script(self, sock, request):
        seal = {'X-Cactusmux-Response-Seal': 'seal'}
        organisation = request.value_by_header.get('x-cactusmux-tenant')
        is_fatal = request.path == FATAL_PATH and request.body == b'hi'
        if is_fatal and organisation == 'hule930':
            self.has_ended = True
            self.target.stop()
            return False
        sock.sendall(scripted_target.answer(b'found', 200, seal))
        return True

    def entry(self):
        return {
            'service_name': 'lookups',
            'address': self.target.address,
            'availability_zone': 'a',
            'concurrency_slots': 6,
            'state': 'ready',
            'born': 1790228837515,
        }


@pytest.fixture(name='world')
def _world():
    world = session_world.World()
    world.configure()
    world.store.put('op/config', CONFIG)
    world.servers = [Server() for _ in range(SERVERS)]
    for index, server in enumerate(world.servers):
        world.store.put(f'servers/l-{index}', server.entry())
    for number in range(INSTANCES):
        world.start(f'front-a-{number}')
    for _, settings in world.instances:
        session_world.until(
            lambda given=settings: _status(given, '/lookup/x') == b'200'
        )
    yield world
    for instance, _ in world.instances:
        instance._entry.stop()
    world.store.stop()


def _status(settings, path, **options):
    return session_world.ask(settings, path, **options)[9:12]


def _send_fatal_requests(world):
    """Sends the request to all instances in turn; returns the statuses."""
    statuses = []
    instances = itertools.cycle(world.instances)
    for number in range(FATAL_REQUESTS):
        _, settings = next(instances)
        request_id = f'{number:016x}'
        status = _status(settings, FATAL_PATH, request_id=request_id)
        statuses.append(status)
        gevent.sleep(REQUEST_PERIOD_S)
    return statuses


def test_request_that_ends_servers_is_not_sent_to_one_after_the_other(world):
    statuses = _send_fatal_requests(world)
    ended = [each for each in world.servers if each.has_ended]
    assert len(ended) <= MAX_ENDED
    assert statuses[-1] == b'503'
    for _, settings in world.instances:
        assert _status(settings, '/lookup/other') == b'200'
        assert _status(settings, FATAL_PATH, body='ho') == b'200'
        assert _status(settings, FATAL_PATH, key='k2') == b'200'
