"""Time as a service: parts subscribe to it instead of reading clocks."""

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
        """Stops further calls; cancelling twice is allowed."""


class TimerService(abc.ABC):
    """Tells monotonic time and calls subscribers when theirs has come."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic time in seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since the epoch, for records that outlive us."""

    @abc.abstractmethod
    def sleep(self, seconds: float) -> None:
        """Suspends the calling task for a number of seconds."""

    @abc.abstractmethod
    def after(self, seconds: float, callback: Callback) -> Subscription:
        """Calls ``callback`` once, ``seconds`` from now."""

    @abc.abstractmethod
    def every(self, seconds: float, callback: Callback) -> Subscription:
        """Calls ``callback`` every ``seconds``, first after one period."""


class _GreenletSubscription(Subscription):
    def __init__(self, greenlet: gevent.Greenlet) -> None:
        self._greenlet = greenlet

    def cancel(self) -> None:
        if self._greenlet is not gevent.getcurrent():
            self._greenlet.kill(block=False)
            return
        self._greenlet.cancelled = True


class GeventTimers(TimerService):
    """Real time, one greenlet a subscription.

    A callback that fails is logged; a periodic one is called again.
    """

    def now(self) -> float:
        """Returns the time since the start, suspended time included.

        What has been granted for a time runs out while we are suspended.
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
            # A callback that ran late does not cause a burst of calls.
            due = max(due + seconds, self.now())


def _call(callback: Callback) -> None:
    try:
        callback()
    except Exception as error:
        name = getattr(callback, '__qualname__', repr(callback))
        events.error('callback_failed', callback=name, cause=repr(error))


class _Due(NamedTuple):
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
    """Time that moves only when a test advances it; deterministic."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._sequence = itertools.count()
        self._due: list[_Due] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return 1_800_000_000.0 + self._now

    def sleep(self, seconds: float) -> None:
        """Advances time by ``seconds``, running what falls due."""
        self.advance(seconds)

    def after(self, seconds: float, callback: Callback) -> Subscription:
        return self._push(self._now + seconds, 0.0, callback)

    def every(self, seconds: float, callback: Callback) -> Subscription:
        return self._push(self._now + seconds, seconds, callback)

    def advance(self, seconds: float) -> None:
        """Moves time on by ``seconds``, calling subscribers in order."""
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
        due = _Due(at, sequence, period, callback, subscription)
        heapq.heappush(self._due, due)
        return subscription
