"""Retry-After times that spread rejected callers over time."""

import random

from cactusmux_base import timers

from . import demand

MIN_DELAY_S = 0.5
MAX_DELAY_S = 60.0
JITTER = 0.25
MAX_LEAVES = 4096


class RetryAfterSchedule:
    """Gives each rejected caller of an organisation a later time slot.

    The slots follow each other at the rate at which the organisation is
    served, so that callers that follow Retry-After do not return all at once.

    :param rng: seeded source of randomness for jitter.
    """

    def __init__(self, timer: timers.TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._next_at_by_leaf: dict[demand.Leaf, float] = {}

    def reserve(
        self, leaf: demand.Leaf, wait_s: float, service_s: float
    ) -> float:
        """Reserves the next slot and returns the seconds until then.

        :param wait_s: predicted wait of a request that arrives now.
        :param service_s: time that the request takes at the organisation's
            rate.
        """
        now = self._timer.now()
        slot_at = max(self._next_at_by_leaf.pop(leaf, 0.0), now + wait_s / 2)
        slot_at = min(slot_at + service_s, now + MAX_DELAY_S)
        self._next_at_by_leaf[leaf] = slot_at
        if len(self._next_at_by_leaf) > MAX_LEAVES:
            del self._next_at_by_leaf[next(iter(self._next_at_by_leaf))]
        delay_s = max(slot_at - now, MIN_DELAY_S)
        return delay_s * self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
