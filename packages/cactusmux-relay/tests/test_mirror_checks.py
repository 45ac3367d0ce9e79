import random

from cactusmux_base import timers
from cactusmux_platform import stores
from cactusmux_relay import copies
from cactusmux_relay import instance_rank
from cactusmux_relay import mirror_checks
import pytest

# A change must be in force within 3 s. Watching instances wait for their own
# watch before they fetch a copy, and their followers fetch theirs after that.
LONGEST_GAP_S = (
    3.0 - copies.ANSWERED_PULL_DELAY_S[1] - copies.FOLLOWER_PULL_DELAY_S[1]
)
STARTS_WITHIN_S = 0.3
# Time by which the first instance has had its first turn.
FIRST_TURN_S = 3.0


class _Ended(Exception):
    """Raised at the end of a test's simulated time."""


class _Clock(timers.ManualTimers):
    """Ends a task that sleeps beyond the end of a test."""

    def __init__(self, start, end):
        super().__init__(start)
        self._end = end

    def sleep(self, seconds):
        super().sleep(seconds)
        if self.now() >= self._end:
            raise _Ended


class _Mirror:
    """Records the times of its checks; its position never changes."""

    position = stores.Position(0, 1)

    def __init__(self, clock):
        self._clock = clock
        self.checked_at = []

    def reconcile(self):
        self.checked_at.append(self._clock.now())
        return self.position


def _check_times(place, instances, rng, end):
    clock = _Clock(rng.uniform(0.0, STARTS_WITHIN_S), end)
    mirrors = [_Mirror(clock), _Mirror(clock)]
    checks = mirror_checks.MirrorChecks(
        mirrors,
        lambda: instance_rank.InstanceRank(place, instances),
        clock,
        rng,
    )
    with pytest.raises(_Ended):
        checks.run()
    return mirrors[0].checked_at


@pytest.mark.parametrize('instances', [8, 72, 195, 360])
def test_checks_for_missed_changes_run_often_enough_from_the_start(instances):
    rng = random.Random(instances)
    end = FIRST_TURN_S + 2.5 * instances * mirror_checks.PERIOD_S
    times = sorted(
        at
        for place in range(instances)
        for at in _check_times(place, instances, rng, end)
    )
    gaps = [
        later - earlier
        for earlier, later in zip([FIRST_TURN_S, *times], times, strict=False)
        if later > FIRST_TURN_S
    ]
    assert times
    assert max(gaps) < LONGEST_GAP_S
