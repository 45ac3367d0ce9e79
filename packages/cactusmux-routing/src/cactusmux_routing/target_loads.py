"""Estimated load of a target between its delayed reports."""

import collections

from . import target_table

# Stream starts and ends are kept for as long as a report may be delayed.
HISTORY_S = 10.0


class TargetLoad:
    """A target and the streams that this instance has started on it.

    ``streams`` estimates the current number of running and queued streams: the
    number in the last report, plus the streams that this instance has started
    and minus those it has ended since.
    """

    __slots__ = (
        'target',
        'streams',
        'capacity_tps',
        'own_streams',
        '_changes',
    )

    def __init__(self, target: target_table.Target) -> None:
        self.target = target
        self.capacity_tps = max(target.capacity_tps, 1e-9)
        self.streams = target.running + target.queued
        self.own_streams = 0
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def wait_s(self) -> float:
        """Predicted seconds between two tokens of one more stream."""
        return (self.streams + 1) / self.capacity_tps

    def apply_report(self, target: target_table.Target) -> None:
        """Applies a report; one older than the last is ignored."""
        if target.taken_at < self.target.taken_at:
            return
        self.target = target
        self.capacity_tps = max(target.capacity_tps, 1e-9)
        while self._changes and self._changes[0][0] <= target.taken_at:
            self._changes.popleft()
        unreported = sum(amount for _, amount in self._changes)
        reported = target.running + target.queued
        self.streams = max(reported + unreported, self.own_streams, 0)

    def add_streams(self, amount: int, now: float) -> None:
        """Records that this instance started or ended ``amount`` streams."""
        self.own_streams = max(self.own_streams + amount, 0)
        self.streams = max(self.streams + amount, 0)
        self._changes.append((now, amount))
        while self._changes[0][0] < now - HISTORY_S:
            self._changes.popleft()
