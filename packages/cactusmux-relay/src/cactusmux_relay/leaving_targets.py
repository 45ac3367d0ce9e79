"""Targets that have announced that they are leaving.

The announcement takes precedence over the target's entry in the store and
over copies of that entry: the announced start of the target gets no new work.
It is dropped when the target restarts.
"""

from collections.abc import Mapping
import enum

from cactusmux_base import events

from . import targets

# Entries of starts may disappear and return. At most this many starts without
# an entry are kept; the oldest are dropped first.
MAX_ABSENT_STARTS = 256


class Source(enum.StrEnum):
    """How an instance learned that a target is leaving; used in logs."""

    ANSWER = 'answer'
    REPORT = 'report'
    PEER = 'peer'
    # Its entry in the store, before the store was restored.
    ENTRY = 'entry'


class LeavingTargets:
    """Stores the starts of leaving targets, oldest first."""

    def __init__(self) -> None:
        # Used as an ordered set.
        self._starts: dict[targets.Start, None] = {}

    @property
    def tracked_count(self) -> int:
        """Number of stored starts."""
        return len(self._starts)

    def record(self, start: targets.Start, source: Source) -> bool:
        """Records that a target is leaving; returns whether it is new."""
        if start in self._starts:
            return False
        self._starts[start] = None
        events.info(
            'target_leaving',
            target=start.target_id,
            born_ms=start.born_ms,
            source=source,
        )
        return True

    def with_leaving_flag(self, target: targets.Target) -> targets.Target:
        """Returns the target, marked as leaving if its start is stored."""
        if target.is_leaving or target.start not in self._starts:
            return target
        return target._replace(is_leaving=True)

    def present_starts(
        self, target_by_id: Mapping[str, targets.Target]
    ) -> list[targets.Start]:
        """Returns the stored starts that are in the list, sorted."""
        return sorted(
            start for start in self._starts if _is_present(start, target_by_id)
        )

    def prune(self, target_by_id: Mapping[str, targets.Target]) -> None:
        """Drops replaced starts, and the oldest starts without an entry."""
        gone = []
        for start in list(self._starts):
            if _is_present(start, target_by_id):
                continue
            current = target_by_id.get(start.target_id)
            if current is not None and current.born_ms > start.born_ms:
                del self._starts[start]
                continue
            gone.append(start)
        for start in gone[: max(0, len(gone) - MAX_ABSENT_STARTS)]:
            del self._starts[start]


def _is_present(
    start: targets.Start, target_by_id: Mapping[str, targets.Target]
) -> bool:
    current = target_by_id.get(start.target_id)
    return current is not None and current.start == start
