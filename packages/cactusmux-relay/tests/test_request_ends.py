"""Each end of a request whose head was read is told by the log."""

import re

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import desired_state
from cactusmux_relay import http_connection
from cactusmux_relay import http_server
from cactusmux_relay import request_ends
from cactusmux_relay import request_reading
import gevent
from gevent import event
from gevent import socket
import h11
import pytest

HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n'
WHOLE = HEAD + b'Content-Length: 2\r\n\r\nab'
CUT = HEAD + b'Content-Length: 9\r\n\r\nab'
LIMITS = desired_state.Limits(body_bytes=1000, idle_timeout_s=5.0)
# Larger than all buffers between the two ends of a connection.
LONG_BODY = b'x' * 16_000_000
STARTED = 'response_status=200 response_bytes=8 response_whole=False'
NOT_STARTED = 'response_status=0 response_bytes=0 response_whole=False'
ANSWERED_500 = 'response_status=500 response_bytes=0 response_whole=True'


class _EndLog(request_ends.EndLog):
    """Tells when a request whose head was read has ended."""

    def __init__(self, metric):
        super().__init__(_request_id, metric)
        self.has_ended = event.Event()

    def record(self, progress):
        super().record(progress)
        if progress.headers is not None:
            self.has_ended.set()


class _Served:
    """A server whose handler is set by the test."""

    def __init__(self, caplog):
        self._caplog = caplog
        self.handle = _answer
        self.was_called = event.Event()
        self.metric = metrics.MemoryMetrics()
        self._end_log = _EndLog(self.metric)
        self.server = http_server.HttpServer(
            '127.0.0.1:0',
            self._handle,
            timers.GeventTimers(),
            lambda: LIMITS,
            self._end_log,
        )
        self.server.start()

    def _handle(self, request, answerer):
        self.was_called.set()
        self.handle(request, answerer)

    def connect(self):
        return socket.create_connection(
            ('127.0.0.1', self.server.port), timeout=5.0
        )

    def ask(self, raw=WHOLE):
        """Returns the bytes of the response, up to the connection's end."""
        with self.connect() as sock:
            sock.sendall(raw)
            return _read_all(sock)

    def lines(self):
        """Returns the lines that name the request, once it has ended."""
        assert self._end_log.has_ended.wait(5.0)
        gevent.sleep(0.02)
        lines = [each.getMessage() for each in self._caplog.records]
        return [each for each in lines if 'id=r1' in each]


def _request_id(headers):
    return http_server.first_value(headers, b'request-id') or ''


def _answer(request, answerer):
    answerer.answer(200, [], request.body)


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


@pytest.fixture(name='served')
def _served(caplog):
    with caplog.at_level('INFO', logger='absl'):
        served = _Served(caplog)
        yield served
        served.server.stop()


def _failing(error, has_begun=False):
    def handle(_request, answerer):
        if has_begun:
            answerer.start(200, [])
            answerer.send(b'abc')
        raise error

    return handle


# Guards against a target's failure that was taken for the caller's end: its
# connection was closed without a response or a line.
@pytest.mark.parametrize(
    'error',
    [
        OSError('target'),
        ConnectionResetError('target'),
        TimeoutError('target'),
        h11.LocalProtocolError('target'),
        h11.RemoteProtocolError('target'),
        KeyError('unforeseen'),
        gevent.Timeout(0.5),
    ],
    ids=lambda error: type(error).__name__,
)
def test_failure_of_the_handler_is_a_500_and_one_line(served, error):
    served.handle = _failing(error)
    assert served.ask(_closing(WHOLE)).startswith(b'HTTP/1.1 500 ')
    (line,) = served.lines()
    assert 'event=request_ended id=r1 cause=handler_failed' in line
    assert ANSWERED_500 in line
    assert type(error).__name__ in line


def _closing(raw):
    return raw.replace(b'Host', b'Connection: close\r\nHost', 1)


@pytest.mark.parametrize(
    'error',
    [OSError('target'), h11.LocalProtocolError('target'), KeyError('key')],
    ids=lambda error: type(error).__name__,
)
def test_failure_within_a_response_closes_it_with_one_line(served, error):
    served.handle = _failing(error, has_begun=True)
    received = served.ask()
    assert received.endswith(b'abc\r\n')
    (line,) = served.lines()
    assert 'cause=handler_failed' in line
    assert STARTED in line
    assert type(error).__name__ in line


def test_body_that_is_cut_is_logged(served):
    with served.connect() as sock:
        sock.sendall(CUT)
    (line,) = served.lines()
    assert 'cause=body_cut request_bytes=2 request_whole=False' in line


def test_body_not_complete_in_time_is_logged(served, monkeypatch):
    monkeypatch.setattr(request_reading, 'BODY_TIMEOUT_S', 0.1)
    assert served.ask(CUT) == b''
    (line,) = served.lines()
    assert 'cause=body_timeout request_bytes=2 request_whole=False' in line
    assert NOT_STARTED in line
    assert served.metric.counter_by_name['relay.ended.body_timeout'] == 1


def test_caller_that_stalls_is_logged(served, monkeypatch):
    monkeypatch.setattr(http_connection, 'SEND_TIMEOUT_S', 0.2)
    served.handle = lambda request, answerer: answerer.answer(
        200, [], LONG_BODY
    )
    sock = served.connect()
    sock.sendall(WHOLE)
    (line,) = served.lines()
    assert 'cause=caller_stalled' in line
    sent = int(re.search(r'response_bytes=(\d+)', line)[1])
    assert 0 < sent < len(LONG_BODY)
    sock.close()


def test_disconnect_of_the_caller_is_logged(served):
    served.handle = lambda request, answerer: gevent.sleep(5.0)
    sock = served.connect()
    sock.sendall(WHOLE)
    served.was_called.wait(5.0)
    sock.close()
    (line,) = served.lines()
    assert 'cause=caller_disconnected request_bytes=2' in line
    assert NOT_STARTED in line


def test_whole_response_has_no_line_of_the_connection(served):
    assert served.ask(_closing(WHOLE)).endswith(b'ab')
    assert served.lines() == []
