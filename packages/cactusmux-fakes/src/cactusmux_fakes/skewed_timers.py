"""A clock that runs faster or slower than the reference clock."""

from cactusmux_base import timers


class SkewedTimers(timers.TimerService):
    """A clock that runs at ``rate`` times the reference clock's speed."""

    def __init__(self, true: timers.ManualTimers, rate: float) -> None:
        self._reference = true
        self._rate = rate

    def now(self) -> float:
        return self._reference.now() * self._rate

    def wall(self) -> float:
        return self._reference.wall()

    def sleep(self, seconds: float) -> None:
        self._reference.sleep(seconds / self._rate)

    def after(
        self, seconds: float, callback: timers.Callback
    ) -> timers.Subscription:
        return self._reference.after(seconds / self._rate, callback)

    def every(
        self, seconds: float, callback: timers.Callback
    ) -> timers.Subscription:
        return self._reference.every(seconds / self._rate, callback)
