"""How many requests may run at once at this instance."""

from . import fair_share
from . import tickets

# More streams than run at full rate keep engines busy despite variance.
OVERCOMMIT = 1.25


class ConcurrencyLimit:
    """Counts running requests against this instance's part of the pool.

    Each service may always run what it is entitled to, at high priority,
    even while borrowed requests fill the rest; those run at low priority
    and no new one starts before there is room for all.

    :param stream_tps: tokens a second of one stream at full rate.
    """

    def __init__(self, stream_tps: float) -> None:
        self.running = tickets.RunningRequests()
        self._stream_tps = stream_tps
        self._tps_by_model: dict[str, float] = {}

    def set_model_capacity(self, model: str, capacity_tps: float) -> None:
        """Takes in what all targets of a model can do together."""
        self._tps_by_model[model] = capacity_tps

    def has_free_slot(self, shares: fair_share.Shares) -> bool:
        """Tells whether anyone could start at all."""
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
        """Returns the priority at which it may start, if it may."""
        running = self.running
        if not self._has_model_room(request.model, shares):
            return None
        allowed = self._streams(shares.limit_tps)
        entitled_tps = shares.entitled_by_service.get(request.service, 0.0)
        of_service = running.entitled_by_service.get(request.service, 0)
        if of_service < self._streams(entitled_tps):
            if sum(running.entitled_by_service.values()) < allowed:
                return tickets.PRIORITY_ENTITLED
        if len(running.entry_by_number) < allowed:
            return tickets.PRIORITY_BORROWED
        return None

    def _has_model_room(self, model: str, shares: fair_share.Shares) -> bool:
        capacity_tps = self._tps_by_model.get(model)
        pool_tps = shares.capacity_tps
        if capacity_tps is None or pool_tps <= 0:
            return True
        part = shares.limit_tps / pool_tps
        running = self.running.count_by_model.get(model, 0)
        return running < self._streams(capacity_tps * part)

    def _streams(self, tps: float) -> float:
        # One stream is always allowed, however small the part.
        return max(tps * OVERCOMMIT / self._stream_tps, 1.0)
