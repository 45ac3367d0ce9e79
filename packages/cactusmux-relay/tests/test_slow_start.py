"""Tests for the slow-start limit of one target and its permits."""

from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_relay import instance_rank
from cactusmux_relay import slow_start as limits
from cactusmux_relay import targets
import hypothesis
from hypothesis import strategies
import pytest

START = targets.Start('one', 1)
STARTED = limits.Cause.STARTED


def _initial(now=0.0):
    return limits.initial_limit(STARTED, now, None)


def test_limit_starts_small_and_doubles_to_full_use():
    limit = _initial()
    shares = [limit.share]
    while limit.share < limits.FULL_SHARE:
        limit = limits.increased(limit, 1.0)
        shares.append(limit.share)
    assert shares == [0.125, 0.25, 0.5, 1.0]


def test_limit_does_not_increase_before_slow_responses_can_arrive():
    """Fast responses arrive first and alone would raise the limit too far."""
    limit = limits.increased(_initial(), 1.0)
    assert not limits.may_increase(limit, 1.0 + limits.DOUBLING_PERIOD_S / 2)
    assert limits.may_increase(limit, 1.0 + limits.DOUBLING_PERIOD_S)


def test_limit_increases_by_steps_above_the_threshold():
    limit = _initial()._replace(share=0.5)
    limit = limits.decreased(limit, sent_at=1.0, now=2.0)
    assert (limit.share, limit.threshold) == (0.25, 0.25)
    limit = limits.increased(limit, 3.0)
    assert limit.share == 0.25 + limits.STEP_SHARE
    assert not limits.may_increase(limit, 3.0 + limits.DOUBLING_PERIOD_S)
    assert limits.may_increase(limit, 3.0 + limits.STEP_PERIOD_S)


def test_slow_responses_from_one_load_decrease_the_limit_once():
    """Otherwise a burst of slow responses would cut it to the minimum."""
    limit = limits.decreased(_initial()._replace(share=1.0), 1.0, 2.0)
    assert limits.decreased(limit, 1.9, 2.1).share == 0.5
    assert limits.decreased(limit, 2.0, 3.0).share == 0.25


def test_cold_target_may_double_again_once_it_is_warm():
    """A target that is slow at the minimum share is cold, not overloaded."""
    limit = _initial()
    for second in range(1, 6):
        limit = limits.decreased(limit, float(second), float(second))
    assert limit.share == limits.MIN_SHARE
    assert limits.increased(limit, 9.0).share == 2 * limits.MIN_SHARE


def test_recovery_never_increases_a_limit():
    known = _initial()
    again = limits.initial_limit(limits.Cause.BACKED_OFF, 3.0, known)
    assert again.share == known.share
    fresh = limits.initial_limit(limits.Cause.BACKED_OFF, 3.0, None)
    assert fresh.share == limits.BACKED_OFF_SHARE


def test_report_of_a_peer_increases_the_limit_up_to_the_threshold():
    slow = limits.decreased(_initial()._replace(share=0.5), 1.0, 2.0)
    slow = slow._replace(share=0.125)
    assert limits.increased_by_peer(slow, 1.0, 3.0).share == 0.25
    assert limits.increased_by_peer(slow, 0.0625, 3.0) is slow
    assert (
        limits.increased_by_peer(_initial(), 50.0, 3.0).share
        == limits.FULL_SHARE
    )


def test_full_use_of_a_model_target_is_what_its_memory_holds():
    engine = sample_engine.ENGINE
    few_layers = sample_engine.target(
        't', 'v100', 'a', targets.LayerRange(0, 7)
    )
    many_layers = sample_engine.target(
        't', 'v100', 'a', targets.LayerRange(0, 8)
    )
    assert limits.full_use_requests(few_layers, engine) == pytest.approx(
        19.47, abs=0.01
    )
    assert limits.full_use_requests(many_layers, engine) < 10
    assert not limits.is_serving(sample_engine.target('t'))


def test_full_use_of_a_plain_target_is_its_slots():
    plain = targets.Target(
        'p', relay_rig.PLAIN_SERVICE, 'p:1', 'a', 6, False, 1
    )
    assert limits.full_use_requests(plain, None) == 6
    assert limits.is_serving(plain)


@hypothesis.given(
    count=strategies.integers(1, 300),
    instances=strategies.integers(1, 100),
    epoch=strategies.integers(0, 1000),
)
def test_own_permits_of_all_instances_sum_up_to_the_total(
    count, instances, epoch
):
    own_permits_by_rank = [
        limits.own_permits(
            count, instance_rank.InstanceRank(place, instances), START, epoch
        )
        for place in range(instances)
    ]
    assert sum(own_permits_by_rank) == count
    assert max(own_permits_by_rank) - min(own_permits_by_rank) <= 1


def test_each_instance_gets_a_permit_in_some_epoch():
    """Without a permit it would never learn that the target is warm."""
    for place in range(72):
        rank = instance_rank.InstanceRank(place, 72)
        assert any(
            limits.own_permits(1, rank, START, epoch) for epoch in range(1000)
        )


def test_permits_of_targets_that_start_together_have_different_owners():
    starts = [targets.Start(f't{number}', 1) for number in range(10)]
    rank = instance_rank.InstanceRank(3, 72)
    epochs = range(72)
    permits_by_epoch = [
        sum(limits.own_permits(1, rank, each, epoch) for each in starts)
        for epoch in epochs
    ]
    assert max(permits_by_epoch) < len(starts) / 2
