"""End-to-end tests over sockets: store, model servers, callers."""

import functools
import random
import time

from adapter import documents
from adapter import engines
from adapter import entries
from adapter import headers
from adapter import kv_store
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import scripted_target
from cactusmux_platform import store_eras
from cactusmux_relay import membership
from cactusmux_relay import placement_storage
from cactusmux_relay import relay_instance
from cactusmux_relay import relay_settings
import gevent
from gevent import event
from gevent import socket
import msgspec
import pytest

from . import kv_server

LOOPBACK = '127.0.0.1'
WAIT_S = 20.0
# Time for orders that are under way when a store is restored.
RESTORE_AFTER_S = 2.0
# Instances renew their registration each 1.2 s, and agree within as long.
RESTORED_WITHIN_S = 3.0
HEARTBEAT_AFTER_REQUESTS = 60
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'plain',
            'host_name': 'h.example',
            'path_prefix': '/plain/',
            'route_kind': 'unsafe',
            'timeout_ms': 3000,
            'service_name': 'portal',
        },
        {
            'name': 'drafts',
            'host_name': 'h.example',
            'path_prefix': '/drafts/',
            'route_kind': 'stream',
            'timeout_ms': 20000,
            'service_name': 'drafters',
            'max_attempts': 2,
            'stream_resumption': True,
        },
    ],
    'services': [
        {'name': 'portal'},
        {
            'name': 'drafters',
            'engine': {
                'kv_token_bytes': 1180000,
                'stride': 4,
                'models': [{'name': 'm', 'load_s': 0.01}],
                'layers': 8,
                'layer_mb': 100.0,
                'kinds': [
                    {'name': 'small', 'size_mb': 20000.0},
                    {'name': 'large', 'size_mb': 60000.0},
                ],
            },
        },
    ],
    'tenants': [{'name': 'hule930', 'api_keys': ['k1']}],
}


class _Engine:
    """A model server that executes orders at once and sends six events."""

    def __init__(self, card):
        self.layers = {'from': 0, 'target': 0, 'version': 1}
        self.card = card
        self.orders = 0
        self.leaves = False
        self.streams = []
        self.lose = None
        self.changed_path = event.Event()
        self.paths = []
        self.target = scripted_target.ScriptedTarget(self._script)

    def _script(self, sock, request):
        if request.path == '/order':
            order = msgspec.json.decode(request.body)
            if order['operation'] == 'repath':
                return self._change_path(sock, order)
            assert order['expected'] == self.orders
            self.orders += 1
            self.layers = {**self.layers, 'from': order['from']}
            self.layers['target'] = order['target']
            sock.sendall(scripted_target.answer(b'{}', 202))
            return True
        if request.path == '/report':
            report = {
                'busy': False,
                'sequence_number': self.orders,
                'pace': 1.0,
                'layers': self.layers,
            }
            said = {'Server-Leaving': '1'} if self.leaves else {}
            body = msgspec.json.encode(report)
            sock.sendall(scripted_target.answer(body, 200, said))
            return True
        self.streams.append(request)
        seal = {
            'X-Cactusmux-Response-Seal': 'seal',
            'X-Cactusmux-Request-Id': request.value_by_header[
                'x-cactusmux-request-id'
            ],
        }
        sock.sendall(scripted_target.stream_head(seal))
        for number in range(1, 7):
            if self.lose is not None and number == 4:
                self.lose(request)
                self.changed_path.wait(WAIT_S)
            data = scripted_target.event(number)
            sock.sendall(scripted_target.chunk(data))
        sock.sendall(scripted_target.chunk(b''))
        return True

    def _change_path(self, sock, order):
        """Accepts the order if the request is running."""
        ids = [
            each.value_by_header['x-cactusmux-request-id']
            for each in self.streams
        ]
        status = 202 if order['id'] in ids else 404
        sock.sendall(scripted_target.answer(b'{}', status))
        if status == 202:
            self.paths.append(order['path'])
            self.changed_path.set()
        return True

    def entry(self, service):
        return {
            'service_name': service,
            'address': self.target.address,
            'availability_zone': 'a',
            'concurrency_slots': 96,
            'state': 'ready',
            'sequence_number': self.orders,
            'born': 1790228837515,
            'route_kind': self.card,
            'layers': self.layers,
        }


