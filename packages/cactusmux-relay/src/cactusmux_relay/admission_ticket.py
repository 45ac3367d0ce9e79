"""Conditions under which a stream was admitted."""

import abc

from . import path_choice


class Ticket(abc.ABC):
    """Conditions for one stream, from admission to its end."""

    @abc.abstractmethod
    def restricted_demand(
        self, demand: path_choice.Demand
    ) -> path_choice.Demand:
        """Returns the demand for the choice of the stream's first path.

        :param demand: the request's demand before admission by urgency.
        """

    @abc.abstractmethod
    def path_wait_s(self, usual_s: float) -> float:
        """Returns the maximum time to search for its first path, in seconds.

        :param usual_s: the time without admission by urgency.
        """

    @abc.abstractmethod
    def retry_after_s(self, usual_s: float) -> float:
        """Returns the ``Retry-After`` if no target ran it, in seconds.

        :param usual_s: the value without admission by urgency.
        """

    @property
    @abc.abstractmethod
    def reserved_retry_share(self) -> float:
        """Returns the fraction of the retry budget it leaves to others."""

    @abc.abstractmethod
    def set_resuming(self, is_resuming: bool) -> None:
        """Records whether it has lost its path and searches for another."""

    @abc.abstractmethod
    def release(self, has_run: bool) -> None:
        """Releases the capacity of the stream; later calls do nothing.

        :param has_run: whether a target has run it.
        """


class UnrankedTicket(Ticket):
    """Ticket of a service whose routes all have the same urgency."""

    def restricted_demand(
        self, demand: path_choice.Demand
    ) -> path_choice.Demand:
        return demand

    def path_wait_s(self, usual_s: float) -> float:
        return usual_s

    def retry_after_s(self, usual_s: float) -> float:
        return usual_s

    @property
    def reserved_retry_share(self) -> float:
        return 0.0

    def set_resuming(self, is_resuming: bool) -> None:
        pass

    def release(self, has_run: bool) -> None:
        pass


UNRANKED_TICKET = UnrankedTicket()
