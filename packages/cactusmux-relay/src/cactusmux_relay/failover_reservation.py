"""Reserves what a stream needs to continue on another path.

The reservation is made before the current attempt is aborted. When a stage
shared by many streams is lost, each stream reserves its own path and retry.
Its load counts on the new path from then on, so that the streams don't all
choose the same one.
"""

from cactusmux_base import events

from . import context
from . import load_tracker
from . import outcomes
from . import path_choice
from . import path_finder
from . import path_queue
from . import pipe_quota
from . import retry_budget


class FailoverReservation:
    """The next path of one stream and the retry that it takes."""

    def __init__(
        self,
        finder: path_finder.PathFinder,
        tracker: load_tracker.LoadTracker,
        budget: retry_budget.RetryBudget,
        exchange: context.Exchange,
        demand: path_choice.Demand,
    ) -> None:
        self._finder = finder
        self._load_tracker = tracker
        self._budget = budget
        self._exchange = exchange
        self._demand = demand
        self._choice: path_choice.Choice | None = None
        self._crossings: pipe_quota.Reservations = ()
        # Fraction of the retry budget that this stream leaves to others.
        self.repeats_kept = 0.0
        self._kept_for: outcomes.Refusal | None = None

    def reserve(self, avoided: set[str]) -> bool:
        """Reserves a path and a retry; returns whether both are reserved."""
        if self._choice is not None:
            return True
        service = self._exchange.service.name
        if not self._budget.has_left(service, self.repeats_kept):
            return self.log_kept(outcomes.Refusal.REPEATS_SPENT)
        choice = self._finder.choose(
            self._exchange,
            self._demand,
            avoided,
            0.0,
            path_queue.Rank.RESUMED,
        )
        if choice.path is None and avoided:
            choice = self._finder.choose(
                self._exchange,
                self._demand,
                set(),
                0.0,
                path_queue.Rank.RESUMED,
            )
        if choice.path is None:
            return self.log_kept(outcomes.Refusal.NO_ROOM)
        self._budget.take(service)
        self._load_tracker.add(_ids(choice), self._demand.tokens)
        self._crossings = self._finder.reserve_crossings(
            self._exchange, choice.path, self._demand
        )
        self._choice = choice
        return True

    def release(self) -> path_choice.Choice | None:
        """Releases and returns the reserved path.

        The caller has to record the load of the path.
        """
        choice = self._choice
        self._choice = None
        if choice is not None:
            self._load_tracker.remove(_ids(choice), self._demand.tokens)
            self._finder.release_crossings(self._crossings)
            self._crossings = ()
        return choice

    def log_kept(self, reason: outcomes.Refusal) -> bool:
        """Logs why a stream stays on a target that is down; returns False."""
        if self._kept_for != reason:
            events.info(
                'stream_kept',
                id=self._exchange.facts.request_id,
                reason=reason,
            )
        self._kept_for = reason
        return False


def _ids(choice: path_choice.Choice) -> list[str]:
    return [stage.target.id for stage in choice.path or ()]
