"""Peers that announced document revisions wanted by this instance."""

from collections.abc import Callable, Mapping
import random

IsWanted = Callable[[str, int], bool]


class PeerRevisions:
    """Keeps announced revisions while they are wanted.

    ``is_wanted`` returns whether a revision of a service should be fetched.
    """

    def __init__(self, is_wanted: IsWanted, rng: random.Random) -> None:
        self._is_wanted = is_wanted
        self._rng = rng
        self._revision_by_peer_by_service: dict[str, dict[str, int]] = {}

    def record(
        self, peer_address: str, revision_by_service: Mapping[str, int]
    ) -> bool:
        """Replaces the revisions that a peer announced before.

        Returns whether any of the new ones is wanted.
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
        """Drops the revision that a peer announced for a service."""
        revision_by_peer = self._revision_by_peer_by_service.get(service, {})
        revision_by_peer.pop(peer_address, None)

    def wanted_services(self) -> list[str]:
        """Returns services with a wanted revision at any peer."""
        for service in tuple(self._revision_by_peer_by_service):
            self._drop_unwanted(service)
        return sorted(self._revision_by_peer_by_service)

    def is_any_wanted(self) -> bool:
        """Returns whether a peer has a wanted revision of any service."""
        return any(
            self._is_wanted(service, revision)
            for service, by_peer in self._revision_by_peer_by_service.items()
            for revision in by_peer.values()
        )

    def choose_peer(self, service: str) -> str | None:
        """Returns a random peer that has the newest wanted revision.

        Returns ``None`` if no peer has a wanted one.
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