class _World:
    def __init__(self):
        self.store = kv_server.KvServer()
        self.engines = [_Engine('small'), _Engine('large'), _Engine('small')]
        self.portal = scripted_target.ScriptedTarget(self._portal)
        self.instances = []
        self.portal_leaves = False

    def _portal(self, sock, request):
        seal = {'X-Cactusmux-Response-Seal': 'seal'}
        if self.portal_leaves:
            seal['Server-Leaving'] = '1'
        sock.sendall(scripted_target.answer(b'bought', 200, seal))
        return True

    def configure(self):
        self.store.put('op/config', CONFIG)
        self.register_portal(1790228837515)
        self.store.put('servers/i-torn', 'no server')
        self.write_entries()

    def write_entries(self):
        """Writes the present entries of the model servers."""
        for index, engine in enumerate(self.engines):
            self.store.put(f'servers/i-{index}', engine.entry('drafters'))

    def register_portal(self, born):
        self.store.put(
            'servers/i-portal',
            {
                'service_name': 'portal',
                'address': self.portal.address,
                'availability_zone': 'a',
                'concurrency_slots': 6,
                'state': 'ready',
                'born': born,
            },
        )

    def start(self, name):
        eras = store_eras.StoreEras(timers.GeventTimers())
        store = kv_store.KvStore(self.store.address, eras)
        settings = relay_settings.RelaySettings(
            name=name,
            zone='a',
            region='r',
            entry_address=f'{LOOPBACK}:{_free_port()}',
            exchange_address=f'{LOOPBACK}:{_free_port()}',
            state_prefix=documents.PREFIX,
            target_prefix=entries.PREFIX,
            repeat_ratio=0.2,
            repeat_allowance=200.0,
            repeat_window_s=10.0,
            late_callers_s=0.1,
            stop_within_s=5.0,
        )
        given = relay_settings.Translations(
            store=store,
            eras=eras,
            reader=store,
            header_dialect=headers.HeaderDialect(),
            decode_state=documents.decode_state,
            decode_target=entries.decode_target,
            orders=engines.EngineOrders(),
        )
        instance = relay_instance.RelayInstance(
            settings,
            given,
            timers.GeventTimers(),
            metrics.MemoryMetrics(),
            random.Random(1),
        )
        instance.start()
        self.instances.append((instance, settings))
        return instance, settings


@pytest.fixture(name='world')
def _world():
    world = _World()
    yield world
    for instance, _ in world.instances:
        instance._entry.stop()
    world.store.stop()


def _free_port():
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def _until(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.02)


def _ask(settings, path, key='k1', request_id='9c41'):
    host, _, port = settings.entry_address.rpartition(':')
    sock = socket.create_connection((host, int(port)), timeout=10.0)
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: h.example',
        f'X-Cactusmux-Request-Id: {request_id}',
        f'Authorization: Bearer {key}',
        'X-Cactusmux-Token-Counts: 774,210',
        'X-Cactusmux-Deadline-Milliseconds: 3000',
        'Connection: close',
        'Content-Length: 2',
    ]
    sock.sendall('\r\n'.join([*lines, '', 'hi']).encode())
    received = b''
    while data := sock.recv(65536):
        received += data
    sock.close()
    return received


def _is_denied(settings):
    return b' 401 ' in _ask(settings, '/plain/x')[:20]


def _layers_are_there(world):
    return lambda: sum(each.layers['target'] for each in world.engines) > 0


def test_from_an_empty_store_to_a_served_stream(world):
    world.configure()
    instance, settings = world.start('front-a-1')
    _until(lambda: instance.is_ready)
    _until(_layers_are_there(world))
    _until(lambda: b'200 ' in _ask(settings, '/drafts/x')[:20])
    received = _ask(settings, '/drafts/x')
    for number in range(1, 7):
        assert scripted_target.event(number) in received
    stream = next(each.streams[-1] for each in world.engines if each.streams)
    passed = stream.value_by_header
    assert passed['x-cactusmux-tenant'] == 'hule930'
    assert 'authorization' not in passed
    assert passed['x-cactusmux-hop-count'].endswith('-8')
    assert stream.body == b'hi'


