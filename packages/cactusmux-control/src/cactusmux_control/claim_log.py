"""A log of claims for one hash range: one store write for many claims.

Entries are numbered consecutively, and each is created by compare-and-swap
of an absent key. An entry can therefore be written only by an owner that
knows all entries before it: the numbers fence off a superseded owner.
"""

from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_base import failures
from cactusmux_base import ids
from cactusmux_base import timers
from cactusmux_platform import stores
import msgspec
from returns import result

from . import claim_retention
from . import claims

LOG_PREFIX = 'claim-log/'


class LogRecord(NamedTuple):
    """The new record of a key."""

    key: str
    record: claims.ClaimRecord


class LogEntry(NamedTuple):
    """Records of one write; ``batch_id`` identifies the write."""

    batch_id: str
    records: tuple[LogRecord, ...]


class NumberedEntry(NamedTuple):
    """An entry with its number in the log."""

    number: int
    entry: LogEntry


class LogError(failures.CactusmuxError):
    """An entry that is not known to have been written."""

    reason = 'claim_log_error'

    def __init__(self, range_number: int) -> None:
        super().__init__(f'claim log {range_number}: {self.reason}')
        self.range_number = range_number


class NotWritten(LogError):
    """The entry was not written, and never will be."""

    reason = 'claim_log_not_written'


class Superseded(NotWritten):
    """Another owner wrote to the log, which has to be reopened."""

    reason = 'claim_log_superseded'


class Unsettled(LogError):
    """The entry may have been written; it is settled before the next."""

    reason = 'claim_log_unsettled'


class ClaimLog:
    """Reads and writes the log of one range, for its owner."""

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        retention: claim_retention.RetentionLease,
        settings: claims.ClaimSettings,
        range_number: int,
    ) -> None:
        self._store = store
        self._timer = timer
        self._retention = retention
        self._settings = settings
        self._range_number = range_number
        self._next = 0
        self._lease_id = 0
        self._written_at = 0.0
        self._unsettled: LogEntry | None = None

    def open(
        self,
    ) -> result.Result[tuple[NumberedEntry, ...], LogError]:
        """Reads all entries; the next one is appended after them.

        After a stale read that append fails. Entries in the middle may be
        missing, as each owner writes under its own store lease.
        """
        asked_at = self._timer.now()
        read = self._store.get_prefix(self._prefix())
        if isinstance(read, result.Failure):
            return result.Failure(NotWritten(self._range_number))
        entries = tuple(_decode(entry) for entry in read.unwrap())
        self._next = entries[-1].number + 1 if entries else 1
        self._lease_id = 0
        self._written_at = asked_at
        self._unsettled = None
        return result.Success(entries)

    def append(
        self, records: tuple[LogRecord, ...]
    ) -> result.Result[int, LogError]:
        """Writes records as the next entry and returns its number."""
        if self._is_stale():
            return result.Failure(Superseded(self._range_number))
        if self._unsettled is not None:
            settled = self._write(self._unsettled)
            if isinstance(settled, result.Failure):
                if isinstance(settled.failure(), Superseded):
                    return settled
                return result.Failure(NotWritten(self._range_number))
        return self._write(LogEntry(ids.new_id(), records))

    def read(
        self, number: int
    ) -> result.Result[LogEntry | None, stores.StoreError]:
        """Returns an entry, or ``None`` when its retention has ended."""
        read = self._store.get(self._key(number))
        return read.map(lambda found: _decode(found).entry if found else None)

    def is_current(self) -> bool:
        """Asks the store whether no other owner has written since.

        Returns ``False`` also when the store can't be read.
        """
        if self._is_stale():
            return False
        read = self._store.get(self._key(self._next))
        return isinstance(read, result.Success) and read.unwrap() is None

    def _is_stale(self) -> bool:
        """Returns whether the log may have expired and been restarted.

        While the lease of the latest entry exists, so does that entry, and
        every owner that opens the log reads it.
        """
        leased = self._retention.current_lease_id()
        if isinstance(leased, result.Success):
            if leased.unwrap() == self._lease_id:
                return False
        idle_s = self._timer.now() - self._written_at
        return idle_s > self._settings.retention_s / 2.0

    def _write(self, entry: LogEntry) -> result.Result[int, LogError]:
        """Writes at the next number; the same entry may be retried."""
        may_be_stored = entry is self._unsettled
        leased = self._retention.current_lease_id()
        if isinstance(leased, result.Failure):
            return self._to_failure(entry, may_be_stored)
        lease_id = leased.unwrap()
        asked_at = self._timer.now()
        key = self._key(self._next)
        value = msgspec.json.encode(entry)
        written = self._store.compare_and_swap(
            key, value, stores.ABSENT, lease_id
        )
        if isinstance(written, result.Success):
            return self._mark_written(lease_id, asked_at)
        failure = written.failure()
        found: stores.Entry | None = None
        if isinstance(failure, stores.LeaseLost):
            self._retention.forget(lease_id)
        elif isinstance(failure, stores.Conflict):
            found = failure.found
        elif isinstance(failure, stores.OutcomeUnknown):
            may_be_stored = True
            found = self._store.get(key).value_or(None)
        if found is None:
            return self._to_failure(entry, may_be_stored)
        if _decode(found).entry.batch_id == entry.batch_id:
            return self._mark_written(found.lease_id, asked_at)
        return result.Failure(Superseded(self._range_number))

    def _mark_written(
        self, lease_id: int, asked_at: float
    ) -> result.Result[int, LogError]:
        self._unsettled = None
        self._lease_id = lease_id
        self._written_at = asked_at
        self._next += 1
        return result.Success(self._next - 1)

    def _to_failure(
        self, entry: LogEntry, may_be_stored: bool
    ) -> result.Result[int, LogError]:
        if not may_be_stored:
            return result.Failure(NotWritten(self._range_number))
        self._unsettled = entry
        return result.Failure(Unsettled(self._range_number))

    def _prefix(self) -> str:
        return f'{LOG_PREFIX}{self._range_number}/'

    def _key(self, number: int) -> str:
        return f'{self._prefix()}{number:012d}'


def find_record(
    entry: LogEntry | None, key: str, record: claims.ClaimRecord
) -> claims.ClaimRecord:
    """Returns the full record, or one of unknown outcome if it is missing."""
    if entry is not None:
        for found in entry.records:
            if found.key == key and found.record.outcome is not None:
                return found.record
    return record._replace(state=claims.ClaimState.UNKNOWN)


def _decode(entry: stores.Entry) -> NumberedEntry:
    number = int(entry.key.rpartition('/')[2])
    return NumberedEntry(
        number, decoding.from_json(entry.value, type=LogEntry)
    )
