"""Answers of targets that have neither a length nor chunks.

They end with their connection: closed, they are complete; reset, or within
an event, they have been broken off.
"""

import struct

from cactusmux_fakes import caller_response
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
import gevent
from gevent import socket
import pytest

HEAD = b'HTTP/1.1 200 OK\r\nSignature: first\r\n\r\n'
EVENTS = [scripted_target.event(number) for number in range(1, 7)]
FRAMED = (
    scripted_target.stream_head({'Signature': 'second'})
    + b''.join(scripted_target.chunk(each) for each in EVENTS[3:])
    + scripted_target.chunk(b'')
)


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _target(data, is_reset=False):
    def script(sock, _request):
        sock.sendall(data)
        if is_reset:
            gevent.sleep(0.05)
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False

    return scripted_target.ScriptedTarget(script)


def _ask(rig, path):
    """Returns the status, the body, and whether the response is complete."""
    received = rig.ask(relay_rig.request(path))
    head, body, is_complete = caller_response.parse(received)
    return head.status_code, body, is_complete


def test_stream_that_ends_with_its_connection_is_complete(rig):
    rig.use_engines(_target(HEAD + b''.join(EVENTS)).address)
    status, body, is_complete = _ask(rig, '/stream/')
    assert (status, is_complete) == (200, True)
    assert body == b''.join(EVENTS)


def test_stream_that_ends_within_an_event_is_resumed(rig):
    torn = HEAD + b''.join(EVENTS[:3]) + EVENTS[3][:9]
    rig.use_engines(_target(torn).address, _target(FRAMED).address)
    _, body, is_complete = _ask(rig, '/stream/')
    assert is_complete
    assert body == b''.join(EVENTS)


def test_stream_that_may_not_be_resumed_and_ends_within_an_event_is_cut(rig):
    torn = HEAD + b''.join(EVENTS[:3]) + EVENTS[3][:9]
    rig.use_engines(_target(torn).address)
    _, body, is_complete = _ask(rig, '/once/')
    assert not is_complete
    assert body == b''.join(EVENTS[:3])


def test_stream_that_is_reset_after_an_event_is_resumed(rig):
    first = _target(HEAD + b''.join(EVENTS[:3]), is_reset=True)
    rig.use_engines(first.address, _target(FRAMED).address)
    _, body, is_complete = _ask(rig, '/stream/')
    assert is_complete
    assert body == b''.join(EVENTS)


def test_stream_that_ends_before_its_first_event_is_not_complete(rig):
    rig.use_engines(_target(HEAD).address)
    status, _, _ = _ask(rig, '/once/')
    assert status == 502


def test_plain_answer_that_ends_with_its_connection_is_complete(rig):
    rig.use_plain(_target(HEAD + b'bought').address)
    assert _ask(rig, '/unsafe/') == (200, b'bought', True)


def test_plain_answer_that_is_reset_is_not_passed_on(rig):
    rig.use_plain(_target(HEAD + b'boug', is_reset=True).address)
    status, _, _ = _ask(rig, '/unsafe/')
    assert status == 502
