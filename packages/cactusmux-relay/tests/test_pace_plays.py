"""Targets that start, as callers see it, beside the same without limits.

Real relays, ledgers and limits of a fleet; time, targets and datagrams are
played. Seeds are fixed.
"""

from typing import NamedTuple

from cactusmux_fakes import pace_play
import pytest

WARM_UP_S = 5.0
COLD_FACTOR = 10.0


class _Seen(NamedTuple):
    """What callers got of a play, all answers since the restart.

    :ivar full_use_s: until the restarted targets served as much as others.
    """

    full_use_s: float
    worst_s: float
    late: int
    answers: int
    others_worst_s: float


def _cold(age_s, _running):
    """Ten times slower, then faster by and by until it is warm."""
    left = max(0.0, 1.0 - age_s / WARM_UP_S)
    return 1.0 + (COLD_FACTOR - 1.0) * left


def _slow_at_half_load(_age_s, running):
    return 6.0 if running > pace_play.SLOTS / 2 else 1.0


def _play(
    has_limits,
    pace,
    instances=4,
    servers=6,
    restarted=1,
    rate=200.0,
    loss=0.0,
    seconds=15.0,
):
    play = pace_play.Play(instances, servers, rate, has_limits, loss)
    play.run(pace_play.SETTLING_S)
    names = [f's{number}' for number in range(restarted)]
    since = play.restart(names, pace)
    play.run(seconds)
    play.stop()
    others = [each for each in play.server_by_id if each not in names]
    everyone = play.from_targets(list(play.server_by_id), since)
    return _Seen(
        play.full_use_s(names, since),
        pace_play.worst_s(everyone),
        pace_play.late(everyone),
        len(everyone),
        pace_play.worst_s(play.from_targets(others, since)),
    )


def _both(pace, **settings):
    without = _play(False, pace, **settings)
    limited = _play(True, pace, **settings)
    # A limit is never a reason to refuse or hold up a request.
    assert limited.answers >= without.answers - 5
    return without, limited


def test_cold_target_is_not_flooded_and_is_at_full_use_soon_after():
    without, limited = _both(_cold)
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s
    assert limited.full_use_s <= WARM_UP_S + 6.0
    # What it doesn't take, the others do, in time.
    assert limited.others_worst_s <= pace_play.OBJECTIVE_S


def test_cold_target_is_not_flooded_by_a_large_fleet():
    without, limited = _both(_cold, instances=72)
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s / 2
    assert limited.full_use_s <= WARM_UP_S + 6.0


@pytest.mark.parametrize('instances, most_s', [(4, 4.0), (72, 8.0)])
def test_target_that_is_fast_at_once_is_idle_for_a_bounded_time(
    instances, most_s
):
    without, limited = _both(pace_play.usual_pace, instances=instances)
    assert without.full_use_s <= 2.0
    assert limited.full_use_s <= most_s
    assert limited.late == 0


def test_target_that_is_slow_from_half_load_on_is_kept_below_it():
    """Its limit is halved again and again; it is probed by small steps."""
    without, limited = _both(_slow_at_half_load, rate=300.0, seconds=20.0)
    assert limited.late <= without.late / 2


def test_ten_targets_that_come_back_together_are_not_flooded():
    without, limited = _both(
        _cold, instances=3, servers=24, restarted=10, rate=700.0, seconds=12.0
    )
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s
    assert limited.full_use_s <= WARM_UP_S + 6.0


def test_lost_messages_delay_full_use_by_a_bounded_time():
    """Without any news, instances find the pace out or the limit ends."""
    without, limited = _both(_cold, instances=72, loss=1.0)
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s / 2
    assert limited.full_use_s <= 12.0
    _, warm = _both(pace_play.usual_pace, instances=72, loss=1.0)
    assert warm.full_use_s <= 11.0


@pytest.mark.parametrize('instances', [4, 72])
def test_nothing_is_limited_when_the_whole_fleet_starts(instances):
    """All targets are alike: each request goes where it went before."""
    plays = [
        pace_play.Play(instances, 6, 200.0, has_limits)
        for has_limits in (False, True)
    ]
    for play in plays:
        play.restart(list(play.server_by_id), _cold)
        play.run(10.0)
        play.stop()
    assert plays[0].answers == plays[1].answers
    for instance in plays[1].instances:
        assert not instance.paces._limit_by_start


def test_nothing_is_limited_when_all_targets_restart_later():
    """The instances went on, but none of the targets is newer."""
    plays = [pace_play.Play(4, 6, 200.0, limits) for limits in (False, True)]
    for play in plays:
        play.run(pace_play.SETTLING_S)
        play.restart(list(play.server_by_id), _cold)
        play.run(6.0)
        play.stop()
    assert plays[0].answers == plays[1].answers


def test_new_instances_do_not_limit_what_they_find():
    """An instance that starts alone can't tell new targets from old ones."""
    play = pace_play.Play(4, 6, 200.0, has_limits=True)
    play.run(1.0)
    for instance in play.instances:
        instance.paces.review()
        assert not instance.paces._limit_by_start
