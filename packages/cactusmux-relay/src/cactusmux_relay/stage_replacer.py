"""Finds replacements for the lost stages of an instance's streams.

It gathers what is known for the choice. A choice counts as load at once, so
that streams that lose a stage in the same instant see each other.
"""

import collections
from collections.abc import Callable
import functools
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers

from . import context
from . import cost_model
from . import desired_state
from . import down_targets
from . import layer_orders
from . import live_streams
from . import load_tracker
from . import path_choice
from . import path_finder
from . import pipe_quota
from . import prefill_backlog
from . import slow_targets
from . import stage_replacement
from . import target_registry


class ReplacerDependencies(NamedTuple):
    """What the replacements of all streams share.

    :ivar quota: ``None`` where pipes are never divided among instances.
    """

    finder: path_finder.PathFinder
    book: target_registry.TargetRegistry
    ledger: load_tracker.LoadTracker
    paces: slow_targets.SlowTargets
    orders: layer_orders.LayerOrders
    down: down_targets.DownTargets
    live: live_streams.LiveStreams
    timer: timers.TimerService
    metric: metrics.Metrics
    rng: random.Random
    quota: pipe_quota.PipeQuota | None = None


class StageReplacer:
    """Finds replacements for all streams of an instance."""

    def __init__(self, parts: ReplacerDependencies) -> None:
        self.parts = parts
        self._backlog = prefill_backlog.PrefillBacklog(parts.timer)

    def find(
        self,
        exchange: context.Exchange,
        loss: stage_replacement.StageLoss,
        avoided: set[str],
    ) -> stage_replacement.Replacement | None:
        """Returns a replacement, which counts as load from now on.

        Softly excluded targets are used only if there is none without them.
        """
        excluded, soft = self.parts.finder.exclusions()
        excluded |= avoided
        soft -= excluded
        found = self._search(exchange, loss, excluded | soft)
        if found is None and soft:
            found = self._search(exchange, loss, excluded)
        if found is None:
            return None
        self._backlog.add(found.reading_ms_by_target)
        self._note_sendings(loss, found, 1.0)
        return found._replace(crossings=self._take(exchange, loss, found))

    def cancel(
        self,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> None:
        """Takes back what a replacement counts, as nothing was sent."""
        self._note_sendings(loss, replacement, -1.0)
        if self.parts.quota is not None:
            self.parts.quota.release(replacement.crossings)

    def _take(
        self,
        exchange: context.Exchange,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> pipe_quota.Reservations:
        """Takes what is sent of this instance's share of the pipes."""
        engine = exchange.service.engine
        if self.parts.quota is None or engine is None:
            return ()
        tokens_by_pipe: dict[path_choice.Pipe, float] = (
            collections.defaultdict(float)
        )
        for (stage, following), tokens in _sendings(loss, replacement):
            pipe = path_choice.pipe_between(
                stage.target.zone, following.target.zone
            )
            tokens_by_pipe[pipe] += tokens
        return self.parts.quota.reserve_each(
            engine, tokens_by_pipe, exchange.facts.request_id
        )

    def _note_sendings(
        self,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
        sign: float,
    ) -> None:
        """Notes what goes over links between zones.

        :param sign: -1 takes back what was noted, as nothing was sent.
        """
        for pair, tokens in _sendings(loss, replacement):
            self.parts.ledger.note_crossings(pair, sign * tokens)

    def _search(
        self,
        exchange: context.Exchange,
        loss: stage_replacement.StageLoss,
        excluded: set[str],
    ) -> stage_replacement.Replacement | None:
        engine = exchange.service.engine
        if engine is None:
            return None
        known = stage_replacement.Known(
            ready=self.parts.book.ready(exchange.service.name),
            load=self.parts.ledger.all_loads(
                self.parts.paces.pace_by_target()
            ),
            excluded=frozenset(excluded),
            reading_ms_by_target=self._backlog.left_ms(),
            may_cross=self._may_cross(engine),
        )
        return stage_replacement.find(
            engine, loss, known, self.parts.rng.random
        )

    def _may_cross(
        self, engine: desired_state.Engine
    ) -> Callable[[path_choice.Pipe], bool] | None:
        quota = self.parts.quota
        if quota is None or not quota.divides(engine):
            return None
        return functools.partial(quota.may_cross, engine)


def _sendings(
    loss: stage_replacement.StageLoss,
    replacement: stage_replacement.Replacement,
) -> list[tuple[cost_model.Path, float]]:
    return stage_replacement.sendings(
        replacement.path,
        replacement.added,
        loss.tokens_so_far,
        loss.tokens_to_come,
    )
