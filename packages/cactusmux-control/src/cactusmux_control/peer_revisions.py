"""Which peers told of which document revisions that are newer than ours."""

from collections.abc import Callable, Mapping
import random

KnownRevision = Callable[[str], int]


class PeerRevisions:
    """Remembers newer revisions until they are known here too.

    ``known_revision`` tells the highest revision of a service known here.
    """

    def __init__(
        self, known_revision: KnownRevision, rng: random.Random
    ) -> None:
        self._known_revision = known_revision
        self._rng = rng
        self._revision_by_peer_by_service: dict[str, dict[str, int]] = {}

    def note(
        self, peer_address: str, revision_by_service: Mapping[str, int]
    ) -> None:
        """Replaces what a peer told of before."""
        for service in tuple(self._revision_by_peer_by_service):
            self.forget(peer_address, service)
        for service, revision in revision_by_service.items():
            if revision <= self._known_revision(service):
                continue
            revision_by_peer = self._revision_by_peer_by_service.setdefault(
                service, {}
            )
            revision_by_peer[peer_address] = revision

    def forget(self, peer_address: str, service: str) -> None:
        """Takes back what a peer told of one service."""
        revision_by_peer = self._revision_by_peer_by_service.get(service, {})
        revision_by_peer.pop(peer_address, None)

    def wanted(self) -> list[str]:
        """Returns services of which a peer has a newer revision."""
        for service in tuple(self._revision_by_peer_by_service):
            self._drop_known(service)
        return sorted(self._revision_by_peer_by_service)

    def choose(self, service: str) -> str | None:
        """Returns any of the peers that have the newest revision.

        Returns ``None`` when none has a newer one than is known here.
        """
        self._drop_known(service)
        revision_by_peer = self._revision_by_peer_by_service.get(service)
        if not revision_by_peer:
            return None
        newest = max(revision_by_peer.values())
        holders = [p for p, r in revision_by_peer.items() if r == newest]
        return self._rng.choice(sorted(holders))

    def _drop_known(self, service: str) -> None:
        known = self._known_revision(service)
        revision_by_peer = self._revision_by_peer_by_service.pop(service, {})
        newer = {p: r for p, r in revision_by_peer.items() if r > known}
        if newer:
            self._revision_by_peer_by_service[service] = newer
