"""Selects a path for each request and reacts to targets that reject it."""

from collections.abc import Callable, Iterable, Sequence
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

from . import backoffs
from . import context
from . import cost_model
from . import desired_state
from . import down_targets
from . import first_stages
from . import load_tracker
from . import outcomes
from . import path_choice
from . import path_queue
from . import pipe_quota
from . import send_limits
from . import slow_targets
from . import target_registry
from . import targets

# A target's cost is multiplied by exp(x); |x| is random and at most this.
MAX_COST_EXPONENT = 0.3
PATH_POLL_S = 0.01
# Left of a request's deadline to send the response after a failed search.
RESPONSE_MARGIN_S = 0.02
# How long a target is excluded after it rejected a request, mostly because it
# was short of memory.
REJECTION_EXCLUSION_S = 0.3
MAX_LOGGED_TARGETS = 8

# Returns ids of targets that are used only if no path avoids them.
SoftExclusion = Callable[[], frozenset[str]]


def _no_targets() -> frozenset[str]:
    return frozenset()


class PathFinder:
    """Chooses paths by the state of the targets and their load.

    :ivar first_stages: tells at which targets a path may begin.
    """

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        tracker: load_tracker.LoadTracker,
        down: down_targets.DownTargets,
        paces: slow_targets.SlowTargets,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        backoff: backoffs.Backoffs,
        rng: random.Random,
        soft_exclusions: Sequence[SoftExclusion] = (),
        quota: pipe_quota.PipeQuota | None = None,
        at_limit: SoftExclusion = _no_targets,
        rates: send_limits.SendLimits | None = None,
    ) -> None:
        """Initializes the finder.

        :param soft_exclusions: return ids of targets that are used only if
            no path avoids them.
        :param at_limit: returns ids of targets that have reached their
            slow-start limit after a start or recovery. Resumed streams
            ignore the limit; other requests use these targets only if no
            path avoids them, but before those softly excluded.
        :param rates: decides at which targets a path may begin.
        """
        self._at_limit = at_limit
        self._soft_exclusions = tuple(soft_exclusions)
        self._registry = registry
        self._tracker = tracker
        self._down = down
        self._paces = paces
        self._timer = timer
        self._metric = metric
        self._backoff = backoff
        self._rng = rng
        self._quota = quota or pipe_quota.PipeQuota(timer, metric, rng)
        self._excluded_until_by_id: dict[str, float] = {}
        self.first_stages = first_stages.FirstStages(
            registry, rates or send_limits.UnlimitedSends(), self._excluded
        )
        self._queue_by_service: dict[str, path_queue.PathQueue] = {}

    def choose(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        avoided: set[str],
        wait_s: float,
        rank: path_queue.Rank = path_queue.Rank.NEW,
    ) -> path_choice.Choice:
        """Returns a path with free capacity, waiting up to ``wait_s``.

        Only the last attempt may cross links between zones that are loaded
        up to :data:`path_choice.LAST_RESORT_PIPE_LIMIT`. There is no wait if
        the backoff of targets, or rate limits, leave no path for longer than
        ``wait_s``.
        """
        self.first_stages.record_request(exchange.service.name)
        until = min(
            self._timer.now() + wait_s, exchange.ends_at - RESPONSE_MARGIN_S
        )
        if exchange.facts.last_event_id is not None:
            rank = path_queue.Rank.RESUMED
        is_resumed = rank is path_queue.Rank.RESUMED
        queue = self._queue_by_service.setdefault(
            exchange.service.name, path_queue.PathQueue()
        )
        number = queue.join(rank)
        try:
            while True:
                left_s = until - self._timer.now()
                blocked_s = max(
                    self.backoff_wait_s(exchange.service),
                    self.first_stages.wait_s(
                        exchange.service.name, queue.ahead_of(number)
                    ),
                )
                is_last = left_s <= max(0.0, blocked_s)
                if is_last or queue.may_search(number):
                    choice = self._search_with_fallbacks(
                        exchange, demand, avoided, is_last, is_resumed
                    )
                    if choice.path is not None:
                        return choice
                    if is_last:
                        choice = self._with_held_targets(
                            exchange, demand, avoided, choice
                        )
                        self._log_no_path(exchange, demand, choice)
                        return choice
                self._timer.sleep(PATH_POLL_S)
        finally:
            queue.leave(number)

    def _search_with_fallbacks(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        avoided: set[str],
        is_last: bool,
        is_resumed: bool,
    ) -> path_choice.Choice:
        """Searches; drops limits, then soft exclusions if there is no path."""
        pipe_limit = path_choice.PIPE_LIMIT
        if is_last:
            pipe_limit = path_choice.LAST_RESORT_PIPE_LIMIT
        excluded = self._excluded() | avoided
        soft = self._softly_excluded() - excluded
        limited = frozenset() if is_resumed else self._at_limit()
        limited = limited - soft - excluded
        # No other task runs between the searches: one sum of loads is enough.
        load = self._tracker.all_loads(self._paces.pace_by_target())
        if not is_last and not soft and not limited:
            return self._search(exchange, demand, load, excluded, pipe_limit)
        without = excluded | soft | limited
        choice = path_choice.Choice(None, 0.0, 0, 0.0)
        if self._quota.is_active and is_last:
            # Prefer a path within the usual limit over one that exceeds it.
            choice = self._search(
                exchange, demand, load, without, path_choice.PIPE_LIMIT
            )
        if choice.path is None:
            choice = self._search(exchange, demand, load, without, pipe_limit)
        if choice.path is None and limited:
            choice = self._search(
                exchange, demand, load, excluded | soft, pipe_limit
            )
        if choice.path is None and soft:
            choice = self._search(exchange, demand, load, excluded, pipe_limit)
        return choice

    def _search(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        load: path_choice.Load,
        excluded: set[str],
        pipe_limit: float,
        held: frozenset[str] | None = None,
    ) -> path_choice.Choice:
        """Searches once.

        :param held: ids of targets at which no path may begin; by default
            those held by their rate limits.
        """
        if held is None:
            held = self.first_stages.held_ids(exchange.service.name)
        graph = self._registry.graph(exchange.service.name)
        engine = exchange.service.engine
        if graph is None or engine is None:
            return path_choice.Choice(None, 0.0, len(excluded), 0.0)
        return path_choice.choose(
            engine,
            graph,
            demand,
            load,
            excluded,
            pipe_limit,
            self._draw_cost_exponent,
            lambda pipe: self._quota.may_cross(engine, pipe, pipe_limit),
            held,
        )

    def _with_held_targets(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        avoided: set[str],
        choice: path_choice.Choice,
    ) -> path_choice.Choice:
        """Returns a failed choice with the held targets that are the cause."""
        held = self.first_stages.held_ids(exchange.service.name)
        if not held:
            return choice
        load = self._tracker.all_loads(self._paces.pace_by_target())
        found = self._search(
            exchange,
            demand,
            load,
            self._excluded() | avoided,
            path_choice.LAST_RESORT_PIPE_LIMIT,
            held=frozenset(),
        )
        if found.path is None:
            return choice
        return choice._replace(held=held)

    def _draw_cost_exponent(self) -> float:
        """Draws the exponent by which a target's cost is changed.

        It is 0 unless loads are sampled: many instances then decide at the
        same time from the reports of the same few peers.
        """
        if not self._tracker.is_sampled:
            return 0.0
        return self._rng.uniform(-MAX_COST_EXPONENT, MAX_COST_EXPONENT)

    def reserve_crossings(
        self,
        exchange: context.Exchange,
        path: cost_model.Path,
        demand: path_choice.Demand,
    ) -> pipe_quota.Reservations:
        """Reserves the links of a chosen path in this instance's quota.

        Must be called before another task can choose a path.
        """
        engine = exchange.service.engine
        if engine is None:
            return ()
        return self._quota.reserve(
            engine, path, demand.tokens, exchange.facts.request_id
        )

    def release_crossings(self, grant: pipe_quota.Reservations) -> None:
        """Releases the quota reserved for tokens that weren't sent."""
        self._quota.release(grant)

    def is_usable(self, service: str, path: cost_model.Path) -> bool:
        """Returns whether a path that was chosen earlier is still valid."""
        excluded = self._excluded()
        ready = {each.id: each for each in self._registry.ready(service)}
        for stage in path:
            known = ready.get(stage.target.id)
            if known is None or known.id in excluded:
                return False
            if (known.born_ms, known.address) != (
                stage.target.born_ms,
                stage.target.address,
            ):
                return False
            if not known.layers.covers(stage.layers):
                return False
        return path[0].target.id not in self.first_stages.held_ids(service)

    def _excluded(self) -> set[str]:
        return self._recently_rejecting() | self._down.ids | self._backoff.ids

    def _softly_excluded(self) -> set[str]:
        return set().union(*(each() for each in self._soft_exclusions))

    def exclusions(self) -> tuple[set[str], set[str]]:
        """Returns the ids of excluded and of softly excluded targets."""
        return self._excluded(), self._softly_excluded()

    def backoff_wait_s(self, service: desired_state.Service) -> float:
        """Returns how long no path exists because of targets in backoff."""
        down = self._down.ids
        engine = service.engine
        if engine is None:
            return 0.0
        return self._backoff.wait_s(
            [
                each
                for each in self._registry.ready(service.name)
                if each.id not in down
            ],
            lambda free: _cover_all_layers(free, engine.layers),
        )

    def has_only_leaving_targets(self, service: str) -> bool:
        """Returns whether a service has targets and all are leaving."""
        return self._registry.has_only_leaving(service)

    def _log_no_path(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        choice: path_choice.Choice,
    ) -> None:
        if choice.withheld_pipes:
            self._metric.count('relay.pipe_quota.withheld')
        if choice.held:
            self._metric.count('relay.rate_limit.refused')
        events.info(
            'no_path',
            id=exchange.facts.request_id,
            tokens=int(demand.tokens),
            pause_ms=int(choice.pause_ms),
            excluded=choice.excluded,
            fullest_pipe=round(choice.fullest_pipe, 2),
            withheld_pipes=choice.withheld_pipes,
            held=','.join(sorted(choice.held)[:MAX_LOGGED_TARGETS]),
        )

    def record_rejection(
        self, exchange: context.Exchange, outcome: outcomes.NotRun
    ) -> str | None:
        """Excludes a target for a short time after it rejected a request.

        A target that could not be connected to is probed, too.

        :returns: its id, ``None`` if the target isn't known or not at fault.
        """
        if outcome.is_held:
            return None
        if outcome.is_local:
            self._metric.count('relay.path_rejected.local')
            return None
        target = self._registry.target_by_address.get(outcome.at_fault)
        events.info(
            'path_rejected',
            id=exchange.facts.request_id,
            at_fault=outcome.at_fault,
            target=target.id if target else 'unknown',
            status=outcome.status,
        )
        self._metric.count(f'relay.path_rejected.{outcome.status}')
        if target is None:
            return None
        if outcome.status == 0:
            self._down.probe(target)
        self._excluded_until_by_id[target.id] = (
            self._timer.now() + REJECTION_EXCLUSION_S
        )
        return target.id

    def _recently_rejecting(self) -> set[str]:
        now = self._timer.now()
        for target_id, until in list(self._excluded_until_by_id.items()):
            if until <= now:
                del self._excluded_until_by_id[target_id]
        return set(self._excluded_until_by_id)


def _cover_all_layers(found: Iterable[targets.Target], layers: int) -> bool:
    """Returns whether these targets together hold all layers."""
    reached = 0
    for target in sorted(found, key=lambda each: each.layers.first):
        if target.layers.first > reached:
            return False
        reached = max(reached, target.layers.end)
    return reached >= layers
