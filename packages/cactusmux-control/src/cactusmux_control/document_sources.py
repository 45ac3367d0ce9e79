"""Interfaces to peers that documents in force depend on."""

import abc
import enum
from typing import NamedTuple

from cactusmux_base import failures
from returns import result


class Source(enum.StrEnum):
    """Where a document body came from."""

    STORE = 'store'
    PEER = 'peer'


class DocumentBody(NamedTuple):
    """A stored document as instances exchange it.

    ``store_revision`` is the store's revision of ``value``, the envelope as
    it is in the store.
    """

    service: str
    store_revision: int
    value: bytes


class BodyUnavailable(failures.CactusmuxError):
    """A peer did not respond, or does not have the document."""

    reason = 'document_body_unavailable'

    def __init__(self, peer_address: str, service: str) -> None:
        super().__init__(f'{peer_address} returned no document {service!r}')
        self.peer_address = peer_address
        self.service = service


class DocumentPeers(abc.ABC):
    """Fetches document bodies from other instances; calls block."""

    @abc.abstractmethod
    def fetch_body(
        self, peer_address: str, service: str
    ) -> result.Result[DocumentBody, BodyUnavailable]:
        """Returns the body in force at a peer; limited by a timeout."""


class WatchRole(abc.ABC):
    """The role of this instance in its availability zone."""

    @abc.abstractmethod
    def is_watcher(self) -> bool:
        """Returns whether this instance should watch the store.

        All members of a zone have to choose the same few watchers, and one
        that sees no other member has to choose itself.
        """

    @abc.abstractmethod
    def zone_size(self) -> int:
        """Returns the number of live members of the zone, including this."""


class NoPeers(DocumentPeers, WatchRole):
    """Implementation for an instance that runs without peers."""

    def fetch_body(
        self, peer_address: str, service: str
    ) -> result.Result[DocumentBody, BodyUnavailable]:
        return result.Failure(BodyUnavailable(peer_address, service))

    def is_watcher(self) -> bool:
        return True

    def zone_size(self) -> int:
        return 1
