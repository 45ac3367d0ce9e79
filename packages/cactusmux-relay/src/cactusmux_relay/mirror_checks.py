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

from . import store_mirror
from . import tasks

# All instances together check so often.
PERIOD_S = 0.35
JITTER = 0.2
# Changes that are on their way on the watches aren't missed ones.
ON_THE_WAY_S = 0.3


class MirrorChecks:
    """Checks mirrors, the first one as the sample."""

    def __init__(
        self,
        mirrors: Sequence[store_mirror.StoreMirror],
        instances: Callable[[], int],
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        """Prepares the checks.

        :param instances: how many instances share them.
        """
        self._mirrors = mirrors
        self._instances = instances
        self._timer = timer
        self._rng = rng

    def start(self) -> None:
        """Begins to check, in a task of its own."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            jitter = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
            self._timer.sleep(PERIOD_S * max(1, self._instances()) * jitter)
            tasks.run_step('checks', self.check, self._timer)

    def check(self) -> None:
        """Reads the sample, and the rest if something was missed."""
        revision = self._mirrors[0].check()
        if revision <= self._newest():
            return
        batch_left_s = max(each.batch_left_s for each in self._mirrors)
        self._timer.sleep(batch_left_s + ON_THE_WAY_S)
        if revision <= self._newest():
            return
        for mirror in self._mirrors[1:]:
            mirror.check()

    def _newest(self) -> int:
        return max(mirror.revision for mirror in self._mirrors[1:])
