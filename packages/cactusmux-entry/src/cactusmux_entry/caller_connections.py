"""Decides which connections of callers to close when there are too many."""

import collections
from collections.abc import Callable
import enum
import resource
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

# Of the process's descriptors, those for peers, stores and logs.
RESERVED_DESCRIPTORS = 64
# A running request has a connection of its caller and one to a target.
DESCRIPTORS_PER_CONNECTION = 2
MIN_CONNECTIONS = 16
REPORT_PERIOD_S = 1.0
# Bytes a second of a younger request tell nothing of its caller.
MIN_READING_S = 1.0


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = enum.auto()
    READING = enum.auto()
    RUNNING = enum.auto()
    DROPPED = enum.auto()


class Connection:
    """One connection of a caller.

    :param close: ends the input of the connection at once.
    :ivar since: when the phase began, in seconds.
    :ivar received_bytes: bytes of the request that is being read or run.
    """

    def __init__(self, close: Callable[[], None], now: float) -> None:
        self.close = close
        self.phase = Phase.IDLE
        self.since = now
        self.received_bytes = 0

    @property
    def is_dropped(self) -> bool:
        """Whether it was chosen to be closed."""
        return self.phase is Phase.DROPPED

    def enter(self, phase: Phase, now: float) -> None:
        """Changes the phase; a dropped connection stays dropped."""
        if not self.is_dropped:
            self.phase = phase
            self.since = now


class Limits(NamedTuple):
    """Limits of all callers together.

    :ivar max_bytes: bytes of the requests that are being read or run.
    """

    max_connections: int
    max_bytes: int


class CallerConnections:
    """The connections of all callers and the bytes that they hold.

    Whoever has to give way is the connection that has been idle for longest;
    without idle ones, that with the least progress of its request. For bytes
    only the latter do. A request that has been received is never closed.
    """

    def __init__(
        self,
        limits: Limits,
        timer: timers.TimerService,
        sink: metrics.Metrics,
    ) -> None:
        self._limits = limits
        self._timer = timer
        self._metrics = sink
        self._held_bytes = 0
        self._connections: dict[Connection, None] = {}
        self._reported_at = -REPORT_PERIOD_S
        self._count_by_reason: collections.Counter[str] = collections.Counter()

    def open(self, close: Callable[[], None]) -> Connection | None:
        """Adds a connection; ``None`` if all others run requests."""
        if len(self._connections) >= self._limits.max_connections:
            victim = self._longest_idle() or self._slowest_reading()
            if victim is None:
                self.record('connection_refused')
                return None
            self._drop(victim, 'too_many_connections')
        connection = Connection(close, self._timer.now())
        self._connections[connection] = None
        return connection

    def release(self, connection: Connection) -> None:
        """Removes a connection that has ended."""
        self._forget_bytes(connection)
        self._connections.pop(connection, None)

    def receive(self, connection: Connection, size: int) -> None:
        """Counts bytes of a request that were received.

        Beyond the limit requests give way, which may be this one.
        """
        if connection.phase is Phase.IDLE:
            connection.enter(Phase.READING, self._timer.now())
        if connection.is_dropped:
            return
        connection.received_bytes += size
        self._held_bytes += size
        while self._held_bytes > self._limits.max_bytes:
            victim = self._slowest_reading()
            if victim is None:
                return
            self._drop(victim, 'too_many_bytes')

    def begin_run(self, connection: Connection) -> None:
        """Records that a whole request has been received."""
        connection.enter(Phase.RUNNING, self._timer.now())

    def end_request(self, connection: Connection) -> None:
        """Records that a request has been answered."""
        self._forget_bytes(connection)
        connection.enter(Phase.IDLE, self._timer.now())

    def _longest_idle(self) -> Connection | None:
        idle = [c for c in self._connections if c.phase is Phase.IDLE]
        return min(idle, key=lambda each: each.since, default=None)

    def _slowest_reading(self) -> Connection | None:
        reading = [c for c in self._connections if c.phase is Phase.READING]
        return min(reading, key=self._progress, default=None)

    def _progress(self, connection: Connection) -> tuple[bool, float]:
        """Sorts by bytes a second, young requests last, large ones first."""
        reading_s = self._timer.now() - connection.since
        if reading_s < MIN_READING_S:
            return True, -connection.received_bytes
        return False, connection.received_bytes / reading_s

    def _drop(self, victim: Connection, reason: str) -> None:
        victim.enter(Phase.DROPPED, self._timer.now())
        self._forget_bytes(victim)
        del self._connections[victim]
        self.record(reason)
        victim.close()

    def _forget_bytes(self, connection: Connection) -> None:
        self._held_bytes -= connection.received_bytes
        connection.received_bytes = 0

    def record(self, reason: str) -> None:
        """Counts what a limit did; logs it at most once a second."""
        self._metrics.count(f'entry.closed.{reason}')
        self._count_by_reason[reason] += 1
        now = self._timer.now()
        if now - self._reported_at < REPORT_PERIOD_S:
            return
        events.warning(
            'callers_closed',
            connections=len(self._connections),
            held_bytes=self._held_bytes,
            **self._count_by_reason,
        )
        self._reported_at = now
        self._count_by_reason.clear()


def usable_connections(max_connections: int) -> int:
    """Returns how many connections the descriptor limit allows at most."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return max_connections
    usable = descriptors - RESERVED_DESCRIPTORS
    usable = max(MIN_CONNECTIONS, usable // DESCRIPTORS_PER_CONNECTION)
    return min(max_connections, usable)
