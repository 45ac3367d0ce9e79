"""Fetches wanted document bodies from the peers that announced them."""

from collections.abc import Callable, Mapping
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from returns import result

from . import document_sources
from . import peer_revisions

PULL_DELAY_S = 0.2
PULL_TRIES = 3

OfferBody = Callable[[document_sources.DocumentBody], None]


class DocumentPull:
    """Fetches wanted bodies from peers and passes them to ``offer_body``.

    Counters: ``documents.pulls`` and ``documents.pulls_failed``.
    """

    def __init__(
        self,
        peers: document_sources.DocumentPeers,
        is_wanted: peer_revisions.IsWanted,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        offer_body: OfferBody,
    ) -> None:
        self._peers = peers
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._offer_body = offer_body
        self._peer_revisions = peer_revisions.PeerRevisions(is_wanted, rng)
        self._scheduled = False

    def record_revisions(
        self, peer_address: str, revision_by_service: Mapping[str, int]
    ) -> None:
        """Schedules a fetch if a peer has wanted revisions."""
        wanted = self._peer_revisions.record(peer_address, revision_by_service)
        if not wanted or self._scheduled:
            return
        self._scheduled = True
        # Jitter prevents a zone from fetching from one peer simultaneously.
        delay_s = self._rng.uniform(0.0, PULL_DELAY_S)
        self._timer.after(delay_s, self._run)

    def is_behind(self) -> bool:
        """Returns whether a peer has a wanted revision of any document."""
        return self._peer_revisions.is_any_wanted()

    def pull_once(self) -> None:
        """Fetches the newest body of each outdated document."""
        for service in self._peer_revisions.wanted_services():
            self._pull(service)

    def _run(self) -> None:
        try:
            self.pull_once()
        finally:
            self._scheduled = False

    def _pull(self, service: str) -> None:
        for _ in range(PULL_TRIES):
            peer_address = self._peer_revisions.choose_peer(service)
            if peer_address is None:
                return
            self._metric.count('documents.pulls')
            fetched = self._peers.fetch_body(peer_address, service)
            # A peer is asked once per announcement.
            self._peer_revisions.forget(peer_address, service)
            if isinstance(fetched, result.Success):
                self._accept(service, fetched.unwrap())
                continue
            self._metric.count('documents.pulls_failed')

    def _accept(
        self, service: str, body: document_sources.DocumentBody
    ) -> None:
        if body.service != service:
            self._metric.count('documents.pulls_failed')
            return
        self._offer_body(body)
