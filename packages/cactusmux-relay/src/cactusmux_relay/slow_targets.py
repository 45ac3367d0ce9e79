"""How much slower than usual each target works, from its own reports.

The holder of the placement lease asks all targets in turn; any instance asks
those on which a silent stream depends. Instances tell each other of slow
targets.
"""

from collections.abc import Mapping
import random
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
import gevent
from returns import result

from . import layer_orders
from . import shared_checks
from . import targets

# A target is asked again by the same instance after so long.
LEAST_AGE_S = 0.8
# Without a newer report a slow target counts as usual again.
MAX_AGE_S = 4.0
SLOW_PACE = 1.15


class _Known(NamedTuple):
    at: float
    pace: float


class SlowTargets:
    """Paces by target id; 1 is usual, 2 twice as slow."""

    def __init__(
        self,
        orders: layer_orders.LayerOrders,
        timer: timers.TimerService,
        instances: shared_checks.Instances = shared_checks.single_instance,
        rng: random.Random | None = None,
    ) -> None:
        """Prepares the book.

        :param instances: how many instances share what is suspected.
        """
        self._orders = orders
        self._timer = timer
        self._turns = shared_checks.SharedPeriod(
            LEAST_AGE_S, instances, rng or random.Random()
        )
        self._suspect_at_by_id: dict[str, float] = {}
        self._asked_at_by_id: dict[str, float] = {}
        self._own_by_id: dict[str, _Known] = {}
        self._told_by_id: dict[str, _Known] = {}

    def ask(self, target: targets.Target) -> None:
        """Asks a target for its pace in a task of its own."""
        now = self._timer.now()
        asked_at = self._asked_at_by_id.get(target.id)
        if asked_at is not None and now - asked_at < LEAST_AGE_S:
            return
        self._forget_old(now)
        self._asked_at_by_id.pop(target.id, None)
        self._asked_at_by_id[target.id] = now
        gevent.spawn(self._ask_now, target)

    def suspect(self, target: targets.Target) -> None:
        """Asks a target that may be slow, if it is this instance's turn.

        All instances may suspect it at the same moment. While another one
        tells that it is slow, even the first report waits for a turn; else
        this instance may be the only one with a stream there.
        """
        now = self._timer.now()
        self._forget_suspects(now)
        ask_at = self._suspect_at_by_id.get(target.id)
        if ask_at is None:
            ask_at = now
            if target.id in self._told_by_id:
                ask_at += self._turns.first_s()
            self._suspect_at_by_id[target.id] = ask_at
        if ask_at <= now:
            self._suspect_at_by_id[target.id] = now + self._turns.next_s()
            self.ask(target)

    def _forget_old(self, now: float) -> None:
        """Drops targets not asked for long; they lie in that order."""
        while self._asked_at_by_id:
            oldest = next(iter(self._asked_at_by_id))
            if now - self._asked_at_by_id[oldest] < MAX_AGE_S:
                return
            del self._asked_at_by_id[oldest]

    def _forget_suspects(self, now: float) -> None:
        for target_id, ask_at in list(self._suspect_at_by_id.items()):
            if ask_at < now - MAX_AGE_S:
                del self._suspect_at_by_id[target_id]

    def own(self) -> dict[str, float]:
        """Returns the slow targets by this instance's own reports."""
        oldest = self._timer.now() - MAX_AGE_S
        for target_id, known in list(self._own_by_id.items()):
            if known.at < oldest:
                del self._own_by_id[target_id]
        return {
            target_id: known.pace
            for target_id, known in self._own_by_id.items()
            if known.pace >= SLOW_PACE
        }

    def note_told(self, pace_by_target: Mapping[str, float]) -> None:
        """Takes the slow targets that another instance told of."""
        now = self._timer.now()
        for target_id, pace in pace_by_target.items():
            self._told_by_id[target_id] = _Known(now, pace)

    def slow(self) -> dict[str, float]:
        """Returns the paces of the targets that are slow now."""
        oldest = self._timer.now() - LEAST_AGE_S
        for target_id, known in list(self._told_by_id.items()):
            if known.at < oldest:
                del self._told_by_id[target_id]
        paces = {
            target_id: known.pace
            for target_id, known in self._told_by_id.items()
        }
        paces.update(self.own())
        return paces

    def _ask_now(self, target: targets.Target) -> None:
        match self._orders.report(target):
            case result.Success(report):
                self._note(target, report.pace)

    def _note(self, target: targets.Target, pace: float) -> None:
        known = self._own_by_id.get(target.id)
        was_slow = known is not None and known.pace >= SLOW_PACE
        if (pace >= SLOW_PACE) != was_slow:
            events.info('target_pace', target=target.id, pace=round(pace, 2))
        self._own_by_id[target.id] = _Known(self._timer.now(), pace)
