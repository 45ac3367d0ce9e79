"""Whether the store answers this instance, told by its short calls.

A watch waits for long in any case: one whose connection has gone silent
looks like one that has nothing to tell. The short calls beside it show that
a connection may have been lost, and when the store answers again.
"""

from collections.abc import Callable

from cactusmux_base import events
from cactusmux_base import timers

Callback = Callable[[float], None]


class StoreContact:
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
        """Notes that the store has answered a call."""
        self.answered_at = self._timer.now()
        if self._is_lost:
            self._is_lost = False
            events.info('store_answers_again')
        for callback in self._callbacks:
            callback(self._lost_at)

    def note_unanswered(self) -> None:
        """Notes that a call has got no answer, or was turned away."""
        self._lost_at = self._timer.now()
        if not self._is_lost:
            self._is_lost = True
            events.warning('store_does_not_answer')
