"""Each way to end a request has at most one line, none without a reason."""

from collections.abc import Callable
import itertools
import re
import socket as std_socket
import struct
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import context
from cactusmux_relay import desired_state
from cactusmux_relay import event_forwarding
from cactusmux_relay import http_connection
from cactusmux_relay import http_server
from cactusmux_relay import outcomes
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
BOTH_FRAMINGS = b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
LIMITS = desired_state.Limits(body_bytes=1000, idle_timeout_s=5.0)
PIECE = b'x' * 65536
# So many pieces don't fit into the buffers of a connection.
PIECES = 256
WAIT_S = 0.15
SHORT_TIMEOUT_S = 0.1
# Larger than all buffers between the two ends of a connection.
LONG_BODY = b'x' * 16_000_000
STARTED = 'response_status=200 response_bytes=8 response_whole=False'
NOT_STARTED = 'response_status=0 response_bytes=0 response_whole=False'
ANSWERED_500 = 'response_status=500 response_bytes=0 response_whole=True'
Cause = request_ends.Cause

# Lines of other causes have the level INFO.
LEVEL_BY_CAUSE = {
    Cause.ABORTED: 'WARNING',
    Cause.STOPPED: 'WARNING',
    Cause.HANDLER_FAILED: 'ERROR',
    Cause.RESPONSE_INVALID: 'ERROR',
    Cause.RESPONSE_UNFINISHED: 'ERROR',
}


class _Escaping(BaseException):
    """An exception that isn't meant to be caught."""


ERRORS = (
    OSError('target'),
    ConnectionResetError('target'),
    BrokenPipeError('target'),
    TimeoutError('target'),
    h11.LocalProtocolError('target'),
    h11.RemoteProtocolError('target'),
    KeyError('unforeseen'),
    RuntimeError('unforeseen'),
    StopIteration(),
    failures.CactusmuxError('typed'),
    event_forwarding.StreamBroken('reset'),
    context.RequestRefused(outcomes.Refusal.NO_ROOM, False),
    context.StreamAborted(outcomes.Refusal.TIMED_OUT),
    gevent.Timeout(0.5),
    gevent.GreenletExit(),
    _Escaping(),
)


def _type_name(value):
    return type(value).__name__


class _EndLog(request_ends.EndLog):
    """Keeps the progress of the request that has ended."""

    def __init__(self, metric):
        super().__init__(_request_id, metric)
        self.progress = event.AsyncResult()

    def record(self, progress):
        super().record(progress)
        if progress.headers is not None:
            self.progress.set(progress)


