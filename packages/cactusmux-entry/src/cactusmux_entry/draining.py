"""Graceful shutdown without interrupted requests.

Callers cache address responses, so a stopping instance continues to serve
until the last response that contains its address has expired.
"""

from collections.abc import Callable, Sequence
import enum
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

POLL_S = 0.1

Action = Callable[[], None]
Count = Callable[[], int]


class DrainState(enum.StrEnum):
    """Phase of a graceful shutdown."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'
    DONE = 'done'


class DrainSettings(NamedTuple):
    """Durations of a graceful shutdown, in seconds.

    ``lifetime_s`` is the lifetime of address responses. ``margin_s`` covers
    slow callers, and the time until the other instances exclude this one
    from their responses. After ``limit_s`` the shutdown no longer waits for
    requests.
    """

    lifetime_s: float
    margin_s: float = 10.0
    limit_s: float = 600.0


class Drained(NamedTuple):
    """Result of a shutdown; ``cut`` counts the requests still in flight."""

    waited_s: float
    cut: int


class Drain:
    """Shuts down in two steps: stops announcing itself, then serving.

    New requests are still served while ``LEAVING``, since their callers
    cached an address response that contains this instance. ``leave`` actions
    run at the start (notify peers, release leases), ``close`` actions when
    the responses have expired (refuse new requests, stop claims).

    :param unfinished: functions that count the work to finish before the
        process exits: requests in flight, claims with unrecorded outcome.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        settings: DrainSettings,
        leave: Sequence[Action],
        close: Sequence[Action],
        unfinished: Sequence[Count],
    ) -> None:
        self.state = DrainState.SERVING
        self._timer = timer
        self._metric = metric
        self._settings = settings
        self._leave = leave
        self._close = close
        self._unfinished = unfinished

    @property
    def accepts_callers(self) -> bool:
        """Whether address responses and readiness announce this instance."""
        return self.state is DrainState.SERVING

    @property
    def serves(self) -> bool:
        """Whether new requests are served."""
        return self.state in (DrainState.SERVING, DrainState.LEAVING)

    def run(self) -> Drained:
        """Shuts down; blocks until all work is done or the limit is reached.

        A second call does nothing.
        """
        if self.state is not DrainState.SERVING:
            return Drained(0.0, 0)
        started_at = self._timer.now()
        deadline = started_at + self._settings.limit_s
        self._enter(DrainState.LEAVING, self._leave)
        serving_s = self._settings.lifetime_s + self._settings.margin_s
        self._timer.sleep(min(serving_s, self._settings.limit_s))
        self._enter(DrainState.CLOSING, self._close)
        while self._count_unfinished() and self._timer.now() < deadline:
            self._timer.sleep(POLL_S)
        self.state = DrainState.DONE
        return self._report(self._timer.now() - started_at)

    def _enter(self, state: DrainState, actions: Sequence[Action]) -> None:
        self.state = state
        events.info('drain', state=state, unfinished=self._count_unfinished())
        for action in actions:
            self._run_action(action)

    def _run_action(self, action: Action) -> None:
        try:
            action()
        except Exception as error:
            # The remaining actions, which notify peers, must still run.
            self._metric.count('drain.action_failed')
            events.error('drain_action_failed', error=repr(error))

    def _count_unfinished(self) -> int:
        return sum(count() for count in self._unfinished)

    def _report(self, waited_s: float) -> Drained:
        cut = self._count_unfinished()
        self._metric.timing('drain.waited_s', waited_s)
        self._metric.count('drain.cut', cut)
        if cut:
            events.error('drain_limit_reached', cut=cut, waited_s=waited_s)
        else:
            events.info('drained', waited_s=waited_s)
        return Drained(waited_s, cut)
