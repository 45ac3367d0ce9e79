"""Time for plays of many tasks: it moves once all of them wait."""

from cactusmux_base import timers
import gevent
from gevent import event


class PlayTimers(timers.ManualTimers):
    """Manual time in which tasks can sleep beside each other."""

    def sleep(self, seconds: float) -> None:
        """Suspends the calling task until the play has come so far."""
        woken = event.Event()
        self.after(seconds, woken.set)
        woken.wait()

    def play(self, seconds: float) -> None:
        """Moves time on, letting tasks run at each point in time."""
        end = self.now() + seconds
        gevent.idle()
        while self._due and self._due[0].at <= end:
            self.advance(max(0.0, self._due[0].at - self.now()))
            gevent.idle()
        self.advance(end - self.now())
