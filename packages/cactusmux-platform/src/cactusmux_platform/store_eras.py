"""The era of the configuration store, as known to this instance.

Any answer of the store and any peer may be the first to tell of a new era.
Whoever acts on what was read before must then stop doing so at once.
"""

from collections.abc import Callable
import enum

from cactusmux_base import events
from cactusmux_base import timers

Callback = Callable[[], None]


class Source(enum.StrEnum):
    """How an instance learned of an era; used in logs."""

    STORE = 'store'
    PEER = 'peer'


class StoreEras:
    """Records the newest known era.

    :ivar current: the newest era; 0 for a store that doesn't tell its era or
        was never restored.
    :ivar known_since: time at which it became known, in seconds of the timer.
    :ivar change_count: how often a new era followed a known one.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._callbacks: list[Callback] = []
        self._is_known = False
        self.current = 0
        self.known_since = 0.0
        self.change_count = 0

    def subscribe(self, callback: Callback) -> None:
        """Calls ``callback`` after each change; it must not block."""
        self._callbacks.append(callback)

    def record(self, era: int, source: Source) -> None:
        """Records an era in which an answer or a message was given.

        An older one belongs to an answer that was on its way meanwhile. Its
        content must be compared by position and is not used then.
        """
        is_first = not self._is_known
        if era > self.current or source is Source.STORE:
            self._is_known = True
        if era < self.current and source is Source.STORE:
            events.info('store_era_older', era=era, known=self.current)
        if era <= self.current:
            return
        old = self.current
        self.current = era
        self.known_since = self._timer.now()
        if is_first:
            events.info('store_era_known', era=era, source=source)
            return
        self.change_count += 1
        events.warning('store_era_changed', old=old, new=era, source=source)
        for callback in self._callbacks:
            callback()
