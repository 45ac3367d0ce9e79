"""Interface for components that exchange their own data by gossip."""

import abc


class GossipTopic(abc.ABC):
    """A component's section of a gossip message, encoded by the component.

    It is part of every datagram of an instance, twice a second, so it must
    stay small: a few hundred bytes. Datagrams may be lost, duplicated or
    delayed, and in a large fleet each goes to a sample of the peers.

    :ivar name: key of the section; the same on all instances.
    """

    name: str

    @abc.abstractmethod
    def own(self) -> bytes:
        """Returns the encoded data for peers; empty if there is none."""

    @abc.abstractmethod
    def take(self, sender: str, data: bytes) -> None:
        """Handles data from the instance named ``sender``.

        :raises decoding.Unreadable: if the data can't be decoded.
        """
