"""Documents in force of several instances, linked in one process."""

from cactusmux_control import document_sources
from cactusmux_control import in_force
from returns import result

WATCHERS_PER_ZONE = 2


class DocumentLinks:
    """All linked instances; ``cut`` holds addresses without connectivity."""

    def __init__(self) -> None:
        self.zone_by_address: dict[str, str] = {}
        self.documents_by_address: dict[str, in_force.DocumentsInForce] = {}
        self.cut: set[str] = set()

    def peers_of(self, address: str) -> list[str]:
        """Returns the addresses that ``address`` can reach, sorted."""
        if address in self.cut:
            return []
        return [
            other
            for other in sorted(self.documents_by_address)
            if other != address and other not in self.cut
        ]

    def send_revisions(self, from_address: str, to_address: str) -> None:
        """Sends the revisions of one instance to another that it reaches."""
        if to_address not in self.peers_of(from_address):
            return
        revisions = self.documents_by_address[
            from_address
        ].revision_by_service()
        receiver = self.documents_by_address[to_address]
        receiver.record_peer_revisions(from_address, revisions)

    def send_all_revisions(self) -> None:
        """Sends the revisions of every instance to all that it reaches."""
        for address in sorted(self.documents_by_address):
            for other in self.peers_of(address):
                self.send_revisions(address, other)


class LinkedPeers(document_sources.DocumentPeers, document_sources.WatchRole):
    """The peers and members that one linked instance sees."""

    def __init__(self, links: DocumentLinks, address: str, zone: str) -> None:
        self._links = links
        self._address = address
        self._zone = zone
        links.zone_by_address[address] = zone

    def fetch_body(
        self, peer_address: str, service: str
    ) -> result.Result[
        document_sources.DocumentBody, document_sources.BodyUnavailable
    ]:
        body: document_sources.DocumentBody | None = None
        if peer_address in self._links.peers_of(self._address):
            peer = self._links.documents_by_address[peer_address]
            body = peer.body(service)
        if body is not None:
            return result.Success(body)
        return result.Failure(
            document_sources.BodyUnavailable(peer_address, service)
        )

    def is_watcher(self) -> bool:
        return self._address in self._zone_members()[:WATCHERS_PER_ZONE]

    def zone_size(self) -> int:
        return len(self._zone_members())

    def _zone_members(self) -> list[str]:
        zone_by_address = self._links.zone_by_address
        reached = [self._address, *self._links.peers_of(self._address)]
        return sorted(a for a in reached if zone_by_address[a] == self._zone)
