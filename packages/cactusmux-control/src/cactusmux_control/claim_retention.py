"""Bounds stored claims: they expire with a lease that is not renewed."""

from cactusmux_base import timers
from cactusmux_platform import stores
from returns import result

from . import claims


class RetentionLease:
    """The store lease under which an instance's claims are written.

    A new lease is granted once per slot. The store deletes all claims of a
    slot when its lease ends; no further call is needed.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        settings: claims.ClaimSettings,
    ) -> None:
        self._store = store
        self._timer = timer
        self._settings = settings
        self._lease_id = 0
        self._slot_ends_at = 0.0

    def current_lease_id(self) -> result.Result[int, stores.StoreError]:
        """Returns the id of a lease that lasts for the full retention.

        Concurrent tasks at the start of a slot may each grant a lease; an
        unused one expires like any other.
        """
        if self._lease_id and self._timer.now() < self._slot_ends_at:
            return result.Success(self._lease_id)
        started_at = self._timer.now()
        ttl_s = self._settings.retention_s + self._settings.slot_s
        granted = self._store.grant_lease(ttl_s)
        if isinstance(granted, result.Success):
            self._lease_id = granted.unwrap()
            self._slot_ends_at = started_at + self._settings.slot_s
        return granted

    def forget(self, lease_id: int) -> None:
        """Discards a lease that the store lost; the next call grants one."""
        if lease_id == self._lease_id:
            self._lease_id = 0
