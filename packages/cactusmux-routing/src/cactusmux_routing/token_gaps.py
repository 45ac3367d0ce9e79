"""Stall timeouts of streams, estimated from the gaps between tokens.

The estimate is that of TCP's retransmission timer: a smoothed mean and a
smoothed deviation, by kind of route.
"""

from typing import NamedTuple

MEAN_SMOOTHING = 0.125
DEVIATION_SMOOTHING = 0.25
DEVIATIONS = 6.0
MIN_GAP_S = 0.25
MAX_GAP_S = 3.0
# The first token is delayed by the prefill of the prompt.
MIN_FIRST_S = 1.0
MAX_FIRST_S = 10.0
MAX_KEYS = 4096


class GapKey(NamedTuple):
    """Streams with similar gaps: a model over a number of stages."""

    model: str
    version: str
    stages: int


class GapEstimate:
    """Mean and deviation of the gaps between tokens, in seconds.

    :param min_s: lower bound of the timeout.
    :param max_s: upper bound of the timeout.
    """

    __slots__ = ('_min_s', '_max_s', '_mean_s', '_deviation_s')

    def __init__(
        self, min_s: float = MIN_GAP_S, max_s: float = MAX_GAP_S
    ) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    @property
    def allowed_s(self) -> float:
        """Seconds without a token after which the stream counts as stalled."""
        if self._mean_s is None:
            return self._max_s
        allowed_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(max(allowed_s, self._min_s), self._max_s)

    def record(self, gap_s: float) -> None:
        """Adds one observed gap."""
        if self._mean_s is None:
            self._mean_s = gap_s
            self._deviation_s = gap_s / 2
            return
        error_s = gap_s - self._mean_s
        self._mean_s += MEAN_SMOOTHING * error_s
        self._deviation_s += DEVIATION_SMOOTHING * (
            abs(error_s) - self._deviation_s
        )


class GapTable:
    """Estimates by kind of route, for the first token and for later ones."""

    def __init__(self) -> None:
        self._first_by_key: dict[GapKey, GapEstimate] = {}
        self._later_by_key: dict[GapKey, GapEstimate] = {}

    def first_token(self, key: GapKey) -> GapEstimate:
        """Returns the estimate of the time to the first token."""
        estimate = self._first_by_key.get(key)
        if estimate is None:
            estimate = GapEstimate(MIN_FIRST_S, MAX_FIRST_S)
            _put(self._first_by_key, key, estimate)
        return estimate

    def next_token(self, key: GapKey) -> GapEstimate:
        """Returns the estimate of the gaps after the first token."""
        estimate = self._later_by_key.get(key)
        if estimate is None:
            estimate = GapEstimate()
            _put(self._later_by_key, key, estimate)
        return estimate


def _put(
    estimate_by_key: dict[GapKey, GapEstimate],
    key: GapKey,
    estimate: GapEstimate,
) -> None:
    if len(estimate_by_key) >= MAX_KEYS:
        del estimate_by_key[next(iter(estimate_by_key))]
    estimate_by_key[key] = estimate
