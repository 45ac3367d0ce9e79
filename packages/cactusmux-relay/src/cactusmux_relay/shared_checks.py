"""Spreads periodic checks of targets over the instances of a large fleet.

Each instance of a large fleet would ask the same question of the same target:
whether it is up again, how slow it is. The answers go round with the news, so
it is enough that a few instances ask, each time others.
"""

from collections.abc import Callable
import random

# This many instances ask within a period; the others learn from their news.
ASKERS = 8
# No instance waits longer than this for its turn, apart from the spread.
LONGEST_S = 4.0
# Turns vary at random by this share, so that instances don't keep in step.
SPREAD = 0.25

Instances = Callable[[], int]


def single_instance() -> int:
    """Returns the size of a fleet of one instance."""
    return 1


class SharedPeriod:
    """The time after which an instance has its next turn.

    :param period_s: of an instance whose fleet has no more than the askers.
    :param instances: how many instances share the work.
    """

    def __init__(
        self, period_s: float, instances: Instances, rng: random.Random
    ) -> None:
        self._period_s = period_s
        self._instances = instances
        self._rng = rng

    @property
    def is_shared(self) -> bool:
        """Whether others ask in this instance's place."""
        return self._instances() > ASKERS

    def next_s(self) -> float:
        """Returns the time until the next turn."""
        if not self.is_shared:
            return self._period_s
        shared_s = self._period_s * self._instances() / ASKERS
        longest_s = max(self._period_s, min(LONGEST_S, shared_s))
        return longest_s * self._rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)

    def first_s(self) -> float:
        """Returns the time until the first turn, 0 where work isn't shared.

        All instances get to know of the same target at the same moment.
        """
        if not self.is_shared:
            return 0.0
        return self.next_s() * self._rng.random()
