import random

from cactusmux_base import timers
from cactusmux_relay import copies
from cactusmux_relay import instance_rank
from cactusmux_relay import mirror_checks
import pytest

# A change is to be in force within 3 s. Those that watch wait for their own
# watch before they ask for a copy, and those that they tell come after them.
LONGEST_GAP_S = (
    3.0 - copies.ANSWERED_PATIENCE_S[1] - copies.COPIED_PATIENCE_S[1]
)
STARTS_WITHIN_S = 0.3
# Until the first instance has its turn.
BEGIN_S = 3.0


class _Ended(Exception):
    """The time of a test is over."""


class _Clock(timers.ManualTimers):
    """Ends what sleeps beyond the end of a test."""

    def __init__(self, start, end):
        super().__init__(start)
        self._end = end

    def sleep(self, seconds):
        super().sleep(seconds)
        if self.now() >= self._end:
            raise _Ended


class _Mirror:
    """Notes when it is checked; nothing has ever changed."""

    revision = 1

    def __init__(self, clock):
        self._clock = clock
        self.checked_at = []

    def check(self):
        self.checked_at.append(self._clock.now())
        return self.revision


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
def test_changes_that_watches_miss_are_looked_for_from_the_start(instances):
    rng = random.Random(instances)
    end = BEGIN_S + 2.5 * instances * mirror_checks.PERIOD_S
    times = sorted(
        at
        for place in range(instances)
        for at in _check_times(place, instances, rng, end)
    )
    gaps = [
        later - earlier
        for earlier, later in zip([BEGIN_S, *times], times, strict=False)
        if later > BEGIN_S
    ]
    assert times
    assert max(gaps) < LONGEST_GAP_S
