"""Demand by organisation, measured locally and reported by peers."""

import math
from typing import NamedTuple

from cactusmux_base import timers

WINDOW_S = 2.0
MIN_TRACKED_TPS = 0.01


class Leaf(NamedTuple):
    """An organisation of a service: a leaf of the share hierarchy."""

    service: str
    organisation: str


class ZoneDemand(NamedTuple):
    """Tokens per second requested at the other instances of a zone.

    This instance's own demand is never included. ``taken_at`` is local
    monotonic time.
    """

    zone: str
    instances: int
    tps_by_leaf: dict[Leaf, float]
    taken_at: float


class _Rate:
    __slots__ = ('tps', 'at')

    def __init__(self, now: float) -> None:
        self.tps = 0.0
        self.at = now


class DemandMeter:
    """Measures requested tokens per second by leaf, over about two seconds.

    All requests count, including those that are rejected afterwards. The
    backlog given to ``set_backlog`` is stored but not added to the rates.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._rate_by_leaf: dict[Leaf, _Rate] = {}
        self._backlog_by_leaf: dict[Leaf, float] = {}

    def record(self, leaf: Leaf, tokens: float) -> None:
        """Records a request for ``tokens`` tokens."""
        now = self._timer.now()
        rate = self._rate_by_leaf.get(leaf)
        if rate is None:
            rate = _Rate(now)
            self._rate_by_leaf[leaf] = rate
        rate.tps = _decayed(rate, now) + max(tokens, 1.0) / WINDOW_S
        rate.at = now

    def set_backlog(self, leaf: Leaf, tokens: float) -> None:
        """Sets the number of tokens queued for a leaf."""
        if tokens > 0:
            self._backlog_by_leaf[leaf] = tokens
        else:
            self._backlog_by_leaf.pop(leaf, None)

    def tps_by_leaf(self) -> dict[Leaf, float]:
        """Returns the current demand.

        Rates below ``MIN_TRACKED_TPS`` are dropped.
        """
        now = self._timer.now()
        tps_by_leaf = {
            leaf: _decayed(rate, now)
            for leaf, rate in self._rate_by_leaf.items()
        }
        for leaf, tps in tps_by_leaf.items():
            if tps < MIN_TRACKED_TPS:
                del self._rate_by_leaf[leaf]
        return {
            leaf: tps
            for leaf, tps in tps_by_leaf.items()
            if tps >= MIN_TRACKED_TPS
        }


def _decayed(rate: _Rate, now: float) -> float:
    return rate.tps * math.exp((rate.at - now) / WINDOW_S)
