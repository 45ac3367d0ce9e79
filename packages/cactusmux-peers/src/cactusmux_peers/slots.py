"""Slots of this instance's own records, by what they are about."""

from collections.abc import Hashable


class SlotMap:
    """Gives each key a slot, and its freed slots to later keys.

    A slot is even; the odd one after it holds the key's level, the part
    that changes often.
    """

    def __init__(self) -> None:
        self._slot_by_key: dict[Hashable, int] = {}
        self._free: list[int] = []
        self._next = 0

    def get(self, key: Hashable) -> int | None:
        """Returns the slot of a key that has one."""
        return self._slot_by_key.get(key)

    def take(self, key: Hashable) -> int:
        """Returns the slot of a key, a new one if it has none."""
        slot = self._slot_by_key.get(key)
        if slot is not None:
            return slot
        if self._free:
            slot = self._free.pop()
        else:
            slot = self._next
            self._next += 2
        self._slot_by_key[key] = slot
        return slot

    def release(self, key: Hashable) -> int | None:
        """Frees the slot of a key and returns it."""
        slot = self._slot_by_key.pop(key, None)
        if slot is not None:
            self._free.append(slot)
        return slot

    def keys(self) -> tuple[Hashable, ...]:
        """Returns the keys that have a slot."""
        return tuple(self._slot_by_key)


def level_slot(slot: int) -> int:
    """Returns the slot of the level that belongs to an even slot."""
    return slot + 1


def named_slot(level: int) -> int:
    """Returns the even slot that a level's slot belongs to."""
    return level - 1
