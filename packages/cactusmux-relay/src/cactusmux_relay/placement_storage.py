"""Keeps the placement of each service in the configuration store.

The lease holder reads the placements when it acquires the lease, and writes
each change. If the store was restored from an earlier copy, a holder that
knows a later version than the stored one writes it again.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from returns import result

from . import placement_search
from . import stored_placement

PREFIX = 'cactusmux/placement/'


class _Known(NamedTuple):
    """A placement as it was last read or written."""

    versioned: stored_placement.VersionedPlacement
    position: stores.Position


class PlacementStorage:
    """The stored placements by service, as known to the lease holder."""

    def __init__(
        self, store: stores.ConfigStore, eras: store_eras.StoreEras
    ) -> None:
        self._store = store
        self._eras = eras
        self._known_by_service: dict[str, _Known] = {}
        self._loaded_fencing = 0
        self._change_count = 0
        self._outdated_services: set[str] = set()
        eras.subscribe(self.forget)

    def forget(self) -> None:
        """Has the placements read again before they are used."""
        self._loaded_fencing = 0

    def load(self, fencing: int, services: Iterable[str]) -> bool:
        """Reads the placements once for each fencing number.

        :returns: whether they are known.
        """
        if fencing == self._loaded_fencing:
            return True
        was_restored = self._change_count != self._eras.change_count
        for service in services:
            if not self._load(service, was_restored):
                return False
        self._change_count = self._eras.change_count
        self._loaded_fencing = fencing
        return True

    def get(self, service: str) -> placement_search.Placement | None:
        """Returns the placement of a service, ``None`` if it has none."""
        known = self._known_by_service.get(service)
        if known is None or known.versioned == stored_placement.UNPLACED:
            return None
        return known.versioned.placement

    def position(self, service: str) -> stores.Position:
        """Returns the position of the service's placement in the store."""
        known = self._known_by_service.get(service)
        return known.position if known else stores.NOWHERE

    def is_outdated(self, service: str) -> bool:
        """Whether the targets may hold layers of a lost later placement."""
        return service in self._outdated_services

    def save(
        self, service: str, placement: placement_search.Placement
    ) -> bool:
        """Writes a changed placement; returns whether it is stored."""
        known = self._known_by_service.get(service)
        version = known.versioned.version if known else 0
        changed = stored_placement.VersionedPlacement(placement, version + 1)
        return self._write(service, changed, self.position(service).revision)

    def keep(
        self, service: str, placement: placement_search.Placement
    ) -> None:
        """Records the present placement with its spares, without a write."""
        self._outdated_services.discard(service)
        known = self._known_by_service.get(service)
        if known is not None:
            versioned = known.versioned._replace(placement=placement)
            self._known_by_service[service] = known._replace(
                versioned=versioned
            )

    def _load(self, service: str, was_restored: bool) -> bool:
        era = self._eras.current
        match self._store.get(PREFIX + service):
            case result.Success(entry):
                stored = stored_placement.UNPLACED
                revision = stores.ABSENT
                if entry is not None:
                    stored = stored_placement.decode(entry)
                    revision = entry.revision
            case _:
                return False
        if era != self._eras.current:
            return False
        known = self._known_by_service.get(service)
        if (
            known is not None
            and known.position.era < era
            and known.versioned.version > stored.version
        ):
            events.info(
                'placement_written_again',
                service=service,
                version=known.versioned.version,
                stored_version=stored.version,
            )
            return self._write(service, known.versioned, revision)
        if was_restored:
            self._outdated_services.add(service)
        position = stores.Position(era, revision)
        self._known_by_service[service] = _Known(stored, position)
        return True

    def _write(
        self,
        service: str,
        changed: stored_placement.VersionedPlacement,
        expected: int,
    ) -> bool:
        written = self._store.compare_and_swap(
            PREFIX + service, stored_placement.encode(*changed), expected
        )
        match written:
            case result.Success(entry):
                position = stores.Position(self._eras.current, entry.revision)
                self._known_by_service[service] = _Known(changed, position)
                return True
            case result.Failure(failure):
                events.warning(
                    'placement_not_saved',
                    service=service,
                    reason=failure.reason,
                )
                self.forget()
        return False
