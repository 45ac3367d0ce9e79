"""Rates and counts as one byte, with an error of at most 2.5%."""

import math

MAX_LEVEL = 255
_GROWTH = 1.05
_LOG_GROWTH = math.log(_GROWTH)

COUNT_UNIT = 1.0
RATE_UNIT_PER_S = 0.01


def to_level(value: float, unit: float) -> int:
    """Returns the level next to ``value``; the error grows below ``unit``."""
    if value <= 0:
        return 0
    level = round(math.log1p(value / unit) / _LOG_GROWTH)
    return min(level, MAX_LEVEL)


def from_level(level: int, unit: float) -> float:
    """Returns the value that a level stands for."""
    return unit * (_GROWTH**level - 1.0)


def has_changed(
    last: float, now: float, fraction: float, least: float
) -> bool:
    """Tells whether a value moved by a fraction and by ``least``."""
    return abs(now - last) >= max(least, fraction * last)
