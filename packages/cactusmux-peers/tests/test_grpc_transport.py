"""Tests of instances that communicate by real gRPC over loopback."""

from collections.abc import Iterator

from gevent import monkey

monkey.patch_all()

from cactusmux_base import metrics  # noqa: E402
from cactusmux_base import timers  # noqa: E402
from cactusmux_peers import encodings  # noqa: E402
from cactusmux_peers import grpc_transport  # noqa: E402
from cactusmux_peers import members  # noqa: E402
from cactusmux_peers import peer_service  # noqa: E402
from cactusmux_peers import peers_pb2  # noqa: E402
from cactusmux_peers import transport  # noqa: E402
from gevent import event  # noqa: E402
import grpc  # noqa: E402
import pytest  # noqa: E402
from returns import result  # noqa: E402

grpc_transport.use_gevent()

TIMEOUT_S = 20.0


class ThreeInstances:
    """Three instances of one zone in this process."""

    def __init__(self) -> None:
        self.timer = timers.GeventTimers()
        self.services: list[peer_service.PeerService] = []
        self.transports: list[grpc_transport.GrpcTransport] = []
        for number in range(3):
            self._start(number)

    def _start(self, number: int) -> None:
        peers = grpc_transport.GrpcTransport(
            '127.0.0.1:0', metrics.MemoryMetrics()
        )
        seeds = tuple(known.address for known in self.transports)
        service = peer_service.PeerService(
            peer_service.PeerSettings(
                f'127.0.0.1:8{number}', 'kz-central', 'kz-1', seeds
            ),
            peers,
            self.timer,
            metrics.MemoryMetrics(),
        )
        service.start()
        self.services.append(service)
        self.transports.append(peers)

    def call(
        self, method: transport.Method, request: bytes
    ) -> result.Result[bytes, transport.PeerError]:
        """Sends a call from the second instance to the first."""
        return self.transports[1].call(
            self.transports[0].address, method, request, TIMEOUT_S
        )

    def wait(self, is_done: object) -> None:
        """Waits until ``is_done`` returns true."""
        end = self.timer.now() + TIMEOUT_S
        while not is_done():  # type: ignore[operator]
            assert self.timer.now() < end
            self.timer.sleep(0.05)


@pytest.fixture(scope='module')
def instances() -> Iterator[ThreeInstances]:
    started = ThreeInstances()
    yield started
    for service in started.services:
        service.stop()


def live_counts(instances: ThreeInstances) -> set[int]:
    return {len(service.view.live()) for service in instances.services}


def test_instances_join_through_one_seed(instances: ThreeInstances) -> None:
    instances.wait(lambda: live_counts(instances) == {3})


def test_revision_reaches_every_instance(instances: ThreeInstances) -> None:
    instances.wait(lambda: live_counts(instances) == {3})
    instances.services[0].soft_state.publish_revisions({'drafts': 7})
    instances.wait(
        lambda: all(
            service.soft_state.revision_by_service() == {'drafts': 7}
            for service in instances.services
        )
    )


def test_document_is_fetched_from_peer(instances: ThreeInstances) -> None:
    body = peer_service.DocumentBody(7, b'document')
    instances.services[0].set_document_provider(
        lambda service: body if service == 'drafts' else None
    )
    address = instances.transports[0].address
    fetch = instances.services[2].fetch_document
    assert fetch(address, 'drafts') == result.Success(body)
    assert fetch(address, 'other') == result.Failure(
        peer_service.DocumentUnknown(address, 'other')
    )


def test_only_refusal_by_handler_means_not_run(
    instances: ThreeInstances,
) -> None:
    def fail(body: bytes) -> bytes:
        raise ValueError('after it ran')

    def refuse(body: bytes) -> bytes:
        raise transport.CallRefused('not the owner')

    instances.services[0].handle_forwards('echo', lambda body: body * 2)
    instances.services[0].handle_forwards('fail', fail)
    instances.services[0].handle_forwards('refuse', refuse)
    address = instances.transports[0].address

    def kind(name: str) -> type[object]:
        outcome = instances.services[1].forward(address, name, b'x', TIMEOUT_S)
        if isinstance(outcome, result.Success):
            return bytes
        return type(outcome.failure())

    assert kind('echo') is bytes
    assert kind('fail') is transport.PeerUnreachable
    assert kind('refuse') is transport.PeerRefused
    assert kind('unknown') is transport.PeerRefused


def test_call_to_closed_port_is_reported_not_sent(
    instances: ThreeInstances,
) -> None:
    outcome = instances.transports[1].call(
        '127.0.0.1:1', transport.Method.PROBE, b'', TIMEOUT_S
    )
    assert isinstance(outcome.failure(), transport.PeerNotSent)


def _bad_update(**fields: object) -> bytes:
    update = encodings.to_update(
        members.Member('x', 'a', '127.0.0.1:1', 'kz-central', 'kz-1')
    )
    for name, value in fields.items():
        setattr(update, name, value)
    return peers_pb2.Probe(sender=update).SerializeToString()


