"""Finds changes that watches miss without reporting a failure.

The instances take turns: each in its turn reads one small prefix. The store
position in the answer shows whether there is a change that no mirror has
seen; only then are the other prefixes read as well. Peers learn of the
result by gossip.
"""

from collections.abc import Callable, Sequence
import random

from cactusmux_base import timers
from cactusmux_platform import stores
import gevent

from . import instance_rank
from . import store_mirror
from . import tasks

# Period of checks over all instances together.
PERIOD_S = 0.35
# Time after a start within which the list of instances is complete.
LISTING_S = 2.0
# A watch may still deliver a change within this time; it isn't missed yet.
IN_FLIGHT_S = 0.3


class MirrorChecks:
    """Checks mirrors periodically; reads only the first one unless needed."""

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
        """Starts checking in a new greenlet."""
        gevent.spawn(self.run)

    def run(self) -> None:
        """Runs a check in each turn of this instance, forever.

        Instances mostly start together. The first turn is given by the
        instance's place in the list: if all waited a whole round, a missed
        change would stay unseen for that long.
        """
        self._timer.sleep(LISTING_S)
        turn = self._turn()
        wait_s = PERIOD_S * (turn.place + self._rng.random())
        due_at = self._timer.now() + wait_s
        while True:
            self._timer.sleep(max(0.0, due_at - self._timer.now()))
            tasks.run_step('checks', self.check, self._timer)
            # No jitter: it would accumulate until turns coincide.
            due_at += PERIOD_S * max(1, self._turn().instances)

    def check(self) -> None:
        """Reads the first mirror's prefix, the rest if a change was missed."""
        position = self._mirrors[0].reconcile()
        if position <= self._newest():
            return
        batch_left_s = max(each.batch_left_s for each in self._mirrors)
        self._timer.sleep(batch_left_s + IN_FLIGHT_S)
        if position <= self._newest():
            return
        for mirror in self._mirrors[1:]:
            mirror.reconcile()

    def _newest(self) -> stores.Position:
        return max(mirror.position for mirror in self._mirrors[1:])
