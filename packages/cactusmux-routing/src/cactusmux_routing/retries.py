"""Limits on retries: deadlines, backoff and retry budgets."""

import random
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_base import timers
from returns import result

BUDGET_FRACTION = 0.1
BUDGET_MIN_PER_S = 1.0
BUDGET_BURST = 10.0
BACKOFF_BASE_S = 0.025
BACKOFF_CAP_S = 1.0
MAX_BUDGETS = 4096


class DeadlinePassed(failures.CactusmuxError):
    """No time is left for another attempt."""

    reason = 'deadline_passed'

    def __init__(self, late_s: float) -> None:
        super().__init__(f'deadline passed {late_s:.3f} s ago')
        self.late_s = late_s


class BudgetExhausted(failures.CactusmuxError):
    """The retry budget of ``owner`` is exhausted.

    ``retry_after_s`` is the time until it holds a whole retry again.
    """

    reason = 'retry_budget_exhausted'

    def __init__(self, owner: str, retry_after_s: float) -> None:
        super().__init__(f'retry budget of {owner!r} is exhausted')
        self.owner = owner
        self.retry_after_s = retry_after_s


class Deadline(NamedTuple):
    """The monotonic time after which a request's result is useless."""

    ends_at: float

    def left_s(self, now: float) -> float:
        """Returns the remaining seconds, to be passed on with the request."""
        return max(self.ends_at - now, 0.0)


class Backoff:
    """Exponential backoff with full jitter, limited by a deadline.

    :param rng: seeded source of randomness.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        base_s: float = BACKOFF_BASE_S,
        cap_s: float = BACKOFF_CAP_S,
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s

    def delay_s(
        self, retry: int, deadline: Deadline
    ) -> result.Result[float, DeadlinePassed]:
        """Returns the delay before retry number ``retry`` (from 0).

        Fails at once if the deadline would pass during the delay.
        """
        exponent = min(retry, 32)
        longest = min(self._cap_s, self._base_s * 2.0**exponent)
        delay_s = self._rng.uniform(0.0, longest)
        late_s = self._timer.now() + delay_s - deadline.ends_at
        if late_s >= 0:
            return result.Failure(DeadlinePassed(late_s))
        return result.Success(delay_s)


class _Bucket:
    __slots__ = ('tokens', 'filled_at')

    def __init__(self, tokens: float, filled_at: float) -> None:
        self.tokens = tokens
        self.filled_at = filled_at


class RetryBudget:
    """Limits retries to a fraction of the first attempts, per owner.

    A retry counts against the budgets of both the service and the
    organisation; it needs both. Each budget also refills by ``min_per_s``, so
    that an owner with few requests can still retry. Beyond ``MAX_BUDGETS``,
    the least recently used budget is dropped.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        fraction: float = BUDGET_FRACTION,
        min_per_s: float = BUDGET_MIN_PER_S,
        burst: float = BUDGET_BURST,
    ) -> None:
        self._timer = timer
        self._fraction = fraction
        self._min_per_s = min_per_s
        self._burst = burst
        self._bucket_by_owner: dict[str, _Bucket] = {}

    def record_first_attempt(self, service: str, organisation: str) -> None:
        """Adds a fraction of a retry to both budgets."""
        for owner in _owners(service, organisation):
            bucket = self._bucket(owner)
            tokens = bucket.tokens + self._fraction
            bucket.tokens = min(tokens, self._burst)

    def spend(
        self, service: str, organisation: str
    ) -> result.Result[None, BudgetExhausted]:
        """Takes one retry from both budgets, or from neither."""
        buckets = []
        for owner in _owners(service, organisation):
            bucket = self._bucket(owner)
            if bucket.tokens < 1.0:
                after_s = (1.0 - bucket.tokens) / self._min_per_s
                return result.Failure(BudgetExhausted(owner, after_s))
            buckets.append(bucket)
        for bucket in buckets:
            bucket.tokens -= 1.0
        return result.Success(None)

    def _bucket(self, owner: str) -> _Bucket:
        now = self._timer.now()
        bucket = self._bucket_by_owner.pop(owner, None)
        if bucket is None:
            bucket = _Bucket(self._burst, now)
        elapsed_s = now - bucket.filled_at
        tokens = bucket.tokens + elapsed_s * self._min_per_s
        bucket.tokens = min(tokens, self._burst)
        bucket.filled_at = now
        # Reinserted at the end: the first entry is the least recently used
        # one.
        self._bucket_by_owner[owner] = bucket
        if len(self._bucket_by_owner) > MAX_BUDGETS:
            oldest = next(iter(self._bucket_by_owner))
            del self._bucket_by_owner[oldest]
        return bucket


def _owners(service: str, organisation: str) -> tuple[str, str]:
    return service, f'{service}/{organisation}'
