"""Registers instances in the store under keys that expire with a lease."""

from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import store_eras
from cactusmux_platform import stores
import gevent
import msgspec
from returns import result

from . import store_availability
from . import tasks

PREFIX = 'cactusmux/instances/'
LEASE_TTL_S = 4.0
RENEWAL_S = 1.2
RETRY_S = 0.3


class Instance(msgspec.Struct, frozen=True):
    """An instance's own entry in the store.

    :ivar entry_address: where callers connect.
    :ivar exchange_address: where peers send gossip and fetch copies.
    :ivar link_mbps: bandwidth of its machine's link, 0 if unknown.
    :ivar cores: CPU cores that it may use, 0 if unknown.
    """

    name: str
    zone: str
    region: str
    entry_address: str
    exchange_address: str
    link_mbps: float = 0.0
    cores: float = 0.0


class _Registered(NamedTuple):
    lease_id: int
    era: int


class Registration:
    """Keeps this instance's key in the store while it accepts requests.

    After the store was restored, the key is written again under a new lease:
    at the next renewal, so that not all instances write at once.

    :param availability: records whether the store answers.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        own: Instance,
        availability: store_availability.StoreAvailability,
        eras: store_eras.StoreEras,
    ) -> None:
        self._store = store
        self._eras = eras
        self._timer = timer
        self._own = own
        self._availability = availability
        self._registered: _Registered | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Starts registering and renewing in a new greenlet."""
        gevent.spawn(self._run)

    def stop(self) -> None:
        """Removes the key, so that peers no longer name this instance."""
        self._is_stopped = True
        registered = self._registered
        if registered is not None and registered.era == self._eras.current:
            gevent.spawn(self._store.revoke_lease, registered.lease_id)

    def _run(self) -> None:
        while not self._is_stopped:
            tasks.run_step('registration', self.step, self._timer)

    def step(self) -> None:
        """Registers or renews, then sleeps until the next renewal is due."""
        registered = self._registered
        if registered is None:
            done = self._register()
        elif registered.era != self._eras.current:
            events.info('registration_written_again', era=self._eras.current)
            done = self._register()
        else:
            done = self._renew(registered)
        self._timer.sleep(RENEWAL_S if done else RETRY_S)

    def _register(self) -> bool:
        match self._store.grant_lease(LEASE_TTL_S):
            case result.Success(lease_id):
                era = self._eras.current
                return self._write(lease_id, era, stores.ABSENT)
        self._availability.record_unanswered()
        return False

    def _write(self, lease_id: int, era: int, expected: int) -> bool:
        """Writes the key, replacing one of an earlier lease."""
        key = PREFIX + self._own.name
        value = msgspec.json.encode(self._own)
        written = self._store.compare_and_swap(key, value, expected, lease_id)
        match written:
            case result.Failure(stores.Conflict(found=found)) if (
                expected == stores.ABSENT and found is not None
            ):
                return self._write(lease_id, era, found.revision)
            case result.Success(_):
                self._registered = _Registered(lease_id, era)
                events.info('instance_registered', name=self._own.name)
                if self._is_stopped:
                    self.stop()
                return True
        return False

    def _renew(self, registered: _Registered) -> bool:
        match self._store.renew_lease(registered.lease_id):
            case result.Success(_):
                self._availability.record_answered()
                return True
            case result.Failure(stores.LeaseLost()):
                events.warning('registration_lost', name=self._own.name)
                self._registered = None
                self._availability.record_answered()
            case _:
                self._availability.record_unanswered()
        return False


def decode_instances(entries: list[stores.Entry]) -> list[Instance]:
    """Decodes instances; skips and logs entries that can't be decoded."""
    found = []
    for entry in entries:
        try:
            found.append(decoding.from_json(entry.value, type=Instance))
        except decoding.Unreadable:
            events.warning('instance_entry_unreadable', key=entry.key)
    return found
