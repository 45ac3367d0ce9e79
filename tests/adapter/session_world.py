"""Test rig: store, model servers and instances, over sockets."""

import random

from adapter import documents
from adapter import engines
from adapter import entries
from adapter import headers
from adapter import kv_store
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import scripted_target
from cactusmux_platform import store_eras
from cactusmux_relay import relay_instance
from cactusmux_relay import relay_settings
import gevent
from gevent import event
from gevent import socket
import msgspec

from . import kv_server

LOOPBACK = '127.0.0.1'
WAIT_S = 20.0
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


class Engine:
    """A model server that executes orders at once and sends six events.

    :ivar fatal_part: part of a prompt on which it ends when it begins to
        write, ``None`` if there is none.
    :ivar fatal_path: path of requests on which it ends before it answers.
    """

    def __init__(self, card):
        self.fatal_part = None
        self.fatal_path = None
        self.has_ended = False
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
        if request.path == self.fatal_path:
            self.has_ended = True
            self.target.stop()
            return False
        seal = {
            'X-Cactusmux-Response-Seal': 'seal',
            'X-Cactusmux-Request-Id': request.value_by_header[
                'x-cactusmux-request-id'
            ],
        }
        sock.sendall(scripted_target.stream_head(seal))
        if self.fatal_part in parts_of(request):
            self.has_ended = True
            self.target.stop()
            return False
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


class World:
    def __init__(self):
        self.store = kv_server.KvServer()
        self.engines = [Engine('small'), Engine('large'), Engine('small')]
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


def _free_port():
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def until(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.02)


def parts_of(request):
    """Returns the ids of the parts of a prompt that a server received."""
    prompt = request.value_by_header.get('x-cactusmux-prompt-prefix', '')
    return [each.partition(':')[0] for each in prompt.split(',')]


def ask(settings, path, key='k1', request_id='9c41', prompt='', body='hi'):
    """Sends one request; returns all bytes of the answer.

    :param prompt: value of the header with the parts of the prompt.
    """
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
        f'Content-Length: {len(body)}',
    ]
    if prompt:
        lines.append(f'X-Cactusmux-Prompt-Prefix: {prompt}')
    sock.sendall('\r\n'.join([*lines, '', body]).encode())
    received = b''
    while data := sock.recv(65536):
        received += data
    sock.close()
    return received
