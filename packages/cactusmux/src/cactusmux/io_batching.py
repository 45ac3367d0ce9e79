"""Batches I/O events of a busy event loop to reduce its wake-ups."""

from collections.abc import Callable

import gevent
from gevent import monkey

BATCHING_DELAY_S = 0.001
MIN_BATCHING_REQUESTS = 4


class IoBatching:
    """Pauses a busy event loop for ``BATCHING_DELAY_S`` before each poll.

    Each wake-up then handles the tokens of many streams, but latency grows
    by the pause. With few requests in flight there is no pause.
    """

    def __init__(self, requests_in_flight: Callable[[], int]) -> None:
        self._requests_in_flight = requests_in_flight
        # The patched function would switch to the event loop, its own caller.
        self._pause = monkey.get_original('time', 'sleep')
        self._watcher = gevent.get_hub().loop.prepare()

    def start(self) -> None:
        """Starts to run before each poll of the event loop."""
        self._watcher.start(self._pause_if_busy)

    def stop(self) -> None:
        """Ends the pauses."""
        self._watcher.stop()

    def _pause_if_busy(self) -> None:
        if self._requests_in_flight() >= MIN_BATCHING_REQUESTS:
            self._pause(BATCHING_DELAY_S)
