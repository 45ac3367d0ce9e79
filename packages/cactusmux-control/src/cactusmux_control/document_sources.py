"""What documents in force need from the other instances."""

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
    """A stored document as instances pass it on.

    ``store_revision`` is the store's revision of ``value``, the envelope as
    it is in the store.
    """

    service: str
    store_revision: int
    value: bytes


class BodyUnavailable(failures.CactusmuxError):
    """A peer did not answer, or does not have the document."""

    reason = 'document_body_unavailable'

    def __init__(self, peer_address: str, service: str) -> None:
        super().__init__(f'{peer_address} gave no document {service!r}')
        self.peer_address = peer_address
        self.service = service


class DocumentPeers(abc.ABC):
    """Fetches document bodies from other instances; calls block."""

    @abc.abstractmethod
    def fetch_body(
        self, peer_address: str, service: str
    ) -> result.Result[DocumentBody, BodyUnavailable]:
        """Returns the body that a peer has in force; has a deadline."""


class WatchRole(abc.ABC):
    """Tells what this instance does for its availability zone."""

    @abc.abstractmethod
    def is_watcher(self) -> bool:
        """Tells whether this instance is to hold a waiting watch.

        All members of a zone have to choose the same few, and one that sees
        no other member has to choose itself.
        """

    @abc.abstractmethod
    def zone_size(self) -> int:
        """Returns how many live members the zone has, this one too."""


class NoPeers(DocumentPeers, WatchRole):
    """Stands for the others of an instance that runs alone."""

    def fetch_body(
        self, peer_address: str, service: str
    ) -> result.Result[DocumentBody, BodyUnavailable]:
        return result.Failure(BodyUnavailable(peer_address, service))

    def is_watcher(self) -> bool:
        return True

    def zone_size(self) -> int:
        return 1
