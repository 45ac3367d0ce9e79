"""Finds replacements for the lost stages of all streams of an instance.

It collects the input of the search. A replacement counts as load at once, so
that streams that lose a stage at the same time take each other into account.
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
    """Dependencies shared by the replacements of all streams.

    :ivar quota: ``None`` if links are never limited by a quota.
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
    """Finds replacements and tracks the load that they cause."""

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

        Softly excluded targets are used only if there is no other one.
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
        self._record_transfers(loss, found, 1.0)
        return found._replace(
            crossings=self._reserve_crossings(exchange, loss, found)
        )

    def cancel(
        self,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> None:
        """Removes the load of a replacement for which nothing was sent."""
        self._record_transfers(loss, replacement, -1.0)
        if self.parts.quota is not None:
            self.parts.quota.release(replacement.crossings)

    def _reserve_crossings(
        self,
        exchange: context.Exchange,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> pipe_quota.Reservations:
        """Reserves the transferred tokens in this instance's quota."""
        engine = exchange.service.engine
        if self.parts.quota is None or engine is None:
            return ()
        tokens_by_pipe: dict[path_choice.Pipe, float] = (
            collections.defaultdict(float)
        )
        for (stage, following), tokens in _transfers(loss, replacement):
            pipe = path_choice.pipe_between(
                stage.target.zone, following.target.zone
            )
            tokens_by_pipe[pipe] += tokens
        return self.parts.quota.reserve_each(
            engine, tokens_by_pipe, exchange.facts.request_id
        )

    def _record_transfers(
        self,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
        sign: float,
    ) -> None:
        """Records the transfers over links between zones as load.

        :param sign: -1 removes them, if nothing was sent.
        """
        for pair, tokens in _transfers(loss, replacement):
            self.parts.ledger.record_crossings(pair, sign * tokens)

    def _search(
        self,
        exchange: context.Exchange,
        loss: stage_replacement.StageLoss,
        excluded: set[str],
    ) -> stage_replacement.Replacement | None:
        engine = exchange.service.engine
        if engine is None:
            return None
        pool = stage_replacement.PoolState(
            ready=self.parts.book.ready(exchange.service.name),
            load=self.parts.ledger.all_loads(
                self.parts.paces.pace_by_target()
            ),
            excluded=frozenset(excluded),
            reading_ms_by_target=self._backlog.left_ms(),
            may_cross=self._may_cross(engine),
        )
        return stage_replacement.find_replacement(
            engine, loss, pool, self.parts.rng.random
        )

    def _may_cross(
        self, engine: desired_state.Engine
    ) -> Callable[[path_choice.Pipe], bool] | None:
        quota = self.parts.quota
        if quota is None or not quota.is_limited(engine):
            return None
        return functools.partial(quota.may_cross, engine)


def _transfers(
    loss: stage_replacement.StageLoss,
    replacement: stage_replacement.Replacement,
) -> list[tuple[cost_model.Path, float]]:
    return stage_replacement.zone_transfers(
        replacement.path,
        replacement.added,
        loss.tokens_so_far,
        loss.tokens_to_come,
    )
