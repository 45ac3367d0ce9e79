"""Many instances that each see a pipe between zones as idle."""

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
LAST = path_choice.LAST_RESORT_PIPE_LIMIT
# Requests come so often that each right to cross is used at once.
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
    """Instances that share nothing but the time."""

    def __init__(self, seed, count=INSTANCES, believed=None):
        self.timer = timers.ManualTimers()
        self._rng = random.Random(seed)
        self.quotas = []
        self.sent = []
        self.change(count, believed)

    def change(self, count, believed=None):
        """Starts or ends instances; all learn of the number at once."""
        del self.quotas[count:]
        while len(self.quotas) < count:
            rng = random.Random(self._rng.random())
            self.quotas.append(
                pipe_quota.PipeQuota(self.timer, metrics.MemoryMetrics(), rng)
            )
        for each in self.quotas:
            each.set_instances(believed or count)

    def demand(self, seconds, limit=USUAL, tokens=TOKENS):
        """Lets all instances send whenever they may; returns the tokens."""
        begun = len(self.sent)
        until = self.timer.now() + seconds
        while self.timer.now() < until:
            for quota in self.quotas:
                if quota.may_cross(ENGINE, PIPE, limit):
                    quota.take(ENGINE, PATH, tokens, 'r')
                    self.sent.append((self.timer.now(), tokens))
            self.timer.advance(STEP_S)
        return sum(tokens for _, tokens in self.sent[begun:])


def _stated_bound(seconds, limit=USUAL):
    """What all instances together send, on average over starting levels."""
    shares = 1 if limit == USUAL else 2
    return CAPACITY * (limit * seconds + shares * pipe_quota.UNUSED_PIPE_S)


def _assert_within(sums, bound, tokens=TOKENS):
    """The mean is within a bound but for what sampling adds."""
    deviation = tokens * math.sqrt(bound / tokens / len(sums))
    assert sum(sums) / len(sums) <= bound + 3.0 * deviation


def _certain_bound(seconds, instances, largest, limit=USUAL):
    return CAPACITY * limit * seconds + instances * largest


def test_instances_that_start_at_once_do_not_fill_an_idle_pipe():
    """All 72 saw the pipe as idle and sent 67,000 tokens at once."""
    for seconds in (STEP_S, 1.0, 10.0):
        sums = [_Fleet(seed).demand(seconds) for seed in range(30)]
        # The steps of the play let a right stand a little longer.
        bound = _stated_bound(seconds + STEP_S)
        _assert_within(sums, bound)
        assert max(sums) <= bound + 4.0 * math.sqrt(bound * TOKENS)


def test_burst_after_a_long_idle_time_does_not_fill_the_pipe():
    """Shares that accumulate would all be spent by the same burst."""
    for limit in (USUAL, LAST):
        sums = []
        for seed in range(30):
            fleet = _Fleet(seed)
            fleet.demand(STEP_S)
            fleet.timer.advance(600.0)
            sums.append(fleet.demand(1.0, limit))
        _assert_within(sums, _stated_bound(1.0 + STEP_S, limit))


def test_small_requests_do_not_spend_shares_that_are_not_full():
    """Partly filled buckets of all instances would let a burst through."""
    sums = [_Fleet(seed).demand(1.0, tokens=100.0) for seed in range(30)]
    _assert_within(sums, _stated_bound(1.0 + STEP_S), tokens=100.0)


def test_share_is_used_where_all_demand_it():
    """A quota that withheld more than its limit would cost requests."""
    sent = _Fleet(1).demand(60.0)
    assert sent >= 0.9 * USUAL * CAPACITY * 60.0
    sent = _Fleet(1).demand(60.0, LAST)
    assert sent >= 0.9 * LAST * CAPACITY * 60.0


def test_instances_that_come_and_go_stay_within_the_limit():
    fleet = _Fleet(5)
    counts = [72, 48, 90, 20, 72, 14, 72]
    sent = 0.0
    started = 0
    for before, count in zip([0, *counts], counts, strict=False):
        started += max(0, count - before)
        fleet.change(count)
        sent += fleet.demand(8.0)
    seconds = 8.0 * len(counts)
    assert sent <= _certain_bound(seconds, started, TOKENS)
    # Debts are kept, so most of the shares is used nevertheless.
    assert sent <= 1.2 * _stated_bound(seconds)


