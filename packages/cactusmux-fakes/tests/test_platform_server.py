"""Tests the platform clients against the fake and faulty servers."""

from collections.abc import Iterator

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import platform_server
from cactusmux_platform import http_calls
from cactusmux_platform import http_instances
from cactusmux_platform import http_store
from cactusmux_platform import http_weights
from cactusmux_platform import instances
from cactusmux_platform import stores
import gevent
from gevent import server as gevent_server
import pytest

HANG_GUARD_S = 20.0


@pytest.fixture
def platform() -> Iterator[platform_server.PlatformServer]:
    server = platform_server.PlatformServer()
    server.start()
    yield server
    server.stop()


@pytest.fixture
def memory() -> metrics.MemoryMetrics:
    return metrics.MemoryMetrics()


@pytest.fixture
def client(
    platform: platform_server.PlatformServer, memory: metrics.MemoryMetrics
) -> Iterator[http_store.HttpConfigStore]:
    store = http_store.HttpConfigStore(platform.address, memory)
    yield store
    store.close()


def test_every_call_succeeds_and_is_counted(
    client: http_store.HttpConfigStore, memory: metrics.MemoryMetrics
) -> None:
    lease_id = client.grant_lease(60.0).unwrap()
    value = bytes(range(256))
    made = client.compare_and_swap('k/a', value, stores.ABSENT, lease_id)
    entry = made.unwrap()
    assert client.get('k/a').unwrap() == entry
    assert entry.value == value
    assert client.get('k/none').unwrap() is None
    assert client.get_prefix('k/').unwrap() == (entry,)
    assert client.renew_lease(lease_id).unwrap() is None
    other = client.compare_and_swap('k/b', b'', stores.ABSENT).unwrap()
    deleted = client.delete('k/b', other.revision).unwrap()
    assert client.revoke_lease(lease_id).unwrap() is None
    watched = client.watch('k/', stores.ABSENT, 0.0).unwrap()
    gone = stores.Change('k/a', deleted + 1, None)
    assert watched.changes[0] == stores.Change('k/a', entry.revision, entry)
    assert watched.changes[-1] == gone
    assert watched.position.revision == gone.revision
    count_by_name = dict(memory.counter_by_name)
    assert count_by_name == {
        'store.calls.grant_lease': 1,
        'store.calls.compare_and_swap': 2,
        'store.calls.get': 2,
        'store.calls.get_prefix': 1,
        'store.calls.renew_lease': 1,
        'store.calls.delete': 1,
        'store.calls.revoke_lease': 1,
        'store.calls.watch': 1,
    }


def test_failures_keep_their_fields(
    platform: platform_server.PlatformServer,
    client: http_store.HttpConfigStore,
) -> None:
    entry = client.compare_and_swap('k', b'v', stores.ABSENT).unwrap()
    conflict = client.compare_and_swap('k', b'w', 77).failure()
    assert conflict == stores.Conflict('k', 77, entry)
    assert client.delete('none', 3).failure() == stores.Conflict(
        'none', 3, None
    )
    assert client.renew_lease(99).failure() == stores.LeaseLost(99)
    platform.store.faults = faulty_store.Faults(watch_compacted=True)
    compacted = client.watch('k', 0, 0.0).failure()
    assert compacted == stores.WatchCompacted(0, oldest=entry.revision)


def test_unavailable_store_runs_no_call(
    platform: platform_server.PlatformServer,
    client: http_store.HttpConfigStore,
    memory: metrics.MemoryMetrics,
) -> None:
    platform.store.faults = faulty_store.Faults(down=True)
    written = client.compare_and_swap('k', b'v', stores.ABSENT)
    assert isinstance(written.failure(), stores.StoreUnavailable)
    assert isinstance(client.get('k').failure(), stores.StoreUnavailable)
    assert memory.counter_by_name['store.failures.store_unavailable'] == 2


def test_write_with_lost_answer_takes_effect_with_unknown_outcome(
    platform: platform_server.PlatformServer,
    client: http_store.HttpConfigStore,
) -> None:
    platform.store.faults = faulty_store.Faults(lost_answers=1.0)
    written = client.compare_and_swap('k', b'v', stores.ABSENT)
    assert written.failure() == stores.OutcomeUnknown('k')
    assert client.get('k').unwrap().value == b'v'


def test_refused_connection_is_not_sent(
    platform: platform_server.PlatformServer,
    client: http_store.HttpConfigStore,
) -> None:
    platform.stop()
    written = client.compare_and_swap('k', b'v', stores.ABSENT)
    assert isinstance(written.failure(), stores.StoreUnavailable)
    platform.start()
    assert client.compare_and_swap('k', b'v', stores.ABSENT).unwrap()


def test_broken_idle_connection_is_replaced(
    platform: platform_server.PlatformServer,
    client: http_store.HttpConfigStore,
) -> None:
    client.compare_and_swap('k', b'v', stores.ABSENT).unwrap()
    platform.stop()
    platform.start()
    assert client.get('k').unwrap().value == b'v'


