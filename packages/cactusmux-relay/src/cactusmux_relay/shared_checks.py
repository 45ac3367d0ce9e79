"""Spreads periodic checks of targets over the instances of a large fleet.

Otherwise every instance would check the same target: whether it is up again
and how slow it is. Gossip spreads the results, so a few checks per period
suffice, each time by other instances.
"""

from collections.abc import Callable
import random

# Number of instances that check within a period; gossip informs the others.
CHECKERS = 8
# Maximum time until an instance's next check, before jitter.
MAX_DELAY_S = 4.0
# Random jitter as a share of the delay, against checks in lockstep.
JITTER = 0.25

Instances = Callable[[], int]


def single_instance() -> int:
    """Returns 1, the size of a fleet of a single instance."""
    return 1


class SharedPeriod:
    """Computes the delay until an instance's next check.

    :param period_s: period in a fleet of at most :data:`CHECKERS` instances.
    :param instances: returns how many instances share the checks.
    """

    def __init__(
        self, period_s: float, instances: Instances, rng: random.Random
    ) -> None:
        self._period_s = period_s
        self._instances = instances
        self._rng = rng

    @property
    def is_shared(self) -> bool:
        """Whether peers check in place of this instance."""
        return self._instances() > CHECKERS

    def next_s(self) -> float:
        """Returns the delay in seconds until the next check."""
        if not self.is_shared:
            return self._period_s
        shared_s = self._period_s * self._instances() / CHECKERS
        longest_s = max(self._period_s, min(MAX_DELAY_S, shared_s))
        return longest_s * self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)

    def first_s(self) -> float:
        """Returns the delay until the first check, 0 if not shared.

        The delay is random because all instances learn of a target at the
        same moment.
        """
        if not self.is_shared:
            return 0.0
        return self.next_s() * self._rng.random()
