"""Looks past the watches, which may be deaf without having failed.

The instances share the work: each reads one small prefix in its turn. The
store's revision tells whether anything has changed that no mirror has seen;
only then the other prefixes are read too. What one instance finds the others
learn from its news.
"""

from collections.abc import Callable, Sequence
import random

from cactusmux_base import timers
import gevent

from . import instance_rank
from . import store_mirror
from . import tasks

# All instances together check so often.
PERIOD_S = 0.35
# After a start the list of instances is complete within this time.
LIST_S = 2.0
# Changes that are on their way on the watches aren't missed ones.
ON_THE_WAY_S = 0.3


class MirrorChecks:
    """Checks mirrors, the first one as the sample."""

    def __init__(
        self,
        mirrors: Sequence[store_mirror.StoreMirror],
        turn: Callable[[], instance_rank.InstanceRank],
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        self._mirrors = mirrors
        self._turn = turn
        self._timer = timer
        self._rng = rng

    def start(self) -> None:
        """Begins to check, in a task of its own."""
        gevent.spawn(self.run)

    def run(self) -> None:
        """Checks in this instance's turns, without end.

        Instances mostly start together. Each one's first turn is by its
        place: if all waited a whole round, a change that the watches miss
        would go unseen for as long.
        """
        self._timer.sleep(LIST_S)
        turn = self._turn()
        wait_s = PERIOD_S * (turn.place + self._rng.random())
        due_at = self._timer.now() + wait_s
        while True:
            self._timer.sleep(max(0.0, due_at - self._timer.now()))
            tasks.run_step('checks', self.check, self._timer)
            # Without jitter, as that would add up until turns coincide.
            due_at += PERIOD_S * max(1, self._turn().instances)

    def check(self) -> None:
        """Reads the sample, and the rest if something was missed."""
        revision = self._mirrors[0].reconcile()
        if revision <= self._newest():
            return
        batch_left_s = max(each.batch_left_s for each in self._mirrors)
        self._timer.sleep(batch_left_s + ON_THE_WAY_S)
        if revision <= self._newest():
            return
        for mirror in self._mirrors[1:]:
            mirror.reconcile()

    def _newest(self) -> int:
        return max(mirror.revision for mirror in self._mirrors[1:])
