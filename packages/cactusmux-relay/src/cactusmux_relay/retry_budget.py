"""Limits retries at a service across all instances, without a coordinator.

Each instance may retry a fraction of the requests that it received itself,
plus its share of a fixed allowance. In any window of the configured length,
the sum over all instances stays below the configured ratio and allowance.
"""

import collections

from cactusmux_base import timers

from . import instance_count

# Fraction of the configured limits that is used. The rest covers retries that
# instances made before they restarted and lost their counts.
SAFETY_FACTOR = 0.85


class RetryBudget:
    """Counts requests and retries by service over a sliding window.

    :param ratio: retries allowed per request.
    :param allowance: additional retries allowed, across all instances.
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
        # Until the first list, there is no share of the allowance.
        self._instances = instance_count.InstanceCount(timer, window_s)
        self._request_times: dict[str, collections.deque[float]] = {}
        self._retry_times: dict[str, collections.deque[float]] = {}

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the allowance."""
        self._instances.set(count)

    def record_request(self, service: str) -> None:
        """Counts a request by a caller."""
        self._recent_times(self._request_times, service).append(
            self._timer.now()
        )

    def has_left(self, service: str, kept: float = 0.0) -> bool:
        """Whether a retry is allowed now.

        :param kept: fraction of the allowed retries that is left to others.
        """
        requests = self._recent_times(self._request_times, service)
        retries = self._recent_times(self._retry_times, service)
        allowed = self._ratio * len(requests)
        instances = self._instances.value
        if instances:
            allowed += self._allowance / instances
        return len(retries) + 1 <= allowed * (1.0 - kept)

    def take(self, service: str) -> bool:
        """Counts a retry if one is left; returns whether it is allowed."""
        if not self.has_left(service):
            return False
        retries = self._recent_times(self._retry_times, service)
        retries.append(self._timer.now())
        return True

    def give_back(self, service: str) -> None:
        """Reverts the newest retry, whose request reached no target."""
        retries = self._recent_times(self._retry_times, service)
        if retries:
            retries.pop()

    def _recent_times(
        self, times_by_service: dict[str, collections.deque[float]], name: str
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(name, collections.deque())
        oldest = self._timer.now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
