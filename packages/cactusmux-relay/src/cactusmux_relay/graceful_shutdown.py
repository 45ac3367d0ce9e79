"""The end of an instance that is stopped without cutting a request."""

from collections.abc import Callable

from cactusmux_base import timers

from . import relay_settings

STOP_POLL_S = 0.05
# After the begin of a planned stop long requests are taken for so long.
LATEST_LONG_WORK_S = 2.8


class GracefulShutdown:
    """Whether a stop has begun, and what may still be done by its end."""

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
        """Begins the stop."""
        self._begun_at = self._timer.now()
        self.has_begun = True

    def accepts_request(self, longest_s: float) -> bool:
        """Whether a request of that length ends before a planned stop."""
        if not self.has_begun:
            return True
        age_s = self._age_s()
        if age_s < LATEST_LONG_WORK_S:
            return True
        return age_s + longest_s < self._settings.stop_within_s

    def wait(self, busy_count: Callable[[], int]) -> None:
        """Returns when all callers are answered, or the time is over.

        :param busy_count: requests under way.
        """
        while True:
            age_s = self._age_s()
            callers_gone = age_s >= self._settings.late_callers_s
            is_over = age_s >= self._settings.stop_within_s
            if is_over or (callers_gone and not busy_count()):
                return
            self._timer.sleep(STOP_POLL_S)

    def _age_s(self) -> float:
        return self._timer.now() - self._begun_at
