"""The servers of one process and its account of held bytes, over sockets."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import desired_state
from cactusmux_relay import held_bytes
from cactusmux_relay import http_server
import gevent
from gevent import socket
import pytest

MB = 1 << 20
LIMIT_BYTES = 4 * MB
HEAVY_BYTES = 3 * MB
WAIT_S = 10.0
LIMITS = desired_state.Limits(body_bytes=4 * MB, idle_timeout_s=WAIT_S)
HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'


class _Process:
    """Two servers that share one account."""

    def __init__(self, limit_bytes=LIMIT_BYTES, answer=b''):
        timer = timers.GeventTimers()
        self.metric = metrics.MemoryMetrics()
        self.account = held_bytes.HeldBytes(limit_bytes, timer, self.metric)
        self._answer = answer
        self.bodies = []
        self._socks = []
        self.servers = [
            http_server.HttpServer(
                '127.0.0.1:0',
                self._handle,
                timer,
                lambda: LIMITS,
                account=self.account,
            )
            for _ in range(2)
        ]
        for server in self.servers:
            server.start()

    def _handle(self, request, answerer):
        self.bodies.append(request.body)
        if self._answer:
            answerer.hold(len(self._answer), may_wait=True)
        answerer.answer(200, [], self._answer)

    def send(self, server, body, missing=0, chunked=False):
        """Sends a request with a body that lacks its last bytes."""
        sock = socket.create_connection(
            ('127.0.0.1', self.servers[server].port), timeout=WAIT_S
        )
        self._socks.append(sock)
        if chunked:
            framing = b'Transfer-Encoding: chunked'
            size = b'%x\r\n' % len(body)
            sock.sendall(HEAD + framing + b'\r\n\r\n' + size + body + b'\r\n')
            return sock
        length = len(body) + missing
        sock.sendall(HEAD + b'Content-Length: %d\r\n\r\n' % length)
        sock.sendall(body)
        return sock

    def stop(self):
        """Closes all connections and stops the servers."""
        for sock in self._socks:
            sock.close()
        for server in self.servers:
            server.stop()

    def await_held(self, size):
        """Waits until callers hold at least so many bytes."""
        with gevent.Timeout(WAIT_S):
            while self.account.total_bytes < size:
                gevent.sleep(0.01)


@pytest.fixture(name='process')
def _process():
    process = _Process()
    yield process
    process.stop()


@pytest.fixture(name='answering')
def _answering():
    """A process with room for one of its answers at a time."""
    process = _Process(32 * MB, b'a' * 16 * MB)
    yield process
    process.stop()


def _read_all(sock):
    received = 0
    while data := sock.recv(65536):
        received += len(data)
    return received


def _head(sock):
    return sock.recv(4096).lower()


# Guards against an account for each address, which together have no bound.
def test_addresses_of_a_process_share_its_memory(process):
    process.send(0, b'x' * 2 * MB, missing=1)
    process.await_held(2 * MB)
    refused = process.send(1, b'', missing=2 * MB)
    assert _head(refused).startswith(b'http/1.1 503')


def test_refusal_for_want_of_room_says_when_to_retry(process):
    process.send(0, b'x' * 2 * MB, missing=1)
    process.await_held(2 * MB)
    refused = process.send(0, b'', missing=2 * MB)
    answer = _head(refused)
    assert b'\r\nretry-after: 1\r\n' in answer
    assert b'\r\nconnection: close\r\n' in answer
    assert process.metric.counter_by_name['callers.memory.refused'] == 1
    assert process.bodies == []


@pytest.mark.parametrize('chunked', [False, True])
def test_stalled_body_is_ended_for_one_that_arrives(process, chunked):
    stalled = process.send(0, b'x' * 2 * MB, missing=1, chunked=chunked)
    process.await_held(2 * MB)
    gevent.sleep(2 * held_bytes.RECENT_PERIOD_S)
    served = process.send(1, b'y' * 2 * MB)
    assert _head(served).startswith(b'http/1.1 200')
    assert _head(stalled).startswith(b'http/1.1 503')
    assert process.bodies == [b'y' * 2 * MB]
    assert process.metric.counter_by_name['callers.memory.ended'] == 1


def test_ordinary_request_is_served_beside_heavy_bodies(process):
    process.send(0, b'x' * (HEAVY_BYTES - 1000), missing=1)
    process.await_held(HEAVY_BYTES - 1000)
    assert _head(process.send(0, b'hi')).startswith(b'http/1.1 200')


def test_nothing_is_held_after_the_connections_have_ended(process):
    socks = [process.send(0, b'x' * MB, missing=1) for _ in range(2)]
    process.await_held(2 * MB)
    for sock in socks:
        sock.close()
    with gevent.Timeout(WAIT_S):
        while process.account.total_bytes:
            gevent.sleep(0.01)


# Guards against answers that are kept for callers who don't read them.
def test_unread_answer_gives_way_to_one_that_waits(answering):
    answering.send(0, b'')
    answering.await_held(16 * MB)
    assert _read_all(answering.send(1, b'')) > 16 * MB
    assert answering.metric.counter_by_name['callers.memory.ended'] == 1


def test_answers_that_are_read_wait_for_each_other(answering):
    asked = [gevent.spawn(_read_all, answering.send(0, b'')) for _ in range(3)]
    gevent.joinall(asked, timeout=WAIT_S)
    assert all(each.value > 16 * MB for each in asked)
    assert answering.metric.counter_by_name['callers.memory.ended'] == 0
