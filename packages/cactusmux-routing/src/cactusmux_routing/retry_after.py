"""Retry-After times that spread refused callers over later places."""

import random

from cactusmux_base import timers

from . import demand

MIN_DELAY_S = 0.5
MAX_DELAY_S = 60.0
JITTER = 0.25
MAX_LEAVES = 4096


class RetryAfterSchedule:
    """Gives each refused caller of an organisation a later place.

    Places follow each other as fast as the organisation is served, so that
    callers who obey don't come back together.

    :param rng: seeded source of randomness for jitter.
    """

    def __init__(self, timer: timers.TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._next_at_by_leaf: dict[demand.Leaf, float] = {}

    def reserve(
        self, leaf: demand.Leaf, wait_s: float, service_s: float
    ) -> float:
        """Reserves the next place and returns the seconds until then.

        :param wait_s: predicted wait of one that comes now.
        :param service_s: seconds of the organisation's part that it takes.
        """
        now = self._timer.now()
        place = max(self._next_at_by_leaf.pop(leaf, 0.0), now + wait_s / 2)
        place = min(place + service_s, now + MAX_DELAY_S)
        self._next_at_by_leaf[leaf] = place
        if len(self._next_at_by_leaf) > MAX_LEAVES:
            del self._next_at_by_leaf[next(iter(self._next_at_by_leaf))]
        delay_s = max(place - now, MIN_DELAY_S)
        return delay_s * self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
