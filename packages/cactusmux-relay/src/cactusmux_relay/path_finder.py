"""Finds a path for a request, and learns from targets that reject one."""

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
from . import load_tracker
from . import outcomes
from . import path_choice
from . import pipe_quota
from . import slow_targets
from . import target_registry
from . import targets

# Largest change of a price, as an exponent.
MAX_COST_EXPONENT = 0.3
ROOM_POLL_S = 0.01
# For the answer of a request whose time ends while it waits.
ANSWER_S = 0.02
# A target that was short of memory is left out for so long.
FULL_S = 0.3

# Tells which targets are to be used only if no path does without them.
SoftExclusion = Callable[[], frozenset[str]]


def _none() -> frozenset[str]:
    return frozenset()


class PathFinder:
    """Chooses paths by what is known of targets and loads."""

    def __init__(
        self,
        book: target_registry.TargetRegistry,
        ledger: load_tracker.LoadTracker,
        down: down_targets.DownTargets,
        paces: slow_targets.SlowTargets,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        held: backoffs.Backoffs,
        rng: random.Random,
        soft_exclusions: Sequence[SoftExclusion] = (),
        quota: pipe_quota.PipeQuota | None = None,
        at_limit: SoftExclusion = _none,
    ) -> None:
        """Prepares the search.

        :param at_limit: which targets have all that they may, after a start
            or recovery; resumed streams use them, and others before those
            that are softly excluded.
        """
        self._at_limit = at_limit
        self._soft_exclusions = tuple(soft_exclusions)
        self._book = book
        self._ledger = ledger
        self._down = down
        self._paces = paces
        self._timer = timer
        self._metric = metric
        self._held = held
        self._rng = rng
        self._quota = quota or pipe_quota.PipeQuota(timer, metric, rng)
        self._full_until_by_id: dict[str, float] = {}

    def choose(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        avoided: set[str],
        wait_s: float,
        is_resumed: bool = False,
    ) -> path_choice.Choice:
        """Returns a path with room, waiting up to ``wait_s`` for one.

        Only at the end of the wait may it cross a busier pipe. It ends at
        once where targets are to be left alone for longer.
        """
        until = min(self._timer.now() + wait_s, exchange.ends_at - ANSWER_S)
        choice = path_choice.Choice(None, 0.0, 0, 0.0)
        is_resumed = is_resumed or exchange.facts.last_event_id is not None
        while True:
            left_s = until - self._timer.now()
            is_last = left_s <= max(0.0, self.backoff_wait_s(exchange.service))
            pipe_limit = path_choice.PIPE_LIMIT
            if is_last:
                pipe_limit = path_choice.LAST_RESORT_PIPE_LIMIT
            choice = self._look(
                exchange, demand, avoided, pipe_limit, is_resumed
            )
            if choice.path is not None:
                return choice
            if is_last:
                self._log_no_path(exchange, demand, choice)
                return choice
            self._timer.sleep(ROOM_POLL_S)

    def _look(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        avoided: set[str],
        pipe_limit: float,
        is_resumed: bool,
    ) -> path_choice.Choice:
        """Looks for a path once, with those softly excluded if need be."""
        excluded = self._excluded() | avoided
        soft = self._softly_excluded() - excluded
        limited = frozenset() if is_resumed else self._at_limit()
        limited = limited - soft - excluded
        # Nothing yields between the searches, so the loads are the same.
        load = self._ledger.all_loads(self._paces.slow())
        is_usual = pipe_limit <= path_choice.PIPE_LIMIT
        if is_usual and not soft and not limited:
            return self._search(exchange, demand, load, excluded, pipe_limit)
        without = excluded | soft | limited
        choice = path_choice.Choice(None, 0.0, 0, 0.0)
        if self._quota.is_active and not is_usual:
            # A path within the usual share goes before one beyond it.
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
    ) -> path_choice.Choice:
        graph = self._book.graph(exchange.service.name)
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
            self._draw,
            lambda pipe: self._quota.may_cross(engine, pipe, pipe_limit),
        )

    def _draw(self) -> float:
        """Draws how a price is changed, where loads are known by samples.

        Many instances then choose at once by what few of them have told.
        """
        if not self._ledger.is_sampled:
            return 0.0
        return self._rng.uniform(-MAX_COST_EXPONENT, MAX_COST_EXPONENT)

    def reserve_crossings(
        self,
        exchange: context.Exchange,
        path: cost_model.Path,
        demand: path_choice.Demand,
    ) -> pipe_quota.Reservations:
        """Takes this instance's share of the pipes of a chosen path.

        To be called before another task may choose a path.
        """
        engine = exchange.service.engine
        if engine is None:
            return ()
        return self._quota.reserve(
            engine, path, demand.tokens, exchange.facts.request_id
        )

    def release_crossings(self, grant: pipe_quota.Reservations) -> None:
        """Returns what was reserved for tokens that weren't sent."""
        self._quota.release(grant)

    def is_usable(self, service: str, path: cost_model.Path) -> bool:
        """Whether a path that was chosen earlier may still be used."""
        excluded = self._excluded()
        ready = {each.id: each for each in self._book.ready(service)}
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
        return True

    def _excluded(self) -> set[str]:
        return self._full() | self._down.ids | self._held.ids

    def _softly_excluded(self) -> set[str]:
        return set().union(*(each() for each in self._soft_exclusions))

    def exclusions(self) -> tuple[set[str], set[str]]:
        """Returns ids that are not to be used, and those only if need be."""
        return self._excluded(), self._softly_excluded()

    def backoff_wait_s(self, service: desired_state.Service) -> float:
        """Returns for how long targets left alone leave no path at all."""
        down = self._down.ids
        engine = service.engine
        if engine is None:
            return 0.0
        return self._held.wait_s(
            [
                each
                for each in self._book.ready(service.name)
                if each.id not in down
            ],
            lambda free: _hold_all(free, engine.layers),
        )

    def has_only_leaving_targets(self, service: str) -> bool:
        """Whether a service has targets, and all of them leave."""
        return self._book.has_only_leaving(service)

    def _log_no_path(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        choice: path_choice.Choice,
    ) -> None:
        if choice.withheld_pipes:
            self._metric.count('relay.pipe_quota.withheld')
        events.info(
            'no_path',
            id=exchange.facts.request_id,
            tokens=int(demand.tokens),
            pause_ms=int(choice.pause_ms),
            excluded=choice.excluded,
            fullest_pipe=round(choice.fullest_pipe, 2),
            withheld_pipes=choice.withheld_pipes,
        )

    def record_rejection(
        self, exchange: context.Exchange, outcome: outcomes.NotRun
    ) -> str | None:
        """Draws conclusions on the target that kept a request from running.

        Returns its id, ``None`` for an unknown one.
        """
        target = self._book.target_by_address.get(outcome.at_fault)
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
        self._full_until_by_id[target.id] = self._timer.now() + FULL_S
        return target.id

    def _full(self) -> set[str]:
        now = self._timer.now()
        for target_id, until in list(self._full_until_by_id.items()):
            if until <= now:
                del self._full_until_by_id[target_id]
        return set(self._full_until_by_id)


def _hold_all(found: Iterable[targets.Target], layers: int) -> bool:
    """Whether each of a model's layers is on one of these targets."""
    reached = 0
    for target in sorted(found, key=lambda each: each.layers.first):
        if target.layers.first > reached:
            return False
        reached = max(reached, target.layers.end)
    return reached >= layers
