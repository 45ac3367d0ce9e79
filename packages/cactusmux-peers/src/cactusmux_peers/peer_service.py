"""Peer service of an instance: membership, soft state and peer calls."""

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
    """Location of this instance, and peers through which it joins.

    Clients connect to ``address``; ``seeds`` are peer addresses.
    """

    address: str
    region: str
    zone: str
    seeds: tuple[str, ...] = ()


class DocumentBody(NamedTuple):
    """An encoded service document and its store revision."""

    revision: int
    value: bytes


class DocumentUnknown(transport.PeerError):
    """The peer does not have the document."""

    reason = 'peer_document_unknown'


DocumentProvider = Callable[[str], DocumentBody | None]
ForwardHandler = Callable[[bytes], bytes]


class PeerService:
    """Joins the fleet, maintains its view and exchanges soft state.

    :param list_addresses: returns the peer addresses in the platform's
        instance list, which lags; may return none.
    :param rng: random source for the order of probes and pulls; tests seed
        it to make runs repeatable.
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
            self.view, peers, self._join_addresses, timer, metrics, self._rng
        )
        gossip_peers = neighbours.Neighbours(self.view, self._rng)
        self._exchange = exchange.Exchange(
            gossip_peers, self.soft_state, peers, timer, metrics
        )
        self._rounds = rounds.Rounds(
            self._prober, self._exchange, gossip_peers, self.soft_state
        )
        self._serve_body: DocumentProvider = lambda service: None
        self._forward_handler_by_name: dict[str, ForwardHandler] = {}
        self._job: timers.Subscription | None = None

    @property
    def instance_id(self) -> str:
        """The id of this instance, generated when the process starts."""
        return self.view.own.instance_id

    def start(self) -> None:
        """Starts the server, joins through seeds and starts gossiping."""
        self._peers.serve(self.handle)
        for _ in range(JOIN_ATTEMPTS):
            if len(self.view.live()) > 1:
                break
            self._prober.rejoin()
        self._job = self._timer.every(probing.PERIOD_S, self._rounds.tick)

    def leave(self) -> None:
        """Announces that this instance will stop; it keeps running."""
        if self.view.own.state is members.State.ALIVE:
            self.view.announce(members.State.LEAVING)
            self._prober.probe_random(LEAVE_PROBES)

    def stop(self) -> None:
        """Announces that this instance has left, and stops the service."""
        if self._job is not None:
            self._job.cancel()
        self.view.announce(members.State.LEFT)
        self._prober.probe_random(LEAVE_PROBES)
        self._peers.close()

    def set_document_provider(self, serve_body: DocumentProvider) -> None:
        """Sets the function that returns documents for fetch calls."""
        self._serve_body = serve_body

    def fetch_document(
        self, peer_address: str, service: str
    ) -> result.Result[DocumentBody, transport.PeerError]:
        """Fetches the document of a service from another instance."""
        request = peers_pb2.Fetch(service=service)
        called = self._peers.call(
            peer_address,
            transport.Method.FETCH,
            request.SerializeToString(),
            FETCH_TIMEOUT_S,
        )
        return called.bind(
            lambda data: _decode_document(peer_address, service, data)
        )

    def handle_forwards(self, name: str, handler: ForwardHandler) -> None:
        """Registers the handler of calls forwarded under a name.

        The handler raises :class:`transport.CallRefused` if it did not
        run the call.
        """
        self._forward_handler_by_name[name] = handler

    def forward(
        self, peer_address: str, name: str, body: bytes, timeout_s: float
    ) -> result.Result[bytes, transport.PeerError]:
        """Runs a named handler on another instance.

        Only :class:`transport.PeerNotSent` and
        :class:`transport.PeerRefused` guarantee that it did not run.
        """
        request = peers_pb2.Forward(handler=name, body=body)
        called = self._peers.call(
            peer_address,
            transport.Method.FORWARD,
            request.SerializeToString(),
            timeout_s,
        )
        return called.bind(
            lambda data: _decode_forward_answer(peer_address, data)
        )

    def handle(self, method: transport.Method, request: bytes) -> bytes:
        """Handles one call; raises ``CallRefused`` if it did not run."""
        if method is transport.Method.FORWARD:
            return self._handle_forward(request).SerializeToString()
        try:
            return self._dispatch(method, request).SerializeToString()
        except ValueError as error:
            self._metrics.count('peers.refused.malformed')
            raise transport.CallRefused(str(error)) from error

    def _dispatch(
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
        """Runs a registered handler.

        Once the handler has started, only its own ``CallRefused`` means
        that the call did not run.
        """
        try:
            forward = encodings.parse(peers_pb2.Forward, request)
        except encodings.MalformedError as error:
            raise transport.CallRefused(str(error)) from error
        handler = self._forward_handler_by_name.get(forward.handler)
        if handler is None:
            raise transport.CallRefused(
                f'no handler is named {forward.handler!r}'
            )
        return peers_pb2.ForwardAnswer(body=handler(forward.body))

    def _join_addresses(self) -> Iterable[str]:
        return (*self._settings.seeds, *self._list_addresses())


def _decode_document(
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


def _decode_forward_answer(
    peer_address: str, data: bytes
) -> result.Result[bytes, transport.PeerError]:
    try:
        answer = encodings.parse(peers_pb2.ForwardAnswer, data)
    except encodings.MalformedError as error:
        return result.Failure(
            transport.MessageMalformed(peer_address, str(error))
        )
    return result.Success(answer.body)
