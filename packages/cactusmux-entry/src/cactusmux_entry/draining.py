"""A planned stop that cuts off no request.

Callers keep answers of addresses, so an instance that stops goes on serving
until the last answer that named it has run out.
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
    """How far a planned stop has come."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'
    DONE = 'done'


class DrainSettings(NamedTuple):
    """Durations of a planned stop, in seconds.

    ``lifetime_s`` is that of address answers. ``margin_s`` covers the time
    until the other instances leave this one out of their answers, and slow
    callers. After ``limit_s`` the stop no longer waits for requests.
    """

    lifetime_s: float
    margin_s: float = 10.0
    limit_s: float = 600.0


class Drained(NamedTuple):
    """How a planned stop ended; ``cut`` counts requests still in flight."""

    waited_s: float
    cut: int


class Drain:
    """Leaves in two steps: first no address answer, then no new request.

    While ``LEAVING``, new requests are served like any other: their callers
    hold an answer that names this instance. ``leave`` actions run at the
    start (tell peers, release leases), ``close`` actions when the answers
    have run out (refuse new requests, stop claims).

    :param unfinished: counts what has to end before the process may:
        requests in flight, claims whose outcome is not yet recorded.
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
        """Tells whether address answers and readiness name this instance."""
        return self.state is DrainState.SERVING

    @property
    def serves(self) -> bool:
        """Tells whether new requests are served."""
        return self.state in (DrainState.SERVING, DrainState.LEAVING)

    def run(self) -> Drained:
        """Stops and blocks until nothing is left, or the limit is reached.

        A second call does nothing.
        """
        if self.state is not DrainState.SERVING:
            return Drained(0.0, 0)
        began_at = self._timer.now()
        give_up_at = began_at + self._settings.limit_s
        self._enter(DrainState.LEAVING, self._leave)
        kept_s = self._settings.lifetime_s + self._settings.margin_s
        self._timer.sleep(min(kept_s, self._settings.limit_s))
        self._enter(DrainState.CLOSING, self._close)
        while self._count() and self._timer.now() < give_up_at:
            self._timer.sleep(POLL_S)
        self.state = DrainState.DONE
        return self._conclude(self._timer.now() - began_at)

    def _enter(self, state: DrainState, actions: Sequence[Action]) -> None:
        self.state = state
        events.info('drain', state=state, unfinished=self._count())
        for action in actions:
            self._run_action(action)

    def _run_action(self, action: Action) -> None:
        try:
            action()
        except Exception as error:
            # Others must still learn of the stop: it goes on.
            self._metric.count('drain.action_failed')
            events.error('drain_action_failed', error=repr(error))

    def _count(self) -> int:
        return sum(count() for count in self._unfinished)

    def _conclude(self, waited_s: float) -> Drained:
        cut = self._count()
        self._metric.timing('drain.waited_s', waited_s)
        self._metric.count('drain.cut', cut)
        if cut:
            events.error('drain_limit_reached', cut=cut, waited_s=waited_s)
        else:
            events.info('drained', waited_s=waited_s)
        return Drained(waited_s, cut)
