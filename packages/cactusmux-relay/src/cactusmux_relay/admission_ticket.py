"""What a stream was granted when it was let begin."""

import abc

from . import path_choice


class Ticket(abc.ABC):
    """Conditions under which one stream begins and goes on."""

    @abc.abstractmethod
    def demand(self, demand: path_choice.Demand) -> path_choice.Demand:
        """Returns the demand by which its first path is chosen."""

    @abc.abstractmethod
    def path_wait_s(self, usual_s: float) -> float:
        """Returns for how long it may look for its first path."""

    @abc.abstractmethod
    def retry_after_s(self, usual_s: float) -> float:
        """Returns when its caller is to return if it can't be served."""

    @property
    @abc.abstractmethod
    def repeats_kept(self) -> float:
        """Returns which share of the repeats it leaves to others."""

    @abc.abstractmethod
    def set_resuming(self, is_resuming: bool) -> None:
        """Notes whether it has begun and looks for another path."""

    @abc.abstractmethod
    def release(self, has_run: bool) -> None:
        """Ends the stream; later calls do nothing."""


class Unranked(Ticket):
    """That of a service all of whose routes have the same urgency."""

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
