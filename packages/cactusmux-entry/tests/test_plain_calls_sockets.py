"""Requests through two instances to a plain service over sockets."""

from collections.abc import Iterator
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import claims
from cactusmux_control import direct_claims
from cactusmux_entry import explain
from cactusmux_entry import plain_calls
from cactusmux_entry import plain_results
from cactusmux_fakes import memory_store
from cactusmux_fakes import plain_server
from cactusmux_platform import http_plain_services
from cactusmux_platform import plain_services
from cactusmux_routing import retries
import pytest
from returns import result

Fault = plain_server.Fault
DEADLINE_S = 10.0


class Targets(plain_calls.PlainTargets):
    """Two addresses; nothing listens at the first one."""

    def __init__(self, address: str) -> None:
        self.addresses: tuple[str, ...] = ('127.0.0.1:1', address)

    def candidates(self, plain_service: str) -> tuple[str, ...]:
        return self.addresses

    def record_failure(
        self, address: str, failure: plain_services.PlainError
    ) -> None:
        pass


class Portal:
    """A plain service behind two instances."""

    def __init__(self) -> None:
        self.timer = timers.GeventTimers()
        self.server = plain_server.PlainServer(self.timer)
        self.server.start()
        self.targets = Targets(self.server.address)
        store = memory_store.MemoryStore(self.timer)
        self.calls = [self._build(store, name) for name in ('i-1', 'i-2')]

    def _build(
        self, store: memory_store.MemoryStore, name: str
    ) -> plain_calls.PlainCalls:
        metric = metrics.MemoryMetrics()
        return plain_calls.PlainCalls(
            http_plain_services.HttpPlainServiceClient(),
            self.targets,
            direct_claims.DirectClaims(
                store, self.timer, metric, name, claims.ClaimSettings()
            ),
            retries.RetryBudget(self.timer),
            retries.Backoff(self.timer, random.Random(1)),
            self.timer,
            metric,
        )

    def order(
        self, number: int, repeatable: bool = False, key: str = 'k-1'
    ) -> plain_results.PlainResult:
        call = plain_services.PlainCall(
            'PUT', '/orders', b'one coat', 'text/plain', f'r-{number}', key
        )
        request = plain_results.PlainRequest(
            's', 'o', 'portal', repeatable, call, DEADLINE_S
        )
        trace = explain.Trace(self.timer, call.request_id)
        return self.calls[number].run(request, trace)

    def runs(self) -> int:
        return sum(self.server.run_count_by_key.values())


@pytest.fixture
def portal() -> Iterator[Portal]:
    portal = Portal()
    yield portal
    portal.server.stop()


# A fault, the result of an order, and the number of runs afterwards.
CASES: list[tuple[Fault, type, int]] = [
    (Fault.NONE, plain_results.PlainComplete, 1),
    (Fault.REFUSE, plain_results.PlainNotRun, 0),
    (Fault.CLOSE_BEFORE_READING, plain_results.PlainUnknown, 0),
    (Fault.CLOSE_AFTER_RUNNING, plain_results.PlainUnknown, 1),
    (Fault.CUT_ANSWER, plain_results.PlainUnknown, 1),
]


def kind(ran: plain_results.PlainResult) -> type:
    if isinstance(ran, result.Success):
        return type(ran.unwrap())
    return type(ran.failure())


@pytest.mark.parametrize('fault, expected, runs', CASES)
def test_order_and_its_retry_run_at_most_once(
    portal: Portal, fault: Fault, expected: type, runs: int
) -> None:
    portal.server.fault = fault
    assert kind(portal.order(0)) is expected
    assert portal.runs() == runs
    portal.server.fault = Fault.NONE
    repeat = kind(portal.order(1))
    if expected is plain_results.PlainUnknown:
        assert repeat is plain_results.PlainUnknown
        assert portal.runs() == runs
        return
    assert repeat is plain_results.PlainComplete
    assert portal.runs() == 1


def test_order_to_a_stopped_service_is_not_run(portal) -> None:
    portal.server.stop()
    failure = portal.order(0).failure()
    assert type(failure) is plain_results.PlainNotRun
    assert failure.earlier_known
    assert failure.retry_after_s > 0


def test_repeatable_request_is_retried_at_another_address(portal) -> None:
    portal.server.fault = Fault.REFUSE
    refused = portal.order(0, repeatable=True).failure()
    assert type(refused) is plain_results.PlainNotRun
    portal.server.fault = Fault.NONE
    portal.order(0, repeatable=True).unwrap()
    portal.order(0, repeatable=True).unwrap()
    assert portal.runs() == 2


def test_order_requires_an_idempotency_key(portal) -> None:
    failure = portal.order(0, key='').failure()
    assert failure.reason == 'idempotency_key_missing'
    assert portal.runs() == 0


def test_request_without_targets_is_refused_before_the_claim(portal) -> None:
    portal.targets.addresses = ()
    for repeatable in (False, True):
        failure = portal.order(0, repeatable).failure()
        assert type(failure) is plain_results.PlainNotRun
        assert failure.reason == 'no_plain_target'


def test_requests_above_the_concurrency_limit_are_refused(portal) -> None:
    call = plain_services.PlainCall('GET', '/', b'', '', 'r', '')
    request = plain_results.PlainRequest(
        's', 'o', 'portal', True, call, DEADLINE_S, concurrency=0
    )
    trace = explain.Trace(portal.timer, 'r')
    failure = portal.calls[0].run(request, trace).failure()
    assert failure.reason == 'plain_service_busy'
