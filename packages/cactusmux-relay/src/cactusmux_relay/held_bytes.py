"""Account of the memory that callers make this process hold.

All listening addresses of a process share one account. A connection asks it
for room before it keeps more bytes. Without room, :mod:`room_choice` decides
whether others are ended or the one that asks is refused.
"""

from collections.abc import Callable

from cactusmux_base import events
from cactusmux_base import failures
from cactusmux_base import metrics
from cactusmux_base import timers

from . import room_choice

BYTES_PER_MB = 1 << 20
# Memory of a process without any callers.
OWN_MB = 64
# Assumed if the settings don't name the memory of the machine.
DEFAULT_MEMORY_MB = 300
# Copies, buffers of sockets and unused parts of blocks take as much again.
SHARE_OF_REST = 0.5
# Room for one body of the default limit in any case.
MIN_LIMIT_BYTES = 8 << 20
# Part of the limit for connections that hold more than an ordinary request.
HEAVY_SHARE = 0.75
# Progress counts as recent for one to two of these periods.
RECENT_PERIOD_S = 1.0
# Minimum time between two log lines on the limit.
REPORT_PERIOD_S = 5.0


class NoRoom(failures.CactusmuxError):
    """Callers hold as much memory as they may."""

    reason = 'memory_limit'


def callers_bytes(memory_mb: float) -> int:
    """Returns how many bytes all callers together may make a process hold.

    :param memory_mb: memory of the machine, 0 if unknown.
    """
    rest_mb = (memory_mb or DEFAULT_MEMORY_MB) - OWN_MB
    return max(MIN_LIMIT_BYTES, int(rest_mb * SHARE_OF_REST) * BYTES_PER_MB)


