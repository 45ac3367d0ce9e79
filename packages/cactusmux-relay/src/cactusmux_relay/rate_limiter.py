"""Keeps the rate limits that targets name, without a coordinator.

It answers a target in need that would get its usual load from each instance.
Each instance sends at most its share, limit / active instances, so that the
sum over all instances stays near the limit. The shares of instances begin at
different points of time, and unused credit expires, so that instances that
were idle don't all send at the same moment. A share begins without credit: an
instance that has just started or heard of a limit waits for its turn.

The limit is kept for requests that instances send to a target. Those that
another target hands on to it, as a later stage of a path, don't count.
"""

from collections.abc import Callable, Iterable
import math

from cactusmux_base import metrics
from cactusmux_base import timers

from . import dialect
from . import instance_count
from . import instance_rank
from . import rate_limits
from . import send_limits
from . import service_demand
from . import share_bucket
from . import target_registry
from . import targets

# Credit that all instances together may leave unused: what the limit allows
# in this time, and this number of requests.
UNUSED_CREDIT_S = 1.0
UNUSED_CREDIT_REQUESTS = 2.0
# A smaller number of instances takes effect after this time, in which targets
# count what they get.
WINDOW_S = 4.0


class RateLimiter(send_limits.SendLimits):
    """This instance's shares of the rate limits.

    :param rank: returns this instance's place among all instances.
    """

    def __init__(
        self,
        limits: rate_limits.RateLimits,
        demand: service_demand.ServiceDemand,
        registry: target_registry.TargetRegistry,
        rank: Callable[[], instance_rank.InstanceRank],
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self.limits = limits
        self.demand = demand
        self._registry = registry
        self._rank = rank
        self._timer = timer
        self._metric = metric
        self._instances = instance_count.InstanceCount(timer, WINDOW_S)
        self._bucket_by_start: dict[
            targets.Start, share_bucket.ShareBucket
        ] = {}

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the limits."""
        self._instances.set(count)

    def record_response(
        self,
        target: targets.Target,
        reading: dialect.RateLimitReading,
        sent_at: float,
    ) -> None:
        """Records what a response says; see :class:`RateLimits`."""
        self.limits.record_response(target, reading, sent_at)

    def record_request(self, service: str) -> None:
        self.demand.record_request(service)

    def held_ids(self, service: str) -> frozenset[str]:
        return frozenset(
            each.id
            for each in self._limited_targets()
            if each.service == service and not self._may_send(each)
        )

    def wait_s(self, target: targets.Target) -> float:
        per_s = self.limits.per_s(target.start)
        if per_s is None or self._may_send(target):
            return 0.0
        bucket = self._updated_bucket(target, per_s)
        if bucket is None:
            return WINDOW_S
        debt_s = bucket.wait_s(per_s / self._active_instances(target))
        return max(debt_s, self._announcing_s(target))

    def turns_per_s(self, limited: Iterable[targets.Target]) -> float:
        total_per_s = 0.0
        for target in limited:
            per_s = self.limits.per_s(target.start)
            if per_s is None:
                return math.inf
            total_per_s += per_s / self._active_instances(target)
        return total_per_s

    def next_turn_s(self, limited: Iterable[targets.Target]) -> float:
        rates = [self.limits.per_s(each.start) for each in limited]
        named = [each for each in rates if each is not None]
        if not named or len(named) < len(rates):
            return 0.0
        return 1.0 / sum(named)

    def take(self, target: targets.Target) -> bool:
        per_s = self.limits.per_s(target.start)
        if per_s is None:
            return True
        if not self._may_send(target):
            self._metric.count('relay.rate_limit.not_sent')
            return False
        bucket = self._updated_bucket(target, per_s)
        assert bucket is not None
        bucket.charge(1.0)
        self._metric.count('relay.rate_limit.sent')
        return True

    def _may_send(self, target: targets.Target) -> bool:
        per_s = self.limits.per_s(target.start)
        if per_s is None:
            return True
        if self._announcing_s(target) > 0.0:
            return False
        bucket = self._updated_bucket(target, per_s)
        return bucket is not None and bucket.has_credit

    def _limited_targets(self) -> Iterable[targets.Target]:
        for start, limit in self.limits.limit_by_start.items():
            target = self._registry.target_by_id.get(start.target_id)
            if limit.per_s is None or target is None:
                continue
            if target.start == start:
                yield target

    def _announcing_s(self, target: targets.Target) -> float:
        return self.demand.announcing_s(target.service, self._instances.value)

    def _active_instances(self, target: targets.Target) -> int:
        return self.demand.count_active(
            target.service, max(1, self._instances.value)
        )

    def _updated_bucket(
        self, target: targets.Target, per_s: float
    ) -> share_bucket.ShareBucket | None:
        """Returns the bucket, ``None`` before the first instance list."""
        if not self._instances.value:
            return None
        bucket = self._bucket_by_start.get(target.start)
        if bucket is None:
            self._drop_unlimited()
            bucket = self._new_bucket(per_s)
            self._bucket_by_start[target.start] = bucket
        active = self._active_instances(target)
        allowed = UNUSED_CREDIT_S * per_s + UNUSED_CREDIT_REQUESTS
        bucket.update(
            self._timer.now(), per_s / active, allowed / active, cycle=1.0
        )
        return bucket

    def _new_bucket(self, per_s: float) -> share_bucket.ShareBucket:
        """Returns a bucket without credit.

        The debts of the instances differ, so that their turns follow each
        other. Clocks that differ only change the order.
        """
        place, instances = self._rank()
        turn = (self._timer.wall() * per_s - place) / max(1, instances)
        return share_bucket.ShareBucket(self._timer.now(), turn % 1.0 - 1.0)

    def _drop_unlimited(self) -> None:
        """Drops the buckets of limits that have ended."""
        for start in list(self._bucket_by_start):
            if self.limits.per_s(start) is None:
                del self._bucket_by_start[start]
