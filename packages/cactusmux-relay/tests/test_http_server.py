import re

from cactusmux_base import timers
from cactusmux_relay import desired_state
from cactusmux_relay import http_connection
from cactusmux_relay import http_server
from cactusmux_relay import request_reading
import gevent
from gevent import event
from gevent import socket
import pytest

LIMITS = desired_state.Limits(
    header_bytes=2000,
    body_bytes=1000,
    header_timeout_s=0.2,
    idle_timeout_s=0.4,
)
HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\n'


@pytest.fixture(name='server')
def _server():
    served = _Served()
    yield served
    served.server.stop()


class _Served:
    def __init__(self):
        self.requests = []
        self.disconnected = event.Event()
        self.wait_s = 0.0
        self.server = http_server.HttpServer(
            '127.0.0.1:0',
            self.handle,
            timers.GeventTimers(),
            lambda: LIMITS,
        )
        self.server.start()

    def handle(self, request, answerer):
        self.requests.append(request)
        try:
            gevent.sleep(self.wait_s)
        except http_server.CallerDisconnected:
            self.disconnected.set()
            raise
        answerer.answer(200, [], request.body or b'-')

    def connect(self):
        return socket.create_connection(
            ('127.0.0.1', self.server.port), timeout=5.0
        )

    def ask(self, raw):
        sock = self.connect()
        sock.sendall(raw)
        return _read_all(sock)


def _read_all(sock):
    received = b''
    while True:
        try:
            data = sock.recv(65536)
        except ConnectionResetError:
            return received
        if not data:
            return received
        received += data


def _statuses(received):
    found = re.findall(rb'HTTP/1\.1 (\d{3})', received)
    return [int(status) for status in found]


def test_body_with_a_length_and_in_chunks_is_the_same(server):
    close = b'Connection: close\r\n'
    server.ask(HEAD + close + b'Content-Length: 3\r\n\r\nabc')
    server.ask(
        HEAD
        + close
        + b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'
    )
    assert [request.body for request in server.requests] == [b'abc', b'abc']


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
        b'Content-Length: 3\r\nContent-Length: 4\r\n',
        b'Content-Length: -1\r\n',
        b'Content-Length: 3, 3\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Host: other\r\nContent-Length: 3\r\n',
        b'Content-Length : 3\r\n',
        b'Bad Name: x\r\n',
    ],
)
def test_ambiguous_framing_is_rejected(server, framing):
    smuggled = b'GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n'
    received = server.ask(HEAD + framing + b'\r\nabc' + smuggled)
    assert _statuses(received)[0] in (400, 501)
    assert len(_statuses(received)) == 1
    assert server.requests == []


def test_persistent_connection_serves_requests_in_order(server):
    sock = server.connect()
    one = HEAD + b'Content-Length: 1\r\n\r\n1'
    last = HEAD + b'Connection: close\r\nContent-Length: 1\r\n\r\n2'
    sock.sendall(one + last)
    assert _statuses(_read_all(sock)) == [200, 200]
    assert [request.body for request in server.requests] == [b'1', b'2']


def test_disconnect_of_the_caller_ends_the_handler(server):
    server.wait_s = 30.0
    sock = server.connect()
    sock.sendall(HEAD + b'Content-Length: 0\r\n\r\n')
    while not server.requests:
        gevent.sleep(0.001)
    sock.close()
    assert server.disconnected.wait(10.0)


def test_header_over_the_limit_is_431_and_body_over_it_413(server):
    long = b'X: ' + b'x' * 4000 + b'\r\n\r\n'
    assert _statuses(server.ask(HEAD + long)) == [431]
    large = b'Content-Length: 2000\r\n\r\n' + b'x' * 2000
    assert _statuses(server.ask(HEAD + large)) == [413]
    assert server.requests == []


# Guards against bodies over the limit that are read before they are refused.
def test_announced_body_over_the_limit_is_refused_at_its_head(server):
    sock = server.connect()
    sock.sendall(HEAD + b'Content-Length: 1001\r\n\r\n')
    assert _statuses(sock.recv(1000)) == [413]
    sock.close()


# Guards against an invitation to send a body that is then refused.
def test_body_over_the_limit_is_not_asked_for(server):
    sock = server.connect()
    expects = b'Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n'
    sock.sendall(HEAD + expects)
    assert _statuses(sock.recv(1000)) == [413]
    sock.close()


def test_unfinished_header_and_idle_connection_are_closed(server):
    assert server.ask(HEAD) == b''
    assert server.ask(b'') == b''


def test_interim_response_is_sent_before_the_body(server):
    sock = server.connect()
    sock.sendall(
        HEAD + b'Expect: 100-continue\r\nConnection: close\r\n'
        b'Content-Length: 1\r\n\r\n'
    )
    first = sock.recv(1000)
    assert _statuses(first) == [100]
    sock.sendall(b'x')
    assert _statuses(_read_all(sock)) == [200]


def test_responses_close_connections_while_stopping(server):
    server.server.close_after_answers()
    received = server.ask(HEAD + b'Content-Length: 0\r\n\r\n')
    assert b'connection: close' in received.lower()
    assert _statuses(received) == [200]


