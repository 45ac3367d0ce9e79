"""Connects documents in force with the gossip between instances."""

from cactusmux_base import timers
from cactusmux_peers import assignments
from cactusmux_peers import peer_service
from returns import result

from . import document_sources
from . import documents
from . import in_force

RECORD_PERIOD_S = 2.0


class PeerDocuments(
    document_sources.DocumentPeers, document_sources.WatchRole
):
    """Fetches bodies from peers and determines the zone's watchers."""

    def __init__(self, peers: peer_service.PeerService) -> None:
        self._peers = peers
        self._duties = assignments.JobAssignments(peers.view)

    def fetch_body(
        self, peer_address: str, service: str
    ) -> result.Result[
        document_sources.DocumentBody, document_sources.BodyUnavailable
    ]:
        fetched = self._peers.fetch_document(peer_address, service)
        body = fetched.value_or(None)
        if body is None:
            return result.Failure(
                document_sources.BodyUnavailable(peer_address, service)
            )
        return result.Success(
            document_sources.DocumentBody(service, body.revision, body.value)
        )

    def is_watcher(self) -> bool:
        return self._duties.is_watcher()

    def zone_size(self) -> int:
        own = self._peers.view.own
        members = self._peers.view.live()
        return sum(member.zone == own.zone for member in members)


class DocumentExchange:
    """Announces revisions to peers and records those that they announce."""

    def __init__(
        self,
        held: in_force.DocumentsInForce,
        peers: peer_service.PeerService,
        timer: timers.TimerService,
    ) -> None:
        self._held = held
        self._peers = peers
        self._timer = timer
        self._job: timers.Subscription | None = None

    def start(self) -> None:
        """Starts serving bodies, and announcing and recording revisions."""
        self._peers.set_document_provider(self._serve_body)
        self._held.subscribe(self._publish)
        self._job = self._timer.every(RECORD_PERIOD_S, self.take)

    def stop(self) -> None:
        """Stops recording; bodies are served while the peer service runs."""
        if self._job is not None:
            self._job.cancel()

    def take(self) -> None:
        """Records the revisions that live members have announced."""
        own_id = self._peers.instance_id
        for member in self._peers.soft_state.members():
            # No revisions are known yet of a member that has just joined.
            if member.instance_id != own_id and member.revision_by_service:
                self._held.record_peer_revisions(
                    member.peer_address, member.revision_by_service
                )

    def _publish(self, service: str, published: documents.InForce) -> None:
        self._peers.soft_state.publish_revisions({service: published.revision})

    def _serve_body(self, service: str) -> peer_service.DocumentBody | None:
        body = self._held.body(service)
        if body is None:
            return None
        return peer_service.DocumentBody(body.store_revision, body.value)
