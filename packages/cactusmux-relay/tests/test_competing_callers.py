"""A fleet under load, without a network: what callers get.

Guards against serving the most urgent worst, as it was measured before room
was kept for them, against starving a kind or an organisation, and against
holding requests for nothing.
"""

import collections

from cactusmux_fakes import competing_callers
import pytest

KINDS = (
    competing_callers.Kind(0, 16.5, 0.502),
    competing_callers.Kind(1, 25.3, 0.602),
    competing_callers.Kind(2, 10.1, 1.203),
)
# The bursts of the users' hard days.
BURSTS = (
    competing_callers.Burst(2, 2.5, 4.0, 10.0),
    competing_callers.Burst(0, 1.9, 10.0, 13.0),
)
SEEDS = (1, 2, 3)
# A kind's count is a few hundred, so its share is known to some 0.03.
NOISE = 0.03
LEAST_OF_MEAN = 0.25
# More than the room is admitted by this share at the most, while news are
# some tenths of a second old.
MOST_OVERFILL = 1.1


def _share(outcomes):
    return sum(each.is_served for each in outcomes) / max(1, len(outcomes))


def _on_time(outcomes):
    served = [each for each in outcomes if each.is_served and not each.is_late]
    return len(served) / max(1, len(outcomes))


def _groups(outcomes, key):
    found = collections.defaultdict(list)
    for each in outcomes:
        found[key(each)].append(each)
    return dict(sorted(found.items()))


def _by_rank(outcomes):
    return _groups(outcomes, lambda each: each.rank)


def _check_promises(outcomes):
    mean = _share(outcomes)
    for key in (
        lambda each: each.rank,
        lambda each: each.organisation,
        lambda each: each.tokens > 1500.0,
    ):
        for group in _groups(outcomes, key).values():
            assert _share(group) >= LEAST_OF_MEAN * mean
    shares = [_share(each) for each in _by_rank(outcomes).values()]
    for urgent, other in zip(shares, shares[1:], strict=False):
        assert urgent >= other - NOISE
    for each in outcomes:
        assert each.past_objective_s <= competing_callers.STEP_S


def _play(seed, kinds=KINDS, **values):
    play = competing_callers.Play(12, 3, kinds, length_s=16.0, **values)
    fleet = competing_callers.Fleet(play, seed)
    outcomes = fleet.run()
    assert fleet.largest_overfill <= MOST_OVERFILL
    return outcomes


def _scaled(factor):
    return tuple(each._replace(per_s=each.per_s * factor) for each in KINDS)


@pytest.mark.parametrize('seed', SEEDS)
def test_bursts_of_the_least_then_of_the_most_urgent(seed):
    outcomes = _play(seed, bursts=BURSTS)
    _check_promises(outcomes)
    burst = [
        each for each in _by_rank(outcomes)[0] if 10.0 <= each.asked_at < 13.0
    ]
    assert _share(burst) >= 0.97
    assert _on_time(burst) >= 0.85


@pytest.mark.parametrize('seed', SEEDS)
def test_organisation_with_ten_times_the_requests(seed):
    outcomes = _play(seed, _scaled(1.4), share_of_first=10 / 17)
    _check_promises(outcomes)
    big, *others = _groups(outcomes, lambda each: each.organisation).values()
    assert len(big) > 5 * max(len(each) for each in others)
    small = [each for group in others for each in group]
    assert _share(small) >= _share(big)


@pytest.mark.parametrize('seed', SEEDS)
def test_chain_that_dies_at_full_load(seed):
    outcomes = _play(seed, chain_dies_at_s=6.0)
    _check_promises(outcomes)
    after = [each for each in outcomes if each.asked_at >= 6.0]
    assert _on_time(_by_rank(after)[0]) >= 0.8


@pytest.mark.parametrize('seed', SEEDS)
def test_callers_that_repeat_at_once(seed):
    outcomes = _play(seed, _scaled(1.5), retries_at_once=True)
    _check_promises(outcomes)


def test_all_are_served_where_there_is_room():
    outcomes = _play(1, _scaled(0.4))
    assert _on_time(outcomes) >= 0.99


def test_large_fleet_that_hears_of_a_sample():
    play = competing_callers.Play(36, 4, _scaled(1.5), BURSTS, length_s=13.0)
    fleet = competing_callers.Fleet(play, 1)
    outcomes = fleet.run()
    _check_promises(outcomes)
    assert _share(_by_rank(outcomes)[0]) >= 0.9
    assert fleet.largest_overfill <= 1.25