def test_unsafe_request_denied_and_served(world):
    world.configure()
    instance, settings = world.start('front-a-1')
    _until(lambda: instance.is_ready and instance._book.ready('portal'))
    served = _ask(settings, '/plain/x')
    assert served.startswith(b'HTTP/1.1 200')
    assert served.endswith(b'bought')
    assert _ask(settings, '/plain/x', 'other').startswith(b'HTTP/1.1 401')
    assert _ask(settings, '/none/x').startswith(b'HTTP/1.1 404')
    assert len(world.portal.received) == 1


def test_instance_gets_configuration_from_a_peer_without_the_store(world):
    world.configure()
    first, _ = world.start('front-a-1')
    second, _ = world.start('front-a-2')
    _until(lambda: first.is_ready and second.is_ready)
    _until(lambda: len(second.directory.addresses('a')) == 2)
    # The second instance's watch no longer returns changes.
    prefix = documents.PREFIX
    mirror = second._mirror_by_prefix[prefix]
    mirror._watch = lambda: gevent.sleep(WAIT_S) or True
    world.store.put('op/config', {**CONFIG, 'version': 9})
    _until(lambda: second.in_force.state.version == 9)


def test_revoked_key_is_rejected_by_all_instances(world):
    world.configure()
    pair = [world.start('front-a-1'), world.start('front-a-2')]
    _until(lambda: all(instance.is_ready for instance, _ in pair))
    without = {**CONFIG, 'version': 4, 'tenants': []}
    world.store.put('op/config', without)
    for _, settings in pair:
        _until(functools.partial(_is_denied, settings))


def test_stopping_instance_leaves_the_directory(world):
    world.configure()
    first, _ = world.start('front-a-1')
    second, settings = world.start('front-a-2')
    _until(lambda: len(first.directory.addresses('a')) == 2)
    gevent.spawn(second.stop)
    left = [first._settings.entry_address]
    _until(lambda: first.directory.addresses('a') == left)
    assert not second.is_ready


def test_leaving_server_gets_no_requests_until_it_restarts(world):
    world.configure()
    world.portal_leaves = True
    first, settings = world.start('front-a-1')
    second, _ = world.start('front-a-2')
    pair = (first, second)
    _until(lambda: all(each._book.ready('portal') for each in pair))
    said = _ask(settings, '/plain/x')
    assert said.startswith(b'HTTP/1.1 200')
    assert b'server-leaving: 1' in said.lower()
    # The entry still has the state "ready", and is written again.
    world.register_portal(1790228837515)
    for number in range(3):
        refused = _ask(settings, '/plain/x', request_id=f'r{number}')
        assert refused.startswith(b'HTTP/1.1 503')
    assert len(world.portal.received) == 1
    _until(lambda: not second._book.ready('portal'))
    world.portal_leaves = False
    world.register_portal(1790228837516)
    _until(lambda: all(each._book.ready('portal') for each in pair))
    assert _ask(settings, '/plain/x').startswith(b'HTTP/1.1 200')


def test_server_with_a_leaving_report_gets_no_new_work(world):
    world.configure()
    instance, _ = world.start('front-a-1')
    _until(_layers_are_there(world))
    world.engines[0].leaves = True
    _until(lambda: instance._book.leaving())
    ready = {each.id for each in instance._book.ready('drafters')}
    assert ready == {'i-1', 'i-2'}


def test_ejections_of_two_instances_reach_a_third(world):
    """Ejections are exchanged: one has no effect, two exclude softly."""
    world.configure()
    instances = [world.start(f'n{index}')[0] for index in range(3)]
    for each in instances:
        _until(lambda it=each: len(it._fleet.instances) == len(instances))
        _until(lambda it=each: it._book.target_by_id)
    *ejecting, third = instances
    target = next(iter(third._book.target_by_id.values()))
    ejecting[0]._failing.record_failure(target, is_answered=True)
    _until(lambda: third._ejections.own())
    assert third._failing.ids() == frozenset()
    ejecting[1]._failing.record_failure(target, is_answered=True)
    _until(lambda: third._failing.ids() == {target.id})


# Memory for half of the layers besides the KV cache of requests.
SMALL_CARD_MB = 3000.0


def _config_with_small_cards():
    """Returns a configuration in which no card holds all layers."""
    config = msgspec.json.decode(msgspec.json.encode(CONFIG))
    for kind in config['services'][1]['engine']['kinds']:
        kind['size_mb'] = SMALL_CARD_MB
    return config


