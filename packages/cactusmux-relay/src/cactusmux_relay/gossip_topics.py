"""What a part of one instance tells the same part of the others."""

import abc


class GossipTopic(abc.ABC):
    """A part's share of the news, which the part encodes by itself.

    It goes with each of an instance's datagrams, twice a second, so it must
    stay small: a few hundred bytes. Datagrams are lost, doubled and late, and
    in a large fleet each goes to a sample of the others.

    :ivar name: the same on all instances.
    """

    name: str

    @abc.abstractmethod
    def own(self) -> bytes:
        """Returns what the others are to know now, empty for nothing."""

    @abc.abstractmethod
    def take(self, sender: str, data: bytes) -> None:
        """Takes what the instance named ``sender`` told.

        Raises :class:`msgspec.MsgspecError` for what can't be decoded.
        """