@pytest.mark.parametrize(
    'answer',
    [b'', b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', b'not http'],
)
def test_truncated_answer_of_a_write_is_unknown_outcome(answer: bytes) -> None:
    requests: list[bytes] = []

    def handle(connection: gevent.socket.socket, peer: object) -> None:
        requests.append(connection.recv(65536))
        connection.sendall(answer)
        connection.close()

    server = gevent_server.StreamServer(('127.0.0.1', 0), handle)
    server.start()
    store = _store_at(server.address, 2.0)
    written = store.compare_and_swap('k', b'v', 0)
    assert written.failure() == stores.OutcomeUnknown('k')
    assert isinstance(store.get('k').failure(), stores.StoreUnavailable)
    assert len(requests) == 2
    server.stop()


def test_call_to_stalled_server_times_out_and_frees_connection() -> None:
    def handle(connection: gevent.socket.socket, peer: object) -> None:
        # Slowly arriving bytes must not extend the deadline.
        connection.sendall(b'HTTP/1.1 200 OK\r\nX-Long: ')
        for _ in range(int(HANG_GUARD_S / 0.02)):
            connection.sendall(b'a')
            gevent.sleep(0.02)

    server = gevent_server.StreamServer(('127.0.0.1', 0), handle)
    server.start()
    host, port = server.address
    caller = http_calls.HttpCaller(f'{host}:{port}', 1, HANG_GUARD_S)
    with gevent.Timeout(HANG_GUARD_S / 2):
        for _ in range(2):
            called = caller.call('POST', '/a', b'', 0.05)
            assert isinstance(called.failure(), http_calls.AnswerLost)
    server.stop(timeout=0)


def test_no_free_connection_is_not_sent() -> None:
    server = gevent_server.StreamServer(
        ('127.0.0.1', 0), lambda connection, peer: gevent.sleep(60)
    )
    server.start()
    host, port = server.address
    caller = http_calls.HttpCaller(f'{host}:{port}', 1, HANG_GUARD_S)
    first = gevent.spawn(caller.call, 'POST', '/a', b'', HANG_GUARD_S)
    gevent.sleep(0)
    second = caller.call('POST', '/b', b'', 0.05)
    assert isinstance(second.failure(), http_calls.CallNotSent)
    first.kill()
    server.stop(timeout=0)


def test_waiting_watches_do_not_block_other_calls(
    client: http_store.HttpConfigStore,
) -> None:
    count = http_store.CONNECTIONS + http_store.WATCH_CONNECTIONS
    waiting = [
        gevent.spawn(client.watch, 'k', 0, HANG_GUARD_S) for _ in range(count)
    ]
    gevent.sleep(0.05)
    with gevent.Timeout(HANG_GUARD_S / 2):
        entry = client.compare_and_swap('k', b'v', 0).unwrap()
        gevent.joinall(waiting, raise_error=True)
    for greenlet in waiting:
        assert greenlet.value.unwrap().changes[0].entry == entry


def test_instance_list_shows_edits(
    platform: platform_server.PlatformServer, memory: metrics.MemoryMetrics
) -> None:
    client = http_instances.HttpInstanceList(platform.address, memory)
    one = instances.ListedInstance(
        '10.0.0.1:80', instances.Role.ENGINE, 'r', 'z', accelerator='npu'
    )
    platform.listed.add(one)
    assert client.fetch().unwrap() == (one,)
    platform.listed.mark_leaving(one.address)
    assert client.fetch().unwrap() == (one._replace(leaving=True),)
    platform.listed.down = True
    assert isinstance(client.fetch().failure(), instances.ListUnavailable)
    client.close()


def test_instance_list_lags() -> None:
    clock = timers.ManualTimers()
    server = platform_server.PlatformServer(timer=clock)
    server.listed.lag_s = 5.0
    one = instances.ListedInstance('a:1', instances.Role.ENTRY, 'r', 'z')
    server.listed.add(one)
    clock.advance(4.0)
    assert server.listed.fetch().unwrap() == ()
    clock.advance(1.0)
    assert server.listed.fetch().unwrap() == (one,)


def test_weight_store_returns_its_rate(
    platform: platform_server.PlatformServer, memory: metrics.MemoryMetrics
) -> None:
    client = http_weights.HttpWeightStore(platform.address, memory)
    platform.weights.rate = 250.5
    assert client.rate_mb_per_s().unwrap() == 250.5
    platform.weights.rate = float('inf')
    assert client.rate_mb_per_s().failure()
    platform.weights.down = True
    assert client.rate_mb_per_s().failure()
    client.close()


def test_faults_and_lists_are_set_by_http(
    platform: platform_server.PlatformServer,
) -> None:
    caller = http_calls.HttpCaller(platform.address, 1, 2.0)

    def put(path: str, body: bytes) -> int:
        return caller.call('PUT', path, body, 2.0).unwrap().status

    assert put('/faults', b'{"slow_s": 0.5, "down": true}') == 200
    assert platform.store.faults == faulty_store.Faults(down=True, slow_s=0.5)
    assert put('/faults', b'{"slow": 1}') == 400
    assert put('/weights/rate_mb_per_s', b'12') == 200
    assert platform.weights.rate == 12
    assert put('/instances', b'[["a:1", "entry", "r", "z"]]') == 200
    assert platform.listed.fetch().unwrap()[0].zone == 'z'
    caller.close()


def _store_at(
    address: tuple[str, int], call_timeout_s: float
) -> http_store.HttpConfigStore:
    host, port = address
    return http_store.HttpConfigStore(
        f'{host}:{port}', metrics.MemoryMetrics(), call_timeout_s
    )
