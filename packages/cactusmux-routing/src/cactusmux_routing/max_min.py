"""Weighted max-min fair division of a capacity, with floors."""

from collections.abc import Hashable, Mapping
from typing import NamedTuple, TypeVar

Key = TypeVar('Key', bound=Hashable)


class Claim(NamedTuple):
    """Requested amount, in tokens per second.

    ``floor`` is granted first, up to the demand.
    """

    demand: float
    weight: float
    floor: float = 0.0


class Portion(NamedTuple):
    """The granted amount, and the one for an unlimited demand."""

    granted: float
    potential: float


def divide(
    capacity: float, claim_by_key: Mapping[Key, Claim]
) -> dict[Key, Portion]:
    """Divides a capacity by weighted max-min fairness.

    No claim can gain except at the expense of one that has less; amounts are
    compared by weight and above the floors. No claim gets more than its
    demand, and nothing is left over while a demand is unmet. Floors whose sum
    exceeds the capacity are scaled down.
    """
    floors = sum(claim.floor for claim in claim_by_key.values())
    scale = min(1.0, capacity / floors) if floors > 0 else 1.0
    low_by_key = {
        key: min(claim.demand, claim.floor * scale)
        for key, claim in claim_by_key.items()
    }
    level = _level(capacity, claim_by_key, low_by_key)
    granted_by_key = {
        key: min(claim.demand, max(low_by_key[key], claim.weight * level))
        for key, claim in claim_by_key.items()
    }
    left = max(capacity - sum(granted_by_key.values()), 0.0)
    return {
        key: Portion(
            granted,
            max(
                granted + left,
                claim_by_key[key].floor * scale,
                min(claim_by_key[key].weight * level, capacity),
            ),
        )
        for key, granted in granted_by_key.items()
    }


def _level(
    capacity: float,
    claim_by_key: Mapping[Key, Claim],
    low_by_key: Mapping[Key, float],
) -> float:
    """Returns the common fill level, per unit of weight.

    The sum of all grants is a piecewise linear function of the level; its
    slope changes where a claim rises above its floor and where its demand is
    met.
    """
    changes = []
    for key, claim in claim_by_key.items():
        if claim.weight > 0:
            changes.append((low_by_key[key] / claim.weight, claim.weight))
            changes.append((claim.demand / claim.weight, -claim.weight))
    changes.sort()
    left = capacity - sum(low_by_key.values())
    level = slope = 0.0
    for at, change in changes:
        step = slope * (at - level)
        if step >= left and slope > 0:
            return level + max(left, 0.0) / slope
        left -= step
        level = at
        slope += change
    return level
