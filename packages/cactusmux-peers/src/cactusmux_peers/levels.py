"""Logarithmic quantization of rates and counts to one byte.

The relative error is at most 2.5% for values well above the unit.
"""

import math

MAX_LEVEL = 255
_GROWTH = 1.05
_LOG_GROWTH = math.log(_GROWTH)

COUNT_UNIT = 1.0
RATE_UNIT_PER_S = 0.01


def to_level(value: float, unit: float) -> int:
    """Returns the level nearest to ``value``.

    The relative error grows for values below ``unit``.
    """
    if value <= 0:
        return 0
    level = round(math.log1p(value / unit) / _LOG_GROWTH)
    return min(level, MAX_LEVEL)


def from_level(level: int, unit: float) -> float:
    """Returns the value that a level represents."""
    return unit * (_GROWTH**level - 1.0)


def has_changed(
    last: float, now: float, fraction: float, least: float
) -> bool:
    """Returns whether a value changed by both thresholds.

    :param fraction: threshold relative to the last value.
    :param least: absolute threshold.
    """
    return abs(now - last) >= max(least, fraction * last)