def test_outdated_count_is_off_by_the_same_ratio():
    sent = _Fleet(3, count=72, believed=36).demand(60.0)
    assert sent <= 2.0 * _stated_bound(60.0 + STEP_S)
    sent = _Fleet(3, count=36, believed=72).demand(60.0)
    assert sent >= 0.4 * USUAL * CAPACITY * 60.0


def test_small_fleet_is_not_limited():
    fleet = _Fleet(1, count=13)
    quota = fleet.quotas[0]
    assert not quota.is_active
    assert quota.take(ENGINE, PATH, 1e6, 'r') == ()
    assert quota.may_cross(ENGINE, PIPE)


def test_pipe_of_unknown_capacity_is_not_limited():
    quota = _Fleet(1).quotas[0]
    engine = ENGINE._replace(pipe_tokens_per_s=math.inf)
    for _ in range(3):
        assert quota.may_cross(engine, PIPE)
        assert quota.take(engine, PATH, TOKENS, 'r') == ()


def test_tokens_that_were_not_sent_are_returned():
    quota = _Fleet(1).quotas[0]
    _advance_to_right(quota)
    grant = quota.take(ENGINE, PATH, TOKENS, 'r')
    assert not quota.may_cross(ENGINE, PIPE)
    quota.give_back(grant)
    assert quota.may_cross(ENGINE, PIPE)
    # Nothing more than it took.
    quota.take(ENGINE, PATH, TOKENS, 'r')
    assert not quota.may_cross(ENGINE, PIPE)


def test_path_that_crosses_a_pipe_twice_pays_twice():
    quota = _Fleet(1).quotas[0]
    _advance_to_right(quota)
    quota.take(ENGINE, THERE_AND_BACK, TOKENS, 'r')
    wait_s = quota.wait_s_by_pipe()[PIPE]
    assert wait_s >= 1.99 * TOKENS * INSTANCES / CAPACITY / USUAL


def test_path_within_a_zone_takes_nothing():
    quota = _Fleet(1).quotas[0]
    assert quota.take(ENGINE, PATH[:1], TOKENS, 'r') == ()


def _advance_to_right(quota):
    while not quota.may_cross(ENGINE, PIPE):
        quota._timer.advance(0.01)


_STEP = st.tuples(
    st.floats(0.0, 20.0),
    st.floats(1.0, 8000.0),
    st.sampled_from([USUAL, LAST]),
    st.sampled_from(['sent', 'sent', 'returned', 'returned later']),
)


@hypothesis.given(
    steps=st.lists(_STEP, min_size=1, max_size=40),
    seed=st.integers(0, 1000),
)
@hypothesis.settings(max_examples=150, deadline=None)
def test_one_instance_never_exceeds_its_share(steps, seed):
    """In any window: its share, and the largest request of each limit."""
    timer = timers.ManualTimers()
    quota = pipe_quota.PipeQuota(
        timer, metrics.MemoryMetrics(), random.Random(seed)
    )
    quota.set_instances(INSTANCES)
    sent = []
    open_grants = []
    largest = max(tokens for _, tokens, _, _ in steps)
    for wait_s, tokens, limit, fate in steps:
        timer.advance(wait_s)
        while open_grants:
            quota.release(open_grants.pop())
        if not quota.may_cross(ENGINE, PIPE, limit):
            continue
        grant = quota.reserve(ENGINE, PATH, tokens, 'r')
        if fate == 'sent':
            sent.append((timer.now(), tokens, grant[0].is_last))
        elif fate == 'returned':
            quota.release(grant)
        else:
            open_grants.append(grant)
    for index, (begun, _, _) in enumerate(sent):
        usual = total = 0.0
        for at, tokens, is_last in sent[index:]:
            seconds = at - begun
            total += tokens
            usual += 0.0 if is_last else tokens
            share = CAPACITY * seconds / INSTANCES
            assert usual <= USUAL * share + largest + 1e-6
            assert total <= LAST * share + 2.0 * largest + 1e-6
