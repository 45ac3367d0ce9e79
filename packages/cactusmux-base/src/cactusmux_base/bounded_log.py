"""A rate-limited log handler that never blocks.

Lines beyond a rate limit are dropped and counted. Warnings and errors have
an additional limit of their own, so that they are dropped last. A slow
reader of the log causes dropped lines, not delays.
"""

import logging
import os

from . import events
from . import timers

LINES_PER_S = 400.0
WARNING_RESERVE_PER_S = 200.0
# Minimum time between reports of dropped lines.
REPORT_PERIOD_S = 5.0


class _TokenBucket:
    """A token bucket with a burst of one second's lines."""

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._updated_at = now

    def take(self, now: float) -> bool:
        refill = (now - self._updated_at) * self._per_s
        self._tokens = min(self._per_s, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes records to a file descriptor, which it makes non-blocking.

    :param file_descriptor: for example that of standard output.
    """

    def __init__(
        self, file_descriptor: int, timer: timers.TimerService
    ) -> None:
        super().__init__()
        os.set_blocking(file_descriptor, False)
        self._file_descriptor = file_descriptor
        self._timer = timer
        self._bucket = _TokenBucket(LINES_PER_S, timer.now())
        self._warning_bucket = _TokenBucket(WARNING_RESERVE_PER_S, timer.now())
        self._dropped_count = 0
        self._reported_at = timer.now()
        self._partial_line = b''

    def emit(self, record: logging.LogRecord) -> None:
        now = self._timer.now()
        urgent = record.levelno >= logging.WARNING
        allowed = self._bucket.take(now)
        if not allowed and urgent:
            allowed = self._warning_bucket.take(now)
        if not allowed:
            self._dropped_count += 1
            return
        self._report(now)
        self._write(self.format(record).encode('utf-8', 'replace') + b'\n')

    def _report(self, now: float) -> None:
        if (
            not self._dropped_count
            or now - self._reported_at < REPORT_PERIOD_S
        ):
            return
        line = events.format_event(
            'log_lines_left_out', count=self._dropped_count
        )
        self._dropped_count = 0
        self._reported_at = now
        self._write(line.encode() + b'\n')

    def _write(self, line: bytes) -> None:
        data = self._partial_line + line
        try:
            written = os.write(self._file_descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            self._dropped_count += 1
            return
        # After a partial write, the rest of the line precedes the next one.
        self._partial_line = _rest_of_line(data, written)
        if self._partial_line == b'' and written < len(data):
            self._dropped_count += 1


def _rest_of_line(data: bytes, written: int) -> bytes:
    """Returns the unwritten rest of a partially written line."""
    if written == 0 or written >= len(data):
        return b''
    if data[written - 1 : written] == b'\n':
        return b''
    end = data.find(b'\n', written)
    return data[written : end + 1]
