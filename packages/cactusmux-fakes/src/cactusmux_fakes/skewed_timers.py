"""A clock that runs faster or slower than the true one."""

from cactusmux_base import timers


class SkewedTimers(timers.TimerService):
    """A clock that runs at ``rate`` times the true one."""

    def __init__(self, true: timers.ManualTimers, rate: float) -> None:
        self._true = true
        self._rate = rate

    def now(self) -> float:
        return self._true.now() * self._rate

    def wall(self) -> float:
        return self._true.wall()

    def sleep(self, seconds: float) -> None:
        self._true.sleep(seconds / self._rate)

    def after(
        self, seconds: float, callback: timers.Callback
    ) -> timers.Subscription:
        return self._true.after(seconds / self._rate, callback)

    def every(
        self, seconds: float, callback: timers.Callback
    ) -> timers.Subscription:
        return self._true.every(seconds / self._rate, callback)
