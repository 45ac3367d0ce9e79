"""Tests of the quota for links between zones in a large fleet."""

import math
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_relay import cost_model
from cactusmux_relay import path_choice
from cactusmux_relay import pipe_quota
from cactusmux_relay import targets
import hypothesis
from hypothesis import strategies as st

INSTANCES = 72
CAPACITY = 18_900.0
TOKENS = 938.0
ENGINE = sample_engine.ENGINE._replace(
    pipe_tokens_per_s=CAPACITY, usual_prompt=800.0, usual_answer=138.0
)
PIPE = ('a', 'b')
USUAL = path_choice.PIPE_LIMIT
LAST_RESORT = path_choice.LAST_RESORT_PIPE_LIMIT
# Requests are so frequent that credit is used at once.
STEP_S = 0.05


def _stage(name, zone, first, end):
    layers = targets.LayerRange(first, end)
    target = sample_engine.target(name, 'a100', zone, layers)
    return cost_model.Stage(target, layers)


PATH = (_stage('x', 'a', 0, 40), _stage('y', 'b', 40, 80))
THERE_AND_BACK = (
    _stage('x', 'a', 0, 30),
    _stage('y', 'b', 30, 60),
    _stage('z', 'a', 60, 80),
)


class _Fleet:
    """Independent instances with a common clock.

    :ivar sent: time and tokens of each request that was sent.
    """

    def __init__(self, seed, count=INSTANCES, believed=None):
        self.timer = timers.ManualTimers()
        self._rng = random.Random(seed)
        self.quotas = []
        self.sent = []
        self.change(count, believed)

    def change(self, count, believed=None):
        """Starts or stops instances.

        :param believed: number of instances that all assume, if not the
            actual one.
        """
        del self.quotas[count:]
        while len(self.quotas) < count:
            rng = random.Random(self._rng.random())
            self.quotas.append(
                pipe_quota.PipeQuota(self.timer, metrics.MemoryMetrics(), rng)
            )
        for each in self.quotas:
            each.set_instances(believed or count)

    def demand(self, seconds, limit=USUAL, tokens=TOKENS):
        """Sends from all instances whenever allowed; returns the tokens."""
        begun = len(self.sent)
        until = self.timer.now() + seconds
        while self.timer.now() < until:
            for quota in self.quotas:
                if quota.may_cross(ENGINE, PIPE, limit):
                    quota.reserve(ENGINE, PATH, tokens, 'r')
                    self.sent.append((self.timer.now(), tokens))
            self.timer.advance(STEP_S)
        return sum(tokens for _, tokens in self.sent[begun:])


def _mean_bound(seconds, limit=USUAL):
    """Returns the documented limit on the mean tokens of all instances."""
    shares = 1 if limit == USUAL else 2
    return CAPACITY * (limit * seconds + shares * pipe_quota.UNUSED_CREDIT_S)


def _assert_within(sums, bound, tokens=TOKENS):
    """Asserts that the mean is within a bound, allowing for sampling."""
    deviation = tokens * math.sqrt(bound / tokens / len(sums))
    assert sum(sums) / len(sums) <= bound + 3.0 * deviation


def _worst_case_bound(seconds, instances, largest, limit=USUAL):
    return CAPACITY * limit * seconds + instances * largest


def test_simultaneous_start_does_not_fill_an_idle_link():
    """All 72 instances saw an idle link and sent 67,000 tokens at once."""
    for seconds in (STEP_S, 1.0, 10.0):
        sums = [_Fleet(seed).demand(seconds) for seed in range(30)]
        # Unused credit lasts up to one simulation step longer.
        bound = _mean_bound(seconds + STEP_S)
        _assert_within(sums, bound)
        assert max(sums) <= bound + 4.0 * math.sqrt(bound * TOKENS)


def test_burst_after_a_long_idle_time_does_not_fill_the_link():
    """If credit accumulated, one burst would spend that of all instances."""
    for limit in (USUAL, LAST_RESORT):
        sums = []
        for seed in range(30):
            fleet = _Fleet(seed)
            fleet.demand(STEP_S)
            fleet.timer.advance(600.0)
            sums.append(fleet.demand(1.0, limit))
        _assert_within(sums, _mean_bound(1.0 + STEP_S, limit))


def test_burst_of_small_requests_does_not_fill_the_link():
    """Small requests must not spend credit that is only partly refilled."""
    sums = [_Fleet(seed).demand(1.0, tokens=100.0) for seed in range(30)]
    _assert_within(sums, _mean_bound(1.0 + STEP_S), tokens=100.0)


def test_limit_is_reached_under_full_demand():
    """A quota below its limit would reject requests without need."""
    sent = _Fleet(1).demand(60.0)
    assert sent >= 0.9 * USUAL * CAPACITY * 60.0
    sent = _Fleet(1).demand(60.0, LAST_RESORT)
    assert sent >= 0.9 * LAST_RESORT * CAPACITY * 60.0


