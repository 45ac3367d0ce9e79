"""Splits an event stream into whole events and reads their ids."""

from typing import NamedTuple


class Event(NamedTuple):
    """One whole event as its bytes; ``id`` is ``None`` if it has none."""

    id: int | None
    data: bytes


class EventSplitter:
    """Collects bytes and gives out whole events; a torn one stays inside."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that ``data`` completes, in order."""
        self._rest += data
        events: list[Event] = []
        while True:
            end = _event_end(self._rest)
            if end < 0:
                return events
            raw = self._rest[:end]
            self._rest = self._rest[end:]
            events.append(Event(_event_id(raw), raw))

    @property
    def rest(self) -> bytes:
        """Bytes of an event that isn't whole."""
        return self._rest


def _event_end(data: bytes) -> int:
    """Returns where the first event ends, -1 if it isn't whole."""
    ends = []
    for mark in (b'\n\n', b'\r\n\r\n'):
        at = data.find(mark)
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
