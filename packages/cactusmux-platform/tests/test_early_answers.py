"""Servers that respond while a request's body is still being sent."""

from cactusmux_fakes import early_target
from cactusmux_platform import http_calls
from cactusmux_platform import http_plain_services
from cactusmux_platform import plain_services
import pytest
from returns import result

UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\npart'
LONG_BODY = b'x' * 4_000_000
WAIT_S = 5.0
RESET = early_target.Ending.RESET
CLOSED = early_target.Ending.CLOSED


@pytest.fixture(name='use_server')
def _use_server():
    """Starts servers, and stops them after the test."""
    started = []

    def start(*args):
        server = early_target.EarlyTarget(*args)
        started.append(server)
        return server

    yield start
    for server in started:
        server.stop()


def _call(address):
    """Calls as for the store and for peers."""
    caller = http_calls.HttpCaller(address, 1, WAIT_S)
    outcome = caller.call('POST', '/a', LONG_BODY, WAIT_S)
    caller.close()
    return outcome


def _call_plain(address, once):
    """Calls a plain service of the own interface."""
    client = http_plain_services.HttpPlainServiceClient()
    call = plain_services.PlainCall('POST', '/a', LONG_BODY, '', 'r1')
    outcome = client.call(address, call, WAIT_S, once)
    client.close()
    return outcome


# Guards against a part that is taken for a whole response.
def test_part_of_a_response_is_lost(use_server):
    outcome = _call(use_server(UNFRAMED, RESET).address)
    assert isinstance(outcome, result.Failure)
    assert isinstance(outcome.failure(), http_calls.AnswerLost)


def test_early_response_that_ends_is_whole(use_server):
    outcome = _call(use_server(UNFRAMED, CLOSED).address)
    assert outcome.unwrap().body == b'part'


@pytest.mark.parametrize('once', [True, False])
def test_part_of_a_plain_response_leaves_the_outcome_unknown(use_server, once):
    outcome = _call_plain(use_server(UNFRAMED, RESET).address, once)
    assert isinstance(outcome, result.Failure)
    unknown = plain_services.PlainOutcomeUnknown
    assert isinstance(outcome.failure(), unknown)


@pytest.mark.parametrize('once', [True, False])
def test_early_plain_response_that_ends_is_whole(use_server, once):
    outcome = _call_plain(use_server(UNFRAMED, CLOSED).address, once)
    assert outcome.unwrap().body == b'part'
