"""Behaviour with many descriptors, and without any left."""

import contextlib
import errno
import fcntl
import os
import resource

from cactusmux_base import client_sockets
from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import connection_probes
from cactusmux_relay import connection_races
from cactusmux_relay import desired_state
from cactusmux_relay import held_bytes
from cactusmux_relay import http_connection
from cactusmux_relay import http_server
from cactusmux_relay import request_ends
from cactusmux_relay import target_calls
import gevent
from gevent import socket
import pytest

# The first descriptor that select() doesn't accept.
HIGH_DESCRIPTOR = 1024
LOCAL_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.EADDRNOTAVAIL,
    errno.ENOBUFS,
)
REQUEST = target_calls.OutgoingRequest('GET', '/a', [(b'host', b'h')], b'')


@pytest.fixture(name='connections')
def _connections():
    return target_calls.TargetConnections(timers.GeventTimers())


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


@contextlib.contextmanager
def _descriptor_limit(limit):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def _next_descriptor():
    descriptor = os.open(os.devnull, os.O_RDONLY)
    os.close(descriptor)
    return descriptor


@contextlib.contextmanager
def _no_descriptors_left():
    with _descriptor_limit(_next_descriptor()):
        yield


@pytest.fixture(name='pair')
def _pair():
    """A connection with a high descriptor, and its other end."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with _descriptor_limit(min(hard, 2 * HIGH_DESCRIPTOR)):
        listener = socket.create_server(('127.0.0.1', 0))
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
        listener.close()
        high = fcntl.fcntl(near.fileno(), fcntl.F_DUPFD, HIGH_DESCRIPTOR)
        near.close()
        sock = socket.socket(fileno=high)
        yield sock, far
        sock.close()
        far.close()


def _call(connections, sock):
    connections.return_idle('127.0.0.1:1', sock, 5.0)
    return connections.call('127.0.0.1:1', REQUEST, fresh=False)


def _caller_connection(sock):
    return http_connection.HttpConnection(
        sock,
        lambda request, answerer: None,
        timers.GeventTimers(),
        desired_state.Limits,
        lambda: False,
        request_ends.without_ids(),
        held_bytes.unshared(timers.GeventTimers()),
    )


def _run_meanwhile():
    """Returns a list that gets an element as soon as other tasks run."""
    runs = []
    gevent.spawn(runs.append, 1)
    return runs


def test_kept_connection_with_a_high_descriptor_serves_a_request(
    connections, pair
):
    sock, far = pair
    call = _call(connections, sock)
    assert far.recv(1000).startswith(b'GET /a ')
    assert not call.has_unread()
    far.sendall(b'x')
    assert call.has_unread()
    call.close()


def test_arrived_request_is_noticed_on_a_high_descriptor(pair):
    sock, far = pair
    connection = _caller_connection(sock)
    assert not connection.has_unread()
    far.sendall(b'GET ')
    assert connection.has_unread()


def test_input_check_of_a_target_lets_no_other_task_run(connections):
    near, _far = socket.socketpair()
    call = _call(connections, near)
    runs = _run_meanwhile()
    call.has_unread()
    assert runs == []


def test_input_check_of_a_caller_lets_no_other_task_run():
    listener = socket.create_server(('127.0.0.1', 0))
    near = socket.create_connection(listener.getsockname())
    connection = _caller_connection(near)
    runs = _run_meanwhile()
    connection.has_unread()
    assert runs == []


def _raise_local(number):
    def fail(*_args, **_kwargs):
        raise OSError(number, os.strerror(number))

    return fail


def _is_refused_by_errno(connections, monkeypatch, owner, name):
    """Connects while a call fails with each of the local errors."""
    found = {}
    for number in LOCAL_ERRORS:
        monkeypatch.setattr(owner, name, _raise_local(number))
        with pytest.raises(target_calls.NotSent) as raised:
            connections.call('127.0.0.1:1', REQUEST, fresh=True)
        found[number] = raised.value.is_refused
    return found


def test_local_error_creating_a_socket_is_no_refusal(connections, monkeypatch):
    found = _is_refused_by_errno(
        connections, monkeypatch, client_sockets, 'ClientSocket'
    )
    assert found == dict.fromkeys(LOCAL_ERRORS, False)


def test_local_error_of_a_connect_is_no_refusal(connections, monkeypatch):
    found = _is_refused_by_errno(
        connections, monkeypatch, socket.socket, 'connect'
    )
    assert found == dict.fromkeys(LOCAL_ERRORS, False)


def test_connect_without_descriptors_left_is_no_refusal(connections):
    with (
        _no_descriptors_left(),
        pytest.raises(target_calls.NotSent) as raised,
    ):
        connections.call('127.0.0.1:1', REQUEST, fresh=True)
    assert not raised.value.is_refused


def test_idle_connections_give_way_to_a_new_one(connections):
    """Kept connections to some targets used up what the others needed."""
    target = scripted_target.ScriptedTarget(lambda sock, request: False)
    near, _far = socket.socketpair()
    connections.return_idle('127.0.0.1:1', near, 5.0)
    with _no_descriptors_left():
        call = connections.call(target.address, REQUEST, fresh=True)
    assert connections.idle_count == 0
    call.close()
    target.stop()


def test_local_connect_errors_are_held_against_no_target(rig, monkeypatch):
    """Own failures to connect ejected each target in turn."""
    target = scripted_target.ScriptedTarget(lambda sock, request: False)
    rig.use_plain(target.address)
    with monkeypatch.context() as patch:
        connect = socket.socket.connect

        def fail(sock, address):
            if address[1] == int(target.address.rpartition(':')[2]):
                raise OSError(errno.EADDRNOTAVAIL, 'no port left')
            connect(sock, address)

        patch.setattr(socket.socket, 'connect', fail)
        for _ in range(12):
            received = rig.ask(relay_rig.request('/unsafe/'))
            assert received.startswith(b'HTTP/1.1 503')
    assert rig.health.ejected() == frozenset()
    assert rig.down.ids == frozenset()


def test_suspect_that_was_not_connected_to_is_not_overtaken():
    """A reference that got the last descriptor overtook the suspect."""

    def connect(target, timeout_s):
        if target == 'suspect':
            with _no_descriptors_left():
                return connection_probes.probe_address(
                    '127.0.0.1:1', timeout_s, timers.GeventTimers()
                )
        gevent.sleep(0.001)
        outcome = connection_probes.Outcome.ACCEPTED
        return connection_probes.ProbeResult(outcome, 'accepted', 0.001)

    suspect, reference = _Named('suspect'), _Named('reference')
    found = connection_races.race_connections(
        lambda target, timeout_s: connect(target.id, timeout_s),
        [suspect],
        [reference],
    )
    assert found == {}


class _Named:
    def __init__(self, target_id):
        self.id = target_id


def test_server_without_descriptors_accepts_again_later():
    server = http_server.HttpServer(
        '127.0.0.1:0',
        lambda request, answerer: answerer.answer(200, [], b''),
        timers.GeventTimers(),
    )
    server.start()
    waiting = socket.socket()
    waiting.settimeout(10.0)
    with _no_descriptors_left():
        waiting.connect(('127.0.0.1', server.port))
        gevent.sleep(0.05)
    waiting.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    assert waiting.recv(1000).startswith(b'HTTP/1.1 200')
    waiting.close()
    server.stop()
