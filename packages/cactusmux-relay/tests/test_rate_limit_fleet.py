"""A fleet before targets that name a rate limit: how many requests arrive."""

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
    play.run(20.0)
    play.stop()
    most = play.server_by_id['s0'].most_arrivals(since)
    assert most <= _allowed(per_s)
