"""A fleet before targets that name a rate limit: how many requests arrive."""

import statistics

from cactusmux_fakes import rate_limit_play
import pytest

# After this time, the limit has to be kept by all instances.
KNOWN_S = 3.0


def _allowed(per_s):
    """Returns the most arrivals that are tolerated in a window."""
    return 1.5 * per_s * rate_limit_play.WINDOW_S + 5


def _start(instances, servers, rate, **options):
    play = rate_limit_play.RateLimitPlay(instances, servers, rate, **options)
    play.run(2.0)
    return play


def _limit(play, names, per_s):
    """Has targets name a limit; returns the time from which it counts."""
    for name in names:
        play.server_by_id[name].per_s = per_s
    return play.timer.now() + KNOWN_S


@pytest.mark.parametrize('instances, rate', [(8, 60.0), (100, 300.0)])
@pytest.mark.parametrize('per_s', [1.0, 7.9])
def test_limited_target_does_not_get_its_usual_share(instances, rate, per_s):
    play = _start(instances, 3, rate)
    since = _limit(play, ['s0'], per_s)
    play.run(12.0)
    play.stop()
    most = play.server_by_id['s0'].most_arrivals(since)
    assert most <= _allowed(per_s)


@pytest.mark.parametrize(
    'instances, rate', [(1, 40.0), (8, 60.0), (100, 300.0)]
)
@pytest.mark.parametrize('per_s', [1.0, 7.9])
def test_limits_are_used_while_callers_wait(instances, rate, per_s):
    play = _start(instances, 3, rate)
    since = _limit(play, play.server_by_id, per_s)
    play.run(20.0)
    play.stop()
    until = play.timer.now()
    used = [
        each.arrivals(since, until) / (per_s * (until - since))
        for each in play.server_by_id.values()
    ]
    most = [each.most_arrivals(since) for each in play.server_by_id.values()]
    assert max(most) <= _allowed(per_s)
    assert sum(used) / len(used) >= 0.9


@pytest.mark.parametrize('instances, rate', [(8, 60.0), (100, 300.0)])
def test_restarted_instances_do_not_add_to_the_limit(instances, rate):
    play = _start(instances, 3, rate, loss=0.1)
    since = _limit(play, ['s0', 's1'], 7.9)
    for place in range(0, instances, 2):
        play.run(2.0 if instances == 8 else 0.2)
        play.restart(place)
    play.run(5.0)
    play.stop()
    for name in ('s0', 's1'):
        server = play.server_by_id[name]
        assert server.most_arrivals(since) <= _allowed(7.9)


def test_burst_after_idle_time_stays_within_the_limit():
    play = _start(100, 1, 300.0)
    since = _limit(play, ['s0'], 7.9)
    play.run(4.0)
    play.set_rate(0.5)
    play.run(20.0)
    play.set_rate(2000.0)
    play.run(6.0)
    play.stop()
    assert play.server_by_id['s0'].most_arrivals(since) <= _allowed(7.9)


def test_share_of_idle_instances_goes_to_those_with_callers():
    play = _start(8, 1, 60.0)
    play.use_instances(2)
    since = _limit(play, ['s0'], 7.9)
    play.run(30.0)
    play.stop()
    server = play.server_by_id['s0']
    used = server.arrivals(since, play.timer.now()) / 7.9
    assert used >= 0.9 * (play.timer.now() - since)
    assert server.most_arrivals(since) <= _allowed(7.9)


def test_refused_callers_are_told_at_once_that_a_limit_is_the_cause():
    play = _start(8, 1, 60.0)
    _limit(play, ['s0'], 1.0)
    play.run(10.0)
    play.stop()
    assert play.refused_by_reason.keys() == {'rate_limited'}
    assert max(play.refused_after_s) <= 0.5 * rate_limit_play.OBJECTIVE_S


def test_callers_without_a_turn_do_not_wait_for_those_of_others():
    play = _start(2, 1, 100.0)
    _limit(play, ['s0'], 10.0)
    play.run(10.0)
    play.stop()
    # Each instance has a turn in 0.2 s and 50 requests a second.
    assert statistics.median(play.refused_after_s) == 0.0


def test_limit_that_is_no_longer_named_ends_everywhere():
    play = _start(8, 1, 60.0)
    _limit(play, ['s0'], 2.0)
    play.run(6.0)
    play.server_by_id['s0'].per_s = None
    play.run(1.0)
    since = play.timer.now()
    play.run(4.0)
    play.stop()
    assert play.server_by_id['s0'].arrivals(since, play.timer.now()) > 160
