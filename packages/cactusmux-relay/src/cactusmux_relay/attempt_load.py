"""The load that one stream attempt has added to the load tracker.

The path of a running stream may change. Load on targets that are no longer on
the path is removed, also if the attempt ends while an order to change the
path is pending.
"""

from collections.abc import Iterable

from . import load_tracker


class AttemptLoad:
    """Tokens of one attempt, counted as load on each of its targets."""

    def __init__(
        self, tracker: load_tracker.LoadTracker, tokens: float
    ) -> None:
        self._load_tracker = tracker
        self._tokens = tokens
        self._ids: frozenset[str] = frozenset()
        self.has_ended = False

    @property
    def ids(self) -> frozenset[str]:
        """Ids of the targets on which the load is counted."""
        return self._ids

    def set_targets(self, target_ids: Iterable[str]) -> None:
        """Counts the load on exactly these targets; ignored after the end."""
        if self.has_ended:
            return
        wanted = frozenset(target_ids)
        self._load_tracker.add(wanted - self._ids, self._tokens)
        self._load_tracker.remove(self._ids - wanted, self._tokens)
        self._ids = wanted

    def end(self) -> None:
        """Removes the load from all targets."""
        self.set_targets(())
        self.has_ended = True
