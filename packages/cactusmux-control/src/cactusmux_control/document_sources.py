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


class LiveMembers(abc.ABC):
    """The members that this instance holds to be alive."""

    @abc.abstractmethod
    def own_address(self) -> str:
        """Returns this instance's own peer address."""

    @abc.abstractmethod
    def zone_members(self) -> tuple[str, ...]:
        """Returns peer addresses of the own availability zone.

        They include the own one and leave out members that are leaving.
        """


class NoPeers(DocumentPeers, LiveMembers):
    """Stands for the others of an instance that runs alone."""

    def fetch_body(
        self, peer_address: str, service: str
    ) -> result.Result[DocumentBody, BodyUnavailable]:
        return result.Failure(BodyUnavailable(peer_address, service))

    def own_address(self) -> str:
        return 'alone'

    def zone_members(self) -> tuple[str, ...]:
        return (self.own_address(),)
