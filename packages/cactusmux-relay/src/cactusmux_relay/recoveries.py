"""Detects targets that have started, or returned after an exclusion.

Targets that merely didn't respond don't count as recovered: when connections
time out, the network may have been at fault while the target kept working.
A returning target has recovered only if it had refused connections, been
ejected or asked for a backoff.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusmux_base import timers

from . import slow_start
from . import target_registry
from . import targets

# Targets first seen within this time after the first target list count as
# warm: then this instance, or the whole fleet, has just started.
INITIAL_DISCOVERY_S = 5.0
# Entries of targets may disappear and return. At most this many targets
# without an entry are kept; the oldest are dropped first.
MAX_ABSENT_TARGETS = 256

IdSource = Callable[[], frozenset[str]]


class Recovery(NamedTuple):
    """A target that has started or recovered."""

    start: targets.Start
    cause: slow_start.Cause


class Recoveries:
    """Compares the current targets with those of the previous call."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        timer: timers.TimerService,
    ) -> None:
        self._registry = registry
        self._timer = timer
        self._ids_by_cause: dict[slow_start.Cause, IdSource] = {}
        self._excluded_by_cause: dict[
            slow_start.Cause, dict[str, targets.Start]
        ] = {}
        self._known_by_id: dict[str, targets.Start] = {}
        self._not_serving_ids: set[str] = set()
        self._last_target_by_id: dict[str, targets.Target] | None = None
        self._first_list_at: float | None = None

    def add_exclusion(self, cause: slow_start.Cause, ids: IdSource) -> None:
        """Adds a cause for which targets may be excluded.

        :param ids: returns the ids of the targets that are excluded now.
        """
        self._ids_by_cause[cause] = ids
        self._excluded_by_cause[cause] = {}

    def take_recoveries(self) -> list[Recovery]:
        """Returns targets that started or recovered since the last call."""
        recoveries = list(self._find_started())
        for cause, ids in self._ids_by_cause.items():
            recoveries.extend(self._find_recovered(cause, ids()))
        return recoveries if self._is_settled else []

    @property
    def _is_settled(self) -> bool:
        if self._first_list_at is None:
            return False
        return self._timer.now() - self._first_list_at >= INITIAL_DISCOVERY_S

    def _find_started(self) -> Iterable[Recovery]:
        target_by_id = self._registry.target_by_id
        if self._last_target_by_id is target_by_id:
            return
        # The registry creates a new dictionary for each target list.
        self._last_target_by_id = target_by_id
        if self._first_list_at is None and target_by_id:
            self._first_list_at = self._timer.now()
        for target in target_by_id.values():
            if self._known_by_id.get(target.id) != target.start:
                self._known_by_id.pop(target.id, None)
                self._known_by_id[target.id] = target.start
                self._not_serving_ids.add(target.id)
            if target.id not in self._not_serving_ids:
                continue
            # A target of a model counts as started once it holds its first
            # layers. Targets of the initial list are equally old, so none of
            # them counts as new.
            if slow_start.is_serving(target) or not self._is_settled:
                self._not_serving_ids.discard(target.id)
                yield Recovery(target.start, slow_start.Cause.STARTED)
        self._forget_gone(target_by_id)

    def _forget_gone(self, target_by_id: dict[str, targets.Target]) -> None:
        gone = [each for each in self._known_by_id if each not in target_by_id]
        for target_id in gone[: max(0, len(gone) - MAX_ABSENT_TARGETS)]:
            del self._known_by_id[target_id]
            self._not_serving_ids.discard(target_id)

    def _find_recovered(
        self, cause: slow_start.Cause, ids: frozenset[str]
    ) -> Iterable[Recovery]:
        excluded = self._excluded_by_cause[cause]
        if not ids and not excluded:
            return
        target_by_id = self._registry.target_by_id
        for target_id, start in list(excluded.items()):
            if target_id in ids:
                continue
            del excluded[target_id]
            current = target_by_id.get(target_id)
            if current is not None and current.start == start:
                yield Recovery(start, cause)
        for target_id in ids:
            current = target_by_id.get(target_id)
            if current is not None:
                excluded.setdefault(target_id, current.start)
