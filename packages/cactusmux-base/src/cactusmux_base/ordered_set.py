"""A set that iterates over its members in the order of insertion.

A plain set of objects that don't define a hash iterates by their memory
addresses, so the same load can be handled in another order in each process.
"""

from collections.abc import Hashable, Iterable, Iterator, MutableSet
from typing import TypeVar

Member = TypeVar('Member', bound=Hashable)


class OrderedSet(MutableSet[Member]):
    """A mutable set in the order of insertion.

    Members that are added again keep their place.
    """

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self._members: dict[Member, None] = dict.fromkeys(members)

    def __contains__(self, member: object) -> bool:
        return member in self._members

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def __len__(self) -> int:
        return len(self._members)

    def add(self, value: Member) -> None:
        """Adds a member at the end unless it is present."""
        self._members[value] = None

    def discard(self, value: Member) -> None:
        """Removes a member if it is present."""
        self._members.pop(value, None)
