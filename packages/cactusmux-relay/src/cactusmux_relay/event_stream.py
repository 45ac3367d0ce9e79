"""Splits a byte stream into server-sent events and reads their ids."""

from typing import NamedTuple

from cactusmux_base import failures

from . import event_ids

# An event holds a few tokens: more bytes than this without an event boundary
# aren't an event stream.
MAX_EVENT_BYTES = 262_144
_BOUNDARIES = (b'\n\n', b'\r\n\r\n')
_MAX_BOUNDARY_BYTES = max(len(boundary) for boundary in _BOUNDARIES)


class Event(NamedTuple):
    """The bytes of one event; ``id`` is ``None`` without a usable id."""

    id: event_ids.EventId | None
    data: bytes


class EventTooLong(failures.CactusmuxError):
    """Too many bytes without an event boundary."""

    reason = 'event_too_long'

    def __init__(self, size: int) -> None:
        super().__init__(
            f'{size} bytes without an event boundary,'
            f' the limit is {MAX_EVENT_BYTES}'
        )
        self.size = size


class EventSplitter:
    """Buffers bytes and returns complete events; keeps an incomplete one."""

    def __init__(self) -> None:
        self._rest = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that ``data`` completes, in order.

        Raises :class:`EventTooLong`.
        """
        self._rest += data
        events: list[Event] = []
        while True:
            end = _event_end(self._rest, self._searched)
            if end < 0:
                break
            raw = bytes(self._rest[:end])
            del self._rest[:end]
            self._searched = 0
            events.append(Event(_event_id(raw), raw))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLong(len(self._rest))
        self._searched = max(0, len(self._rest) - _MAX_BOUNDARY_BYTES)
        return events

    @property
    def rest(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._rest)


def _event_end(data: bytearray, start: int) -> int:
    """Returns where the first event ends, -1 if it is incomplete."""
    ends = []
    for boundary in _BOUNDARIES:
        at = data.find(boundary, start)
        if at >= 0:
            ends.append(at + len(boundary))
    return min(ends, default=-1)


def _event_id(raw: bytes) -> event_ids.EventId | None:
    for line in raw.splitlines():
        if not line.startswith(b'id:'):
            continue
        return event_ids.read(line[len(b'id:') :])
    return None
