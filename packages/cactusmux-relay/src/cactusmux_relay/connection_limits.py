"""Limits the connections that callers hold at all listening addresses.

While there is room, each connection is accepted. When there is none, a new
one takes the place of the connection that is the least loss to its caller:
the longest idle one, then one with an incomplete head, then one with an
incomplete body. Requests in service are never ended; if all are in service,
the new connection is refused.

One remote address may hold most of the room, as many callers may be behind
it, but not all of it. Beyond its part, its connections replace its own only.
"""

import abc
import collections
import enum
import sys

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import ordered_set
from cactusmux_base import timers

# Part of the shared room that one remote address may hold.
ADDRESS_PART = 7 / 8
# Minimum time between two log lines about closed and refused connections.
REPORT_PERIOD_S = 5.0


class Stage(enum.StrEnum):
    """What a connection is doing; the first ones are closed first."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    SERVED = 'served'


CLOSABLE_STAGES = (Stage.IDLE, Stage.HEAD, Stage.BODY)


class Closable(abc.ABC):
    """A connection that the limit may close."""

    @abc.abstractmethod
    def has_unread(self) -> bool:
        """Whether unread bytes have arrived."""

    @abc.abstractmethod
    def displace(self) -> None:
        """Closes the connection at once to make room for another one."""


class Seat:
    """The place of one accepted connection."""

    def __init__(
        self,
        account: 'ConnectionAccount',
        listener: 'Listener',
        connection: Closable,
        address: str,
    ) -> None:
        self._account = account
        self.listener = listener
        self.connection = connection
        self.address = address
        self.stage = Stage.IDLE

    def enter(self, stage: Stage) -> None:
        """Records what the connection does from now on."""
        self._account.move(self, stage)

    def leave(self) -> None:
        """Returns the place; may be called more than once."""
        self._account.remove(self)


class Listener:
    """The connections of one listening address.

    :ivar reserved: places that only this address may take.
    """

    def __init__(
        self, account: 'ConnectionAccount', name: str, reserved: int
    ) -> None:
        self._account = account
        self.name = name
        self.reserved = reserved
        self.open_count = 0

    @property
    def shared_count(self) -> int:
        """Places taken beyond the reserved ones."""
        return max(self.open_count - self.reserved, 0)

    def admit(self, connection: Closable, address: str) -> Seat | None:
        """Returns a place for a new connection, ``None`` if it is refused.

        :param address: remote address, without the port.
        """
        return self._account.admit(self, connection, address)


class ConnectionAccount:
    """Counts the connections of all listening addresses.

    :param room: connections in total, beyond the reserved ones.
    """

    def __init__(
        self, room: int, timer: timers.TimerService, metric: metrics.Metrics
    ) -> None:
        self._room = room
        self._address_room = max(int(room * ADDRESS_PART), 1)
        self._metric = metric
        self._report = _Report(timer)
        self._listeners: list[Listener] = []
        self._count_by_address: dict[str, int] = collections.Counter()
        # In the order in which they have entered the stage.
        self._seats_by_stage = {
            stage: ordered_set.OrderedSet[Seat]() for stage in Stage
        }

    @property
    def open_count(self) -> int:
        """Number of connections at all addresses."""
        return sum(each.open_count for each in self._listeners)

    def listener(self, name: str, reserved: int = 0) -> Listener:
        """Adds a listening address.

        :param reserved: places that only this address may take.
        """
        listener = Listener(self, name, reserved)
        self._listeners.append(listener)
        return listener

    def admit(
        self, listener: Listener, connection: Closable, address: str
    ) -> Seat | None:
        """Returns a place; closes another connection if need be."""
        if listener.open_count >= listener.reserved:
            if not self._make_room(listener, address):
                self._metric.count('connections.refused')
                self._report.record_refused(listener, address)
                return None
        seat = Seat(self, listener, connection, address)
        listener.open_count += 1
        self._count_by_address[address] += 1
        self._seats_by_stage[seat.stage].add(seat)
        return seat

    def move(self, seat: Seat, stage: Stage) -> None:
        """Records that a connection enters a stage."""
        if seat not in self._seats_by_stage[seat.stage]:
            return
        self._seats_by_stage[seat.stage].discard(seat)
        seat.stage = stage
        self._seats_by_stage[stage].add(seat)

    def remove(self, seat: Seat) -> None:
        """Removes a connection that has ended."""
        if seat not in self._seats_by_stage[seat.stage]:
            return
        self._seats_by_stage[seat.stage].discard(seat)
        seat.listener.open_count -= 1
        self._count_by_address[seat.address] -= 1
        if not self._count_by_address[seat.address]:
            del self._count_by_address[seat.address]

    def _make_room(self, listener: Listener, address: str) -> bool:
        """Closes a connection if need be; returns whether there is room."""
        is_full = self._shared_count >= self._room
        is_over_part = (
            self._count_by_address.get(address, 0) >= self._address_room
        )
        if not is_full and not is_over_part:
            return True
        for stage in CLOSABLE_STAGES:
            for seat in self._seats_by_stage[stage]:
                if is_over_part and seat.address != address:
                    continue
                if is_full and not _frees_room(seat, listener):
                    continue
                if stage is Stage.IDLE and seat.connection.has_unread():
                    continue
                self._close(seat)
                return True
        return False

    @property
    def _shared_count(self) -> int:
        return sum(each.shared_count for each in self._listeners)

    def _close(self, seat: Seat) -> None:
        self._metric.count(f'connections.closed.{seat.stage}')
        self._report.record_closed(seat)
        self.remove(seat)
        seat.connection.displace()


def unlimited() -> Listener:
    """Returns a listening address without a limit."""
    account = ConnectionAccount(
        sys.maxsize, timers.GeventTimers(), metrics.MemoryMetrics()
    )
    return account.listener('unlimited')


def _frees_room(seat: Seat, listener: Listener) -> bool:
    """Whether a connection takes a place that a listener may take."""
    return seat.listener is listener or seat.listener.shared_count > 0


class _Report:
    """Logs closed and refused connections, several in one line."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._logged_at = -REPORT_PERIOD_S
        self._closed_count = 0
        self._refused_count = 0

    def record_closed(self, seat: Seat) -> None:
        self._closed_count += 1
        self._log(seat.listener, seat.address)

    def record_refused(self, listener: Listener, address: str) -> None:
        self._refused_count += 1
        self._log(listener, address)

    def _log(self, listener: Listener, address: str) -> None:
        now = self._timer.now()
        if now - self._logged_at < REPORT_PERIOD_S:
            return
        events.warning(
            'connections_limited',
            listener=listener.name,
            last_address=address,
            closed=self._closed_count,
            refused=self._refused_count,
        )
        self._logged_at = now
        self._closed_count = 0
        self._refused_count = 0