def test_content_length_beside_chunked_encoding_is_rejected(server):
    """A proxy that uses the content length would see another request."""
    smuggled = b'GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n'
    both = b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
    received = server.ask(HEAD + both + b'0\r\n\r\n' + smuggled)
    assert _statuses(received) == [400]
    assert server.requests == []


def test_unexpected_exception_of_a_handler_is_a_500():
    def fail(_request, _answerer):
        raise KeyError('unforeseen')

    server = http_server.HttpServer('127.0.0.1:0', fail, timers.GeventTimers())
    server.start()
    sock = socket.create_connection(('127.0.0.1', server.port), timeout=5.0)
    sock.sendall(HEAD + b'Content-Length: 0\r\n\r\n')
    assert sock.recv(1000).startswith(b'HTTP/1.1 500 ')
    sock.close()
    server.stop()


def test_disconnect_is_detected_after_many_pipelined_requests(server):
    """Pipelined bytes of earlier requests must not count for later ones."""
    request = HEAD + b'Content-Length: 900\r\n\r\n' + b'x' * 900
    rounds = http_connection.MAX_PIPELINED_BYTES // (60 * len(request)) + 2
    server.wait_s = 0.001
    sock = server.connect()
    for number in range(rounds):
        sock.sendall(request)
        while len(server.requests) <= 61 * number:
            gevent.sleep(0)
        sock.sendall(request * 60)
        while len(server.requests) < 61 * (number + 1):
            assert sock.recv(65536)
    server.wait_s = 5.0
    sock.sendall(request)
    gevent.sleep(0.05)
    sock.close()
    assert server.disconnected.wait(timeout=2.0)


# Guards against bytes that wait in the kernel while a handler runs.
def test_bytes_after_a_request_that_runs_are_bounded(server):
    server.wait_s = 30.0
    sock = server.connect()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    sock.settimeout(1.0)
    sock.sendall(HEAD + b'Content-Length: 0\r\n\r\n')
    accepted = 0
    with pytest.raises(TimeoutError):
        while accepted < 4_000_000:
            accepted += sock.send(b'x' * 65536)
    assert accepted < 600_000
    sock.close()


def test_request_that_has_just_arrived_at_a_stop_is_served(server):
    """Its connection, idle until then, was closed and reset."""
    sock = server.connect()
    request = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    sock.sendall(request)
    first = sock.recv(1000)
    assert first.startswith(b'HTTP/1.1 200')
    server.server.close_after_answers()
    sock.sendall(request)
    server.server.stop()
    second = _read_all(sock)
    assert second.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in second.lower()


def test_body_sent_byte_by_byte_times_out(server, monkeypatch):
    """A byte now and then kept a connection and its task without end."""
    monkeypatch.setattr(request_reading, 'BODY_TIMEOUT_S', 0.3)
    sock = server.connect()
    sock.sendall(HEAD + b'Content-Length: 900\r\n\r\n')
    is_closed = False
    with gevent.Timeout(5.0):
        while not is_closed:
            gevent.sleep(0.05)
            try:
                sock.sendall(b'x')
            except OSError:
                is_closed = True
    assert server.requests == []


def _server_of(body):
    """A server that answers each request with a body."""
    served = http_server.HttpServer(
        '127.0.0.1:0',
        lambda request, answerer: answerer.answer(200, [], body),
        timers.GeventTimers(),
    )
    served.start()
    return served


def _ask_slowly(served, sock, size, piece_bytes, pause_s):
    """Reads a response piece by piece; returns how much of it came."""
    sock.connect(('127.0.0.1', served.port))
    sock.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    received = 0
    with gevent.Timeout(20.0):
        while received < size:
            gevent.sleep(pause_s)
            data = sock.recv(piece_bytes)
            if not data:
                break
            received += len(data)
    return received


def test_slow_caller_is_not_disconnected(monkeypatch):
    """The timeout of a stalled response applied to the whole response."""
    body = b'x' * 12_000_000
    monkeypatch.setattr(http_connection, 'SEND_TIMEOUT_S', 1.0)
    served = _server_of(body)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    received = _ask_slowly(served, sock, len(body), 65536, 0.02)
    served.stop()
    assert received >= len(body)


def test_caller_that_reads_steadily_is_not_cut_off(monkeypatch):
    """A piece that took longer than the timeout counted as stalled."""
    body = b'x' * 400_000
    monkeypatch.setattr(http_connection, 'SEND_TIMEOUT_S', 0.2)
    served = _server_of(body)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    # Small segments let the caller acknowledge what it reads at once.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
    received = _ask_slowly(served, sock, len(body), 2048, 0.01)
    served.stop()
    assert received >= len(body)


def test_caller_that_reads_nothing_is_cut_off(monkeypatch):
    monkeypatch.setattr(http_connection, 'SEND_TIMEOUT_S', 0.2)
    ended = event.Event()

    def handle(_request, answerer):
        try:
            answerer.answer(200, [], b'x' * (16 << 20))
        finally:
            ended.set()

    served = http_server.HttpServer(
        '127.0.0.1:0', handle, timers.GeventTimers()
    )
    served.start()
    sock = socket.create_connection(('127.0.0.1', served.port))
    sock.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    assert ended.wait(timeout=10.0)
    served.stop()
    sock.close()
