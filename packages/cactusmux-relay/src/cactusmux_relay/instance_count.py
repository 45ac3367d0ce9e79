"""Number of instances that divide a common limit."""

import collections
from typing import NamedTuple

from cactusmux_base import timers


class _EarlierCount(NamedTuple):
    """An earlier, larger instance count and when it stops counting."""

    until: float
    instances: int


class InstanceCount:
    """The largest number of instances within a window.

    A smaller count takes effect one window later: the list may lack
    instances that are alive, and removed instances may have used their share.

    :param window_s: length of the window in which the limit is counted.
    """

    def __init__(self, timer: timers.TimerService, window_s: float) -> None:
        self._timer = timer
        self._window_s = window_s
        self._instances = 0
        self._earlier_counts: collections.deque[_EarlierCount] = (
            collections.deque()
        )

    def set(self, count: int) -> None:
        """Sets the number of instances in the list."""
        if count < self._instances:
            until = self._timer.now() + self._window_s
            self._earlier_counts.append(_EarlierCount(until, self._instances))
        self._instances = max(1, count)

    @property
    def value(self) -> int:
        """The number of instances; 0 before the first list."""
        now = self._timer.now()
        while self._earlier_counts and self._earlier_counts[0].until <= now:
            self._earlier_counts.popleft()
        counts = [each.instances for each in self._earlier_counts]
        return max([self._instances, *counts])
