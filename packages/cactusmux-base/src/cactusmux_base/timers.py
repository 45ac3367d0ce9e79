"""Timer service, used instead of direct access to system clocks."""

import abc
from collections.abc import Callable
import heapq
import itertools
import time
from typing import NamedTuple

import gevent

from . import events

Callback = Callable[[], None]


class Subscription(abc.ABC):
    """A pending or periodic callback that can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Prevents further calls; may be called more than once."""


class TimerService(abc.ABC):
    """Provides monotonic time and schedules callbacks."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic time in seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since the epoch, for records kept after exit."""

    @abc.abstractmethod
    def sleep(self, seconds: float) -> None:
        """Suspends the calling task for ``seconds``."""

    @abc.abstractmethod
    def after(self, seconds: float, callback: Callback) -> Subscription:
        """Calls ``callback`` once, ``seconds`` from now."""

    @abc.abstractmethod
    def every(self, seconds: float, callback: Callback) -> Subscription:
        """Calls ``callback`` every ``seconds``, starting after one period."""


class _GreenletSubscription(Subscription):
    def __init__(self, greenlet: gevent.Greenlet) -> None:
        self._greenlet = greenlet

    def cancel(self) -> None:
        if self._greenlet is not gevent.getcurrent():
            self._greenlet.kill(block=False)
            return
        self._greenlet.cancelled = True


class GeventTimers(TimerService):
    """Real time, with one greenlet per subscription.

    A failing callback is logged; a periodic one is still called again.
    """

    def now(self) -> float:
        """Returns the time since boot, including suspended time.

        Leases and timeouts must also expire while the machine is suspended.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()

    def sleep(self, seconds: float) -> None:
        gevent.sleep(seconds)

    def after(self, seconds: float, callback: Callback) -> Subscription:
        return _GreenletSubscription(
            gevent.spawn_later(seconds, _call, callback)
        )

    def every(self, seconds: float, callback: Callback) -> Subscription:
        return _GreenletSubscription(
            gevent.spawn(self._repeat, seconds, callback)
        )

    def _repeat(self, seconds: float, callback: Callback) -> None:
        current = gevent.getcurrent()
        due = self.now() + seconds
        while not getattr(current, 'cancelled', False):
            gevent.sleep(max(0.0, due - self.now()))
            _call(callback)
            # Skips missed periods, so that a delay causes no burst of calls.
            due = max(due + seconds, self.now())


def _call(callback: Callback) -> None:
    try:
        callback()
    except Exception as error:
        name = getattr(callback, '__qualname__', repr(callback))
        events.error('callback_failed', callback=name, cause=repr(error))


class _ScheduledCall(NamedTuple):
    at: float
    sequence: int
    period: float
    callback: Callback
    subscription: '_ManualSubscription'


class _ManualSubscription(Subscription):
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class ManualTimers(TimerService):
    """Deterministic time that moves only when a test advances it."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._sequence = itertools.count()
        self._due: list[_ScheduledCall] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return 1_800_000_000.0 + self._now

    def sleep(self, seconds: float) -> None:
        """Advances time by ``seconds`` and runs due callbacks."""
        self.advance(seconds)

    def after(self, seconds: float, callback: Callback) -> Subscription:
        return self._push(self._now + seconds, 0.0, callback)

    def every(self, seconds: float, callback: Callback) -> Subscription:
        return self._push(self._now + seconds, seconds, callback)

    def advance(self, seconds: float) -> None:
        """Advances time by ``seconds`` and runs due callbacks in order."""
        end = self._now + seconds
        while self._due and self._due[0].at <= end:
            due = heapq.heappop(self._due)
            if due.subscription.cancelled:
                continue
            self._now = max(self._now, due.at)
            due.callback()
            if due.period > 0 and not due.subscription.cancelled:
                next_due = due._replace(
                    at=due.at + due.period, sequence=next(self._sequence)
                )
                heapq.heappush(self._due, next_due)
        self._now = max(self._now, end)

    def _push(
        self, at: float, period: float, callback: Callback
    ) -> Subscription:
        subscription = _ManualSubscription()
        sequence = next(self._sequence)
        due = _ScheduledCall(at, sequence, period, callback, subscription)
        heapq.heappush(self._due, due)
        return subscription
