"""Targets that have said that they leave, beside what their entries say.

A start of a target that has said so gets no new work any more, whatever an
entry or a copy of one says. It is forgotten when the target starts anew.
"""

from collections.abc import Mapping
import enum

from cactusmux_base import events

from . import targets

# Starts whose entries are gone may come back for a while; the oldest of so
# many are dropped.
MAX_ABSENT_STARTS = 256


class Source(enum.StrEnum):
    """From where it is known that a target leaves; used in logs."""

    ANSWER = 'answer'
    REPORT = 'report'
    PEER = 'peer'


class LeavingTargets:
    """Remembers the starts of targets that leave, oldest first."""

    def __init__(self) -> None:
        # An ordered set.
        self._starts: dict[targets.Start, None] = {}

    @property
    def tracked_count(self) -> int:
        """Returns how many starts are remembered."""
        return len(self._starts)

    def note(self, start: targets.Start, source: Source) -> bool:
        """Notes that a target leaves; returns whether that is new."""
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
        """Returns the target, as leaving if its start has said so."""
        if target.is_leaving or target.start not in self._starts:
            return target
        return target._replace(is_leaving=True)

    def present_starts(
        self, target_by_id: Mapping[str, targets.Target]
    ) -> list[targets.Start]:
        """Returns the remembered starts of present targets, in order."""
        return sorted(
            start for start in self._starts if _is_present(start, target_by_id)
        )

    def prune(self, target_by_id: Mapping[str, targets.Target]) -> None:
        """Drops starts that newer ones have replaced, and the oldest gone."""
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
