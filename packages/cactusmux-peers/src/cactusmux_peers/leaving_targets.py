"""Targets that are leaving, as reported by any source."""

from cactusmux_base import timers

LEAVING_TTL_S = 60.0


class LeavingTargets:
    """Keeps each target for ``LEAVING_TTL_S`` after its last report."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._seen_at_by_address: dict[str, float] = {}

    def add(self, address: str, seen_at: float) -> bool:
        """Records a report; returns whether the target is a new one.

        A report older than ``LEAVING_TTL_S`` is ignored.
        """
        if seen_at <= self._timer.now() - LEAVING_TTL_S:
            return False
        known = self._seen_at_by_address.get(address)
        self._seen_at_by_address[address] = max(seen_at, known or seen_at)
        return known is None

    def ages(self) -> dict[str, float]:
        """Returns the seconds since the last report, by address."""
        now = self._timer.now()
        for address, seen_at in list(self._seen_at_by_address.items()):
            if seen_at <= now - LEAVING_TTL_S:
                del self._seen_at_by_address[address]
        return {
            address: now - seen_at
            for address, seen_at in self._seen_at_by_address.items()
        }
