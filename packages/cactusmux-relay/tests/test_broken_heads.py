"""Heads of responses that aren't valid in the protocol.

The rest of each response is sound: a target that sends them is in trouble,
and nothing of what it sent is passed on.
"""

from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import target_calls
import pytest

STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
SIGNED = b'Signature: s\r\n'
# Whole as a plain response and as a stream.
BODY = scripted_target.event(1)
LENGTH = b'Content-Length: %d\r\n' % len(BODY)
DAMAGED_NAMES = {
    'blank within': b'F oo',
    'tab within': b'F\too',
    'blank before the colon': b'Foo ',
    'tab before the colon': b'Foo\t',
    'NUL': b'F\x00oo',
    'start of heading': b'F\x01oo',
    'vertical tab': b'F\x0boo',
    'form feed': b'F\x0coo',
    'carriage return': b'F\roo',
    'delete': b'F\x7foo',
    'control byte first': b'\x01Foo',
    'no name': b'',
    'blank first': b' Foo',
    'tab first': b'\tFoo',
    'only a blank': b' ',
}
# Fields that say how long the body is, or whose it is.
DAMAGED_FIELDS = {
    'length': SIGNED + b' ' + LENGTH,
    'chunks': SIGNED + b'\tTransfer-Encoding: chunked\r\n',
    'signature': LENGTH + SIGNED + b' Request-Id: r1\r\n',
}
INVALID_STATUSES = {
    'zero': b'000 Status',
    'zero without a reason': b'000',
    'below informational': b'099 Status',
    'two digits': b'20 Status',
    'four digits': b'2000 Status',
    'leading zero': b'0200 Status',
    'letter': b'2x0 Status',
    'sign': b'-20 Status',
    'switching protocols': b'101 Status',
    'unfinished': b'199 Status',
    'above all classes': b'600 Status',
    'largest': b'999 Status',
}
EARLY = b'HTTP/1.1 103 Early\r\nA: b\r\n'
DAMAGED_LINE = b' c: d\r\n'
PATHS = ('/safe/', '/unsafe/', '/once/', '/stream/')


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


@pytest.fixture(name='connections')
def _connections():
    return target_calls.TargetConnections(timers.GeventTimers())


@pytest.fixture(name='use_target')
def _use_target():
    """Starts targets that send one write a piece; stops them afterwards."""
    started = []

    def start(*pieces):
        def script(sock, _request):
            for piece in pieces:
                sock.sendall(piece)
            return False

        target = scripted_target.ScriptedTarget(script)
        started.append(target)
        return target

    yield start
    for target in started:
        target.stop()


def _read(connections, target):
    request = target_calls.OutgoingRequest(
        'POST', '/a', [(b'host', b'h'), (b'content-length', b'1')], b'x'
    )
    call = connections.call(target.address, request, True)
    try:
        head = call.read_head()
        return head.status, call.read_body(1000)
    finally:
        call.close()


def _status(rig, address, path):
    """Returns the status that a caller gets from the instance."""
    if path in ('/safe/', '/unsafe/'):
        rig.use_plain(address)
    else:
        rig.use_engines(address)
    return int(rig.ask(relay_rig.request(path)).split()[1])


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('name', DAMAGED_NAMES.values(), ids=DAMAGED_NAMES)
def test_response_with_a_damaged_name_is_not_passed_on(
    rig, use_target, name, path
):
    head = STATUS_LINE + LENGTH + SIGNED + name + b': 1\r\n\r\n'
    address = use_target(head + BODY).address
    assert _status(rig, address, path) == 502


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('fields', DAMAGED_FIELDS.values(), ids=DAMAGED_FIELDS)
def test_response_with_a_damaged_frame_is_not_passed_on(
    rig, use_target, fields, path
):
    address = use_target(STATUS_LINE + fields + b'\r\n' + BODY).address
    assert _status(rig, address, path) == 502


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
    'status', INVALID_STATUSES.values(), ids=INVALID_STATUSES
)
def test_response_with_an_invalid_status_is_not_passed_on(
    rig, use_target, status, path
):
    head = b'HTTP/1.1 ' + status + b'\r\n' + SIGNED + LENGTH
    address = use_target(head + b'\r\n' + BODY).address
    assert _status(rig, address, path) == 502


# Guards against a promise that isn't one: the request may have run.
@pytest.mark.parametrize(
    'status', INVALID_STATUSES.values(), ids=INVALID_STATUSES
)
def test_invalid_status_does_not_say_that_a_request_has_not_run(
    rig, use_target, status
):
    head = b'HTTP/1.1 ' + status + b'\r\nNot-Run: 1\r\n' + SIGNED + LENGTH
    address = use_target(head + b'\r\n' + BODY).address
    assert _status(rig, address, '/unsafe/') == 502


@pytest.mark.parametrize('status', [200, 299, 400, 500, 599])
def test_status_of_each_class_is_passed_on(rig, use_target, status):
    head = b'HTTP/1.1 %d Status\r\n' % status + SIGNED + LENGTH
    address = use_target(head + b'\r\n' + BODY).address
    assert _status(rig, address, '/unsafe/') == status


# A head is searched wherever the bytes of it are split.
def test_damaged_name_is_found_in_a_head_that_arrives_in_bytes(
    connections, use_target
):
    head = STATUS_LINE + LENGTH + SIGNED + b' Foo: 1\r\n\r\n'
    pieces = [head[at : at + 1] for at in range(len(head))]
    target = use_target(*pieces, BODY)
    with pytest.raises(target_calls.AnswerBroken):
        _read(connections, target)


@pytest.mark.parametrize(
    'heads',
    [
        EARLY + DAMAGED_LINE + b'\r\n' + STATUS_LINE + LENGTH,
        EARLY + b'\r\n' + STATUS_LINE + LENGTH + SIGNED + DAMAGED_LINE,
    ],
    ids=['in it', 'after it'],
)
def test_damaged_name_is_found_beside_an_informational_head(
    connections, use_target, heads
):
    with pytest.raises(target_calls.AnswerBroken):
        _read(connections, use_target(heads + b'\r\n' + BODY))


@pytest.mark.parametrize('early', [b'', EARLY + b'\r\n'])
def test_lines_of_a_body_may_begin_with_a_blank(
    connections, use_target, early
):
    body = b'\n b\n\tc\r\n d'
    head = STATUS_LINE + b'Content-Length: %d\r\n\r\n' % len(body)
    target = use_target(early + head + body)
    assert _read(connections, target) == (200, body)


def test_values_may_have_blanks_around_and_within(connections, use_target):
    head = STATUS_LINE + LENGTH + b'A: \t b  c \t\r\nB:\r\n\r\n'
    target = use_target(head + BODY)
    assert _read(connections, target) == (200, BODY)
