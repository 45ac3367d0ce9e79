"""Simulates callers of different urgency at a fleet under load.

Guards against serving the most urgent requests worst, which was measured
before capacity was reserved for them, against starving a kind of requests or
an organisation, and against queueing requests that can't be served in time.
"""

import collections

from cactusmux_fakes import competing_callers
import pytest

KINDS = (
    competing_callers.Kind(0, 16.5, 0.502),
    competing_callers.Kind(1, 25.3, 0.602),
    competing_callers.Kind(2, 10.1, 1.203),
)
# Load bursts as on the users' busiest days.
BURSTS = (
    competing_callers.Burst(2, 2.5, 4.0, 10.0),
    competing_callers.Burst(0, 1.9, 10.0, 13.0),
)
SEEDS = (1, 2, 3)
# A kind has a few hundred requests, so its share is accurate to about 0.03.
NOISE = 0.03
MIN_SHARE_OF_MEAN = 0.25
# Maximum ratio of admitted tokens to the capacity, while gossip is some tenths
# of a second old.
MAX_OVERFILL = 1.1


def _share(outcomes):
    return sum(each.is_served for each in outcomes) / max(1, len(outcomes))


def _on_time(outcomes):
    served = [each for each in outcomes if each.is_served and not each.is_late]
    return len(served) / max(1, len(outcomes))


def _group_by(outcomes, key):
    found = collections.defaultdict(list)
    for each in outcomes:
        found[key(each)].append(each)
    return dict(sorted(found.items()))


def _by_rank(outcomes):
    return _group_by(outcomes, lambda each: each.rank)


def _check_guarantees(outcomes):
    mean = _share(outcomes)
    for key in (
        lambda each: each.rank,
        lambda each: each.organisation,
        lambda each: each.tokens > 1500.0,
    ):
        for group in _group_by(outcomes, key).values():
            assert _share(group) >= MIN_SHARE_OF_MEAN * mean
    shares = [_share(each) for each in _by_rank(outcomes).values()]
    for urgent, other in zip(shares, shares[1:], strict=False):
        assert urgent >= other - NOISE
    for each in outcomes:
        assert each.past_objective_s <= competing_callers.STEP_S


def _simulate(seed, kinds=KINDS, **values):
    simulation = competing_callers.Play(12, 3, kinds, length_s=16.0, **values)
    fleet = competing_callers.Fleet(simulation, seed)
    outcomes = fleet.run()
    assert fleet.largest_overfill <= MAX_OVERFILL
    return outcomes


def _scaled(factor):
    return tuple(each._replace(per_s=each.per_s * factor) for each in KINDS)


@pytest.mark.parametrize('seed', SEEDS)
def test_bursts_of_the_least_then_of_the_most_urgent(seed):
    outcomes = _simulate(seed, bursts=BURSTS)
    _check_guarantees(outcomes)
    burst = [
        each for each in _by_rank(outcomes)[0] if 10.0 <= each.asked_at < 13.0
    ]
    assert _share(burst) >= 0.97
    assert _on_time(burst) >= 0.85


@pytest.mark.parametrize('seed', SEEDS)
def test_organisation_with_ten_times_the_requests(seed):
    outcomes = _simulate(seed, _scaled(1.4), share_of_first=10 / 17)
    _check_guarantees(outcomes)
    big, *others = _group_by(outcomes, lambda each: each.organisation).values()
    assert len(big) > 5 * max(len(each) for each in others)
    small = [each for group in others for each in group]
    assert _share(small) >= _share(big)


@pytest.mark.parametrize('seed', SEEDS)
def test_chain_that_dies_at_full_load(seed):
    outcomes = _simulate(seed, chain_dies_at_s=6.0)
    _check_guarantees(outcomes)
    after = [each for each in outcomes if each.asked_at >= 6.0]
    assert _on_time(_by_rank(after)[0]) >= 0.8


@pytest.mark.parametrize('seed', SEEDS)
def test_callers_that_retry_immediately(seed):
    outcomes = _simulate(seed, _scaled(1.5), retries_at_once=True)
    _check_guarantees(outcomes)


def test_all_are_served_below_the_capacity():
    outcomes = _simulate(1, _scaled(0.4))
    assert _on_time(outcomes) >= 0.99


def test_large_fleet_with_gossip_from_a_sample():
    simulation = competing_callers.Play(
        36, 4, _scaled(1.5), BURSTS, length_s=13.0
    )
    fleet = competing_callers.Fleet(simulation, 1)
    outcomes = fleet.run()
    _check_guarantees(outcomes)
    assert _share(_by_rank(outcomes)[0]) >= 0.9
    assert fleet.largest_overfill <= 1.25
