"""Stores the plan in the configuration store, under the order lease.

Only orders of the recorded plan are sent. A new lease holder therefore knows
every order that the previous one may still send, and the previous one can't
record another plan after the takeover.
"""

import zlib

from cactusmux_base import decoding
from cactusmux_base import failures
from cactusmux_base import ids
from cactusmux_platform import stores
from cactusmux_platform import targets
import msgspec
from returns import result

from . import placement_types

PLAN_PREFIX = 'placement/plan/'
MAX_VALUE_BYTES = 1_000_000


class PlanRecord(msgspec.Struct, frozen=True):
    """The last recorded plan.

    ``open_addresses`` are the targets that may still get an order of this
    record, with any delay.
    """

    fencing: int
    holdings_by_address: dict[str, tuple[targets.Holding, ...]]
    open_addresses: frozenset[str] = frozenset()
    write_id: str = ''


class RecordTooLarge(failures.CactusmuxError):
    """The plan does not fit into one value of the store."""

    reason = 'plan_record_too_large'

    def __init__(self, size: int) -> None:
        super().__init__(
            f'plan takes {size} bytes, more than {MAX_VALUE_BYTES}'
        )
        self.size = size


class RecordDamaged(failures.CactusmuxError):
    """The value of the plan's key can't be decoded."""

    reason = 'plan_record_damaged'

    def __init__(self, key: str) -> None:
        super().__init__(f'value of {key!r} is not a plan record')
        self.key = key


_EMPTY = PlanRecord(0, {})


class PlanStore:
    """Reads the record and replaces it by compare-and-swap."""

    def __init__(self, store: stores.ConfigStore, region: str) -> None:
        self._store = store
        self._key = plan_key(region)
        self._revision = stores.ABSENT
        self.record = _EMPTY

    def take_over(
        self, fencing: int
    ) -> result.Result[PlanRecord, failures.CactusmuxError]:
        """Reads the record and writes it with a new fencing number.

        Writes of previous holders fail afterwards.
        """
        found = self._store.get(self._key)
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        return self._replace(found.unwrap(), fencing)

    def _replace(
        self, entry: stores.Entry | None, fencing: int
    ) -> result.Result[PlanRecord, failures.CactusmuxError]:
        former = _EMPTY if entry is None else decode(entry.value)
        if former is None:
            return result.Failure(RecordDamaged(self._key))
        self._revision = entry.revision if entry else stores.ABSENT
        if former.fencing > fencing:
            return result.Failure(
                stores.Conflict(self._key, self._revision, entry)
            )
        return self.save(msgspec.structs.replace(former, fencing=fencing))

    def save(
        self, record: PlanRecord
    ) -> result.Result[PlanRecord, failures.CactusmuxError]:
        """Replaces the record that was read or written last.

        Fails with :class:`stores.Conflict` if another holder has written.
        """
        marked = msgspec.structs.replace(record, write_id=ids.new_id())
        value = encode(marked)
        if len(value) > MAX_VALUE_BYTES:
            return result.Failure(RecordTooLarge(len(value)))
        written = self._store.compare_and_swap(
            self._key, value, self._revision
        )
        match written:
            case result.Success(entry):
                self._revision = entry.revision
                self.record = marked
                return result.Success(marked)
            case result.Failure(stores.OutcomeUnknown()):
                return self._settle(marked)
        return result.Failure(written.failure())

    def _settle(
        self, marked: PlanRecord
    ) -> result.Result[PlanRecord, failures.CactusmuxError]:
        """Reads back whether a write with a lost response took effect."""
        found = self._store.get(self._key)
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        return self._compare(found.unwrap(), marked)

    def _compare(
        self, entry: stores.Entry | None, marked: PlanRecord
    ) -> result.Result[PlanRecord, failures.CactusmuxError]:
        revision = entry.revision if entry else stores.ABSENT
        if entry is not None and decode(entry.value) == marked:
            self._revision = revision
            self.record = marked
            return result.Success(marked)
        if revision != self._revision:
            return result.Failure(
                stores.Conflict(self._key, self._revision, entry)
            )
        return result.Failure(stores.OutcomeUnknown(self._key))


def plan_key(region: str) -> str:
    """Returns the store key of a region's plan."""
    return f'{PLAN_PREFIX}{region}'


def encode(record: PlanRecord) -> bytes:
    """Returns the record as compressed JSON."""
    return zlib.compress(msgspec.json.encode(record))


def decode(value: bytes) -> PlanRecord | None:
    """Returns the record, or ``None`` if the value is not a record."""
    try:
        return decoding.from_json(zlib.decompress(value), type=PlanRecord)
    except (zlib.error, decoding.Unreadable):
        return None


def needs_new_record(
    record: PlanRecord,
    holdings_by_address: dict[str, placement_types.Holdings],
    open_addresses: frozenset[str],
) -> bool:
    """Returns whether orders for these holdings need a new record.

    Addresses that are no longer open are removed only when none is open.
    """
    if record.holdings_by_address != holdings_by_address:
        return True
    if not open_addresses:
        return bool(record.open_addresses)
    return not open_addresses <= record.open_addresses
