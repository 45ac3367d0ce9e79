"""Which peers told of document revisions that are wanted here."""

from collections.abc import Callable, Mapping
import random

IsWanted = Callable[[str, int], bool]


class PeerRevisions:
    """Remembers revisions until they are wanted no more.

    ``is_wanted`` tells whether a revision of a service should be fetched.
    """

    def __init__(self, is_wanted: IsWanted, rng: random.Random) -> None:
        self._is_wanted = is_wanted
        self._rng = rng
        self._revision_by_peer_by_service: dict[str, dict[str, int]] = {}

    def record(
        self, peer_address: str, revision_by_service: Mapping[str, int]
    ) -> bool:
        """Replaces what a peer told of before.

        Returns whether any of it is wanted.
        """
        for service in tuple(self._revision_by_peer_by_service):
            self.forget(peer_address, service)
        found = False
        for service, revision in revision_by_service.items():
            if not self._is_wanted(service, revision):
                continue
            revision_by_peer = self._revision_by_peer_by_service.setdefault(
                service, {}
            )
            revision_by_peer[peer_address] = revision
            found = True
        return found

    def forget(self, peer_address: str, service: str) -> None:
        """Takes back what a peer told of one service."""
        revision_by_peer = self._revision_by_peer_by_service.get(service, {})
        revision_by_peer.pop(peer_address, None)

    def wanted_services(self) -> list[str]:
        """Returns services of which a peer has a wanted revision."""
        for service in tuple(self._revision_by_peer_by_service):
            self._drop_unwanted(service)
        return sorted(self._revision_by_peer_by_service)

    def is_any_wanted(self) -> bool:
        """Tells whether a peer has a wanted revision of any service."""
        return any(
            self._is_wanted(service, revision)
            for service, by_peer in self._revision_by_peer_by_service.items()
            for revision in by_peer.values()
        )

    def choose_peer(self, service: str) -> str | None:
        """Returns any of the peers that have the newest wanted revision.

        Returns ``None`` when none has a wanted one.
        """
        self._drop_unwanted(service)
        revision_by_peer = self._revision_by_peer_by_service.get(service)
        if not revision_by_peer:
            return None
        newest = max(revision_by_peer.values())
        holders = [p for p, r in revision_by_peer.items() if r == newest]
        return self._rng.choice(sorted(holders))

    def _drop_unwanted(self, service: str) -> None:
        revision_by_peer = self._revision_by_peer_by_service.pop(service, {})
        wanted = {
            peer_address: revision
            for peer_address, revision in revision_by_peer.items()
            if self._is_wanted(service, revision)
        }
        if wanted:
            self._revision_by_peer_by_service[service] = wanted
