"""Tests of instances that talk by real gRPC over loopback."""

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
import pytest  # noqa: E402
from returns import result  # noqa: E402

grpc_transport.use_gevent()

HANG_GUARD_S = 20.0


class Trio:
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
        """Calls the first instance from the second."""
        return self.transports[1].call(
            self.transports[0].address, method, request, HANG_GUARD_S
        )

    def wait(self, is_done: object) -> None:
        """Waits until the callable tells that it is so."""
        end = self.timer.now() + HANG_GUARD_S
        while not is_done():  # type: ignore[operator]
            assert self.timer.now() < end
            self.timer.sleep(0.05)


@pytest.fixture(scope='module')
def trio() -> Iterator[Trio]:
    started = Trio()
    yield started
    for service in started.services:
        service.stop()


def live_counts(trio: Trio) -> set[int]:
    return {len(service.view.live()) for service in trio.services}


def test_instances_find_each_other_by_one_seed(trio: Trio) -> None:
    trio.wait(lambda: live_counts(trio) == {3})


def test_revision_reaches_every_instance(trio: Trio) -> None:
    trio.wait(lambda: live_counts(trio) == {3})
    trio.services[0].soft_state.publish_revisions({'drafts': 7})
    trio.wait(
        lambda: all(
            service.soft_state.revision_by_service() == {'drafts': 7}
            for service in trio.services
        )
    )


def test_document_is_pulled_from_a_peer(trio: Trio) -> None:
    body = peer_service.DocumentBody(7, b'document')
    trio.services[0].set_document_provider(
        lambda service: body if service == 'drafts' else None
    )
    address = trio.transports[0].address
    fetch = trio.services[2].fetch_document
    assert fetch(address, 'drafts') == result.Success(body)
    assert fetch(address, 'other') == result.Failure(
        peer_service.DocumentUnknown(address, 'other')
    )


def test_only_a_refusal_by_the_handler_says_not_run(trio: Trio) -> None:
    def fail(body: bytes) -> bytes:
        raise ValueError('after it ran')

    def refuse(body: bytes) -> bytes:
        raise transport.CallRefused('not the owner')

    trio.services[0].handle_forwards('echo', lambda body: body * 2)
    trio.services[0].handle_forwards('fail', fail)
    trio.services[0].handle_forwards('refuse', refuse)
    address = trio.transports[0].address

    def kind(name: str) -> type[object]:
        outcome = trio.services[1].forward(address, name, b'x', HANG_GUARD_S)
        if isinstance(outcome, result.Success):
            return bytes
        return type(outcome.failure())

    assert kind('echo') is bytes
    assert kind('fail') is transport.PeerUnreachable
    assert kind('refuse') is transport.PeerRefused
    assert kind('unknown') is transport.PeerRefused


def test_call_to_a_closed_port_was_not_sent(trio: Trio) -> None:
    outcome = trio.transports[1].call(
        '127.0.0.1:1', transport.Method.PROBE, b'', HANG_GUARD_S
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
    # A stale claim, so that a view that takes it over shows it.
    sender.state = members.State.DEAD
    pull = peers_pb2.Pull(**fields)  # type: ignore[arg-type]
    return peers_pb2.Probe(sender=sender, pull=pull).SerializeToString()


GARBAGE = [
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


@pytest.mark.parametrize('method, request_bytes', GARBAGE)
def test_garbage_is_refused_and_changes_nothing(
    trio: Trio, method: transport.Method, request_bytes: bytes
) -> None:
    trio.wait(lambda: live_counts(trio) == {3})
    outcome = trio.call(method, request_bytes)
    assert isinstance(outcome.failure(), transport.PeerRefused)
    assert live_counts(trio) == {3}
    assert not trio.services[0].soft_state.leaving_targets()


def test_oversized_message_is_refused_unread(trio: Trio) -> None:
    request = bytes(transport.MAX_MESSAGE_BYTES + 1)
    outcome = trio.call(transport.Method.FORWARD, request)
    assert isinstance(outcome.failure(), transport.MessageTooLarge)


def test_oversized_answer_is_refused(trio: Trio) -> None:
    size = transport.MAX_MESSAGE_BYTES + 1
    trio.services[0].handle_forwards('large', lambda body: bytes(size))
    outcome = trio.services[1].forward(
        trio.transports[0].address, 'large', b'', HANG_GUARD_S
    )
    assert isinstance(outcome.failure(), transport.MessageTooLarge)
