"""Soft news between instances, as datagrams: loads, revisions, suspicion.

Losing a datagram costs nothing but age. A change that is ahead of our
copy tells whom to ask for one while the store doesn't answer us. In a large
fleet each sending goes to a few instances drawn anew, so that an instance's
cost doesn't grow with the fleet.
"""

from collections.abc import Callable
import random

from cactusmux_base import events
from cactusmux_base import timers
from gevent import server
from gevent import socket
import msgspec

from . import deltas
from . import targets

PERIOD_S = 0.25
# Unchanged news are repeated this seldom, as a sign of life.
QUIET_PERIOD_S = 0.5
MAX_DATAGRAM_BYTES = 60_000
# Larger ones fill small links; a copy is smaller when packed.
MAX_DELTA_BYTES = 16000
# With more other instances than this, news go to a sample of them.
MAX_BROADCAST_PEERS = 12
SAMPLE_SIZE = 8
SAMPLE_PERIOD_S = 0.5
# In a large fleet each hears some eight others within a sample's period.
DEAF_S = 1.0


class GossipMessage(msgspec.Struct, array_like=True, frozen=True, tag='news'):
    """What an instance tells the others.

    :ivar changed_by_prefix: the last changes in its mirrors of the store.
    :ivar tokens_by_target: in flight from this instance, likewise requests.
    :ivar down: ids of targets that it found down.
    :ivar pace_by_target: of the targets that it found slow.
    :ivar refused: keys of requests that it has just refused.
    :ivar leaving: starts of targets that have said that they leave.
    :ivar data_by_topic: what single parts tell, see :mod:`gossip_topics`.
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


class _DatagramServer(server.DatagramServer):
    """Receives whole datagrams; gevent's own server cuts them at 8 KiB."""

    def do_read(self) -> tuple[bytes, tuple[str, int]] | None:
        try:
            return self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return None


class SoftExchange:
    """Sends our news to all other instances and hands on theirs.

    :param own_news: asked for at each sending.
    :param peers: addresses of the other instances.
    """

    def __init__(
        self,
        address: str,
        timer: timers.TimerService,
        own_news: Callable[[], GossipMessage],
        peers: Callable[[], list[str]],
        on_news: Callable[[GossipMessage], None],
        rng: random.Random,
        on_delta: Callable[[deltas.Delta], None] = deltas.ignore,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._timer = timer
        self._own_news = own_news
        self._peers = peers
        self._on_news = on_news
        self._on_delta = on_delta
        self._rng = rng
        self._server = _DatagramServer((host, int(port)), self._receive)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(GossipMessage | deltas.Delta)
        self._last_sent = b''
        self._sent_at = 0.0
        self.heard_at_by_name: dict[str, float] = {}
        self._heard_at = 0.0

    def start(self) -> None:
        """Begins to listen and to send."""
        self._heard_at = self._timer.now()
        self._server.start()
        self._timer.every(PERIOD_S, self.send)

    @property
    def port(self) -> int:
        """The port that is listened on, once started."""
        return self._server.server_port

    def send_to(self, addresses: list[str]) -> None:
        """Sends our news to these instances now, whoever has had them."""
        self._send(addresses, is_new=True)

    @property
    def is_isolated(self) -> bool:
        """Whether no other instance was heard of for a while."""
        return self._timer.now() - self._heard_at > DEAF_S

    def send(self) -> None:
        """Sends our news if they changed or it is time for a sign of life."""
        now = self._timer.now()
        peers = self._peers()
        if len(peers) > MAX_BROADCAST_PEERS:
            if now - self._sent_at < SAMPLE_PERIOD_S:
                return
            peers = self._rng.sample(peers, SAMPLE_SIZE)
        self._send(peers)

    def _send(self, peers: list[str], is_new: bool = False) -> None:
        now = self._timer.now()
        news = self._own_news()
        data = self._encoder.encode(news)
        is_known = data == self._last_sent and not is_new
        if is_known and now - self._sent_at < QUIET_PERIOD_S:
            return
        self.heard_at_by_name[news.name] = now
        self._last_sent = data
        self._sent_at = now
        if len(data) > MAX_DATAGRAM_BYTES:
            events.warning('news_too_long', size=len(data))
            return
        for address in peers:
            host, _, port = address.rpartition(':')
            self._send_to(data, (host, int(port)))

    def send_delta(self, delta: deltas.Delta, addresses: list[str]) -> None:
        """Sends what our watch has brought; lost ones show in the news."""
        if not addresses:
            return
        data = self._encoder.encode(delta)
        if len(data) > MAX_DELTA_BYTES:
            events.info('delta_too_long', prefix=delta.prefix, size=len(data))
            return
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._send_to(data, (host, int(port)))

    def _send_to(self, data: bytes, peer: tuple[str, int]) -> None:
        try:
            self._server.sendto(data, peer)
        except OSError as error:
            events.info('news_not_sent', peer=peer[0], cause=error.strerror)

    def _receive(self, data: bytes, _peer: socket.socket) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError:
            events.warning('news_unreadable', size=len(data))
            return
        self._heard_at = self._timer.now()
        if isinstance(message, deltas.Delta):
            self._on_delta(message)
            return
        self.heard_at_by_name[message.name] = self._heard_at
        self._on_news(message)
