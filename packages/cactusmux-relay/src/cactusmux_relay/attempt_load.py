"""The load that one attempt of a stream has noted in the ledger.

The path of a running stream may change. What was noted for targets that are
no longer in it is taken back, also if the attempt ends while an order to
change the path is under way.
"""

from collections.abc import Iterable

from . import load_tracker


class AttemptLoad:
    """Tokens of one attempt, by the targets for which they are noted."""

    def __init__(
        self, tracker: load_tracker.LoadTracker, tokens: float
    ) -> None:
        self._load_tracker = tracker
        self._tokens = tokens
        self._ids: frozenset[str] = frozenset()
        self.has_ended = False

    @property
    def ids(self) -> frozenset[str]:
        """Ids of the targets for which the load is noted."""
        return self._ids

    def set_targets(self, target_ids: Iterable[str]) -> None:
        """Notes the load for exactly these targets; nothing after the end."""
        if self.has_ended:
            return
        wanted = frozenset(target_ids)
        self._load_tracker.add(wanted - self._ids, self._tokens)
        self._load_tracker.remove(self._ids - wanted, self._tokens)
        self._ids = wanted

    def end(self) -> None:
        """Takes back all that is noted."""
        self.set_targets(())
        self.has_ended = True
