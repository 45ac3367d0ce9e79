"""Assignment of record slots to the keys of this instance."""

from collections.abc import Hashable


class SlotMap:
    """Assigns a slot to each key, and reuses freed slots.

    Slots are even numbers. The odd slot after a key's slot holds its level,
    the part that changes often.
    """

    def __init__(self) -> None:
        self._slot_by_key: dict[Hashable, int] = {}
        self._free: list[int] = []
        self._next = 0

    def get(self, key: Hashable) -> int | None:
        """Returns the slot of a key, or ``None``."""
        return self._slot_by_key.get(key)

    def assign(self, key: Hashable) -> int:
        """Returns the slot of a key, assigning one if it has none."""
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
        """Returns all keys with a slot."""
        return tuple(self._slot_by_key)


def level_slot(slot: int) -> int:
    """Returns the level slot that belongs to an even slot."""
    return slot + 1


def named_slot(level: int) -> int:
    """Returns the even slot that a level slot belongs to."""
    return level - 1