class _Served:
    """A server with the handler that the test sets."""

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
        self.handle(answerer)

    def connect(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.settimeout(5.0)
        sock.connect(('127.0.0.1', self.server.port))
        return sock

    def await_end(self):
        """Returns how far the request had come when it ended."""
        progress = self._end_log.progress.get(timeout=5.0)
        gevent.sleep(0.01)
        return progress

    def ask(self, raw=WHOLE):
        """Returns the bytes of the response, up to the connection's end."""
        with self.connect() as sock:
            sock.sendall(raw)
            return _read_all(sock)

    def await_lines(self):
        """Returns the lines that name the request, once it has ended."""
        self.await_end()
        return self.lines()

    def lines(self):
        """Returns the lines that name the request."""
        lines = [each.getMessage() for each in self._caplog.records]
        return [each for each in lines if 'id=r1' in each]


def _request_id(headers):
    return http_server.first_value(headers, b'request-id') or ''


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
def _served(caplog, monkeypatch):
    monkeypatch.setattr(http_connection, 'SEND_TIMEOUT_S', SHORT_TIMEOUT_S)
    monkeypatch.setattr(request_reading, 'BODY_TIMEOUT_S', SHORT_TIMEOUT_S)
    with caplog.at_level('INFO', logger='absl'):
        served = _Served(caplog)
        yield served
        served.server.stop()


def _answer(answerer):
    answerer.answer(200, [], b'ab')


def _answer_late(answerer):
    gevent.sleep(WAIT_S)
    _answer(answerer)


def _answer_long(answerer):
    answerer.answer(200, [], PIECE * PIECES)


def _stream(answerer):
    answerer.start(200, [])
    for _ in range(PIECES):
        answerer.send(PIECE)
        gevent.sleep(0)
    answerer.finish()


def _pause_midway(answerer):
    answerer.start(200, [])
    answerer.send(b'abc')
    gevent.sleep(WAIT_S)
    answerer.finish()


def _abort(answerer):
    answerer.abort()


def _abort_midway(answerer):
    answerer.start(200, [])
    answerer.send(b'abc')
    answerer.abort()


def _abort_and_wait(answerer):
    answerer.abort()
    gevent.sleep(WAIT_S)


def _return(answerer):
    pass


def _return_midway(answerer):
    answerer.start(200, [])
    answerer.send(b'abc')


def _send_without_head(answerer):
    answerer.send(b'abc')


def _send_too_much(answerer):
    answerer.start(200, [(b'content-length', b'2')])
    answerer.send(b'abc')


def _finish_early(answerer):
    answerer.start(200, [(b'content-length', b'2')])
    answerer.finish()


def _send_invalid_header(answerer):
    answerer.start(200, [(b'bad name', b'x')])


def _fail(error):
    def fail(answerer):
        raise error

    return fail


def _fail_midway(error):
    def fail(answerer):
        _return_midway(answerer)
        raise error

    return fail


def _fail_after_the_end(error):
    def fail(answerer):
        _answer(answerer)
        raise error

    return fail


HANDLERS = (
    _answer,
    _answer_late,
    _answer_long,
    _stream,
    _pause_midway,
    _abort,
    _abort_midway,
    _abort_and_wait,
    _return,
    _return_midway,
    _send_without_head,
    _send_too_much,
    _finish_early,
    _send_invalid_header,
    _fail(OSError('target')),
    _fail_midway(OSError('target')),
    _fail_after_the_end(OSError('target')),
)


def _read(served, sock):
    """Reads the response to the end of the connection."""
    sock.sendall(WHOLE.replace(b'Host', b'Connection: close\r\nHost', 1))
    try:
        while sock.recv(1 << 20):
            pass
    except ConnectionResetError:
        return


def _stall(served, sock):
    sock.sendall(WHOLE)
    served.await_end()


def _leave(served, sock):
    sock.sendall(WHOLE)
    assert served.was_called.wait(5.0)
    sock.close()


def _leave_at_once(served, sock):
    sock.sendall(WHOLE)
    sock.close()


def _reset(served, sock):
    sock.sendall(WHOLE)
    assert served.was_called.wait(5.0)
    _close_with_reset(sock)


def _end_sending(served, sock):
    sock.sendall(WHOLE)
    sock.shutdown(std_socket.SHUT_WR)
    served.await_end()


def _close_with_reset(sock):
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    sock.close()


CALLERS = (_read, _stall, _leave, _leave_at_once, _reset, _end_sending)


def _name(value):
    return getattr(value, '__qualname__', '').partition('.')[0].strip('_')


@pytest.mark.parametrize(
    'handle, call', list(itertools.product(HANDLERS, CALLERS)), ids=_name
)
def test_an_end_has_one_line_unless_the_response_was_whole(
    served, handle, call
):
    served.handle = handle
    with served.connect() as sock:
        call(served, sock)
        progress = served.await_end()
    lines = served.lines()
    is_normal = progress.is_response_whole and not _has_failed(lines)
    assert len(lines) == (0 if is_normal else 1)
    counts = served.metric.counter_by_name
    assert sum(counts.values()) == len(lines)
    if lines:
        cause = progress.abnormal_cause
        assert f'event=request_ended id=r1 cause={cause} ' in lines[0]
        assert counts == {f'relay.ended.{cause}': 1}


def _has_failed(lines):
    return any('cause=handler_failed' in each for each in lines)


def _cut_body(served, sock):
    sock.sendall(CUT)
    sock.close()


def _reset_body(served, sock):
    sock.sendall(CUT)
    gevent.sleep(0.02)
    _close_with_reset(sock)


def _pause_body(served, sock):
    sock.sendall(CUT)
    served.await_end()


def _stop_within_body(served, sock):
    sock.sendall(CUT)
    gevent.sleep(0.02)
    served.server.stop()


class _Way(NamedTuple):
    """A way to end a request, and what may be told as its cause."""

    handle: Callable[[http_server.Answerer], None]
    call: Callable[[_Served, socket.socket], None]
    causes: tuple[Cause, ...]


WAYS = (
    _Way(_answer_late, _leave, (Cause.CALLER_DISCONNECTED,)),
    _Way(_answer_late, _reset, (Cause.CALLER_DISCONNECTED,)),
    _Way(_answer_late, _end_sending, (Cause.CALLER_DISCONNECTED,)),
    _Way(_pause_midway, _leave, (Cause.CALLER_DISCONNECTED,)),
    # Whichever of reading and writing fails first.
    _Way(
        _stream,
        _reset,
        (Cause.CALLER_DISCONNECTED, Cause.CALLER_UNREACHABLE),
    ),
    _Way(_answer_long, _stall, (Cause.CALLER_STALLED,)),
    _Way(_stream, _stall, (Cause.CALLER_STALLED,)),
    _Way(_abort, _read, (Cause.ABORTED,)),
    _Way(_abort_midway, _read, (Cause.ABORTED,)),
    _Way(_abort_and_wait, _read, (Cause.ABORTED,)),
    _Way(_return, _read, (Cause.RESPONSE_UNFINISHED,)),
    _Way(_return_midway, _read, (Cause.RESPONSE_UNFINISHED,)),
    _Way(_send_without_head, _read, (Cause.RESPONSE_INVALID,)),
    _Way(_send_too_much, _read, (Cause.RESPONSE_INVALID,)),
    _Way(_finish_early, _read, (Cause.RESPONSE_INVALID,)),
    _Way(_send_invalid_header, _read, (Cause.HANDLER_FAILED,)),
    _Way(_answer, _cut_body, (Cause.BODY_CUT,)),
    _Way(_answer, _reset_body, (Cause.BODY_CUT,)),
    _Way(_answer, _pause_body, (Cause.BODY_TIMEOUT,)),
    _Way(_answer, _stop_within_body, (Cause.STOPPED,)),
)


@pytest.mark.parametrize(
    'way', WAYS, ids=lambda way: f'{_name(way.handle)}-{_name(way.call)}'
)
def test_line_tells_the_cause(served, way):
    served.handle = way.handle
    with served.connect() as sock:
        way.call(served, sock)
        progress = served.await_end()
    (line,) = served.lines()
    assert progress.abnormal_cause in way.causes
    assert f' cause={progress.abnormal_cause} ' in line
    is_body_whole = way.call not in (
        _cut_body,
        _reset_body,
        _pause_body,
        _stop_within_body,
    )
    body = f'request_bytes=2 request_whole={is_body_whole}'
    assert body in line


@pytest.mark.parametrize('error', ERRORS, ids=_type_name)
@pytest.mark.parametrize(
    'make_handler, progress',
    [
        (_fail_midway, 'response_status=200 response_bytes=8'),
        (_fail_after_the_end, 'response_status=200 response_bytes=2'),
    ],
    ids=['midway', 'after_the_end'],
)
def test_failure_once_a_response_has_begun_has_one_line(
    served, make_handler, progress, error
):
    served.handle = make_handler(error)
    with served.connect() as sock:
        _read(served, sock)
        served.await_end()
    (line,) = served.lines()
    assert 'cause=handler_failed' in line
    assert progress in line
    assert type(error).__name__ in line


@pytest.mark.parametrize('error', ERRORS, ids=_type_name)
def test_failure_before_a_response_has_one_line(served, error):
    served.handle = _fail(error)
    with served.connect() as sock:
        _read(served, sock)
        served.await_end()
    (line,) = served.lines()
    is_caught = isinstance(error, Exception | gevent.Timeout)
    status = 500 if is_caught else 0
    assert 'cause=handler_failed' in line
    assert f'response_status={status} ' in line
    assert f'response_whole={is_caught}' in line


def _failing(error, has_begun=False):
    def handle(answerer):
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
    ids=_type_name,
)
def test_failure_of_the_handler_is_a_500_and_one_line(served, error):
    served.handle = _failing(error)
    assert served.ask(_closing(WHOLE)).startswith(b'HTTP/1.1 500 ')
    (line,) = served.await_lines()
    assert 'event=request_ended id=r1 cause=handler_failed' in line
    assert ANSWERED_500 in line
    assert type(error).__name__ in line


