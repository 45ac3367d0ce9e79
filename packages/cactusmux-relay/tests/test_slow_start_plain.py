"""Simulates plain requests to starting targets with and without limits.

The relays, load trackers and limits of the fleet are real; time, targets and
datagrams are simulated with fixed seeds.
"""

from typing import NamedTuple

from cactusmux_fakes import pace_play
import pytest

WARM_UP_S = 5.0
COLD_FACTOR = 10.0


class _Results(NamedTuple):
    """Results for the callers of a simulation since the restart.

    :ivar full_use_s: time until the restarted targets served as much as the
        others.
    """

    full_use_s: float
    worst_s: float
    late: int
    answers: int
    others_worst_s: float


def _cold(age_s, _running):
    """Ten times slower at first, then gradually faster until it is warm."""
    left = max(0.0, 1.0 - age_s / WARM_UP_S)
    return 1.0 + (COLD_FACTOR - 1.0) * left


def _slow_at_half_load(_age_s, running):
    return 6.0 if running > pace_play.SLOTS / 2 else 1.0


def _simulate(
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
    all_answers = play.from_targets(list(play.server_by_id), since)
    return _Results(
        play.full_use_s(names, since),
        pace_play.worst_s(all_answers),
        pace_play.late(all_answers),
        len(all_answers),
        pace_play.worst_s(play.from_targets(others, since)),
    )


def _compare(pace, **settings):
    without = _simulate(False, pace, **settings)
    limited = _simulate(True, pace, **settings)
    # A limit must never cause a refusal or delay of a request.
    assert limited.answers >= without.answers - 5
    return without, limited


def test_cold_target_is_not_overloaded_and_reaches_full_use_soon():
    without, limited = _compare(_cold)
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s
    assert limited.full_use_s <= WARM_UP_S + 6.0
    # The other targets take over the remaining load in time.
    assert limited.others_worst_s <= pace_play.OBJECTIVE_S


def test_cold_target_is_not_overloaded_by_a_large_fleet():
    without, limited = _compare(_cold, instances=72)
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s / 2
    assert limited.full_use_s <= WARM_UP_S + 6.0


@pytest.mark.parametrize('instances, most_s', [(4, 4.0), (72, 8.0)])
def test_target_that_is_fast_at_once_is_idle_for_a_bounded_time(
    instances, most_s
):
    without, limited = _compare(pace_play.usual_pace, instances=instances)
    assert without.full_use_s <= 2.0
    assert limited.full_use_s <= most_s
    assert limited.late == 0


def test_target_that_is_slow_from_half_load_on_is_kept_below_it():
    """Its limit is halved repeatedly and increased by small steps."""
    without, limited = _compare(_slow_at_half_load, rate=300.0, seconds=20.0)
    assert limited.late <= without.late / 2


def test_ten_targets_that_return_together_are_not_overloaded():
    without, limited = _compare(
        _cold, instances=3, servers=24, restarted=10, rate=700.0, seconds=12.0
    )
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s
    assert limited.full_use_s <= WARM_UP_S + 6.0


def test_lost_messages_delay_full_use_by_a_bounded_time():
    """Without gossip, instances measure the speed or the limit expires."""
    without, limited = _compare(_cold, instances=72, loss=1.0)
    assert limited.late <= without.late / 3
    assert limited.worst_s <= without.worst_s / 2
    assert limited.full_use_s <= 12.0
    _, warm = _compare(pace_play.usual_pace, instances=72, loss=1.0)
    assert warm.full_use_s <= 11.0


@pytest.mark.parametrize('instances', [4, 72])
def test_nothing_is_limited_when_the_whole_fleet_starts(instances):
    """No target is newer, so each request goes to the same target."""
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
    """The instances kept running, but no target is newer than another."""
    plays = [pace_play.Play(4, 6, 200.0, limits) for limits in (False, True)]
    for play in plays:
        play.run(pace_play.SETTLING_S)
        play.restart(list(play.server_by_id), _cold)
        play.run(6.0)
        play.stop()
    assert plays[0].answers == plays[1].answers


def test_new_instances_do_not_limit_what_they_find():
    """An instance that starts can't distinguish new targets from old ones."""
    play = pace_play.Play(4, 6, 200.0, has_limits=True)
    play.run(1.0)
    for instance in play.instances:
        instance.paces.review()
        assert not instance.paces._limit_by_start