def test_changing_fleet_stays_within_the_limit():
    fleet = _Fleet(5)
    counts = [72, 48, 90, 20, 72, 14, 72]
    sent = 0.0
    started = 0
    for before, count in zip([0, *counts], counts, strict=False):
        started += max(0, count - before)
        fleet.change(count)
        sent += fleet.demand(8.0)
    seconds = 8.0 * len(counts)
    assert sent <= _worst_case_bound(seconds, started, TOKENS)
    # Instances keep their debt when the count changes.
    assert sent <= 1.2 * _mean_bound(seconds)


def test_wrong_instance_count_changes_the_limit_by_the_same_ratio():
    sent = _Fleet(3, count=72, believed=36).demand(60.0)
    assert sent <= 2.0 * _mean_bound(60.0 + STEP_S)
    sent = _Fleet(3, count=36, believed=72).demand(60.0)
    assert sent >= 0.4 * USUAL * CAPACITY * 60.0


def test_small_fleet_is_not_limited():
    fleet = _Fleet(1, count=13)
    quota = fleet.quotas[0]
    assert not quota.is_active
    assert quota.reserve(ENGINE, PATH, 1e6, 'r') == ()
    assert quota.may_cross(ENGINE, PIPE)


def test_link_of_unknown_capacity_is_not_limited():
    quota = _Fleet(1).quotas[0]
    engine = ENGINE._replace(pipe_tokens_per_s=math.inf)
    for _ in range(3):
        assert quota.may_cross(engine, PIPE)
        assert quota.reserve(engine, PATH, TOKENS, 'r') == ()


def test_reservation_for_unsent_tokens_can_be_released():
    quota = _Fleet(1).quotas[0]
    _advance_until_allowed(quota)
    reservations = quota.reserve(ENGINE, PATH, TOKENS, 'r')
    assert not quota.may_cross(ENGINE, PIPE)
    quota.release(reservations)
    assert quota.may_cross(ENGINE, PIPE)
    # The release restores no more than was reserved.
    quota.reserve(ENGINE, PATH, TOKENS, 'r')
    assert not quota.may_cross(ENGINE, PIPE)


def test_path_that_crosses_a_link_twice_is_charged_twice():
    quota = _Fleet(1).quotas[0]
    _advance_until_allowed(quota)
    quota.reserve(ENGINE, THERE_AND_BACK, TOKENS, 'r')
    wait_s = quota.wait_s_by_pipe()[PIPE]
    assert wait_s >= 1.99 * TOKENS * INSTANCES / CAPACITY / USUAL


def test_path_within_a_zone_reserves_nothing():
    quota = _Fleet(1).quotas[0]
    assert quota.reserve(ENGINE, PATH[:1], TOKENS, 'r') == ()


def _advance_until_allowed(quota):
    while not quota.may_cross(ENGINE, PIPE):
        quota._timer.advance(0.01)


_STEP = st.tuples(
    st.floats(0.0, 20.0),
    st.floats(1.0, 8000.0),
    st.sampled_from([USUAL, LAST_RESORT]),
    st.sampled_from(['sent', 'sent', 'returned', 'returned later']),
)


@hypothesis.given(
    steps=st.lists(_STEP, min_size=1, max_size=40),
    seed=st.integers(0, 1000),
)
@hypothesis.settings(max_examples=150, deadline=None)
def test_one_instance_never_exceeds_its_share(steps, seed):
    """In any window it sends its share plus one request per limit at most."""
    timer = timers.ManualTimers()
    quota = pipe_quota.PipeQuota(
        timer, metrics.MemoryMetrics(), random.Random(seed)
    )
    quota.set_instances(INSTANCES)
    sent = []
    open_reservations = []
    largest = max(tokens for _, tokens, _, _ in steps)
    for wait_s, tokens, limit, outcome in steps:
        timer.advance(wait_s)
        while open_reservations:
            quota.release(open_reservations.pop())
        if not quota.may_cross(ENGINE, PIPE, limit):
            continue
        reservations = quota.reserve(ENGINE, PATH, tokens, 'r')
        if outcome == 'sent':
            sent.append((timer.now(), tokens, reservations[0].is_last))
        elif outcome == 'returned':
            quota.release(reservations)
        else:
            open_reservations.append(reservations)
    for index, (begun, _, _) in enumerate(sent):
        usual = total = 0.0
        for at, tokens, is_last in sent[index:]:
            seconds = at - begun
            total += tokens
            usual += 0.0 if is_last else tokens
            share = CAPACITY * seconds / INSTANCES
            assert usual <= USUAL * share + largest + 1e-6
            assert total <= LAST_RESORT * share + 2.0 * largest + 1e-6