def _closing(raw):
    return raw.replace(b'Host', b'Connection: close\r\nHost', 1)


@pytest.mark.parametrize(
    'error',
    [OSError('target'), h11.LocalProtocolError('target'), KeyError('key')],
    ids=_type_name,
)
def test_failure_within_a_response_closes_it_with_one_line(served, error):
    served.handle = _failing(error, has_begun=True)
    received = served.ask()
    assert received.endswith(b'abc\r\n')
    (line,) = served.await_lines()
    assert 'cause=handler_failed' in line
    assert STARTED in line
    assert type(error).__name__ in line


def test_body_that_is_cut_is_logged(served):
    with served.connect() as sock:
        sock.sendall(CUT)
    (line,) = served.await_lines()
    assert 'cause=body_cut request_bytes=2 request_whole=False' in line


def test_body_not_complete_in_time_is_logged(served):
    assert served.ask(CUT) == b''
    (line,) = served.await_lines()
    assert 'cause=body_timeout request_bytes=2 request_whole=False' in line
    assert NOT_STARTED in line
    assert served.metric.counter_by_name['relay.ended.body_timeout'] == 1


def test_caller_that_stalls_is_logged(served):
    served.handle = lambda answerer: answerer.answer(200, [], LONG_BODY)
    sock = served.connect()
    sock.sendall(WHOLE)
    (line,) = served.await_lines()
    assert 'cause=caller_stalled' in line
    sent = int(re.search(r'response_bytes=(\d+)', line)[1])
    assert 0 < sent < len(LONG_BODY)
    sock.close()


