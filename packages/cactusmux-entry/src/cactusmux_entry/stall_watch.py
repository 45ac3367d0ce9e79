"""Closes token streams that have been silent for too long."""

import math

from cactusmux_base import timers
from cactusmux_platform import targets

SCAN_PERIOD_S = 0.05


class WatchedStream:
    """One open stream; its reader tells when a token is due."""

    def __init__(self, stream: targets.TokenStream) -> None:
        self.stream = stream
        self.due_at = math.inf
        self.stalled = False

    def expect(self, now: float, limit_s: float) -> None:
        """Expects a token within ``limit_s`` seconds."""
        self.due_at = now + limit_s

    def pause(self) -> None:
        """Expects nothing: the reader's own caller is being served."""
        self.due_at = math.inf


class StallWatch:
    """Scans all open streams of an instance by one timer.

    A scan costs less than a timeout for each token; a stall is found at
    most ``SCAN_PERIOD_S`` after its limit.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._watched: set[WatchedStream] = set()
        self._subscription = timer.every(SCAN_PERIOD_S, self.scan)

    def open(
        self, stream: targets.TokenStream, limit_s: float
    ) -> WatchedStream:
        """Starts to watch a stream for a silence of ``limit_s``."""
        watched = WatchedStream(stream)
        watched.expect(self._timer.now(), limit_s)
        self._watched.add(watched)
        return watched

    def close(self, watched: WatchedStream) -> None:
        """Stops watching a stream and closes it."""
        self._watched.discard(watched)
        watched.stream.close()

    def scan(self) -> None:
        """Closes each stream whose silence is past its limit."""
        now = self._timer.now()
        for watched in tuple(self._watched):
            if now <= watched.due_at:
                continue
            watched.stalled = True
            self.close(watched)

    def stop(self) -> None:
        """Ends the scans."""
        self._subscription.cancel()