def _bad_pull(**fields: object) -> bytes:
    sender = encodings.to_update(
        members.Member('y', 'a', '127.0.0.1:1', 'kz-central', 'kz-1')
    )
    # A stale claim; a view that accepts it would change.
    sender.state = members.State.DEAD
    pull = peers_pb2.Pull(**fields)  # type: ignore[arg-type]
    return peers_pb2.Probe(sender=sender, pull=pull).SerializeToString()


MALFORMED_REQUESTS = [
    (transport.Method.PROBE, b'\xff\xff\xff'),
    (transport.Method.PROBE, b''),
    (transport.Method.PROBE, _bad_update(incarnation=0)),
    (transport.Method.PROBE, _bad_update(incarnation=2**32 - 1)),
    (transport.Method.PROBE, _bad_update(state=9)),
    (transport.Method.PROBE, _bad_update(peer_address='')),
    (transport.Method.SYNC, b'\x0a\x05'),
    (transport.Method.PROBE_VIA, b'\x00'),
    (transport.Method.PROBE, _bad_pull(origins=[1, 2], versions=[1])),
    (transport.Method.PROBE, _bad_pull(scope=7)),
    (
        transport.Method.PROBE,
        _bad_pull(origins=range(5000), versions=range(5000)),
    ),
    (
        transport.Method.NOTICE,
        peers_pb2.Notice(leaving_addresses=['a']).SerializeToString(),
    ),
    (
        transport.Method.NOTICE,
        peers_pb2.Notice(
            leaving_addresses=['a'] * 257, ages_ds=[0] * 257
        ).SerializeToString(),
    ),
    (transport.Method.FORWARD, b'\xff'),
]


@pytest.mark.parametrize('method, request_bytes', MALFORMED_REQUESTS)
def test_malformed_request_is_refused_without_effect(
    instances: ThreeInstances, method: transport.Method, request_bytes: bytes
) -> None:
    instances.wait(lambda: live_counts(instances) == {3})
    outcome = instances.call(method, request_bytes)
    assert isinstance(outcome.failure(), transport.PeerRefused)
    assert live_counts(instances) == {3}
    assert not instances.services[0].soft_state.leaving_targets()


def test_oversized_message_is_refused(instances: ThreeInstances) -> None:
    request = bytes(transport.MAX_MESSAGE_BYTES + 1)
    outcome = instances.call(transport.Method.FORWARD, request)
    assert isinstance(outcome.failure(), transport.MessageTooLarge)


def test_oversized_answer_is_refused(instances: ThreeInstances) -> None:
    size = transport.MAX_MESSAGE_BYTES + 1
    instances.services[0].handle_forwards('large', lambda body: bytes(size))
    outcome = instances.services[1].forward(
        instances.transports[0].address, 'large', b'', TIMEOUT_S
    )
    assert isinstance(outcome.failure(), transport.MessageTooLarge)


class CallsWithoutMessage:
    """A server, a client, and calls to it whose message never comes."""

    def __init__(self, count: int) -> None:
        self.server = grpc_transport.GrpcTransport(
            '127.0.0.1:0', metrics.MemoryMetrics()
        )
        self.server.serve(lambda method, request: request)
        self._client = grpc_transport.GrpcTransport(
            '127.0.0.1:0', metrics.MemoryMetrics()
        )
        self._never = event.Event()
        self._channel = grpc.insecure_channel(self.server.address)
        open_call = self._channel.stream_unary('/cactusmux_peers.Peers/Probe')
        self.held = [
            open_call.future(self._no_message()) for _ in range(count)
        ]
        timers.GeventTimers().sleep(0.5)

    def probe(self) -> result.Result[bytes, transport.PeerError]:
        """Makes an ordinary call."""
        return self._client.call(
            self.server.address, transport.Method.PROBE, b'x', TIMEOUT_S
        )

    def close(self) -> None:
        """Ends all calls and the server."""
        for call in self.held:
            call.cancel()
        self._never.set()
        self._channel.close()
        self._client.close()
        self.server.close()

    def _no_message(self) -> Iterator[bytes]:
        self._never.wait()
        yield from ()


def test_calls_without_their_message_do_not_hold_up_others() -> None:
    calls = CallsWithoutMessage(40)
    outcome = calls.probe()
    calls.close()
    assert outcome == result.Success(b'x')


def test_call_without_its_message_is_refused_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(grpc_transport, '_MESSAGE_TIMEOUT_S', 0.2)
    calls = CallsWithoutMessage(2)
    codes = {call.exception(TIMEOUT_S).code() for call in calls.held}
    calls.close()
    assert codes == {grpc.StatusCode.INVALID_ARGUMENT}


def test_call_beyond_the_limit_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(grpc_transport, '_MAX_CALLS', 4)
    calls = CallsWithoutMessage(4)
    outcome = calls.probe()
    calls.close()
    assert isinstance(outcome.failure(), transport.PeerRefused)
