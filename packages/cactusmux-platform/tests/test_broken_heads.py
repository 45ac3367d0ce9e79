"""Heads of responses that aren't valid in the protocol."""

from cactusmux_fakes import scripted_target
from cactusmux_platform import http_calls
from cactusmux_platform import http_plain_services
from cactusmux_platform import http_targets
from cactusmux_platform import plain_services
from cactusmux_platform import targets
import pytest
from returns import result

WAIT_S = 5.0
DAMAGED_NAMES = {
    'blank within': b'F oo',
    'blank before the colon': b'Foo ',
    'NUL': b'F\x00oo',
    'control byte': b'F\x01oo',
    'delete': b'F\x7foo',
    'no name': b'',
    'blank first': b' Foo',
    'tab first': b'\tFoo',
}
INVALID_STATUSES = (b'000', b'099', b'20', b'2000', b'2x0', b'600', b'999')
BROKEN_HEADS = {
    name: b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b\r\n%s: 1\r\n'
    % damaged
    for name, damaged in DAMAGED_NAMES.items()
}
BROKEN_HEADS |= {
    status.decode(): b'HTTP/1.1 %s Status\r\nContent-Length: 4\r\n' % status
    for status in INVALID_STATUSES
}


@pytest.fixture(name='use_server')
def _use_server():
    """Starts servers, and stops them after the test."""
    started = []

    def start(head, body=b'done'):
        def script(sock, _request):
            sock.sendall(head + b'\r\n' + body)
            return False

        server = scripted_target.ScriptedTarget(script)
        started.append(server)
        return server

    yield start
    for server in started:
        server.stop()


@pytest.mark.parametrize('head', BROKEN_HEADS.values(), ids=BROKEN_HEADS)
def test_response_with_a_broken_head_is_lost(use_server, head):
    """Calls as for the store and for peers."""
    caller = http_calls.HttpCaller(use_server(head).address, 1, WAIT_S)
    outcome = caller.call('POST', '/a', b'', WAIT_S)
    caller.close()
    assert isinstance(outcome, result.Failure)
    assert isinstance(outcome.failure(), http_calls.AnswerLost)


@pytest.mark.parametrize('head', BROKEN_HEADS.values(), ids=BROKEN_HEADS)
def test_plain_response_with_a_broken_head_leaves_the_outcome_unknown(
    use_server, head
):
    """Calls a plain service of the own interface."""
    client = http_plain_services.HttpPlainServiceClient()
    call = plain_services.PlainCall('POST', '/a', b'', '', 'r1')
    outcome = client.call(use_server(head).address, call, WAIT_S, True)
    client.close()
    assert isinstance(outcome, result.Failure)
    unknown = plain_services.PlainOutcomeUnknown
    assert isinstance(outcome.failure(), unknown)


# Guards against a promise that isn't one: the order may have been accepted.
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_invalid_status_does_not_say_that_a_call_has_not_run(
    use_server, status
):
    """Calls an engine of the own interface."""
    body = b'{"not_run": true}'
    head = b'HTTP/1.1 %s Status\r\nContent-Length: %d\r\n'
    server = use_server(head % (status, len(body)), body)
    outcome = http_targets.HttpTargetClient().report(server.address)
    assert isinstance(outcome, result.Failure)
    assert isinstance(outcome.failure(), targets.StreamBroken)
