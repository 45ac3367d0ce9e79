"""Servers whose callers open more connections than there is room for."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import connection_limits
from cactusmux_relay import http_server
from cactusmux_relay import request_ends
import gevent
from gevent import event
from gevent import socket
import pytest

ROOM = 8
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
HALF_HEAD = b'GET / HTTP/1.1\r\nHost:'
HALF_BODY = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx'


@pytest.fixture(name='world')
def _world():
    world = _World()
    yield world
    world.stop()


class _World:
    def __init__(self):
        timer = timers.GeventTimers()
        self.metric = metrics.MemoryMetrics()
        self.account = connection_limits.ConnectionAccount(
            ROOM, timer, self.metric
        )
        self.may_answer = event.Event()
        self.entry = self._server('entry', 0, self._handle)
        self.ready = self._server('ready', 2, _answer)
        self._clients = []

    def _server(self, name, reserved, handler):
        server = http_server.HttpServer(
            '127.0.0.1:0',
            handler,
            timers.GeventTimers(),
            end_log=request_ends.without_ids(self.metric),
            listener=self.account.listener(name, reserved),
        )
        server.start()
        return server

    def _handle(self, request, answerer):
        if b'slow' in request.path.encode():
            self.may_answer.wait(20.0)
        _answer(request, answerer)

    def stop(self):
        for client in self._clients:
            client.close()
        self.entry.stop()
        self.ready.stop()

    def join(self, count, data=b'', server=None):
        port = (server or self.entry).port
        found = []
        for _ in range(count):
            client = socket.create_connection(('127.0.0.1', port), 10.0)
            client.sendall(data)
            found.append(client)
        self._clients.extend(found)
        return found

    def ask(self, server=None):
        (client,) = self.join(1, REQUEST, server)
        return client.recv(1000)


def _answer(_request, answerer):
    answerer.answer(200, [], b'')


@pytest.mark.parametrize('data', [b'', HALF_HEAD, HALF_BODY, REQUEST])
def test_crowd_leaves_room_for_an_ordinary_request(world, data):
    world.join(3 * ROOM, data)
    assert world.ask().startswith(b'HTTP/1.1 200')
    assert world.ask(world.ready).startswith(b'HTTP/1.1 200')
    assert world.account.open_count <= ROOM + 2


def test_displaced_connection_is_closed(world):
    first, *_ = world.join(3 * ROOM)
    assert first.recv(10) == b''


def test_requests_in_service_outlast_a_crowd(world):
    slow = world.join(2, b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
    world.join(3 * ROOM, HALF_HEAD)
    assert world.ask().startswith(b'HTTP/1.1 200')
    world.may_answer.set()
    for each in slow:
        assert each.recv(1000).startswith(b'HTTP/1.1 200')


def test_readiness_is_answered_beside_requests_in_service(world):
    world.join(3 * ROOM, b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
    assert world.ask(world.ready).startswith(b'HTTP/1.1 200')


def test_displaced_request_is_logged_as_such(world):
    world.join(3 * ROOM, HALF_BODY)
    world.ask()
    count_by_name = world.metric.counter_by_name
    displaced = count_by_name['connections.closed.body']
    assert displaced > 0
    with gevent.Timeout(10.0):
        while count_by_name['relay.ended.displaced'] < displaced:
            gevent.sleep(0.01)
