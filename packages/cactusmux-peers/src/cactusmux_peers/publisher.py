"""Publishes the records of this instance when they change or expire."""

from collections.abc import Callable, Hashable
from typing import NamedTuple

from cactusmux_base import timers

from . import payloads
from . import records
from . import slots

# Unchanged records are rewritten at this age, which bounds their age.
REFRESH_S = 4.0


class Key(NamedTuple):
    """Identifies the subject of a record; unique by tag and name."""

    tag: payloads.Tag
    name: Hashable


class _Written(NamedTuple):
    """The last values written for a key; ``at`` is when the level was."""

    name: bytes
    level: bytes
    at: float


class Publisher:
    """Assigns slots to keys and decides which writes are due."""

    def __init__(
        self,
        table: records.RecordTable,
        timer: timers.TimerService,
    ) -> None:
        self._table = table
        self._timer = timer
        self._slots = slots.SlotMap()
        self._written_by_key: dict[Key, _Written] = {}

    def keys(self, tag: payloads.Tag) -> list[Key]:
        """Returns the keys of a tag that have records."""
        return [key for key in self._written_by_key if key.tag is tag]

    def write(self, key: Key, payload: bytes) -> None:
        """Writes a record without a level if new, changed or too old."""
        last = self._written_by_key.get(key)
        if (
            last
            and last.name == payload
            and not self._is_due_for_refresh(last)
        ):
            return
        self._table.publish({self._slots.assign(key): payload})
        self._written_by_key[key] = _Written(payload, b'', self._timer.now())

    def write_level(
        self,
        key: Key,
        name: bytes,
        level: bytes,
        has_changed: Callable[[bytes, bytes], bool],
        refresh_s: float = REFRESH_S,
    ) -> None:
        """Writes a name if it changed, a level if it changed or is old.

        :param has_changed: returns whether a level differs enough from the
            last one to be written at once.
        :param refresh_s: age at which a level is rewritten, in seconds.
        """
        slot = self._slots.assign(key)
        last = self._written_by_key.get(key)
        if last is None:
            payload_by_slot = {slot: name, slots.level_slot(slot): level}
            self._table.publish(payload_by_slot)
            self._written_by_key[key] = _Written(
                name, level, self._timer.now()
            )
            return
        if last.name != name:
            self._table.publish({slot: name})
            last = last._replace(name=name)
        if self._is_due_for_refresh(last, refresh_s) or has_changed(
            last.level, level
        ):
            self._table.publish({slots.level_slot(slot): level})
            last = _Written(name, level, self._timer.now())
        self._written_by_key[key] = last

    def remove(self, key: Key) -> None:
        """Removes the records of a key, if it has any."""
        slot = self._slots.release(key)
        if slot is None:
            return
        tombstone = payloads.tombstone_for(self._written_by_key.pop(key).name)
        self._table.publish(
            {slot: tombstone, slots.level_slot(slot): tombstone}
        )

    def _is_due_for_refresh(
        self, last: _Written, refresh_s: float = REFRESH_S
    ) -> bool:
        return self._timer.now() - last.at >= refresh_s
