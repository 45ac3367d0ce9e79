"""Selects the instances whose addresses are returned to callers.

Callers connect to one of the returned addresses at random. In a zone with
unequal instances, a small instance would thus get as many callers as one with
ten times its link bandwidth. Each response therefore names all large instances
and a random sample of the small ones, drawn per response. An instance in
trouble isn't named while most others are healthy.
"""

from collections.abc import Sequence
import math
import random

from . import membership

# Instances are unequal if one has at most this fraction of another's link
# bandwidth or processor time. An instance is small if it has at most this
# fraction of the largest one's capacity.
SMALL_CAPACITY_SHARE = 0.5
# Minimum fraction of the instances that are named: concentrating the callers
# on fewer of them would overload those.
MIN_NAMED_SHARE = 0.5


def select_instances(
    candidates: Sequence[membership.Instance],
    troubled: frozenset[str],
    max_count: int,
    rng: random.Random,
) -> list[membership.Instance]:
    """Returns the instances to name, in the order of the candidates.

    If the candidates have equal capacity, all are named, including those in
    trouble.

    :param troubled: names of instances that report trouble.
    :param most: maximum number of instances to name.
    """
    if not has_unequal_capacity(candidates):
        return list(candidates[:max_count])
    healthy = [each for each in candidates if each.name not in troubled]
    if not healthy:
        healthy = list(candidates)
    min_count = math.ceil(len(candidates) * MIN_NAMED_SHARE)
    if len(healthy) < min_count:
        # Trouble of most instances can't be solved by leaving them out.
        others = [each for each in candidates if each.name in troubled]
        healthy += _weighted_sample(others, min_count - len(healthy), rng)
    elif has_unequal_capacity(healthy):
        healthy = _sample_small(healthy, rng)
    if len(healthy) > max_count:
        healthy = _weighted_sample(healthy, max_count, rng)
    names = {each.name for each in healthy}
    return [each for each in candidates if each.name in names]


def has_unequal_capacity(candidates: Sequence[membership.Instance]) -> bool:
    """Whether one has at least twice another's bandwidth or CPU time."""
    return any(
        share <= SMALL_CAPACITY_SHARE
        for share in relative_capacities(candidates).values()
    )


def relative_capacities(
    candidates: Sequence[membership.Instance],
) -> dict[str, float]:
    """Returns each instance's capacity as a fraction of the largest one's.

    A capacity that an instance doesn't report isn't counted as small.
    """
    max_link_mbps = max((each.link_mbps for each in candidates), default=0.0)
    max_cores = max((each.cores for each in candidates), default=0.0)
    share_by_name = {
        each.name: min(
            _relative(each.link_mbps, max_link_mbps),
            _relative(each.cores, max_cores),
        )
        for each in candidates
    }
    largest = max(share_by_name.values(), default=1.0)
    return {name: share / largest for name, share in share_by_name.items()}


def _relative(amount: float, largest: float) -> float:
    return amount / largest if amount > 0.0 else 1.0


def _sample_small(
    healthy: list[membership.Instance], rng: random.Random
) -> list[membership.Instance]:
    """Returns all large instances and a sample of the small ones.

    The sample is as large as the sum of the small ones' relative capacities.
    """
    share_by_name = relative_capacities(healthy)
    large = [
        each
        for each in healthy
        if share_by_name[each.name] > SMALL_CAPACITY_SHARE
    ]
    small = [
        each
        for each in healthy
        if share_by_name[each.name] <= SMALL_CAPACITY_SHARE
    ]
    weight = sum(share_by_name[each.name] for each in small)
    min_count = math.ceil(len(healthy) * MIN_NAMED_SHARE) - len(large)
    return large + _weighted_sample(
        small, max(min_count, math.ceil(weight)), rng
    )


def _weighted_sample(
    candidates: list[membership.Instance], count: int, rng: random.Random
) -> list[membership.Instance]:
    """Draws without replacement, weighted by capacity."""
    share_by_name = relative_capacities(candidates)

    def key(each: membership.Instance) -> float:
        # The largest keys form a weighted sample (Efraimidis, Spirakis).
        return rng.random() ** (1.0 / share_by_name[each.name])

    return sorted(candidates, key=key, reverse=True)[:count]
