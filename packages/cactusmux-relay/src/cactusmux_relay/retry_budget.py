"""Bounds repeats at a service over all instances, without a coordinator.

Each instance may repeat a fraction of the requests that it saw itself, and
its share of a fixed allowance. The windows are the users': the sum over all
instances stays below their ratio and allowance in any window.
"""

import collections
from typing import NamedTuple

from cactusmux_base import timers

# Kept free for instances that restart and forget what they have spent.
SAFETY_FACTOR = 0.85


class _EarlierCount(NamedTuple):
    """A larger number of instances, and until when it counts."""

    until: float
    instances: int


class RetryBudget:
    """Counts requests and repeats by service over a sliding window.

    :param ratio: repeats allowed a request.
    :param allowance: repeats allowed besides, over all instances.
    :param window_s: length of the window.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        ratio: float,
        allowance: float,
        window_s: float,
    ) -> None:
        self._timer = timer
        self._ratio = ratio * SAFETY_FACTOR
        self._allowance = allowance * SAFETY_FACTOR
        self._window_s = window_s
        # Unknown before the first list: no share of the allowance.
        self._instances = 0
        self._earlier_counts: collections.deque[_EarlierCount] = (
            collections.deque()
        )
        self._request_times: dict[str, collections.deque[float]] = {}
        self._retry_times: dict[str, collections.deque[float]] = {}

    def set_instances(self, count: int) -> None:
        """Sets over how many instances the allowance is shared.

        A smaller count is in force a window later: the list may lack
        instances that live, and those gone have spent their share.
        """
        now = self._timer.now()
        if count < self._instances:
            until = now + self._window_s
            self._earlier_counts.append(_EarlierCount(until, self._instances))
        self._instances = max(1, count)

    def note_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._recent_times(self._request_times, service).append(
            self._timer.now()
        )

    def has_left(self, service: str, kept: float = 0.0) -> bool:
        """Whether a repeat is allowed now.

        :param kept: share of what is allowed that is left to others.
        """
        requests = self._recent_times(self._request_times, service)
        retries = self._recent_times(self._retry_times, service)
        allowed = self._ratio * len(requests)
        instances = self._effective_instances()
        if instances:
            allowed += self._allowance / instances
        return len(retries) + 1 <= allowed * (1.0 - kept)

    def take(self, service: str) -> bool:
        """Counts a repeat if one is left; tells whether it is allowed."""
        if not self.has_left(service):
            return False
        retries = self._recent_times(self._retry_times, service)
        retries.append(self._timer.now())
        return True

    def give_back(self, service: str) -> None:
        """Takes back the newest repeat, of a send that reached no target."""
        retries = self._recent_times(self._retry_times, service)
        if retries:
            retries.pop()

    def _effective_instances(self) -> int:
        now = self._timer.now()
        while self._earlier_counts and self._earlier_counts[0].until <= now:
            self._earlier_counts.popleft()
        counts = [each.instances for each in self._earlier_counts]
        return max([self._instances, *counts])

    def _recent_times(
        self, times_by_service: dict[str, collections.deque[float]], name: str
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(name, collections.deque())
        oldest = self._timer.now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