def test_disconnect_of_the_caller_is_logged(served):
    served.handle = lambda answerer: gevent.sleep(5.0)
    sock = served.connect()
    sock.sendall(WHOLE)
    served.was_called.wait(5.0)
    sock.close()
    (line,) = served.await_lines()
    assert 'cause=caller_disconnected request_bytes=2' in line
    assert NOT_STARTED in line


def test_whole_response_has_no_line_of_the_connection(served):
    assert served.ask(_closing(WHOLE)).endswith(b'ab')
    assert served.await_lines() == []


# Guards against requests that a stop ends without a word.
def test_request_that_outlasts_a_stop_has_one_line(served):
    served.handle = _pause_midway
    with served.connect() as sock:
        sock.sendall(WHOLE)
        assert served.was_called.wait(5.0)
        served.server.log_unfinished()
        (line,) = served.lines()
        assert 'cause=stopped request_bytes=2 request_whole=True' in line
        assert STARTED in line
        served.await_end()
        gevent.sleep(2 * WAIT_S)
    assert served.lines() == [line]


@pytest.mark.parametrize(
    'request_bytes, status',
    [
        (HEAD + b'Content-Length: 2000\r\n\r\n' + b'x' * 2000, 413),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 400),
        (HEAD + BOTH_FRAMINGS + b'0\r\n\r\n', 400),
    ],
    ids=['too_large', 'bad_chunk', 'two_framings'],
)
def test_request_that_the_connection_refuses_has_one_line(
    served, request_bytes, status
):
    assert served.ask(request_bytes).startswith(b'HTTP/1.1 %d ' % status)
    assert served.await_lines() == [
        f'event=request_malformed id=r1 status={status}'
    ]
    assert not served.metric.counter_by_name


# Guards against ids that fill the log or break its lines.
def test_hostile_id_is_one_short_line(served, caplog):
    hostile = b'\xff\x80 "' + b'y' * 900
    served.handle = _abort
    served.ask(WHOLE.replace(b'r1', hostile))
    served.await_end()
    (line,) = [each.getMessage() for each in caplog.records]
    assert len(line) < 500
    assert line.isascii()
    assert 'cause=aborted' in line


@pytest.mark.parametrize('cause', list(Cause))
def test_each_cause_has_a_level_and_a_counter(caplog, cause):
    metric = metrics.MemoryMetrics()
    progress = request_ends.RequestProgress()
    progress.headers = ()
    progress.record_end(cause)
    end_log = request_ends.EndLog(_request_id, metric)
    with caplog.at_level('INFO', logger='absl'):
        end_log.record(progress)
        end_log.record(progress)
    (record,) = caplog.records
    assert f'id=unknown cause={cause} ' in record.getMessage()
    assert record.levelname == LEVEL_BY_CAUSE.get(cause, 'INFO')
    assert metric.counter_by_name == {f'relay.ended.{cause}': 1}
