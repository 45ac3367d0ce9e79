"""Detects that this instance serves its callers badly.

Such an instance still accepts callers but serves them late or not at all:
it lacks CPU time, or can't reach the targets or the store.
"""

from collections.abc import Callable
import enum

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import gevent

from . import down_targets
from . import store_availability
from . import target_registry
from . import tasks

# Period of the checks for signs of trouble.
PERIOD_S = 0.25
# A task that wakes this late twice in a row lacks CPU time; a single delay
# may be a garbage collection.
LATE_S = 0.1
# A single delay counts if it exceeds the pause that callers allow between
# the events of a stream.
VERY_LATE_S = 0.25
# The state lasts for this time after the last sign, since callers use the
# addresses that they were given for as long.
HELD_S = 2.0
# With more than this share of all targets down, the instance's own network
# path to them is the likely fault.
DOWN_SHARE = 0.5


class Sign(enum.StrEnum):
    """A sign of trouble; logged as ``signs``.

    :cvar LATE: tasks wake late, for lack of CPU time.
    :cvar NO_TARGETS: most targets seem to be down.
    :cvar NO_STORE: the store doesn't answer.
    """

    LATE = 'late'
    NO_TARGETS = 'no_targets'
    NO_STORE = 'no_store'


class InstanceTrouble:
    """Checks for signs of trouble periodically.

    :param on_change: called when trouble begins or ends.
    :ivar is_troubled: whether there was a sign within :data:`HELD_S`.
    """

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        availability: store_availability.StoreAvailability,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        on_change: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._down = down
        self._availability = availability
        self._timer = timer
        self._metric = metric
        self._on_change = on_change
        self._checked_at = timer.now()
        self._late_s = 0.0
        self._last_sign_at: float | None = None
        self.is_troubled = False

    def start(self) -> None:
        """Starts the periodic checks in a new greenlet."""
        self._checked_at = self._timer.now()
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            tasks.run_step('instance_trouble', self._step, self._timer)

    def _step(self) -> None:
        # A fixed schedule would shorten the sleep after a late wake-up and so
        # hide a second delay.
        self._timer.sleep(PERIOD_S)
        self.check()

    def check(self) -> None:
        """Checks for signs; must be called once per :data:`PERIOD_S`."""
        now = self._timer.now()
        late_s = max(0.0, now - self._checked_at - PERIOD_S)
        signs = self._signs(now, late_s)
        self._checked_at = now
        self._late_s = late_s
        if signs:
            self._last_sign_at = now
        is_held = (
            self._last_sign_at is not None
            and now - self._last_sign_at < HELD_S
        )
        if is_held != self.is_troubled:
            self.is_troubled = is_held
            self._report_change(signs, late_s)
            self._on_change()

    def _signs(self, now: float, late_s: float) -> list[Sign]:
        signs = []
        if late_s > VERY_LATE_S or min(late_s, self._late_s) > LATE_S:
            signs.append(Sign.LATE)
        known = len(self._registry.target_by_id)
        if known and len(self._down.ids) > DOWN_SHARE * known:
            signs.append(Sign.NO_TARGETS)
        answered_at = self._availability.answered_at
        if (
            answered_at
            and now - answered_at > store_availability.MAX_ANSWER_GAP_S
        ):
            signs.append(Sign.NO_STORE)
        return signs

    def _report_change(self, signs: list[Sign], late_s: float) -> None:
        self._metric.gauge('instance.troubled', float(self.is_troubled))
        if self.is_troubled:
            self._metric.count('instance.trouble_begun')
        answered_at = self._availability.answered_at
        events.info(
            'instance_troubled' if self.is_troubled else 'instance_well',
            signs=','.join(signs),
            late_s=round(late_s, 2),
            down=len(self._down.ids),
            targets=len(self._registry.target_by_id),
            store_age_s=round(self._timer.now() - answered_at, 1),
        )
