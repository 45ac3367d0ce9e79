"""Weighted max-min division of a capacity, with floors."""

from collections.abc import Hashable, Mapping
from typing import NamedTuple, TypeVar

Key = TypeVar('Key', bound=Hashable)


class Claim(NamedTuple):
    """What one asks for, in tokens a second.

    ``floor`` is what it gets first, as far as it asks for it.
    """

    demand: float
    weight: float
    floor: float = 0.0


class Portion(NamedTuple):
    """What one gets, and what it would get if it alone asked for more."""

    granted: float
    potential: float


def divide(
    capacity: float, claim_by_key: Mapping[Key, Claim]
) -> dict[Key, Portion]:
    """Divides a capacity so that nobody can gain but at one who has less.

    Having less is meant by weight, and above the floors. Nobody gets more
    than its demand; nothing is left while a demand is unmet. Floors that
    pass the capacity are scaled down.
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
    """Returns the level to which all are filled, per weight.

    The sum of what all get grows with the level in straight pieces; the
    slope changes where one leaves its floor and where its demand is met.
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
