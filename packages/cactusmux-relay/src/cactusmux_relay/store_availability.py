"""Whether the store answers this instance, told by its short calls.

A watch waits for long in any case: one whose connection has gone silent
looks like one that has nothing to tell. The short calls beside it show that
a connection may have been lost, and when the store answers again.
"""

from collections.abc import Callable

from cactusmux_base import events
from cactusmux_base import timers

# The lease is renewed more often: without an answer for so long the store, or
# this process, has been away.
GAP_S = 3.0

Callback = Callable[[float], None]


class StoreAvailability:
    """Notes the outcomes of short calls.

    :ivar answered_at: when the store last answered, 0 if never.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._lost_at = 0.0
        self._is_lost = False
        self._callbacks: list[Callback] = []
        self.answered_at = 0.0

    def subscribe(self, callback: Callback) -> None:
        """Calls ``callback`` at each answer with the time of the last loss."""
        self._callbacks.append(callback)

    def note_answered(self) -> None:
        """Notes that the store has answered; call before the answer is used.

        What it says may lack entries that lapsed while it was away.
        """
        now = self._timer.now()
        is_gap = 0.0 < self.answered_at < now - GAP_S
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

    def note_unanswered(self) -> None:
        """Notes that a call has got no answer, or was turned away."""
        self._lost_at = self._timer.now()
        if not self._is_lost:
            self._is_lost = True
            events.warning('store_does_not_answer')
