"""Holds a named lease in the configuration store.

The lease is a key bound to a store lease: the store deletes the key when the
store lease ends. The position at which the key was created gives the fencing
number.

A restored store has lost leases and gives out their ids again, so a lease is
dropped as soon as a new era of the store is known. A holder that is cut off
doesn't know. A lease of the new era therefore gives authority only after the
longest time for which one of an earlier era may be believed in.
"""

from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import failures
from cactusmux_base import ids
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from gevent import lock
import msgspec
from returns import result

from . import lease_types

LEASE_PREFIX = 'leases/'
ORDER_LEASE = 'orders'
# Fencing numbers of a later era are higher than all of earlier ones, and
# those of 8,000 eras can be sent as JSON numbers.
REVISION_BITS = 40
# In a new era the last holder, which knows best what it has ordered, may
# acquire the lease before the others, for this part of the lease's time.
LAST_HOLDER_SHARE = 0.5


class _Claim(NamedTuple):
    """An attempt to acquire the lease, started at ``asked_at``."""

    lease_id: int
    value: bytes
    asked_at: float
    era: int


class _Held(NamedTuple):
    lease_id: int
    authority: lease_types.Authority
    era: int


def fencing_number(position: stores.Position) -> int:
    """Returns the fencing number of a lease that was acquired there."""
    return (position.era << REVISION_BITS) + position.revision


def order_lease(region: str) -> str:
    """Returns the name of the lease for orders in a region."""
    return f'{ORDER_LEASE}/{region}'


AuthorityCallback = Callable[[lease_types.Authority | None], None]


