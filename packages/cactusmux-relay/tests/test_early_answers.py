"""Targets that respond while a request's body is still being sent.

The kernel tells of a reset once. If the task that sends the body is told, the
response ends as if it were complete, unless its framing says otherwise.
"""

from cactusmux_base import timers
from cactusmux_fakes import caller_response
from cactusmux_fakes import early_target
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import target_calls
import gevent
import pytest

UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nSignature: first\r\n\r\n'
FRAMED_HEAD = (
    b'HTTP/1.1 200 OK\r\nSignature: first\r\nContent-Length: 4\r\n\r\n'
)
BODY = b'part'
LONG_BODY_BYTES = 4_000_000
# Enough for the sender of a body to be told of a reset.
SETTLE_S = 0.05
EVENTS = [scripted_target.event(number) for number in range(1, 7)]
RESUMED = (
    scripted_target.stream_head({'Signature': 'second'})
    + b''.join(scripted_target.chunk(each) for each in EVENTS[3:])
    + scripted_target.chunk(b'')
)
RESET = early_target.Ending.RESET
CLOSED = early_target.Ending.CLOSED


@pytest.fixture(name='connections')
def _connections():
    return target_calls.TargetConnections(timers.GeventTimers())


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


@pytest.fixture(name='use_target')
def _use_target():
    """Starts targets, and stops them after the test."""
    started = []

    def start(*args):
        target = early_target.EarlyTarget(*args)
        started.append(target)
        return target

    yield start
    for target in started:
        target.stop()


@pytest.fixture(name='sends_first')
def _sends_first(monkeypatch):
    """Reads responses only once the request is sent, or can't be sent.

    The event loop may run the tasks in this order.
    """
    read_head = target_calls.TargetCall.read_head

    def read_after_sending(call):
        if call._sender is not None:
            call._sender.join()
        return read_head(call)

    monkeypatch.setattr(
        target_calls.TargetCall, 'read_head', read_after_sending
    )


def _request(size):
    headers = [(b'host', b'h'), (b'content-length', str(size).encode())]
    return target_calls.OutgoingRequest('POST', '/a', headers, b'x' * size)


def _read(call):
    """Reads a response after the reset was reported to the sender."""
    try:
        head = call.read_head()
        gevent.sleep(SETTLE_S)
        return head.status, call.read_body(1000)
    finally:
        call.close()


def _ask(rig, path):
    """Sends a long request; returns status, body, whether it is complete."""
    raw = relay_rig.request(path, content_length=str(LONG_BODY_BYTES))
    received = rig.ask(raw + b'x' * LONG_BODY_BYTES)
    head, body, is_complete = caller_response.parse(received)
    return head.status_code, body, is_complete


# Guards against a part that is taken for a whole response.
def test_reset_that_the_sender_is_told_of_breaks_a_response(
    connections, use_target
):
    target = use_target(UNFRAMED_HEAD + BODY, RESET)
    call = connections.call(target.address, _request(LONG_BODY_BYTES), True)
    with pytest.raises(target_calls.AnswerBroken):
        _read(call)


# Guards against the same where a short body is sent by the reading task.
def test_reset_before_a_short_request_is_sent_breaks_a_response(
    connections, use_target
):
    target = use_target(UNFRAMED_HEAD + BODY, RESET, False)
    sock = connections._connect(target.address)
    gevent.sleep(SETTLE_S)
    call = target_calls.TargetCall(
        connections, target.address, sock, _request(1)
    )
    with pytest.raises(target_calls.AnswerBroken):
        _read(call)


def test_early_response_that_ends_is_whole(connections, use_target):
    target = use_target(UNFRAMED_HEAD + BODY, CLOSED)
    call = connections.call(target.address, _request(LONG_BODY_BYTES), True)
    assert _read(call) == (200, BODY)


def test_response_with_a_length_is_whole_before_a_reset(
    connections, use_target
):
    target = use_target(FRAMED_HEAD + BODY, RESET)
    call = connections.call(target.address, _request(LONG_BODY_BYTES), True)
    assert _read(call) == (200, BODY)


@pytest.mark.usefixtures('sends_first')
@pytest.mark.parametrize('path', ['/unsafe/', '/safe/'])
def test_caller_gets_no_part_of_a_plain_response(rig, use_target, path):
    rig.use_plain(use_target(UNFRAMED_HEAD + BODY, RESET).address)
    assert _ask(rig, path)[0] == 502


@pytest.mark.usefixtures('sends_first')
def test_caller_gets_an_early_plain_response_that_ends(rig, use_target):
    rig.use_plain(use_target(UNFRAMED_HEAD + BODY, CLOSED).address)
    assert _ask(rig, '/unsafe/') == (200, BODY, True)


@pytest.mark.usefixtures('sends_first')
def test_caller_gets_no_end_of_a_stream_that_is_reset(rig, use_target):
    part = UNFRAMED_HEAD + b''.join(EVENTS[:3])
    rig.use_engines(use_target(part, RESET).address)
    status, body, is_complete = _ask(rig, '/once/')
    assert (status, is_complete) == (200, False)
    assert body == b''.join(EVENTS[:3])


@pytest.mark.usefixtures('sends_first')
def test_stream_that_is_reset_is_resumed(rig, use_target):
    part = UNFRAMED_HEAD + b''.join(EVENTS[:3])
    first = use_target(part, RESET)
    second = scripted_target.ScriptedTarget(
        lambda sock, _request: sock.sendall(RESUMED)
    )
    rig.use_engines(first.address, second.address)
    _, body, is_complete = _ask(rig, '/stream/')
    second.stop()
    assert is_complete
    assert body == b''.join(EVENTS)
    assert second.received[0].value_by_header['last-event'] == '3'


@pytest.mark.usefixtures('sends_first')
def test_caller_gets_the_end_of_an_early_stream_that_ends(rig, use_target):
    whole = UNFRAMED_HEAD + b''.join(EVENTS)
    rig.use_engines(use_target(whole, CLOSED).address)
    assert _ask(rig, '/once/') == (200, b''.join(EVENTS), True)
