"""Versioned records by origin, passed on as digests and deltas.

Each instance is the only writer of its own records. It numbers them by
slot and gives every write the next version, so that "all up to version v"
says exactly what a holder has, whoever it got them from. Other regions
hold only the records that are far by :func:`payloads.is_far`.
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
    """The last write to a slot; ``stamp`` is on the own clock."""

    version: int
    stamp: float
    payload: bytes


Listener = Callable[[int, int, Record], None]


def origin_of(instance_id: str) -> int:
    """Returns the 32 bits that stand for an instance in digests.

    Two of 400 instances meet with a probability of 2e-5; then the records
    of one of them are late until the other has gone.
    """
    return zlib.crc32(instance_id.encode())


class RecordTable:
    """The records of all origins that this instance knows."""

    def __init__(
        self, own_origin: int, timer: timers.TimerService, listener: Listener
    ) -> None:
        self._own_origin = own_origin
        self._timer = timer
        self._listener = listener
        self._version_by_origin: dict[int, int] = {own_origin: 0}
        # The version of the last record that other regions are told of.
        self._far_version_by_origin: dict[int, int] = {}
        # Each inner dictionary is in order of version.
        self._records_by_origin: dict[int, dict[int, Record]] = {
            own_origin: {}
        }

    def publish(self, payload_by_slot: Mapping[int, bytes]) -> None:
        """Writes own records by slot."""
        records = self._records_by_origin[self._own_origin]
        version = self._version_by_origin[self._own_origin]
        now = self._timer.now()
        for slot, payload in payload_by_slot.items():
            version += 1
            record = Record(version, now, payload)
            self._put(self._own_origin, records, slot, record)
        self._version_by_origin[self._own_origin] = version

    def versions_of(self, origins: Iterable[int]) -> list[int]:
        """Returns up to which version each origin's records are here."""
        version_by_origin = self._version_by_origin
        return [version_by_origin.get(origin, 0) for origin in origins]

    def records_of(self, origin: int) -> Mapping[int, Record]:
        """Returns the records of an origin by slot."""
        return self._records_by_origin.get(origin, {})

    def retain_only(self, origins: frozenset[int]) -> None:
        """Drops the records of all origins but the given and the own."""
        gone = self._records_by_origin.keys() - origins - {self._own_origin}
        for origin in gone:
            del self._records_by_origin[origin]
            del self._version_by_origin[origin]
            self._far_version_by_origin.pop(origin, None)

    def deltas_since(
        self, version_by_origin: Mapping[int, int], far: bool = False
    ) -> list[peers_pb2.OriginDelta]:
        """Returns what is newer here, up to ``MAX_ANSWER_RECORDS``.

        :param far: give only what other regions are told of.
        """
        deltas = []
        left = MAX_ANSWER_RECORDS
        held = self._far_version_by_origin if far else self._version_by_origin
        for origin, version in version_by_origin.items():
            if left <= 0:
                break
            reached = held.get(origin, 0)
            if reached <= version:
                continue
            newer = self._newer(origin, version, far)
            if len(newer) > left:
                newer = newer[:left]
                reached = newer[-1][1].version
            delta = self._delta(origin, version, reached, newer)
            left -= len(delta.slots)
            deltas.append(delta)
        return deltas

    def _newer(
        self, origin: int, version: int, far: bool
    ) -> list[tuple[int, Record]]:
        """Returns slots and records after a version, in its order."""
        newer: list[tuple[int, Record]] = []
        records = self._records_by_origin[origin]
        for slot, record in reversed(records.items()):
            if record.version <= version:
                break
            if not far or payloads.is_cross_region(record.payload):
                newer.append((slot, record))
        newer.reverse()
        return newer

    def _delta(
        self,
        origin: int,
        version: int,
        reached: int,
        newer: list[tuple[int, Record]],
    ) -> peers_pb2.OriginDelta:
        now = self._timer.now()
        return peers_pb2.OriginDelta(
            origin=origin,
            version=reached,
            slots=[slot for slot, _ in newer],
            versions_back=[reached - record.version for _, record in newer],
            ages_ds=[
                max(0, round((now - record.stamp) / AGE_UNIT_S))
                for _, record in newer
            ],
            payloads=[record.payload for _, record in newer],
            since=version,
        )

    def merge(self, delta: peers_pb2.OriginDelta) -> int:
        """Takes over what is newer in a delta; returns how many records.

        A delta that starts after the version that is here would leave a
        gap: it is ignored. Unequal lists raise ``ValueError``.
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
        taken = 0
        rows = zip(
            delta.slots,
            delta.versions_back,
            delta.ages_ds,
            delta.payloads,
            strict=True,
        )
        for slot, back, age_ds, payload in rows:
            version = delta.version - back
            if version <= known:
                continue
            record = Record(version, now - age_ds * AGE_UNIT_S, payload)
            self._put(origin, records, slot, record)
            taken += 1
        self._version_by_origin[origin] = delta.version
        return taken

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
            self._far_version_by_origin[origin] = record.version
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
