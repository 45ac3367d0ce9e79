"""Tests of failing calls to plain services over real sockets."""

from collections.abc import Iterator

from cactusmux_base import timers
from cactusmux_fakes import plain_server
from cactusmux_platform import http_plain_services
from cactusmux_platform import plain_services
import gevent
import pytest

TIMEOUT_S = 10.0
ORDER = plain_services.PlainCall(
    'POST', '/orders', b'{"item": 1}', 'application/json', 'r-1', 'k-1'
)


@pytest.fixture
def server() -> Iterator[plain_server.PlainServer]:
    server = plain_server.PlainServer(timers.GeventTimers())
    server.start()
    yield server
    server.stop()


@pytest.fixture
def client() -> Iterator[http_plain_services.HttpPlainServiceClient]:
    client = http_plain_services.HttpPlainServiceClient(max_response_bytes=100)
    yield client
    client.close()


@pytest.mark.parametrize('once', [True, False])
def test_complete_response(server, client, once: bool) -> None:
    response = client.call(server.address, ORDER, TIMEOUT_S, once).unwrap()
    assert response == (200, 'application/json', ORDER.body)
    assert server.run_count_by_key == {'k-1': 1}


def test_once_never_uses_idle_connection(server, client) -> None:
    for once in (False, False, True, True):
        client.call(server.address, ORDER, TIMEOUT_S, once).unwrap()
    assert server.connections == 3


@pytest.mark.parametrize('once', [True, False])
@pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE', 'GET'])
@pytest.mark.parametrize(
    'fault, runs',
    [
        (plain_server.Fault.CLOSE_BEFORE_READING, 0),
        (plain_server.Fault.CLOSE_AFTER_RUNNING, 1),
        (plain_server.Fault.CUT_ANSWER, 1),
    ],
)
def test_lost_response_is_unknown_and_request_not_retried(
    server, client, fault, runs: int, method: str, once: bool
) -> None:
    # With an idle connection in its pool the library would retry.
    client.call(
        server.address, ORDER._replace(idempotency_key='k-0'), TIMEOUT_S, False
    ).unwrap()
    server.fault = fault
    failure = client.call(
        server.address, ORDER._replace(method=method), TIMEOUT_S, once
    ).failure()
    assert type(failure) is plain_services.PlainOutcomeUnknown
    assert server.run_count_by_key['k-1'] == runs
    assert server.connections == (2 if once else 1)


def test_timeout_after_sending_is_unknown(server, client) -> None:
    server.fault = plain_server.Fault.SLOW
    failure = client.call(server.address, ORDER, 0.5, True).failure()
    assert type(failure) is plain_services.PlainOutcomeUnknown


def test_timeout_of_the_caller_is_not_taken_for_its_own(
    server, client
) -> None:
    server.fault = plain_server.Fault.SLOW
    outer = gevent.Timeout(0.1)
    with pytest.raises(gevent.Timeout) as raised, outer:
        client.call(server.address, ORDER, TIMEOUT_S, False)
    assert raised.value is outer


def test_refusal_by_service_means_not_run(server, client) -> None:
    server.fault = plain_server.Fault.REFUSE
    failure = client.call(server.address, ORDER, TIMEOUT_S, True).failure()
    assert failure == plain_services.ServiceRefused(server.address, 'busy')
    assert not server.run_count_by_key


@pytest.mark.parametrize('once', [True, False])
def test_call_to_stopped_service_is_not_sent(client, server, once) -> None:
    server.stop()
    failure = client.call(server.address, ORDER, TIMEOUT_S, once).failure()
    assert type(failure) is plain_services.NotSent


@pytest.mark.parametrize('once', [True, False])
def test_may_send_is_checked_before_sending(server, client, once) -> None:
    failure = client.call(
        server.address, ORDER, TIMEOUT_S, once, may_send=lambda: False
    ).failure()
    assert type(failure) is plain_services.NotSent
    assert not server.run_count_by_key


def test_header_injection_is_not_sent(server, client) -> None:
    call = ORDER._replace(idempotency_key='k\r\nX: y')
    failure = client.call(server.address, call, TIMEOUT_S, True).failure()
    assert type(failure) is plain_services.NotSent
    assert not server.run_count_by_key


@pytest.mark.parametrize('once', [True, False])
def test_non_ascii_path_uses_no_connection(server, client, once: bool) -> None:
    call = ORDER._replace(path='/órdenes')
    for _ in range(http_plain_services.MAX_IDLE_CONNECTIONS + 1):
        failure = client.call(server.address, call, TIMEOUT_S, once).failure()
        assert type(failure) is plain_services.NotSent
    assert server.connections == 0
    client.call(server.address, ORDER, TIMEOUT_S, once).unwrap()


def test_number_of_pooled_addresses_is_bounded(server, client) -> None:
    client.call(server.address, ORDER, TIMEOUT_S, False).unwrap()
    for number in range(http_plain_services.MAX_POOLED_ADDRESSES):
        # Nothing listens at port 1.
        address = f'127.0.{1 + number // 200}.{1 + number % 200}:1'
        client.call(address, ORDER, TIMEOUT_S, False)
    # The first address was dropped from the pool, with its connection.
    client.call(server.address, ORDER, TIMEOUT_S, False).unwrap()
    assert server.connections == 2


def test_too_large_response_counts_as_unknown(server, client) -> None:
    call = ORDER._replace(body=b'x' * 101)
    failure = client.call(server.address, call, TIMEOUT_S, True).failure()
    assert type(failure) is plain_services.AnswerTooLarge
    assert isinstance(failure, plain_services.PlainOutcomeUnknown)
