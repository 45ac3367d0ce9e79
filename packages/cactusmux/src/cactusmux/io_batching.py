"""Lets a busy event loop gather events, so that it wakes less often."""

from collections.abc import Callable

import gevent
from gevent import monkey

GATHER_S = 0.001
BUSY_REQUESTS = 4


class IoBatching:
    """Pauses the loop for ``GATHER_S`` before each poll while busy.

    Each wake-up then serves the tokens of many streams, at the price of as
    much added latency. An idle instance answers without the pause.
    """

    def __init__(self, requests_in_flight: Callable[[], int]) -> None:
        self._requests_in_flight = requests_in_flight
        # The patched function would switch to the loop that calls it.
        self._pause = monkey.get_original('time', 'sleep')
        self._watcher = gevent.get_hub().loop.prepare()

    def start(self) -> None:
        """Starts to watch each round of the loop."""
        self._watcher.start(self._gather)

    def stop(self) -> None:
        """Lets the loop poll at once again."""
        self._watcher.stop()

    def _gather(self) -> None:
        if self._requests_in_flight() >= BUSY_REQUESTS:
            self._pause(GATHER_S)
