"""An in-memory configuration store with the semantics of the real one."""

import bisect
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_platform import stores
from gevent import event
from returns import result


class _Lease:
    def __init__(self, ttl_s: float, ends_at: float) -> None:
        self.ttl_s = ttl_s
        self.ends_at = ends_at


class SavedState(NamedTuple):
    """A copy of the store from which it can be restored."""

    revision: int
    entry_by_key: dict[str, stores.Entry]
    lease_by_id: dict[int, _Lease]


class MemoryStore(stores.TransactionalStore, stores.SnapshotReader):
    """Keeps entries, leases and a history of changes in memory.

    Leases expire by the given timer service, checked at each call.

    :ivar era: rises by one with each restore; 0 for a store without eras.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self.era = 0
        self._was_restored = False
        self._revision = 0
        self._entry_by_key: dict[str, stores.Entry] = {}
        self._lease_by_id: dict[int, _Lease] = {}
        self._history: list[stores.Change] = []
        self._changed = event.Event()

    def get(
        self, key: str
    ) -> result.Result[stores.Entry | None, stores.StoreError]:
        self._expire_leases()
        return result.Success(self._entry_by_key.get(key))

    def get_prefix(
        self, prefix: str
    ) -> result.Result[tuple[stores.Entry, ...], stores.StoreError]:
        self._expire_leases()
        keys = sorted(k for k in self._entry_by_key if k.startswith(prefix))
        return result.Success(tuple(self._entry_by_key[k] for k in keys))

    def read_prefix(
        self, prefix: str
    ) -> result.Result[stores.Snapshot, stores.StoreError]:
        return self.get_prefix(prefix).map(
            lambda entries: stores.Snapshot(entries, self.position)
        )

    @property
    def position(self) -> stores.Position:
        """The present position."""
        return stores.Position(self.era, self._revision)

    def save(self) -> SavedState:
        """Returns a copy of the present state."""
        self._expire_leases()
        return SavedState(
            self._revision,
            dict(self._entry_by_key),
            {
                i: _Lease(x.ttl_s, x.ends_at)
                for i, x in self._lease_by_id.items()
            },
        )

    def restore(self, saved: SavedState) -> None:
        """Goes back to a saved state and begins a new era."""
        self.era += 1
        self._was_restored = True
        self._revision = saved.revision
        self._entry_by_key = dict(saved.entry_by_key)
        self._lease_by_id = {
            i: _Lease(x.ttl_s, x.ends_at) for i, x in saved.lease_by_id.items()
        }
        kept = bisect.bisect_right(
            self._history, saved.revision, key=lambda change: change.revision
        )
        del self._history[kept:]
        self._changed.set()

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
    ) -> result.Result[stores.Entry, stores.StoreError]:
        condition = stores.Condition(key, expected_revision)
        write = stores.Write(key, value, lease_id)
        return self.transact(stores.Transaction((condition,), (write,))).map(
            lambda revision: stores.Entry(key, value, revision, lease_id)
        )

    def transact(
        self, transaction: stores.Transaction
    ) -> result.Result[int, stores.StoreError]:
        self._expire_leases()
        for write in transaction.writes:
            if write.lease_id and write.lease_id not in self._lease_by_id:
                return result.Failure(stores.LeaseLost(write.lease_id))
        for key, expected in transaction.conditions:
            found = self._entry_by_key.get(key)
            if (found.revision if found else stores.ABSENT) != expected:
                return result.Failure(stores.Conflict(key, expected, found))
        self._revision += 1
        for key, value, lease_id in transaction.writes:
            entry = stores.Entry(key, value, self._revision, lease_id)
            self._entry_by_key[key] = entry
            self._record_change(stores.Change(key, self._revision, entry))
        for key in transaction.deletes:
            self._drop(key)
        return result.Success(self._revision)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[int, stores.StoreError]:
        self._expire_leases()
        found = self._entry_by_key.get(key)
        if found is None or found.revision != expected_revision:
            return result.Failure(
                stores.Conflict(key, expected_revision, found)
            )
        self._remove(key)
        return result.Success(self._revision)

    def grant_lease(
        self, ttl_s: float
    ) -> result.Result[int, stores.StoreError]:
        self._revision += 1
        lease_id = self._revision
        ends_at = self._timer.now() + ttl_s
        self._lease_by_id[lease_id] = _Lease(ttl_s, ends_at)
        return result.Success(lease_id)

    def renew_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        self._expire_leases()
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return result.Failure(stores.LeaseLost(lease_id))
        lease.ends_at = self._timer.now() + lease.ttl_s
        return result.Success(None)

    def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        self._expire_leases()
        if lease_id not in self._lease_by_id:
            return result.Failure(stores.LeaseLost(lease_id))
        self._end_lease(lease_id)
        return result.Success(None)

    def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> result.Result[stores.Watched, stores.StoreError]:
        deadline = self._timer.now() + wait_s
        era = self.era
        while True:
            self._expire_leases()
            is_unknown = after_revision > self._revision
            if era != self.era or (self._was_restored and is_unknown):
                return result.Failure(stores.WatchCompacted(after_revision))
            changes = tuple(
                change
                for change in self._changes_after(after_revision)
                if change.key.startswith(prefix)
            )
            left = deadline - self._timer.now()
            if changes or left <= 0:
                return result.Success(stores.Watched(changes, self.position))
            self._changed.clear()
            if isinstance(self._timer, timers.ManualTimers):
                return result.Success(stores.Watched((), self.position))
            self._changed.wait(min(left, 0.1))

    def expire_lease(self, lease_id: int) -> None:
        """Expires a lease at once, as when its holder was paused too long."""
        if lease_id in self._lease_by_id:
            self._end_lease(lease_id)

    def _expire_leases(self) -> None:
        now = self._timer.now()
        ended = [i for i, x in self._lease_by_id.items() if x.ends_at <= now]
        for lease_id in ended:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        del self._lease_by_id[lease_id]
        keys = [
            key
            for key, entry in self._entry_by_key.items()
            if entry.lease_id == lease_id
        ]
        for key in keys:
            self._remove(key)

    def _remove(self, key: str) -> None:
        self._revision += 1
        self._drop(key)

    def _drop(self, key: str) -> None:
        """Deletes a key at the present revision."""
        del self._entry_by_key[key]
        self._record_change(stores.Change(key, self._revision, None))

    def _changes_after(self, revision: int) -> list[stores.Change]:
        first = bisect.bisect_right(
            self._history, revision, key=lambda change: change.revision
        )
        return self._history[first:]

    def _record_change(self, change: stores.Change) -> None:
        self._history.append(change)
        self._changed.set()
