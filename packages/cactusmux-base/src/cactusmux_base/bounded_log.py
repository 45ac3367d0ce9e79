"""A log stream that never blocks and bounds what it writes.

Lines beyond a budget a second are left out and counted; warnings and errors
have a reserve of their own, so that they are the last to go. A reader that
doesn't keep up costs lines, not time.
"""

import logging
import os

from . import events
from . import timers

LINES_PER_S = 400.0
RESERVE_PER_S = 200.0
# How often left out lines are told of.
REPORT_PERIOD_S = 5.0


class _Budget:
    """A token bucket that holds the lines of one second."""

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._left = per_s
        self._at = now

    def take(self, now: float) -> bool:
        earned = (now - self._at) * self._per_s
        self._left = min(self._per_s, self._left + earned)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes records to a file descriptor that is made non-blocking.

    :param file_descriptor: such as that of standard output.
    """

    def __init__(
        self, file_descriptor: int, timer: timers.TimerService
    ) -> None:
        super().__init__()
        os.set_blocking(file_descriptor, False)
        self._file_descriptor = file_descriptor
        self._timer = timer
        self._lines = _Budget(LINES_PER_S, timer.now())
        self._reserve = _Budget(RESERVE_PER_S, timer.now())
        self._left_out = 0
        self._reported_at = timer.now()
        self._torn = b''

    def emit(self, record: logging.LogRecord) -> None:
        now = self._timer.now()
        urgent = record.levelno >= logging.WARNING
        allowed = self._lines.take(now)
        if not allowed and urgent:
            allowed = self._reserve.take(now)
        if not allowed:
            self._left_out += 1
            return
        self._report(now)
        self._write(self.format(record).encode('utf-8', 'replace') + b'\n')

    def _report(self, now: float) -> None:
        if not self._left_out or now - self._reported_at < REPORT_PERIOD_S:
            return
        line = events.format_event('log_lines_left_out', count=self._left_out)
        self._left_out = 0
        self._reported_at = now
        self._write(line.encode() + b'\n')

    def _write(self, line: bytes) -> None:
        data = self._torn + line
        try:
            written = os.write(self._file_descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            self._left_out += 1
            return
        # The rest of a line that was begun goes before the next one.
        self._torn = _rest_of_line(data, written)
        if self._torn == b'' and written < len(data):
            self._left_out += 1


def _rest_of_line(data: bytes, written: int) -> bytes:
    """Returns the rest of the line within which a write ended."""
    if written == 0 or written >= len(data):
        return b''
    if data[written - 1 : written] == b'\n':
        return b''
    end = data.find(b'\n', written)
    return data[written : end + 1]