class HeldBytes:
    """The account of one process.

    :ivar total_bytes: bytes held by all connections together.
    """

    def __init__(
        self,
        limit_bytes: int,
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self.total_bytes = 0
        self.timer = timer
        self._limit_bytes = limit_bytes
        self._heavy_limit_bytes = int(limit_bytes * HEAVY_SHARE)
        self._metric = metric
        self._holding_by_key: dict[int, Holding] = {}
        self._last_key = 0
        self._refused_count = 0
        self._ended_count = 0
        self._reported_at = -REPORT_PERIOD_S

    def open(self, end: Callable[[], None]) -> 'Holding':
        """Returns the holding of a new connection.

        :param end: ends the connection, to make room; must not block.
        """
        self._last_key += 1
        holding = Holding(self, self._last_key, end)
        self._holding_by_key[self._last_key] = holding
        return holding

    def remove(self, key: int) -> None:
        """Forgets a connection that holds nothing any more."""
        self._holding_by_key.pop(key, None)

    def can_ever_hold(self, size: int) -> bool:
        """Whether one connection may hold so many bytes if it is alone."""
        return size <= self._limit_bytes_for(size)

    def make_room(self, asker: room_choice.Held, growth: int) -> None:
        """Makes room for ``growth`` more bytes; raises :class:`NoRoom`."""
        excess_bytes = self._excess_bytes(asker, growth)
        if excess_bytes <= 0:
            return
        choice = self._choose(asker, excess_bytes)
        if not choice.is_granted:
            raise NoRoom('memory for callers is in use')
        for key in choice.ended_keys:
            self._holding_by_key[key].end()
        self._metric.count('callers.memory.ended', len(choice.ended_keys))
        self._ended_count += len(choice.ended_keys)
        self._report()

    def check_room(self, asker: room_choice.Held, growth: int) -> None:
        """Raises :class:`NoRoom` if there would be none; ends nobody."""
        excess_bytes = self._excess_bytes(asker, growth)
        if excess_bytes <= 0:
            return
        if not self._choose(asker, excess_bytes).is_granted:
            raise NoRoom('memory for callers is in use')

    def record_refused(self) -> None:
        """Records that a request is refused for want of room."""
        self._metric.count('callers.memory.refused')
        self._refused_count += 1
        self._report()

    def _excess_bytes(self, asker: room_choice.Held, growth: int) -> int:
        limit_bytes = self._limit_bytes_for(asker.held_bytes)
        return self.total_bytes + growth - limit_bytes

    def _limit_bytes_for(self, size: int) -> int:
        if size <= room_choice.LIGHT_BYTES:
            return self._limit_bytes
        return self._heavy_limit_bytes

    def _choose(
        self, asker: room_choice.Held, excess_bytes: int
    ) -> room_choice.RoomChoice:
        others = [
            holding.held
            for key, holding in self._holding_by_key.items()
            if key != asker.key and holding.size
        ]
        return room_choice.choose(asker, others, excess_bytes)

    def _report(self) -> None:
        """Logs what the limit did since the last line, now and then."""
        now = self.timer.now()
        if now - self._reported_at < REPORT_PERIOD_S:
            return
        self._reported_at = now
        events.warning(
            'callers_memory_limited',
            refused=self._refused_count,
            ended=self._ended_count,
            held_mb=self.total_bytes // BYTES_PER_MB,
            limit_mb=self._limit_bytes // BYTES_PER_MB,
        )
        self._refused_count = 0
        self._ended_count = 0


class Holding:
    """What one connection makes the process hold.

    :ivar size: bytes held.
    :ivar ahead_bytes: of these, bytes sent ahead of a response.
    :ivar is_ended: whether it had to make room.
    """

    def __init__(
        self, account: HeldBytes, key: int, end: Callable[[], None]
    ) -> None:
        self.size = 0
        self.ahead_bytes = 0
        self._account = account
        self._key = key
        self._end = end
        self._phase = room_choice.Phase.ARRIVING
        self._began_at = account.timer.now()
        self.is_ended = False
        self._period_began_at = self._began_at
        self._period_bytes = 0
        self._last_period_bytes = 0

    @property
    def held(self) -> room_choice.Held:
        """What it holds, for the choice."""
        return self._held(self.size, 0)

    @property
    def phase(self) -> room_choice.Phase:
        """How far the present request has come."""
        return self._phase

    def begin(self) -> None:
        """Begins the next request; releases what is held."""
        self._set_size(0)
        self.ahead_bytes = 0
        self._phase = room_choice.Phase.ARRIVING
        self._began_at = self._account.timer.now()

    def enter(self, phase: room_choice.Phase) -> None:
        """Enters the next phase; raises :class:`NoRoom` if ended."""
        self.check()
        self._phase = phase

    def answer(self) -> None:
        """Begins the phase in which the caller is to read an answer."""
        self._phase = room_choice.Phase.ANSWERING
        # Otherwise it could count as unread before it could be read.
        self.record_progress(1)

    def check(self) -> None:
        """Raises :class:`NoRoom` if the connection has been ended."""
        if self.is_ended:
            raise NoRoom('the connection was ended to make room')

    def resize(self, size: int) -> None:
        """Holds ``size`` bytes from now on; raises :class:`NoRoom`."""
        self.check()
        growth = size - self.size
        if growth > 0:
            self._account.make_room(self._held(size, growth), growth)
            self.record_progress(growth)
        self._set_size(size)

    def take(self, size: int) -> None:
        """Holds ``size`` bytes without asking; others may find no room."""
        self._set_size(size)

    def expect(self, size: int) -> None:
        """Raises :class:`NoRoom` if ``size`` bytes have no room now."""
        self.check()
        self._account.check_room(
            self._held(size, size - self.size), size - self.size
        )

    def can_ever_hold(self, size: int) -> bool:
        """Whether ``size`` bytes would have room without other callers."""
        return self._account.can_ever_hold(size)

    def read_ahead(self, size: int) -> None:
        """Holds more bytes sent ahead; raises :class:`NoRoom`.

        What an ordinary caller sends ahead is held without asking.
        """
        self.ahead_bytes += size
        if self.ahead_bytes <= room_choice.ORDINARY_AHEAD_BYTES:
            self.take(self.size + size)
            return
        self.resize(self.size + size)

    def record_refused(self) -> None:
        """Records that the request is refused for want of room."""
        self._account.record_refused()

    def record_progress(self, size: int) -> None:
        """Records bytes that the caller sent or read."""
        self._turn_period()
        self._period_bytes += size

    def end(self) -> None:
        """Ends the connection, to make room for others."""
        self.is_ended = True
        self._set_size(0)
        self._end()

    def close(self) -> None:
        """Releases what is held, after the connection has ended."""
        self._set_size(0)
        self._account.remove(self._key)

    def _held(self, size: int, growth: int) -> room_choice.Held:
        self._turn_period()
        recent_bytes = self._period_bytes + self._last_period_bytes + growth
        return room_choice.Held(
            self._key,
            self._phase,
            size,
            recent_bytes,
            self._began_at,
            self.ahead_bytes,
        )

    def _set_size(self, size: int) -> None:
        self._account.total_bytes += size - self.size
        self.size = size

    def _turn_period(self) -> None:
        now = self._account.timer.now()
        periods = int((now - self._period_began_at) / RECENT_PERIOD_S)
        if not periods:
            return
        is_next = periods == 1
        self._last_period_bytes = self._period_bytes if is_next else 0
        self._period_bytes = 0
        self._period_began_at += periods * RECENT_PERIOD_S


def unshared(timer: timers.TimerService) -> HeldBytes:
    """Returns an account for a server that shares none."""
    return HeldBytes(
        callers_bytes(DEFAULT_MEMORY_MB), timer, metrics.MemoryMetrics()
    )
