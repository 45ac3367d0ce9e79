import socket as std_socket
import tracemalloc

from cactusmux_base import timers
from cactusmux_fakes import scripted_target
from cactusmux_relay import idle_connections
from cactusmux_relay import target_calls
import gevent
from gevent import server
from gevent import socket
import pytest

LONG_BODY_BYTES = 8 << 20
REQUEST = target_calls.OutgoingRequest(
    'POST', '/a', [(b'host', b'h'), (b'content-length', b'1')], b'x'
)


@pytest.fixture(name='connections')
def _connections():
    return target_calls.TargetConnections(timers.GeventTimers())


def _target(*writes, keep=False):
    def script(sock, _request):
        for data in writes:
            sock.sendall(data)
        return keep

    return scripted_target.ScriptedTarget(script)


def _send(connections, target, fresh=False):
    call = connections.call(target.address, REQUEST, fresh)
    try:
        head = call.read_head()
        return head.status, call.read_body(1000)
    finally:
        call.close()


def test_connection_is_reused_after_a_complete_response(connections):
    target = _target(scripted_target.answer(b'ok'), keep=True)
    for _ in range(3):
        assert _send(connections, target) == (200, b'ok')
    assert target.connections == 1


def test_fresh_call_opens_a_new_connection(connections):
    target = _target(scripted_target.answer(b'ok'), keep=True)
    _send(connections, target)
    _send(connections, target, fresh=True)
    assert target.connections == 2


def test_connection_with_bytes_after_the_response_is_not_reused(
    connections,
):
    twice = scripted_target.answer(b'ok') + scripted_target.answer(b'late')
    target = _target(twice, keep=True)
    assert _send(connections, target) == (200, b'ok')
    gevent.sleep(0.01)
    assert _send(connections, target) == (200, b'ok')
    assert target.connections == 2


def test_closed_idle_connection_is_replaced(connections):
    target = _target(scripted_target.answer(b'ok'), keep=False)
    assert _send(connections, target) == (200, b'ok')
    gevent.sleep(0.01)
    assert _send(connections, target) == (200, b'ok')


# Guards against a second copy of a body while a target is slow to read it.
def test_long_body_is_not_copied_to_be_sent(connections):
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    body = b'x' * 4_000_000
    request = REQUEST._replace(
        headers=[(b'host', b'h'), (b'content-length', b'4000000')], body=body
    )
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    tracemalloc.start()
    try:
        call = connections.call(address, request, True)
        gevent.sleep(0.05)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    call.close()
    listener.close()
    assert peak_bytes < len(body) // 2


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'garbage that is no answer\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
    ],
)
def test_incomplete_response_raises(connections, data):
    target = _target(data)
    with pytest.raises(target_calls.AnswerBroken):
        _send(connections, target)


def test_response_without_a_length_ends_with_its_connection(connections):
    target = _target(b'HTTP/1.1 200 OK\r\n\r\nall of it')
    assert _send(connections, target) == (200, b'all of it')


def test_refused_connection_means_not_sent(connections):
    target = _target(b'')
    target.stop()
    with pytest.raises(target_calls.NotSent):
        connections.call(target.address, REQUEST, False)


def _call_without_end(connections):
    def script(sock, _request):
        sock.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
        gevent.sleep(30.0)
        return False

    target = scripted_target.ScriptedTarget(script)
    call = connections.call(target.address, REQUEST, False)
    call.read_head()
    return call


def test_aborted_read_is_not_taken_for_a_complete_response(connections):
    """A response without a length looks complete when the socket closes."""
    call = _call_without_end(connections)
    gevent.spawn_later(0.02, call.abort)
    with pytest.raises(target_calls.AnswerBroken):
        call.read_body(1000)
    call.close()


def test_abort_between_reads_is_not_taken_for_a_complete_response(connections):
    """The socket then reports the end of the data instead of an error."""
    call = _call_without_end(connections)
    call.abort()
    with pytest.raises(target_calls.AnswerBroken):
        call.read_body(1000)
    call.close()


def test_expired_connections_are_closed_without_another_call():
    clock = timers.ManualTimers()
    connections = target_calls.TargetConnections(clock)
    connections.start()
    target = _target(scripted_target.answer(b'ok'), keep=True)
    for _ in range(2):
        call = connections.call(target.address, REQUEST, True)
        call.read_head()
        call.read_body(1000)
        call.close()
    assert connections.idle_count == 2
    clock.advance(target_calls.DEFAULT_KEEP_ALIVE_S)
    clock.advance(idle_connections.SWEEP_PERIOD_S)
    assert connections.idle_count == 0


def test_long_keep_alive_of_a_removed_target_is_limited():
    clock = timers.ManualTimers()
    connections = target_calls.TargetConnections(clock)
    connections.start()
    data = (
        b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=86400\r\n'
        b'Content-Length: 2\r\n\r\nok'
    )
    assert _send(connections, _target(data, keep=True)) == (200, b'ok')
    clock.advance(target_calls.MAX_KEEP_ALIVE_S)
    clock.advance(idle_connections.SWEEP_PERIOD_S)
    assert connections.idle_count == 0