def _hold_each_layer_twice(world):
    """Returns whether each range of layers is on at least two servers."""

    def hold():
        held = [
            (each.layers['from'], each.layers['target'])
            for each in world.engines
        ]
        return (0, 0) not in held and all(
            held.count(each) > 1 for each in held
        )

    return hold


def test_stream_continues_after_a_stage_of_its_path_stops(world):
    """Covers all components, with the order sent over HTTP."""
    world.engines = [_Engine('small') for _ in range(8)]
    world.configure()
    world.store.put('op/config', _config_with_small_cards())
    instance, settings = world.start('front-a-1')
    _until(lambda: instance.is_ready)
    _until(_hold_each_layer_twice(world))
    engine_by_address = {each.target.address: each for each in world.engines}

    def lose(request):
        path = request.value_by_header['x-cactusmux-hop-count']
        stage = path.split(',')[1].partition('=')[0]
        engine_by_address[stage].target.stop()

    for each in world.engines:
        each.lose = lose
    _until(lambda: _ask(settings, '/drafts/x').startswith(b'HTTP/1.1 200'))
    (first,) = [each for each in world.engines if each.paths]
    assert len(first.streams) == 1
    sent = first.streams[0].value_by_header['x-cactusmux-hop-count']
    changed = first.paths[0]
    assert changed.split(',')[0] == sent.split(',')[0]
    lost, taken_over = (each.split(',')[1] for each in (sent, changed))
    assert lost.partition('=')[2] == taken_over.partition('=')[2]
    assert lost != taken_over


def _agree(world, era):
    """Whether all mirrors of all instances equal the restored store."""
    for instance, _ in world.instances:
        for prefix, mirror in instance._mirror_by_prefix.items():
            found = world.store.memory.get_prefix(prefix).unwrap()
            if mirror.position.era != era:
                return False
            if mirror.entry_by_key != {each.key: each for each in found}:
                return False
    return True


def _serves(settings):
    return b'200 ' in _ask(settings, '/drafts/x')[:20]


def _registered_names(world):
    found = world.store.memory.get_prefix(membership.PREFIX).unwrap()
    return {each.name for each in membership.decode_instances(list(found))}


def test_requests_are_served_while_the_store_is_restored(world):
    """What the instances wrote is written again; no layers are moved."""
    world.configure()
    saved = world.store.memory.save()
    names = {'front-a-1', 'front-a-2', 'front-a-3'}
    for name in sorted(names):
        world.start(name)
    instances = [instance for instance, _ in world.instances]
    _until(lambda: all(each.is_ready for each in instances))
    _until(_layers_are_there(world))
    gevent.sleep(RESTORE_AFTER_S)
    world.write_entries()
    for _, settings in world.instances:
        _until(lambda given=settings: _serves(given))
    _until(lambda: _registered_names(world) == names)
    orders = [each.orders for each in world.engines]

    world.store.memory.restore(saved)
    statuses = []
    begun = time.monotonic()
    while time.monotonic() - begun < RESTORED_WITHIN_S:
        if len(statuses) == HEARTBEAT_AFTER_REQUESTS:
            world.write_entries()
        for _, settings in world.instances:
            statuses.append(_ask(settings, '/drafts/x')[9:12])
            statuses.append(_ask(settings, '/plain/x')[9:12])
        gevent.sleep(0.05)
    assert set(statuses) == {b'200'}
    assert _registered_names(world) == names
    _until(lambda: _agree(world, 1))
    _until(
        lambda: world.store.memory.get_prefix(
            placement_storage.PREFIX
        ).unwrap()
    )
    assert [each.orders for each in world.engines] == orders


def test_configuration_of_a_restored_store_does_not_go_back(world):
    world.configure()
    saved = world.store.memory.save()
    instance, settings = world.start('front-a-1')
    _until(lambda: instance.is_ready)
    world.store.put('op/config', {**CONFIG, 'version': 9, 'tenants': []})
    _until(lambda: _is_denied(settings))
    world.store.memory.restore(saved)
    _until(lambda: _agree(world, 1))
    for _ in range(5):
        assert _is_denied(settings)
        gevent.sleep(0.05)
    world.store.put('op/config', {**CONFIG, 'version': 10})
    _until(lambda: not _is_denied(settings))
