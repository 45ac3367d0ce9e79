"""Gossip between instances in UDP datagrams: loads, revisions, failures.

The state is soft: a lost datagram only makes it older. A revision ahead of
the own mirror shows which peer has a newer copy while the store doesn't
answer. In a large fleet each message goes to a new random sample of peers, so
that the cost of an instance doesn't grow with the fleet.

Log events and the wire format call a gossip message "news".
"""

from collections.abc import Callable
import random

from cactusmux_base import decoding
from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import stores
from gevent import server
from gevent import socket
import msgspec

from . import deltas
from . import gossip_senders
from . import targets

PERIOD_S = 0.25
# An unchanged message is sent again after this time, as a heartbeat.
HEARTBEAT_PERIOD_S = 0.5
MAX_DATAGRAM_BYTES = 60_000
# Larger deltas would fill small links; a packed copy is smaller.
MAX_DELTA_BYTES = 16000
# With more peers than this, messages go to a sample of them.
MAX_BROADCAST_PEERS = 12
SAMPLE_SIZE = 8
SAMPLE_PERIOD_S = 0.5
# In a large fleet each instance hears about 8 peers per sample period.
ISOLATED_S = 1.0


class GossipMessage(msgspec.Struct, array_like=True, frozen=True, tag='news'):
    """The state that an instance sends to its peers.

    :ivar changed_by_prefix: revision of the last change in each mirror.
    :ivar tokens_by_target: tokens in flight from this instance;
        ``requests_by_target`` and ``pipe_tokens`` likewise for requests and
        for the tokens a second between two zones.
    :ivar down: ids of targets that it found down.
    :ivar pace_by_target: slowdown factors of targets that it found slow.
    :ivar refused: keys of requests that it has just refused.
    :ivar leaving: starts of targets that announced their shutdown.
    :ivar data_by_topic: encoded data of topics, see :mod:`gossip_topics`.
    :ivar era_by_prefix: eras of the revisions in ``changed_by_prefix``, where
        they aren't 0; builds without eras leave it out.
    """

    name: str
    is_stopping: bool
    changed_by_prefix: dict[str, int]
    tokens_by_target: dict[str, int]
    requests_by_target: dict[str, int]
    pipe_tokens: dict[str, int]
    down: list[str]
    pace_by_target: dict[str, float]
    refused: list[int] = []
    leaving: list[targets.Start] = []
    data_by_topic: dict[str, bytes] = {}
    era_by_prefix: dict[str, int] = {}

    @property
    def last_change_by_prefix(self) -> dict[str, stores.Position]:
        """Position of the last change in each mirror."""
        return {
            prefix: stores.Position(
                self.era_by_prefix.get(prefix, 0), revision
            )
            for prefix, revision in self.changed_by_prefix.items()
        }


class _DatagramServer(server.DatagramServer):
    """Receives whole datagrams; gevent's server truncates them to 8 KiB."""

    def do_read(self) -> tuple[bytes, tuple[str, int]] | None:
        try:
            return self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return None


def _is_never_listed(_name: str) -> bool:
    return False


class SoftExchange:
    """Sends gossip to peers and passes on what they send.

    :param build_message: returns the message to send.
    :param peers: returns the peers' addresses.
    :param on_message: called with each message received.
    :param on_delta: called with each delta received.
    :param is_listed: returns whether an instance of this name is listed.
    """

    def __init__(
        self,
        address: str,
        timer: timers.TimerService,
        build_message: Callable[[], GossipMessage],
        peers: Callable[[], list[str]],
        on_message: Callable[[GossipMessage], None],
        rng: random.Random,
        on_delta: Callable[[deltas.Delta], None] = deltas.ignore,
        is_listed: Callable[[str], bool] = _is_never_listed,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._timer = timer
        self._build_message = build_message
        self._peers = peers
        self._on_message = on_message
        self._on_delta = on_delta
        self._rng = rng
        self._server = _DatagramServer((host, int(port)), self._receive)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = decoding.Decoder[GossipMessage | deltas.Delta](
            msgspec.msgpack.Decoder(GossipMessage | deltas.Delta)
        )
        self._last_sent = b''
        self._sent_at = 0.0
        self._senders = gossip_senders.GossipSenders(timer, is_listed)
        self._heard_at = 0.0

    def start(self) -> None:
        """Starts receiving, and sending periodically."""
        self._heard_at = self._timer.now()
        self._server.start()
        self._timer.every(PERIOD_S, self.send)

    @property
    def heard_at_by_name(self) -> dict[str, float]:
        """When each instance was last heard from."""
        return self._senders.heard_at_by_name

    @property
    def port(self) -> int:
        """The UDP port, once started."""
        return self._server.server_port

    def send_to(self, addresses: list[str]) -> None:
        """Sends the current message to these peers, even if unchanged."""
        self._send(addresses, is_forced=True)

    @property
    def is_isolated(self) -> bool:
        """Whether no peer has been heard from for :data:`ISOLATED_S`."""
        return self._timer.now() - self._heard_at > ISOLATED_S

    def send(self) -> None:
        """Sends a message if it has changed or a heartbeat is due."""
        now = self._timer.now()
        peers = self._peers()
        if len(peers) > MAX_BROADCAST_PEERS:
            if now - self._sent_at < SAMPLE_PERIOD_S:
                return
            peers = self._rng.sample(peers, SAMPLE_SIZE)
        self._send(peers)

    def _send(self, peers: list[str], is_forced: bool = False) -> None:
        now = self._timer.now()
        message = self._build_message()
        data = self._encoder.encode(message)
        is_unchanged = data == self._last_sent and not is_forced
        if is_unchanged and now - self._sent_at < HEARTBEAT_PERIOD_S:
            return
        self._senders.record(message.name)
        self._last_sent = data
        self._sent_at = now
        if len(data) > MAX_DATAGRAM_BYTES:
            events.warning('news_too_long', size=len(data))
            return
        for address in peers:
            self._send_to(data, address)

    def send_delta(self, delta: deltas.Delta, addresses: list[str]) -> None:
        """Sends a delta; if it is lost, later gossip reveals the change."""
        if not addresses:
            return
        data = self._encoder.encode(delta)
        if len(data) > MAX_DELTA_BYTES:
            events.info('delta_too_long', prefix=delta.prefix, size=len(data))
            return
        for address in addresses:
            self._send_to(data, address)

    def _send_to(self, data: bytes, address: str) -> None:
        """Sends to one peer; a failure doesn't keep the others from it."""
        host, _, port = address.rpartition(':')
        try:
            self._server.sendto(data, (host, int(port)))
        except (OSError, ValueError, OverflowError) as error:
            events.info('news_not_sent', peer=address, cause=str(error))

    def _receive(self, data: bytes, _peer: socket.socket) -> None:
        try:
            message = self._decoder.decode(data)
        except decoding.Unreadable:
            events.warning('news_unreadable', size=len(data))
            return
        self._heard_at = self._timer.now()
        if isinstance(message, deltas.Delta):
            self._on_delta(message)
            return
        if self._senders.record(message.name):
            self._on_message(message)
