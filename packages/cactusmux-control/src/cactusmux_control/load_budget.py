"""Limits concurrent loads from the weight store."""

from cactusmux_base import metrics
from cactusmux_platform import weights
from returns import result

LOAD_WINDOW_S = 10.0
URGENT_LOAD_WINDOW_S = 20.0


class LoadBudget:
    """Allows loads while those in progress can finish within a time window.

    The amount in progress is recomputed each round from orders and reports,
    so a new lease holder starts with the correct value. One load is always
    allowed, even if it is larger than the window.

    :param part: usable fraction of the weight store's rate, from 0 to 1.
    """

    def __init__(
        self,
        weight_store: weights.WeightStore,
        metric: metrics.Metrics,
        part: float = 1.0,
    ) -> None:
        self._weight_store = weight_store
        self._part = part
        self._metric = metric
        self._rate_mb_per_s = 0.0
        self._loading_mb = 0.0

    def begin_round(self, loading_mb: float) -> None:
        """Sets the MB in progress; keeps the last rate if reading it fails."""
        self._loading_mb = loading_mb
        match self._weight_store.rate_mb_per_s():
            case result.Success(rate):
                self._rate_mb_per_s = rate * self._part
            case result.Failure(failure):
                self._metric.count(f'orders.budget.{failure.reason}')
        self._metric.gauge('orders.loading_mb', loading_mb)

    def reserve(self, load_mb: float, urgent: bool) -> bool:
        """Reserves budget for a load; urgent loads have a longer window."""
        if self._rate_mb_per_s <= 0:
            return False
        window_s = URGENT_LOAD_WINDOW_S if urgent else LOAD_WINDOW_S
        limit_mb = self._rate_mb_per_s * window_s
        if self._loading_mb > 0 and self._loading_mb + load_mb > limit_mb:
            return False
        self._loading_mb += load_mb
        return True
