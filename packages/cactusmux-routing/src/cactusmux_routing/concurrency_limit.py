"""Limits the number of requests that run at once at this instance."""

from . import fair_share
from . import tickets

# Running more streams than fit at full rate keeps engines busy despite
# variance.
OVERCOMMIT = 1.25


class ConcurrencyLimit:
    """Counts running requests against this instance's share of the pool.

    Each service may always run what it is entitled to, at high priority, even
    while borrowed requests use the rest. Borrowed requests run at low
    priority, and none starts while the limit for all requests is reached.

    :param stream_tps: tokens per second of one stream at full rate.
    """

    def __init__(self, stream_tps: float) -> None:
        self.running = tickets.RunningRequests()
        self._stream_tps = stream_tps
        self._tps_by_model: dict[str, float] = {}

    def set_model_capacity(self, model: str, capacity_tps: float) -> None:
        """Sets the combined capacity of all targets of a model."""
        self._tps_by_model[model] = capacity_tps

    def has_free_slot(self, shares: fair_share.Shares) -> bool:
        """Returns whether a request of any service could start."""
        allowed = self._streams(shares.limit_tps)
        if len(self.running.entry_by_number) < allowed:
            return True
        entitled = self.running.entitled_by_service
        return sum(entitled.values()) < allowed and any(
            entitled.get(service, 0) < self._streams(tps)
            for service, tps in shares.entitled_by_service.items()
        )

    def start_priority(
        self, request: tickets.RequestClass, shares: fair_share.Shares
    ) -> int | None:
        """Returns the priority at which the request may start, or ``None``."""
        running = self.running
        if not self._has_model_capacity(request.model, shares):
            return None
        allowed = self._streams(shares.limit_tps)
        entitled_tps = shares.entitled_by_service.get(request.service, 0.0)
        running_entitled = running.entitled_by_service.get(request.service, 0)
        if running_entitled < self._streams(entitled_tps):
            if sum(running.entitled_by_service.values()) < allowed:
                return tickets.PRIORITY_ENTITLED
        if len(running.entry_by_number) < allowed:
            return tickets.PRIORITY_BORROWED
        return None

    def _has_model_capacity(
        self, model: str, shares: fair_share.Shares
    ) -> bool:
        capacity_tps = self._tps_by_model.get(model)
        pool_tps = shares.capacity_tps
        if capacity_tps is None or pool_tps <= 0:
            return True
        fraction = shares.limit_tps / pool_tps
        running = self.running.count_by_model.get(model, 0)
        return running < self._streams(capacity_tps * fraction)

    def _streams(self, tps: float) -> float:
        # One stream is always allowed, however small the share.
        return max(tps * OVERCOMMIT / self._stream_tps, 1.0)
