"""Lets other tasks run during work on bytes that have already arrived.

Reading from a socket only waits if nothing has arrived. As long as another
party sends faster than its bytes are handled, the task that reads them keeps
the event loop to itself: no other task, no socket and no timeout gets its
turn.
"""

import gevent

# A sleep of 0 only runs tasks that are ready, up to 50 times in a row; with
# any longer one the event loop looks at sockets and timers each time.
PAUSE_S = 1e-6
# A step is the work on one element: a chunk, an event, a line.
MAX_STEPS = 256
MAX_BYTES = 65_536


class Turns:
    """Counts the work of one task, and pauses it often enough."""

    def __init__(self) -> None:
        self._steps = 0
        self._bytes = 0

    def record(self, size: int = 0) -> None:
        """Records one step on ``size`` bytes; lets other tasks run if due.

        It blocks only then; a timeout or kill of the task is raised here.
        """
        self._steps += 1
        self._bytes += size
        if self._steps < MAX_STEPS and self._bytes < MAX_BYTES:
            return
        self._steps = 0
        self._bytes = 0
        pause()


def pause() -> None:
    """Lets the event loop run all other tasks, sockets and timers once."""
    gevent.sleep(PAUSE_S)
