"""Interface between senders of requests and the rate limits of targets."""

import abc
from collections.abc import Iterable
import math

from . import targets


class SendLimits(abc.ABC):
    """Decides to which targets this instance may send a request now."""

    @abc.abstractmethod
    def record_request(self, service: str) -> None:
        """Records a request that looks for a target of a service."""

    @abc.abstractmethod
    def held_ids(self, service: str) -> frozenset[str]:
        """Returns ids of the targets of a service that get no request now."""

    @abc.abstractmethod
    def wait_s(self, target: targets.Target) -> float:
        """Returns when this instance may send to a target, in seconds.

        0 if it may now.
        """

    @abc.abstractmethod
    def turns_per_s(self, limited: Iterable[targets.Target]) -> float:
        """Returns how many requests a second this instance may send to these.

        Infinite if one of them has no limit.
        """

    @abc.abstractmethod
    def next_turn_s(self, limited: Iterable[targets.Target]) -> float:
        """Returns in how many seconds some instance may send to one of these.

        0 if one of them has no limit, or if there are none.
        """

    @abc.abstractmethod
    def take(self, target: targets.Target) -> bool:
        """Counts a request to a target; returns whether it may be sent."""


class UnlimitedSends(SendLimits):
    """Implementation without limits."""

    def record_request(self, service: str) -> None:
        pass

    def held_ids(self, service: str) -> frozenset[str]:
        return frozenset()

    def wait_s(self, target: targets.Target) -> float:
        return 0.0

    def turns_per_s(self, limited: Iterable[targets.Target]) -> float:
        return math.inf

    def next_turn_s(self, limited: Iterable[targets.Target]) -> float:
        return 0.0

    def take(self, target: targets.Target) -> bool:
        return True
