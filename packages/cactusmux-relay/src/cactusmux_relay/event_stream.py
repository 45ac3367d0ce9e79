"""Splits a byte stream into server-sent events and reads their ids."""

import re
from typing import NamedTuple

from cactusmux_base import failures

from . import event_ids

# An event holds a few tokens: more bytes than this without an event boundary
# aren't an event stream.
MAX_EVENT_BYTES = 262_144
_BOUNDARY = re.compile(rb'\n\n|\r\n\r\n')
_MAX_BOUNDARY_BYTES = 4


class Event(NamedTuple):
    """The bytes of one event; ``id`` is ``None`` without a usable id."""

    id: event_ids.EventId | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it holds nothing but comments."""
        if self.id is not None:
            return False
        lines = self.data.splitlines()
        return all(line.startswith(b':') or not line for line in lines)


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
            boundary = _BOUNDARY.search(self._rest, self._searched)
            if boundary is None:
                break
            end = boundary.end()
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


def _event_id(raw: bytes) -> event_ids.EventId | None:
    for line in raw.splitlines():
        if not line.startswith(b'id:'):
            continue
        return event_ids.read(line[len(b'id:') :])
    return None
