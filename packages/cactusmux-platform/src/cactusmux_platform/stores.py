"""Interface of the platform's configuration store.

Every successful write assigns its key a new revision from a single counter
of the whole store. Revision 0 means that the key is absent.

A store that is restored from an earlier copy begins a new era: it has lost
what was written after the copy, and assigns the same revisions again.
Revisions can only be compared within an era.
"""

import abc
from typing import NamedTuple

from cactusmux_base import failures
from returns import result

ABSENT = 0


class Position(NamedTuple):
    """A point in the history of the store, ordered by era first.

    :ivar era: number of times the store was restored; 0 if it doesn't say.
    """

    era: int = 0
    revision: int = ABSENT

    def __str__(self) -> str:
        return f'{self.era}.{self.revision}'


NOWHERE = Position()


class Entry(NamedTuple):
    """A key with its value, the revision of its last write and its lease."""

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


class Change(NamedTuple):
    """One change seen by a watch; ``entry`` is ``None`` for a deletion."""

    key: str
    revision: int
    entry: Entry | None


class Watched(NamedTuple):
    """Changes in order, and the position to watch from next."""

    changes: tuple[Change, ...]
    position: Position


class StoreError(failures.CactusmuxError):
    """A call to the configuration store that failed."""

    reason = 'store_error'


class StoreUnavailable(StoreError):
    """The store did not run the call, so nothing was written."""

    reason = 'store_unavailable'

    def __init__(self, call: str) -> None:
        super().__init__(f'store did not accept call {call!r}')
        self.call = call


class OutcomeUnknown(StoreError):
    """A write was sent without a response; it may have taken effect."""

    reason = 'store_outcome_unknown'

    def __init__(self, key: str) -> None:
        super().__init__(f'outcome of the write to {key!r} is unknown')
        self.key = key


class Conflict(StoreError):
    """The key was not at the expected revision; nothing was written."""

    reason = 'store_conflict'

    def __init__(self, key: str, expected: int, found: Entry | None) -> None:
        revision = found.revision if found else ABSENT
        super().__init__(
            f'key {key!r} is at revision {revision}, not {expected}'
        )
        self.key = key
        self.expected = expected
        self.found = found


class LeaseLost(StoreError):
    """The lease does not exist, or has ended."""

    reason = 'lease_lost'

    def __init__(self, lease_id: int) -> None:
        super().__init__(f'lease {lease_id} does not exist')
        self.lease_id = lease_id


class EraEnded(StoreError):
    """The store was restored since the era in which a call was prepared."""

    reason = 'store_era_ended'

    def __init__(self, key: str, era: int) -> None:
        super().__init__(f'era {era} ended before the write to {key!r}')
        self.key = key
        self.era = era


class WatchCompacted(StoreError):
    """The store no longer has the changes after the given revision.

    After reading the entries again, a watch may continue from revision
    ``oldest``.
    """

    reason = 'watch_compacted'

    def __init__(self, revision: int, oldest: int = ABSENT) -> None:
        super().__init__(f'changes after revision {revision} are gone')
        self.revision = revision
        self.oldest = oldest


class Snapshot(NamedTuple):
    """Entries under a prefix and the store's position when they were read."""

    entries: tuple[Entry, ...]
    position: Position


class Condition(NamedTuple):
    """Requires a key to be at a revision; ``ABSENT`` if it must not exist."""

    key: str
    revision: int


class Write(NamedTuple):
    """A value to be written in a transaction, and the lease of its key."""

    key: str
    value: bytes
    lease_id: int = 0


class Transaction(NamedTuple):
    """Writes and deletions that are done together if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


class SnapshotReader(abc.ABC):
    """Reads a prefix together with the position to watch from."""

    @abc.abstractmethod
    def read_prefix(self, prefix: str) -> result.Result[Snapshot, StoreError]:
        """Returns all entries whose key starts with ``prefix``.

        Changes made during the read may be missing; a watch from the
        returned position reports them.
        """


class ConfigStore(abc.ABC):
    """Store with compare-and-swap, leases and watches.

    Calls block the calling task.

    All calls may fail with :class:`StoreUnavailable`; writes also with
    :class:`OutcomeUnknown`.
    """

    @abc.abstractmethod
    def get(self, key: str) -> result.Result[Entry | None, StoreError]:
        """Returns the entry of ``key``, or ``None`` if it is absent."""

    @abc.abstractmethod
    def get_prefix(
        self, prefix: str
    ) -> result.Result[tuple[Entry, ...], StoreError]:
        """Returns all entries whose key starts with ``prefix``, by key."""

    @abc.abstractmethod
    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
    ) -> result.Result[Entry, StoreError]:
        """Writes ``value`` if the key is at ``expected_revision``.

        ``ABSENT`` creates the key. A key with a lease is deleted when the
        lease ends. Fails with :class:`Conflict` or :class:`LeaseLost`.
        """

    @abc.abstractmethod
    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[int, StoreError]:
        """Deletes the key if it is at ``expected_revision``."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s: float) -> result.Result[int, StoreError]:
        """Returns the id of a new lease that ends after ``ttl_s``."""

    @abc.abstractmethod
    def renew_lease(self, lease_id: int) -> result.Result[None, StoreError]:
        """Extends a lease to its full ``ttl_s`` from now."""

    @abc.abstractmethod
    def revoke_lease(self, lease_id: int) -> result.Result[None, StoreError]:
        """Ends a lease and deletes its keys."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> result.Result[Watched, StoreError]:
        """Waits up to ``wait_s`` for changes after ``after_revision``.

        Returns no changes if there were none in that time. Fails with
        :class:`WatchCompacted` if the revision is too old.
        """


class TransactionalStore(ConfigStore):
    """A store that also runs transactions over several keys."""

    @abc.abstractmethod
    def transact(
        self, transaction: Transaction
    ) -> result.Result[int, StoreError]:
        """Runs a transaction; returns the revision of its changes.

        Fails with :class:`Conflict` for the first condition that doesn't
        hold, or with :class:`LeaseLost`.
        """
