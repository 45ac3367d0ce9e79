"""Finds replacements for the lost stages of an instance's streams.

It gathers what is known for the choice. A choice counts as load at once, so
that streams that lose a stage in the same instant see each other.
"""

import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers

from . import context
from . import down_targets
from . import layer_orders
from . import live_streams
from . import load_ledger
from . import pace_book
from . import path_finder
from . import reading_backlog
from . import stage_replacement
from . import target_book


class ReplacerParts(NamedTuple):
    """What the replacements of all streams share."""

    finder: path_finder.PathFinder
    book: target_book.TargetBook
    ledger: load_ledger.LoadLedger
    paces: pace_book.PaceBook
    orders: layer_orders.LayerOrders
    down: down_targets.DownTargets
    live: live_streams.LiveStreams
    timer: timers.TimerService
    metric: metrics.Metrics
    rng: random.Random


class StageReplacer:
    """Finds replacements for all streams of an instance."""

    def __init__(self, parts: ReplacerParts) -> None:
        self.parts = parts
        self._backlog = reading_backlog.ReadingBacklog(parts.timer)

    def find(
        self,
        exchange: context.Exchange,
        loss: stage_replacement.Loss,
        avoided: set[str],
    ) -> stage_replacement.Replacement | None:
        """Returns a replacement, which counts as load from now on.

        Softly excluded targets are used only if there is none without them.
        """
        excluded, soft = self.parts.finder.left_out()
        excluded |= avoided
        soft -= excluded
        found = self._search(exchange, loss, excluded | soft)
        if found is None and soft:
            found = self._search(exchange, loss, excluded)
        if found is not None:
            self._backlog.add(found.reading_ms_by_target)
            self.note_sendings(loss, found, 1.0)
        return found

    def note_sendings(
        self,
        loss: stage_replacement.Loss,
        replacement: stage_replacement.Replacement,
        sign: float,
    ) -> None:
        """Notes what goes over links between zones.

        :param sign: -1 takes back what was noted, as nothing was sent.
        """
        for pair, tokens in stage_replacement.sendings(
            replacement.path,
            replacement.added,
            loss.tokens_so_far,
            loss.tokens_to_come,
        ):
            self.parts.ledger.note_crossings(pair, sign * tokens)

    def _search(
        self,
        exchange: context.Exchange,
        loss: stage_replacement.Loss,
        excluded: set[str],
    ) -> stage_replacement.Replacement | None:
        engine = exchange.service.engine
        if engine is None:
            return None
        known = stage_replacement.Known(
            ready=self.parts.book.ready(exchange.service.name),
            load=self.parts.ledger.all_loads(self.parts.paces.slow()),
            excluded=frozenset(excluded),
            reading_ms_by_target=self._backlog.left_ms(),
        )
        return stage_replacement.find(
            engine, loss, known, self.parts.rng.random
        )
