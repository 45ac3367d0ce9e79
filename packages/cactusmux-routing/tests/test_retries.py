"""Tests of retry budgets, backoff and deadlines."""

import random

from cactusmux_base import timers
from cactusmux_routing import retries
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st


@settings(derandomize=True, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.sampled_from(['first', 'retry']), st.floats(0, 0.5)),
        max_size=300,
    )
)
def test_retries_never_exceed_the_budget(
    steps: list[tuple[str, float]],
) -> None:
    clock = timers.ManualTimers()
    budget = retries.RetryBudget(clock, 0.1, 1.0, 10.0)
    started = clock.now()
    first_tries = retried = 0
    for step, elapsed_s in steps:
        clock.advance(elapsed_s)
        if step == 'first':
            budget.record_first_attempt('s', 'o')
            first_tries += 1
        elif budget.spend('s', 'o').value_or(False) is None:
            retried += 1
        refilled = 0.1 * first_tries + (clock.now() - started) * 1.0
        assert retried <= 10.0 + refilled + 1e-6


def test_one_organisation_spends_its_own_budget_first() -> None:
    clock = timers.ManualTimers()
    budget = retries.RetryBudget(clock, 0.1, 1.0, 2.0)
    for _ in range(2):
        budget.spend('s', 'o').unwrap()
    failure = budget.spend('s', 'o').failure()
    assert failure == retries.BudgetExhausted('s', 1.0)
    budget.spend('other', 'o').unwrap()
    clock.advance(failure.retry_after_s)
    budget.spend('s', 'o').unwrap()


def test_rejected_retry_spends_from_neither_budget() -> None:
    clock = timers.ManualTimers()
    budget = retries.RetryBudget(clock, 1.0, 1.0, 2.0)
    for _ in range(2):
        budget.spend('s', 'o').unwrap()
    budget.record_first_attempt('s', 'p')
    assert budget.spend('s', 'o').failure().owner == 's/o'
    budget.spend('s', 'p').unwrap()


def test_backoff_is_jittered_between_zero_and_its_cap() -> None:
    clock = timers.ManualTimers()
    backoff = retries.Backoff(clock, random.Random(1), 0.1, 1.0)
    deadline = retries.Deadline(clock.now() + 60.0)
    for retry, longest in ((0, 0.1), (2, 0.4), (9, 1.0), (5000, 1.0)):
        delays = [backoff.delay_s(retry, deadline).unwrap() for _ in range(99)]
        assert 0 <= min(delays) < 0.1 * longest
        assert 0.9 * longest < max(delays) <= longest


def test_backoff_past_the_deadline_fails_at_once() -> None:
    clock = timers.ManualTimers()
    backoff = retries.Backoff(clock, random.Random(1), 0.1, 1.0)
    deadline = retries.Deadline(clock.now())
    failure = backoff.delay_s(3, deadline).failure()
    assert isinstance(failure, retries.DeadlinePassed)
    assert deadline.left_s(clock.now() + 1.0) == 0.0
