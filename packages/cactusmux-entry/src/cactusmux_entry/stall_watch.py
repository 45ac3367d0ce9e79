"""Closes token streams without a token for too long."""

import math

from cactusmux_base import ordered_set
from cactusmux_base import timers
from cactusmux_platform import targets

SCAN_PERIOD_S = 0.05


class WatchedStream:
    """An open stream; its reader sets the deadline of the next token."""

    def __init__(self, stream: targets.TokenStream) -> None:
        self.stream = stream
        self.due_at = math.inf
        self.stalled = False

    def expect(self, now: float, limit_s: float) -> None:
        """Sets the deadline of the next token to ``limit_s`` seconds."""
        self.due_at = now + limit_s

    def pause(self) -> None:
        """Clears the deadline while the reader passes a token on."""
        self.due_at = math.inf


class StallWatch:
    """Scans all open streams of an instance with a single timer.

    A scan is cheaper than a timeout for each token. A stall is detected at
    most ``SCAN_PERIOD_S`` after its deadline.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._watched = ordered_set.OrderedSet[WatchedStream]()
        self._subscription = timer.every(SCAN_PERIOD_S, self.scan)

    def open(
        self, stream: targets.TokenStream, limit_s: float
    ) -> WatchedStream:
        """Starts to watch a stream; its first token is due in ``limit_s``."""
        watched = WatchedStream(stream)
        watched.expect(self._timer.now(), limit_s)
        self._watched.add(watched)
        return watched

    def close(self, watched: WatchedStream) -> None:
        """Stops watching a stream and closes it."""
        self._watched.discard(watched)
        watched.stream.close()

    def scan(self) -> None:
        """Closes each stream whose token is overdue."""
        now = self._timer.now()
        for watched in tuple(self._watched):
            if now <= watched.due_at:
                continue
            watched.stalled = True
            self.close(watched)

    def stop(self) -> None:
        """Stops the periodic scan."""
        self._subscription.cancel()