class LeaseHolder:
    """Acquires a lease, renews it and releases it on stop.

    :param name: name of the lease, such as :data:`ORDER_LEASE`.
    :param holder: address of this instance, shown to operators.
    :param may_acquire: returns whether this instance is a candidate now; it
        only reduces store calls, safety doesn't depend on it.
    :param eras: the eras of the store.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        name: str,
        holder: str,
        settings: lease_types.LeaseSettings = lease_types.DEFAULT_SETTINGS,
        may_acquire: Callable[[], bool] = lambda: True,
        eras: store_eras.StoreEras | None = None,
    ) -> None:
        self._store = store
        self._timer = timer
        self._metric = metric
        self._name = name
        self._key = f'{LEASE_PREFIX}{name}'
        self._holder = holder
        self._settings = settings
        self._may_acquire = may_acquire
        self._eras = eras or store_eras.StoreEras(timer)
        self._eras.subscribe(self._on_new_era)
        self._is_last_holder = False
        self._callbacks: list[AuthorityCallback] = []
        self._step_lock = lock.BoundedSemaphore(1)
        self._stopped = False
        self._held: _Held | None = None
        self._unsettled: _Claim | None = None
        self._announced = False
        self._subscription: timers.Subscription | None = None
        self._expiry: timers.Subscription | None = None

    def subscribe(self, callback: AuthorityCallback) -> None:
        """Calls ``callback`` with an authority gained, ``None`` when lost."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Runs :meth:`step` every period."""
        period_s = self._settings.period_s
        self._subscription = self._timer.every(period_s, self.step)

    def stop(self) -> None:
        """Drops authority at once, then releases the lease.

        Blocks until a store call in progress has ended.
        """
        self._stopped = True
        held = self._held
        if held is not None:
            self._drop_authority(lease_types.LeaseReleased(self._name))
        with self._step_lock:
            if self._subscription is not None:
                self._subscription.cancel()
            if held is not None:
                self._revoke(held.lease_id)
            if self._unsettled is not None:
                self._revoke(self._unsettled.lease_id)
                self._unsettled = None

    def authority(self, for_s: float = 0.0) -> lease_types.Authority | None:
        """Returns the authority if it is valid for another ``for_s`` seconds.

        Call it just before sending an order, with the order's delivery
        timeout.
        """
        if self._held is None or self._stopped:
            return None
        authority = self._held.authority
        now = self._timer.now()
        if now < authority.valid_from or now + for_s >= authority.valid_until:
            return None
        return authority

    def step(self) -> None:
        """Renews the lease, or tries to acquire it."""
        if self._stopped or not self._step_lock.acquire(blocking=False):
            return
        try:
            if self._held is not None:
                self._renew(self._held)
            else:
                self._acquire()
        finally:
            self._step_lock.release()

    def _on_new_era(self) -> None:
        """Drops what was acquired in an earlier era, without any call.

        The ids of its leases may stand for those of others by now.
        """
        self._is_last_holder = self._held is not None
        self._unsettled = None
        if self._held is not None:
            self._drop_authority(
                lease_types.LeaseEraEnded(self._name, self._held.era)
            )

    def _defers_to_last_holder(self) -> bool:
        if not self._eras.current or self._is_last_holder:
            return False
        passed_s = self._timer.now() - self._eras.known_since
        return passed_s < LAST_HOLDER_SHARE * self._settings.ttl_s

    def _acquire(self) -> None:
        if self._defers_to_last_holder():
            return
        if self._unsettled is None and not self._may_acquire():
            return
        match self._store.get(self._key):
            case result.Success(entry):
                self._claim_unless_held(entry)
            case result.Failure(failure):
                self._count_failure(failure)

    def _claim_unless_held(self, entry: stores.Entry | None) -> None:
        if self._unsettled is not None:
            claim = self._unsettled
            self._unsettled = None
            if entry is not None and entry.value == claim.value:
                self._gain(claim, entry.revision)
                return
            # A delayed write of this claim fails once its lease is revoked.
            self._revoke(claim.lease_id)
        if entry is None and self._may_acquire():
            self._claim()

    def _claim(self) -> None:
        asked_at = self._timer.now()
        match self._store.grant_lease(self._settings.ttl_s):
            case result.Success(lease_id):
                value = self._new_value()
                era = self._eras.current
                claim = _Claim(lease_id, value, asked_at, era)
                self._write_claim(claim)
            case result.Failure(failure):
                self._count_failure(failure)

    def _write_claim(self, claim: _Claim) -> None:
        written = self._store.compare_and_swap(
            self._key, claim.value, stores.ABSENT, claim.lease_id
        )
        match written:
            case result.Success(entry):
                self._gain(claim, entry.revision)
            case result.Failure(failure) if claim.era != self._eras.current:
                self._count_failure(failure)
            case result.Failure(stores.OutcomeUnknown() as failure):
                self._count_failure(failure)
                self._unsettled = claim
                self._settle()
            case result.Failure(failure):
                self._count_failure(failure)
                self._revoke(claim.lease_id)

    def _settle(self) -> None:
        """Reads the key back; the next step retries if that fails."""
        match self._store.get(self._key):
            case result.Success(entry) if entry is not None:
                self._claim_unless_held(entry)
            case result.Failure(failure):
                self._count_failure(failure)

    def _gain(self, claim: _Claim, revision: int) -> None:
        if claim.era != self._eras.current:
            # Its lease may be lost; what is left of it expires.
            return
        if self._stopped:
            self._revoke(claim.lease_id)
            return
        settings = self._settings
        position = stores.Position(claim.era, revision)
        authority = lease_types.Authority(
            fencing=fencing_number(position),
            valid_until=claim.asked_at + settings.ttl_s - settings.margin_s,
            unfenced_from=self._timer.now()
            + settings.ttl_s
            + settings.margin_s
            + settings.delivery_s,
            valid_from=self._valid_from(),
        )
        self._hold(_Held(claim.lease_id, authority, claim.era))

    def _valid_from(self) -> float:
        """Returns when no lease of an earlier era is believed in any more."""
        if not self._eras.current:
            return 0.0
        return self._eras.known_since + self._settings.ttl_s

    def _renew(self, held: _Held) -> None:
        # The store extends the lease from its receipt of the renewal, which is
        # never before this time.
        asked_at = self._timer.now()
        renewed = self._store.renew_lease(held.lease_id)
        if self._held is None or self._stopped:
            return
        match renewed:
            case result.Success(_):
                self._metric.count('leases.renewed')
                self._extend(held, asked_at)
            case result.Failure(stores.LeaseLost() as failure):
                self._drop_authority(failure)
            case result.Failure(failure):
                self._count_failure(failure)

    def _extend(self, held: _Held, asked_at: float) -> None:
        settings = self._settings
        valid_until = asked_at + settings.ttl_s - settings.margin_s
        authority = held.authority._replace(valid_until=valid_until)
        self._hold(held._replace(authority=authority))

    def _hold(self, held: _Held) -> None:
        self._held = held
        authority = held.authority
        if self._timer.now() >= authority.valid_until:
            return
        self._watch_expiry(authority)
        if self._announced or self._timer.now() < authority.valid_from:
            return
        self._announced = True
        self._metric.count('leases.gained')
        events.info('lease_gained', name=self._name, fencing=authority.fencing)
        for callback in self._callbacks:
            callback(authority)

    def _watch_expiry(self, authority: lease_types.Authority) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        left_s = max(0.0, authority.valid_until - self._timer.now())
        self._expiry = self._timer.after(left_s, self._expire)

    def _expire(self) -> None:
        if self._held is None:
            return
        if self.authority() is None:
            self._announce_loss(lease_types.LeaseExpired(self._name))
            return
        self._watch_expiry(self._held.authority)

    def _drop_authority(self, failure: failures.CactusmuxError) -> None:
        self._held = None
        if self._expiry is not None:
            self._expiry.cancel()
        self._announce_loss(failure)

    def _announce_loss(self, failure: failures.CactusmuxError) -> None:
        if not self._announced:
            return
        self._announced = False
        self._metric.count(f'leases.lost.{failure.reason}')
        events.warning('lease_lost', name=self._name, reason=failure.reason)
        for callback in self._callbacks:
            callback(None)

    def _revoke(self, lease_id: int) -> None:
        """Revokes a lease; if that fails, the lease expires by itself."""
        match self._store.revoke_lease(lease_id):
            case result.Failure(failure):
                self._count_failure(failure)

    def _count_failure(self, failure: failures.CactusmuxError) -> None:
        self._metric.count(f'leases.failed.{failure.reason}')

    def _new_value(self) -> bytes:
        return msgspec.json.encode(
            lease_types.LeaseRecord(self._holder, ids.new_id())
        )
