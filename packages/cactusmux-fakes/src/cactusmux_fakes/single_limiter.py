"""Rate limits of a relay that is the only instance, for tests."""

from collections.abc import Callable

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import instance_rank
from cactusmux_relay import rate_limiter
from cactusmux_relay import rate_limits
from cactusmux_relay import service_demand
from cactusmux_relay import target_registry


def build_limiter(
    registry: target_registry.TargetRegistry,
    timer: timers.TimerService,
    metric: metrics.Metrics,
    place: int = 0,
    instances: int = 1,
    announce: Callable[[], None] = lambda: None,
) -> rate_limiter.RateLimiter:
    """Returns the limiter of one instance, the only one by default."""
    rank = instance_rank.InstanceRank(place, instances)
    limiter = rate_limiter.RateLimiter(
        rate_limits.RateLimits(registry, timer, metric, announce),
        service_demand.ServiceDemand(timer, announce),
        registry,
        lambda: rank,
        timer,
        metric,
    )
    limiter.set_instances(instances)
    limiter.limits.start()
    return limiter
