"""This instance's part in the fleet: its jobs and what it answers."""

from collections.abc import Callable, Iterable
import random
from typing import NamedTuple

from cactusmux_base import ids
from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from google.protobuf import message
from returns import result

from . import encodings
from . import exchange
from . import members
from . import membership
from . import neighbours
from . import peers_pb2
from . import probing
from . import rounds
from . import soft_state
from . import transport

FETCH_TIMEOUT_S = 2.0
JOIN_ATTEMPTS = 3
LEAVE_PROBES = 6


class PeerSettings(NamedTuple):
    """Where this instance is, and where it may find others.

    ``address`` is where callers connect; ``seeds`` are peer addresses.
    """

    address: str
    region: str
    zone: str
    seeds: tuple[str, ...] = ()


class DocumentBody(NamedTuple):
    """A service document as bytes, with its store revision."""

    revision: int
    value: bytes


class DocumentUnknown(transport.PeerError):
    """The peer does not have the document."""

    reason = 'peer_document_unknown'


DocumentProvider = Callable[[str], DocumentBody | None]
ForwardHandler = Callable[[bytes], bytes]


class PeerService:
    """Joins the fleet, keeps its view, and exchanges soft state.

    :param list_addresses: peer addresses by the platform's lagging list;
        an empty answer is allowed.
    :param rng: makes the order of probes and pulls repeatable in tests.
    """

    def __init__(
        self,
        settings: PeerSettings,
        peers: transport.PeerTransport,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
        list_addresses: Callable[[], Iterable[str]] = tuple,
        rng: random.Random | None = None,
        instance_id: str = '',
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._list_addresses = list_addresses
        self._rng = rng or random.Random()
        own = members.Member(
            instance_id or ids.new_id(),
            settings.address,
            peers.address,
            settings.region,
            settings.zone,
        )
        self.view = membership.Membership(
            own, probing.PERIOD_S, timer, metrics
        )
        self.soft_state = soft_state.SoftState(self.view, timer, metrics)
        self._prober = probing.Prober(
            self.view, peers, self._seeds, timer, metrics, self._rng
        )
        near = neighbours.Neighbours(self.view, self._rng)
        self._exchange = exchange.Exchange(
            near, self.soft_state, peers, timer, metrics
        )
        self._rounds = rounds.Rounds(
            self._prober, self._exchange, near, self.soft_state
        )
        self._serve_body: DocumentProvider = lambda service: None
        self._forward_by_name: dict[str, ForwardHandler] = {}
        self._job: timers.Subscription | None = None

    @property
    def instance_id(self) -> str:
        """The id that this process has taken at its start."""
        return self.view.own.instance_id

    def start(self) -> None:
        """Answers calls, joins by a few seeds, and starts the rounds."""
        self._peers.serve(self.handle)
        for _ in range(JOIN_ATTEMPTS):
            if len(self.view.live()) > 1:
                break
            self._prober.rejoin()
        self._job = self._timer.every(probing.PERIOD_S, self._rounds.tick)

    def leave(self) -> None:
        """Tells peers that this instance is to stop; it still works."""
        if self.view.own.state is members.State.ALIVE:
            self.view.announce(members.State.LEAVING)
            self._prober.probe_random(LEAVE_PROBES)

    def stop(self) -> None:
        """Tells peers that this instance has left, and ends its jobs."""
        if self._job is not None:
            self._job.cancel()
        self.view.announce(members.State.LEFT)
        self._prober.probe_random(LEAVE_PROBES)
        self._peers.close()

    def set_document_provider(self, serve_body: DocumentProvider) -> None:
        """Sets what answers a pull of a service's document."""
        self._serve_body = serve_body

    def fetch_document(
        self, peer_address: str, service: str
    ) -> result.Result[DocumentBody, transport.PeerError]:
        """Returns a service's document from another instance."""
        request = peers_pb2.Fetch(service=service)
        called = self._peers.call(
            peer_address,
            transport.Method.FETCH,
            request.SerializeToString(),
            FETCH_TIMEOUT_S,
        )
        return called.bind(lambda data: _to_body(peer_address, service, data))

    def handle_forwards(self, name: str, handler: ForwardHandler) -> None:
        """Registers what answers calls that are forwarded under a name.

        The handler raises :class:`transport.CallRefused` for a body that
        it did not run.
        """
        self._forward_by_name[name] = handler

    def forward(
        self, peer_address: str, name: str, body: bytes, timeout_s: float
    ) -> result.Result[bytes, transport.PeerError]:
        """Runs a named handler at another instance.

        Only :class:`transport.PeerNotSent` and
        :class:`transport.PeerRefused` say that it did not run.
        """
        request = peers_pb2.Forward(handler=name, body=body)
        called = self._peers.call(
            peer_address,
            transport.Method.FORWARD,
            request.SerializeToString(),
            timeout_s,
        )
        return called.bind(lambda data: _to_answer_body(peer_address, data))

    def handle(self, method: transport.Method, request: bytes) -> bytes:
        """Answers one call; raises ``CallRefused`` for what it did not."""
        if method is transport.Method.FORWARD:
            return self._handle_forward(request).SerializeToString()
        try:
            return self._answer(method, request).SerializeToString()
        except ValueError as error:
            self._metrics.count('peers.refused.malformed')
            raise transport.CallRefused(str(error)) from error

    def _answer(
        self, method: transport.Method, request: bytes
    ) -> message.Message:
        if method is transport.Method.PROBE:
            probe = encodings.parse(peers_pb2.Probe, request)
            return self._handle_probe(probe)
        if method is transport.Method.PROBE_VIA:
            via = encodings.parse(peers_pb2.ProbeVia, request)
            return self._prober.handle_probe_via(via)
        if method is transport.Method.SYNC:
            sync = encodings.parse(peers_pb2.Sync, request)
            return self._prober.handle_sync(sync)
        if method is transport.Method.NOTICE:
            notice = encodings.parse(peers_pb2.Notice, request)
            return self._exchange.handle_notice(notice)
        fetch = encodings.parse(peers_pb2.Fetch, request)
        return self._handle_fetch(fetch)

    def _handle_probe(self, probe: peers_pb2.Probe) -> peers_pb2.ProbeAnswer:
        answer = self._prober.handle_probe(probe)
        if probe.HasField('pull'):
            pulled = self._exchange.handle_pull(
                probe.sender.instance_id, probe.pull
            )
            answer.pulled.CopyFrom(pulled)
        return answer

    def _handle_fetch(self, fetch: peers_pb2.Fetch) -> peers_pb2.FetchAnswer:
        body = self._serve_body(fetch.service)
        if body is None:
            return peers_pb2.FetchAnswer(found=False)
        return peers_pb2.FetchAnswer(
            found=True, revision=body.revision, value=body.value
        )

    def _handle_forward(self, request: bytes) -> peers_pb2.ForwardAnswer:
        """Runs a registered handler; only its own refusal says "not run"."""
        try:
            forward = encodings.parse(peers_pb2.Forward, request)
        except encodings.MalformedError as error:
            raise transport.CallRefused(str(error)) from error
        handler = self._forward_by_name.get(forward.handler)
        if handler is None:
            raise transport.CallRefused(
                f'no handler is named {forward.handler!r}'
            )
        return peers_pb2.ForwardAnswer(body=handler(forward.body))

    def _seeds(self) -> Iterable[str]:
        return (*self._settings.seeds, *self._list_addresses())


def _to_body(
    peer_address: str, service: str, data: bytes
) -> result.Result[DocumentBody, transport.PeerError]:
    try:
        answer = encodings.parse(peers_pb2.FetchAnswer, data)
    except encodings.MalformedError as error:
        return result.Failure(
            transport.MessageMalformed(peer_address, str(error))
        )
    if not answer.found:
        return result.Failure(DocumentUnknown(peer_address, service))
    return result.Success(DocumentBody(answer.revision, answer.value))


def _to_answer_body(
    peer_address: str, data: bytes
) -> result.Result[bytes, transport.PeerError]:
    try:
        answer = encodings.parse(peers_pb2.ForwardAnswer, data)
    except encodings.MalformedError as error:
        return result.Failure(
            transport.MessageMalformed(peer_address, str(error))
        )
    return result.Success(answer.body)
