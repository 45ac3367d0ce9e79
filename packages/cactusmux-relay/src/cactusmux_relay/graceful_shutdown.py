"""Graceful shutdown: stops an instance without interrupting requests."""

from collections.abc import Callable

from cactusmux_base import timers

from . import relay_settings

STOP_POLL_S = 0.05
# Requests of any length are accepted for this time after the shutdown begins.
ACCEPT_ALL_S = 2.8


class GracefulShutdown:
    """Tracks a shutdown and decides which requests are still accepted."""

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        timer: timers.TimerService,
    ) -> None:
        self._settings = settings
        self._timer = timer
        self._begun_at = 0.0
        self.has_begun = False

    def begin(self) -> None:
        """Begins the shutdown."""
        self._begun_at = self._timer.now()
        self.has_begun = True

    def accepts_request(self, longest_s: float) -> bool:
        """Whether a request of at most ``longest_s`` is still accepted.

        Every request is within :data:`ACCEPT_ALL_S` of the start; later only
        one that will end before the instance stops.
        """
        if not self.has_begun:
            return True
        age_s = self._age_s()
        if age_s < ACCEPT_ALL_S:
            return True
        return age_s + longest_s < self._settings.stop_within_s

    def wait(self, busy_count: Callable[[], int]) -> None:
        """Blocks until all requests have ended or the time limit is reached.

        :param busy_count: returns the number of requests in progress.
        """
        while True:
            age_s = self._age_s()
            no_more_callers = age_s >= self._settings.late_callers_s
            is_over = age_s >= self._settings.stop_within_s
            if is_over or (no_more_callers and not busy_count()):
                return
            self._timer.sleep(STOP_POLL_S)

    def _age_s(self) -> float:
        return self._timer.now() - self._begun_at
