"""Bounds how much is loaded from the weight store at one time."""

from cactusmux_base import metrics
from cactusmux_platform import weights
from returns import result

LOAD_WINDOW_S = 10.0
URGENT_LOAD_WINDOW_S = 20.0


class LoadBudget:
    """Lets loads start while what is under way fits into a time window.

    It is counted anew each round from orders and reports, so a new holder
    starts with the true figure. One load may always be under way, even one
    that is larger than the window.

    :param part: of the weight store's rate, from 0 to 1.
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
        """Notes what is under way; keeps the last rate if none is told."""
        self._loading_mb = loading_mb
        match self._weight_store.rate_mb_per_s():
            case result.Success(rate):
                self._rate_mb_per_s = rate * self._part
            case result.Failure(failure):
                self._metric.count(f'orders.budget.{failure.reason}')
        self._metric.gauge('orders.loading_mb', loading_mb)

    def reserve(self, load_mb: float, urgent: bool) -> bool:
        """Takes room for a load; urgent ones may go further."""
        if self._rate_mb_per_s <= 0:
            return False
        window_s = URGENT_LOAD_WINDOW_S if urgent else LOAD_WINDOW_S
        room_mb = self._rate_mb_per_s * window_s
        if self._loading_mb > 0 and self._loading_mb + load_mb > room_mb:
            return False
        self._loading_mb += load_mb
        return True
