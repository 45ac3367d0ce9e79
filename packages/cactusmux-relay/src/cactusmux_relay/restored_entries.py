"""Entries of targets that a restored store shows in an earlier form.

The earlier entry of a target says less than what was known before: the
target may hold other layers by now, have announced that it leaves, or be
gone. Targets write their entries again within some heartbeats, and the store
removes those that are gone.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_platform import stores

from . import targets

# At most this many targets that are gone are remembered, the latest ones.
MAX_GONE = 256


class DecodedEntry(NamedTuple):
    """An entry and its decoded target; ``None`` if it holds no target."""

    entry: stores.Entry
    target: targets.Target | None


class _Outdated(NamedTuple):
    """An entry of the new era, and the target as it was known before.

    :ivar known: ``None`` for a target that was gone.
    """

    entry: stores.Entry
    known: targets.Target | None


class RestoredEntries:
    """Tells which entries of a new era are earlier than what is known.

    An entry counts as earlier if it is in the first copy of a new era and
    differs from the last one of the era before, unless it says that the
    target is leaving or has restarted. It is used once it is written again.
    """

    def __init__(self) -> None:
        self._era: int | None = None
        # Used as an ordered set.
        self._gone_keys: dict[str, None] = {}
        self._outdated_by_key: dict[str, _Outdated] = {}

    def record_gone(self, keys: Iterable[str]) -> None:
        """Records targets whose entries were removed."""
        for key in keys:
            self._gone_keys.pop(key, None)
            self._gone_keys[key] = None
        for key in list(self._gone_keys)[:-MAX_GONE]:
            del self._gone_keys[key]

    def begins(self, era: int) -> bool:
        """Whether an era is a new one after a known one."""
        known = self._era
        if known is not None and era <= known:
            return False
        self._era = era
        return known is not None

    def compare(
        self,
        known_by_key: Mapping[str, DecodedEntry],
        found_by_key: Mapping[str, DecodedEntry],
    ) -> None:
        """Compares the first entries of a new era with the known ones."""
        self._outdated_by_key = {}
        for key, found in found_by_key.items():
            known = known_by_key.get(key)
            if known is None:
                if key in self._gone_keys:
                    self._outdated_by_key[key] = _Outdated(found.entry, None)
            elif _is_earlier(found, known):
                outdated = _Outdated(found.entry, known.target)
                self._outdated_by_key[key] = outdated
        if self._outdated_by_key:
            events.info(
                'target_entries_outdated',
                era=self._era,
                count=len(self._outdated_by_key),
            )

    @property
    def has_outdated(self) -> bool:
        """Whether known targets are used in place of their entries."""
        return any(
            outdated.known is not None
            for outdated in self._outdated_by_key.values()
        )

    def settle(self) -> None:
        """Uses all entries but those of targets that were gone."""
        self._outdated_by_key = {
            key: outdated
            for key, outdated in self._outdated_by_key.items()
            if outdated.known is None
        }

    def resolve(
        self, key: str, decoded: DecodedEntry
    ) -> targets.Target | None:
        """Returns the target to use for an entry, ``None`` for none."""
        outdated = self._outdated_by_key.get(key)
        if outdated is None:
            return decoded.target
        if outdated.entry == decoded.entry:
            return outdated.known
        del self._outdated_by_key[key]
        return decoded.target


def _is_earlier(found: DecodedEntry, known: DecodedEntry) -> bool:
    if found.entry == known.entry:
        return False
    if found.target is None or known.target is None:
        return False
    is_same_start = found.target.start == known.target.start
    return is_same_start and not found.target.is_leaving
