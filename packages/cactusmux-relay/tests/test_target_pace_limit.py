"""The limit of one target, and its division among instances."""

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


def _begun(now=0.0):
    return limits.begin(STARTED, now, None)


def test_limit_begins_small_and_doubles_to_full_use():
    limit = _begun()
    shares = [limit.share]
    while limit.share < limits.FULL_SHARE:
        limit = limits.raised(limit, 1.0)
        shares.append(limit.share)
    assert shares == [0.125, 0.25, 0.5, 1.0]


def test_limit_may_not_rise_before_slow_answers_could_have_come():
    """Fast answers come first; by these alone a limit rises too far."""
    limit = limits.raised(_begun(), 1.0)
    assert not limits.may_rise(limit, 1.0 + limits.RISE_PERIOD_S / 2)
    assert limits.may_rise(limit, 1.0 + limits.RISE_PERIOD_S)


def test_limit_rises_by_steps_above_the_share_at_which_answers_were_slow():
    limit = _begun()._replace(share=0.5)
    limit = limits.fallen(limit, sent_at=1.0, now=2.0)
    assert (limit.share, limit.threshold) == (0.25, 0.25)
    limit = limits.raised(limit, 3.0)
    assert limit.share == 0.25 + limits.STEP_SHARE
    assert not limits.may_rise(limit, 3.0 + limits.RISE_PERIOD_S)
    assert limits.may_rise(limit, 3.0 + limits.STEP_PERIOD_S)


def test_answers_of_one_round_lower_the_limit_once():
    """Many slow answers at once would else take it to the least share."""
    limit = limits.fallen(_begun()._replace(share=1.0), 1.0, 2.0)
    assert limits.fallen(limit, 1.9, 2.1).share == 0.5
    assert limits.fallen(limit, 2.0, 3.0).share == 0.25


def test_cold_target_may_double_again_once_it_is_warm():
    """Slow at the smallest share it isn't overloaded but cold."""
    limit = _begun()
    for second in range(1, 6):
        limit = limits.fallen(limit, float(second), float(second))
    assert limit.share == limits.LEAST_SHARE
    assert limits.raised(limit, 9.0).share == 2 * limits.LEAST_SHARE


def test_recovery_never_lifts_a_limit():
    known = _begun()
    again = limits.begin(limits.Cause.BACKED_OFF, 3.0, known)
    assert again.share == known.share
    fresh = limits.begin(limits.Cause.BACKED_OFF, 3.0, None)
    assert fresh.share == limits.BACKED_OFF_SHARE


def test_what_was_told_lifts_no_further_than_to_where_answers_were_slow():
    slow = limits.fallen(_begun()._replace(share=0.5), 1.0, 2.0)
    slow = slow._replace(share=0.125)
    assert limits.lifted(slow, 1.0, 3.0).share == 0.25
    assert limits.lifted(slow, 0.0625, 3.0) is slow
    assert limits.lifted(_begun(), 50.0, 3.0).share == limits.FULL_SHARE


def test_full_use_of_a_model_target_is_what_its_memory_holds():
    engine = sample_engine.ENGINE
    few = sample_engine.target('t', 'v100', 'a', targets.LayerRange(0, 7))
    many = sample_engine.target('t', 'v100', 'a', targets.LayerRange(0, 8))
    assert limits.full_requests(few, engine) == pytest.approx(19.47, abs=0.01)
    assert limits.full_requests(many, engine) < 10
    assert not limits.is_serving(sample_engine.target('t'))


def test_full_use_of_a_plain_target_is_its_slots():
    plain = targets.Target(
        'p', relay_rig.PLAIN_SERVICE, 'p:1', 'a', 6, False, 1
    )
    assert limits.full_requests(plain, None) == 6
    assert limits.is_serving(plain)


@hypothesis.given(
    count=strategies.integers(1, 300),
    instances=strategies.integers(1, 100),
    epoch=strategies.integers(0, 1000),
)
def test_parts_of_all_instances_sum_up_to_the_seats(count, instances, epoch):
    parts = [
        limits.part(
            count, instance_rank.InstanceRank(place, instances), START, epoch
        )
        for place in range(instances)
    ]
    assert sum(parts) == count
    assert max(parts) - min(parts) <= 1


def test_each_instance_gets_a_seat_from_time_to_time():
    """One without any would never learn that the target has become warm."""
    for place in range(72):
        turn = instance_rank.InstanceRank(place, 72)
        assert any(limits.part(1, turn, START, epoch) for epoch in range(1000))


def test_targets_that_start_together_have_seats_at_different_instances():
    starts = [targets.Start(f't{number}', 1) for number in range(10)]
    turn = instance_rank.InstanceRank(3, 72)
    epochs = range(72)
    at_once = [
        sum(limits.part(1, turn, each, epoch) for each in starts)
        for epoch in epochs
    ]
    assert max(at_once) < len(starts) / 2
