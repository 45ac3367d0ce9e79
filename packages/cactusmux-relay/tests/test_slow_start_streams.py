"""Simulates streams to starting model targets with and without limits.

Six targets that each hold all layers, four instances and 80 streams per
second, which is close to the capacity of the targets.
"""

from typing import NamedTuple

from cactusmux_fakes import pace_play
from cactusmux_fakes import pace_stream_play
import pytest

RATE = 80.0
ENGINES = 6
WARM_UP_S = 5.0
SLOW_FROM = 5


class _Results(NamedTuple):
    """Results for callers since the restart.

    :ivar shares: fraction of all streams that the restarted target received,
        by second.
    """

    streams: list[pace_stream_play.Streamed]
    refused: int
    shares: list[float]

    @property
    def late(self):
        return sum(each.is_late for each in self.streams)

    @property
    def worst_first_s(self):
        return max(each.first_s for each in self.streams)


def _cold(age_s, _running):
    """Ten times slower at first, then gradually faster until it is warm."""
    return 1.0 + 9.0 * max(0.0, 1.0 - age_s / WARM_UP_S)


def _slow_at_half_load(_age_s, running):
    return 8.0 if running > SLOW_FROM else 1.0


def _simulate(has_limits, pace, seconds=12):
    play = pace_stream_play.StreamPlay(4, ENGINES, RATE, has_limits)
    play.run(pace_play.SETTLING_S)
    since = play.restart(['e0'], pace)
    play.run(float(seconds))
    play.stop()
    found = [each for each in play.streams if each.asked_at >= since]
    shares = []
    for second in range(seconds - 1):
        names = [
            each.target_id
            for each in found
            if second <= each.asked_at - since < second + 1
        ]
        shares.append(names.count('e0') / len(names))
    return _Results(found, play.refused, shares)


def _compare(pace):
    without = _simulate(False, pace)
    limited = _simulate(True, pace)
    # A limit must never cause a refusal.
    assert without.refused == limited.refused == 0
    assert len(limited.streams) >= 0.95 * len(without.streams)
    return without, limited


def test_cold_model_target_is_not_overloaded_with_prompts():
    without, limited = _compare(_cold)
    assert limited.late <= without.late / 2
    assert limited.worst_first_s <= without.worst_first_s / 2


def test_cold_model_target_is_used_soon_after_it_is_warm():
    _, limited = _compare(_cold)
    last = limited.shares[8:]
    assert sum(last) / len(last) >= 0.7 / ENGINES


def test_model_target_that_is_fast_at_once_is_idle_for_a_bounded_time():
    without, limited = _compare(pace_play.usual_pace)
    assert limited.late <= without.late + 5
    fifth_on = limited.shares[4:8]
    assert sum(fifth_on) / len(fifth_on) >= 0.7 / ENGINES


def test_model_target_that_is_slow_at_half_load_makes_fewer_streams_late():
    without, limited = _compare(_slow_at_half_load)
    assert limited.late < without.late
    assert limited.worst_first_s < without.worst_first_s


@pytest.mark.parametrize('has_limits', [False, True])
def test_simulation_without_a_restart_limits_nothing(has_limits):
    play = pace_stream_play.StreamPlay(4, ENGINES, RATE, has_limits)
    play.run(pace_play.SETTLING_S)
    play.stop()
    assert play.refused == 0
    for instance in play.instances:
        assert not instance.paces._limit_by_start
