"""Bounds repeats at a service over all instances, without a coordinator.

Each instance may repeat a fraction of the requests that it saw itself, and
its share of a fixed allowance. The windows are the users': the sum over all
instances stays below their ratio and allowance in any window.
"""

import collections

from cactusmux_base import timers

# Kept free for instances that restart and forget what they have spent.
SAFETY = 0.85


class RepeatBudget:
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
        self._ratio = ratio * SAFETY
        self._allowance = allowance * SAFETY
        self._window_s = window_s
        self._instances = 1
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def set_instances(self, count: int) -> None:
        """Sets over how many instances the allowance is shared."""
        self._instances = max(1, count)

    def note_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._times(self._requests, service).append(self._timer.now())

    def take(self, service: str) -> bool:
        """Counts a repeat if one is left; tells whether it is allowed."""
        requests = self._times(self._requests, service)
        repeats = self._times(self._repeats, service)
        allowed = self._ratio * len(requests)
        allowed += self._allowance / self._instances
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._timer.now())
        return True

    def _times(
        self, times_by_service: dict[str, collections.deque[float]], name: str
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(name, collections.deque())
        oldest = self._timer.now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