def test_connection_is_closed_while_a_long_body_is_being_sent(connections):
    def script(sock, _request):
        raise AssertionError('the request body was received completely')

    target = scripted_target.ScriptedTarget(script)
    large = b'x' * (8 << 20)
    request = REQUEST._replace(
        headers=[
            (b'host', b'h'),
            (b'content-length', str(len(large)).encode()),
        ],
        body=large,
    )
    call = connections.call(target.address, request, False)
    gevent.sleep(0.01)
    call.close()
    assert target.received == []


def _endless_target(beginning, block):
    """A target that sends until the connection is closed."""

    def script(sock, _request):
        sock.sendall(beginning)
        try:
            while True:
                sock.sendall(block)
        except OSError:
            closed.append(sock)
        return False

    closed = []
    return scripted_target.ScriptedTarget(script), closed


@pytest.mark.parametrize(
    ('beginning', 'block'),
    [
        (b'', b'x' * 65536),
        (b'HTTP/1.1 200 OK\r\nX-A: ', b'x' * 65536),
        (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 8000),
        (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 65536),
        (b'', b'HTTP/1.1 103 Early\r\n\r\n' * 3000),
    ],
)
def test_endless_response_raises(connections, beginning, block):
    target, closed = _endless_target(beginning, block)
    with (
        gevent.Timeout(10.0),
        pytest.raises(target_calls.AnswerBroken),
    ):
        _send(connections, target)
    with gevent.Timeout(10.0):
        while not closed:
            gevent.sleep(0.01)
    target.stop()


def test_endless_body_lets_other_tasks_run(connections):
    """Reading bytes that are already buffered never yields by itself."""
    runs = []

    class _Full:
        def recv(self, _size):
            return b'5\r\nxxxxx\r\n' * 6000

    target = _target(scripted_target.stream_head(), keep=True)
    call = connections.call(target.address, REQUEST, False)
    call.read_head()
    own_sock, call._sock = call._sock, _Full()
    task = gevent.spawn(runs.append, 1)
    for count, _ in enumerate(call.body_chunks()):
        if runs or count > 1_000_000:
            break
    task.kill()
    own_sock.close()
    target.stop()
    assert runs


def _two_idle_connections(connections, target):
    """Makes two idle connections; returns them, the latest last."""
    calls = [connections.call(target.address, REQUEST, True) for _ in range(2)]
    for call in calls:
        call.read_head()
        call.read_body(1000)
    for call in calls:
        call.close()
    return [call._sock for call in calls]


def test_connection_that_is_swept_while_checked_serves_one_call(connections):
    target = _target(scripted_target.answer(b'ok'), keep=True)
    _, latest = _two_idle_connections(connections, target)
    latest.shutdown(std_socket.SHUT_RDWR)
    gevent.spawn(connections._idle.close_expired)
    calls = [
        connections.call(target.address, REQUEST, False) for _ in range(2)
    ]
    assert len({call._sock.fileno() for call in calls}) == 2
    for call in calls:
        call.read_head()
        assert call.read_body(1000) == b'ok'
        call.close()


def test_late_abort_spares_the_next_call_of_the_connection(connections):
    target = _target(scripted_target.answer(b'ok'), keep=True)
    first = connections.call(target.address, REQUEST, False)
    first.read_head()
    first.read_body(1000)
    first.close()
    second = connections.call(target.address, REQUEST, False)
    first.abort()
    second.read_head()
    assert second.read_body(1000) == b'ok'
    second.close()
    assert target.connections == 1


def _late_reader(delay_s):
    """A target that answers at once and reads the request's body late."""

    def serve(sock, _peer):
        received = sock.recv(65536)
        sock.sendall(scripted_target.stream_head())
        gevent.sleep(delay_s)
        while len(received) < LONG_BODY_BYTES:
            data = sock.recv(65536)
            if not data:
                break
            received += data
        sock.sendall(scripted_target.chunk(b'ok') + scripted_target.chunk(b''))
        gevent.sleep(0.5)

    listener = socket.socket()
    listener.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_RCVBUF, 65536)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    target = server.StreamServer(listener, serve)
    target.start()
    return target


def test_target_that_reads_a_long_body_late_is_not_cut_off(connections):
    target = _late_reader(target_calls.USER_TIMEOUT_MS / 1000 * 2)
    request = REQUEST._replace(
        headers=[
            (b'host', b'h'),
            (b'content-length', str(LONG_BODY_BYTES).encode()),
        ],
        body=b'x' * LONG_BODY_BYTES,
    )
    address = f'127.0.0.1:{target.server_port}'
    call = connections.call(address, request, False)
    call.read_head()
    assert call.read_body(1000) == b'ok'
    call.close()
    target.stop()
    # Its kernel may hold a part of the body that it hasn't read.
    assert connections.idle_count == 0
