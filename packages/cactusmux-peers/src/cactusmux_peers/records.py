"""Versioned records by origin, replicated by digests and deltas.

Each instance is the only writer of its own records. It stores them by slot
and gives every write the next version, so that "all up to version v"
describes a replica exactly, whichever peers it pulled from. Instances of
other regions hold only records for which
:func:`payloads.is_cross_region` is true.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple
import zlib

from cactusmux_base import timers

from . import payloads
from . import peers_pb2

AGE_UNIT_S = 0.1
MAX_ANSWER_RECORDS = 4096


class Record(NamedTuple):
    """The last write to a slot; ``stamp`` is its time on the local clock."""

    version: int
    stamp: float
    payload: bytes


Listener = Callable[[int, int, Record], None]


def origin_of(instance_id: str) -> int:
    """Returns the 32-bit hash that identifies an instance in digests.

    Among 400 instances a collision has a probability of 2e-5. On a
    collision, records of one instance are delayed until the other leaves.
    """
    return zlib.crc32(instance_id.encode())


class RecordTable:
    """The records of all origins known to this instance."""

    def __init__(
        self, own_origin: int, timer: timers.TimerService, listener: Listener
    ) -> None:
        self._own_origin = own_origin
        self._timer = timer
        self._listener = listener
        self._version_by_origin: dict[int, int] = {own_origin: 0}
        # The version of the last cross-region record.
        self._cross_region_version_by_origin: dict[int, int] = {}
        # Each inner dictionary is ordered by version.
        self._records_by_origin: dict[int, dict[int, Record]] = {
            own_origin: {}
        }

    def publish(self, payload_by_slot: Mapping[int, bytes]) -> None:
        """Writes records of this instance by slot."""
        records = self._records_by_origin[self._own_origin]
        version = self._version_by_origin[self._own_origin]
        now = self._timer.now()
        for slot, payload in payload_by_slot.items():
            version += 1
            record = Record(version, now, payload)
            self._put(self._own_origin, records, slot, record)
        self._version_by_origin[self._own_origin] = version

    def versions_of(self, origins: Iterable[int]) -> list[int]:
        """Returns the version held of each origin, 0 for unknown ones."""
        version_by_origin = self._version_by_origin
        return [version_by_origin.get(origin, 0) for origin in origins]

    def records_of(self, origin: int) -> Mapping[int, Record]:
        """Returns the records of an origin by slot."""
        return self._records_by_origin.get(origin, {})

    def retain_only(self, origins: frozenset[int]) -> None:
        """Drops the records of all origins except these and our own."""
        dropped = self._records_by_origin.keys() - origins - {self._own_origin}
        for origin in dropped:
            del self._records_by_origin[origin]
            del self._version_by_origin[origin]
            self._cross_region_version_by_origin.pop(origin, None)

    def deltas_since(
        self,
        version_by_origin: Mapping[int, int],
        cross_region_only: bool = False,
    ) -> list[peers_pb2.OriginDelta]:
        """Returns newer records, at most ``MAX_ANSWER_RECORDS``.

        :param version_by_origin: the versions that the requester holds.
        :param cross_region_only: return only cross-region records.
        """
        deltas = []
        remaining = MAX_ANSWER_RECORDS
        held_version_by_origin = (
            self._cross_region_version_by_origin
            if cross_region_only
            else self._version_by_origin
        )
        for origin, version in version_by_origin.items():
            if remaining <= 0:
                break
            last_version = held_version_by_origin.get(origin, 0)
            if last_version <= version:
                continue
            newer = self._newer(origin, version, cross_region_only)
            if len(newer) > remaining:
                newer = newer[:remaining]
                last_version = newer[-1][1].version
            delta = self._delta(origin, version, last_version, newer)
            remaining -= len(delta.slots)
            deltas.append(delta)
        return deltas

    def _newer(
        self, origin: int, version: int, cross_region_only: bool
    ) -> list[tuple[int, Record]]:
        """Returns slots and records after a version, ordered by version."""
        newer: list[tuple[int, Record]] = []
        records = self._records_by_origin[origin]
        for slot, record in reversed(records.items()):
            if record.version <= version:
                break
            if not cross_region_only or payloads.is_cross_region(
                record.payload
            ):
                newer.append((slot, record))
        newer.reverse()
        return newer

    def _delta(
        self,
        origin: int,
        version: int,
        last_version: int,
        newer: list[tuple[int, Record]],
    ) -> peers_pb2.OriginDelta:
        now = self._timer.now()
        return peers_pb2.OriginDelta(
            origin=origin,
            version=last_version,
            slots=[slot for slot, _ in newer],
            versions_back=[
                last_version - record.version for _, record in newer
            ],
            ages_ds=[
                max(0, round((now - record.stamp) / AGE_UNIT_S))
                for _, record in newer
            ],
            payloads=[record.payload for _, record in newer],
            since=version,
        )

    def merge(self, delta: peers_pb2.OriginDelta) -> int:
        """Applies the newer records of a delta; returns their number.

        A delta that starts after the version held here would leave a gap
        and is ignored. Lists of unequal length raise ``ValueError``.
        """
        origin = delta.origin
        known = self._version_by_origin.get(origin, 0)
        if origin == self._own_origin or delta.version <= known:
            return 0
        if delta.since > known:
            return 0
        _check_lengths(delta)
        records = self._records_by_origin.setdefault(origin, {})
        now = self._timer.now()
        applied = 0
        entries = zip(
            delta.slots,
            delta.versions_back,
            delta.ages_ds,
            delta.payloads,
            strict=True,
        )
        for slot, versions_back, age_ds, payload in entries:
            version = delta.version - versions_back
            if version <= known:
                continue
            record = Record(version, now - age_ds * AGE_UNIT_S, payload)
            self._put(origin, records, slot, record)
            applied += 1
        self._version_by_origin[origin] = delta.version
        return applied

    def _put(
        self,
        origin: int,
        records: dict[int, Record],
        slot: int,
        record: Record,
    ) -> None:
        records.pop(slot, None)
        records[slot] = record
        if payloads.is_cross_region(record.payload):
            self._cross_region_version_by_origin[origin] = record.version
        self._listener(origin, slot, record)


def _check_lengths(delta: peers_pb2.OriginDelta) -> None:
    lengths = {
        len(delta.slots),
        len(delta.versions_back),
        len(delta.ages_ds),
        len(delta.payloads),
    }
    if len(lengths) != 1:
        raise ValueError(f'delta of origin {delta.origin} has unequal lists')
