"""Whether the store answers this instance, judged by its short calls.

A watch blocks for a long time in any case, so one on a dead connection looks
like one without changes. The short calls made meanwhile show when a
connection may have been lost and when the store answers again.
"""

from collections.abc import Callable

from cactusmux_base import events
from cactusmux_base import timers

# The lease is renewed more often than this. After a longer time without an
# answer, the store was unavailable or this process was paused.
MAX_ANSWER_GAP_S = 3.0

Callback = Callable[[float], None]


class StoreAvailability:
    """Records the outcomes of short calls to the store.

    :ivar answered_at: time of the store's last answer, 0 if never.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._lost_at = 0.0
        self._is_lost = False
        self._callbacks: list[Callback] = []
        self.answered_at = 0.0

    def subscribe(self, callback: Callback) -> None:
        """Adds a callback for each answer.

        It is called with the time at which the last outage was noticed.
        """
        self._callbacks.append(callback)

    def record_answered(self) -> None:
        """Records an answer; must be called before the answer is used.

        After an outage the answer may lack entries whose leases expired
        during it, and the callbacks have mirrors allow for that.
        """
        now = self._timer.now()
        is_gap = 0.0 < self.answered_at < now - MAX_ANSWER_GAP_S
        if is_gap and not self._is_lost:
            self._lost_at = now
        if is_gap or self._is_lost:
            events.info(
                'store_answers_again',
                after_s=round(now - self.answered_at, 3),
            )
        self._is_lost = False
        self.answered_at = now
        for callback in self._callbacks:
            callback(self._lost_at)

    def record_unanswered(self) -> None:
        """Records that a call failed: no answer, or refused."""
        self._lost_at = self._timer.now()
        if not self._is_lost:
            self._is_lost = True
            events.warning('store_does_not_answer')
