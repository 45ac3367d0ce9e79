"""Splits an event stream into whole events and reads their ids."""

from typing import NamedTuple

from cactusmux_base import failures

# An event holds a few tokens; more without an end is no event.
MAX_EVENT_BYTES = 262_144
_MARKS = (b'\n\n', b'\r\n\r\n')
_LONGEST_MARK = max(len(mark) for mark in _MARKS)


class Event(NamedTuple):
    """One whole event as its bytes; ``id`` is ``None`` if it has none."""

    id: int | None
    data: bytes


class EventTooLong(failures.CactusmuxError):
    """Bytes that go on without the end of an event."""

    reason = 'event_too_long'

    def __init__(self, size: int) -> None:
        super().__init__(
            f'{size} bytes without the end of an event,'
            f' at most {MAX_EVENT_BYTES} are taken'
        )
        self.size = size


class EventSplitter:
    """Collects bytes and gives out whole events; a torn one stays inside."""

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
        self._searched = max(0, len(self._rest) - _LONGEST_MARK)
        return events

    @property
    def rest(self) -> bytes:
        """Bytes of an event that isn't whole."""
        return bytes(self._rest)


def _event_end(data: bytearray, start: int) -> int:
    """Returns where the first event ends, -1 if it isn't whole."""
    ends = []
    for mark in _MARKS:
        at = data.find(mark, start)
        if at >= 0:
            ends.append(at + len(mark))
    return min(ends, default=-1)


def _event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if not line.startswith(b'id:'):
            continue
        value = line[len(b'id:') :].strip()
        return int(value) if value.isdigit() else None
    return None
