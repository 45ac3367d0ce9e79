"""Simulated time that advances once all tasks are waiting."""

from cactusmux_base import timers
import gevent
from gevent import event


class PlayTimers(timers.ManualTimers):
    """Manual time in which several tasks can sleep concurrently."""

    def sleep(self, seconds: float) -> None:
        """Suspends the calling task for some seconds of simulated time."""
        woken = event.Event()
        self.after(seconds, woken.set)
        woken.wait()

    def play(self, seconds: float) -> None:
        """Advances time, running all tasks that are due at each step."""
        end = self.now() + seconds
        gevent.idle()
        while self._due and self._due[0].at <= end:
            self.advance(max(0.0, self._due[0].at - self.now()))
            gevent.idle()
        self.advance(end - self.now())
