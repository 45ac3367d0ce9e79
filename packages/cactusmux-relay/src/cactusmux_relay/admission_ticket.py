"""The terms on which a stream was admitted."""

import abc

from . import path_choice


class Ticket(abc.ABC):
    """The terms of one stream, from admission to its end."""

    @abc.abstractmethod
    def demand(self, demand: path_choice.Demand) -> path_choice.Demand:
        """Returns the demand to choose its first path by.

        :param demand: of the request, without admission by urgency.
        """

    @abc.abstractmethod
    def path_wait_s(self, usual_s: float) -> float:
        """Returns for how many seconds it may look for its first path."""

    @abc.abstractmethod
    def retry_after_s(self, usual_s: float) -> float:
        """Returns the ``Retry-After`` if no target ran it, in seconds."""

    @property
    @abc.abstractmethod
    def repeats_kept(self) -> float:
        """Returns the share of the retry budget that it leaves to others."""

    @abc.abstractmethod
    def set_resuming(self, is_resuming: bool) -> None:
        """Notes whether it looks for another path after it has begun."""

    @abc.abstractmethod
    def release(self, has_run: bool) -> None:
        """Gives back the room of the stream; later calls do nothing.

        :param has_run: whether a target has run it.
        """


class Unranked(Ticket):
    """Ticket for services all of whose routes have the same urgency."""

    def demand(self, demand: path_choice.Demand) -> path_choice.Demand:
        return demand

    def path_wait_s(self, usual_s: float) -> float:
        return usual_s

    def retry_after_s(self, usual_s: float) -> float:
        return usual_s

    @property
    def repeats_kept(self) -> float:
        return 0.0

    def set_resuming(self, is_resuming: bool) -> None:
        pass

    def release(self, has_run: bool) -> None:
        pass


UNRANKED = Unranked()
