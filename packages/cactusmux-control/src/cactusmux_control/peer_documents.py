"""Connects documents in force with the exchange between instances."""

from cactusmux_base import timers
from cactusmux_peers import duties
from cactusmux_peers import peer_service
from returns import result

from . import document_sources
from . import documents
from . import in_force

RECORD_PERIOD_S = 2.0


class PeerDocuments(
    document_sources.DocumentPeers, document_sources.WatchRole
):
    """Fetches bodies from peers and tells who watches for the zone."""

    def __init__(self, peers: peer_service.PeerService) -> None:
        self._peers = peers
        self._duties = duties.JobAssignments(peers.view)

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
    """Tells peers what is in force here and takes what they tell."""

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
        """Serves bodies to peers and starts to tell and to take."""
        self._peers.serve_bodies(self._serve_body)
        self._held.subscribe(self._publish)
        self._job = self._timer.every(RECORD_PERIOD_S, self.take)

    def stop(self) -> None:
        """Stops to take; bodies are served as long as peers are."""
        if self._job is not None:
            self._job.cancel()

    def take(self) -> None:
        """Takes the revisions that live members have told of."""
        own_id = self._peers.instance_id
        for member in self._peers.soft_state.members():
            # Nothing is known yet of a member that has only joined.
            if member.instance_id != own_id and member.revision_by_service:
                self._held.record_peer_revisions(
                    member.peer_address, member.revision_by_service
                )

    def _publish(self, service: str, now: documents.InForce) -> None:
        self._peers.soft_state.publish_revisions({service: now.revision})

    def _serve_body(self, service: str) -> peer_service.Body | None:
        body = self._held.body(service)
        if body is None:
            return None
        return peer_service.Body(body.store_revision, body.value)
