"""A configuration store that fails on request."""

from collections.abc import Callable
import random
from typing import Any, NamedTuple

from cactusmux_base import timers
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from returns import result

from . import memory_store


class Faults(NamedTuple):
    """Faults to inject into the store; rates are from 0 to 1.

    ``down`` refuses every call before it takes effect. ``slow_s`` delays
    each call, in seconds. ``lost_answers`` is the rate of writes that take
    effect but whose response is lost, ``lost_writes`` of those that are lost
    before they take effect. ``stale_reads`` is the rate of reads that return
    the state at a random earlier revision, and ``reads_hide`` the number of
    newest changes that no read returns. ``watch_hides`` is the number of
    newest changes that watches omit, ``watch_late_s`` delays their results,
    ``watch_skips`` is the rate at which they miss changes for good, and
    ``watch_broken`` makes them fail. ``watch_compacted`` makes watches from
    before the newest revision fail as compacted.
    """

    down: bool = False
    slow_s: float = 0.0
    lost_answers: float = 0.0
    lost_writes: float = 0.0
    stale_reads: float = 0.0
    reads_hide: int = 0
    watch_hides: int = 0
    watch_late_s: float = 0.0
    watch_skips: float = 0.0
    watch_broken: bool = False
    watch_compacted: bool = False


NO_FAULTS = Faults()

_Write = Callable[[], result.Result[Any, stores.StoreError]]


class FaultyStore(stores.TransactionalStore, stores.SnapshotReader):
    """Injects faults into an in-memory store; ``faults`` may change any time.

    ``rng`` decides which calls fail, so a seed reproduces them.
    ``calls_by_kind`` counts all calls, including failed ones. ``eras`` is
    told the store's era in each answer.
    """

    def __init__(
        self,
        store: memory_store.MemoryStore,
        timer: timers.TimerService,
        rng: random.Random,
        eras: store_eras.StoreEras | None = None,
    ) -> None:
        self.faults = NO_FAULTS
        self._eras = eras
        self.calls_by_kind: dict[str, int] = {}
        self._store = store
        self._timer = timer
        self._rng = rng

    def restore(self, store: memory_store.MemoryStore) -> None:
        """Replaces the state, as after restoring a backup."""
        self._store = store

    def lapse_lease(self, lease_id: int) -> None:
        """Expires a lease at once, as when its holder was paused too long."""
        self._store.expire_lease(lease_id)

    def get(
        self, key: str
    ) -> result.Result[stores.Entry | None, stores.StoreError]:
        if not self._begin_call('get'):
            return result.Failure(stores.StoreUnavailable('get'))
        self._tell_era()
        if not self._reads_are_stale():
            return self._store.get(key)
        return result.Success(self._earlier_entries().get(key))

    def get_prefix(
        self, prefix: str
    ) -> result.Result[tuple[stores.Entry, ...], stores.StoreError]:
        if not self._begin_call('get_prefix'):
            return result.Failure(stores.StoreUnavailable('get_prefix'))
        self._tell_era()
        if not self._reads_are_stale():
            return self._store.get_prefix(prefix)
        entry_by_key = self._earlier_entries()
        keys = sorted(k for k in entry_by_key if k.startswith(prefix))
        return result.Success(tuple(entry_by_key[k] for k in keys))

    def read_prefix(
        self, prefix: str
    ) -> result.Result[stores.Snapshot, stores.StoreError]:
        newest = self._history().position
        return self.get_prefix(prefix).map(
            lambda entries: stores.Snapshot(entries, newest)
        )

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
    ) -> result.Result[stores.Entry, stores.StoreError]:
        return self._write(
            'compare_and_swap',
            key,
            lambda: self._store.compare_and_swap(
                key, value, expected_revision, lease_id
            ),
        )

    def transact(
        self, transaction: stores.Transaction
    ) -> result.Result[int, stores.StoreError]:
        key = transaction.conditions[0].key
        return self._write(
            'compare_and_swap', key, lambda: self._store.transact(transaction)
        )

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[int, stores.StoreError]:
        return self._write(
            'delete', key, lambda: self._store.delete(key, expected_revision)
        )

    def grant_lease(
        self, ttl_s: float
    ) -> result.Result[int, stores.StoreError]:
        return self._write(
            'grant_lease', 'lease', lambda: self._store.grant_lease(ttl_s)
        )

    def renew_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        return self._write(
            'renew_lease',
            f'lease {lease_id}',
            lambda: self._store.renew_lease(lease_id),
        )

    def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        return self._write(
            'revoke_lease',
            f'lease {lease_id}',
            lambda: self._store.revoke_lease(lease_id),
        )

    def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> result.Result[stores.Watched, stores.StoreError]:
        if not self._begin_call('watch') or self.faults.watch_broken:
            return result.Failure(stores.StoreUnavailable('watch'))
        newest = self._history().position.revision
        if self.faults.watch_compacted and after_revision < newest:
            return result.Failure(
                stores.WatchCompacted(after_revision, newest)
            )
        outcome = self._store.watch(prefix, after_revision, wait_s)
        if self.faults.watch_late_s:
            self._timer.sleep(self.faults.watch_late_s)
        # The store may have gone down while the watch was waiting.
        if self.faults.down or self.faults.watch_broken:
            return result.Failure(stores.StoreUnavailable('watch'))
        self._tell_era()
        if self._draw_fault(self.faults.watch_skips):
            return outcome.map(lambda watched: watched._replace(changes=()))
        return outcome.map(
            lambda watched: self._hide_newest(watched, after_revision)
        )

    def _hide_newest(
        self, watched: stores.Watched, after_revision: int
    ) -> stores.Watched:
        hidden = self.faults.watch_hides
        if not hidden:
            return watched
        shown = watched.changes[:-hidden]
        revision = shown[-1].revision if shown else after_revision
        position = watched.position._replace(revision=revision)
        return stores.Watched(shown, position)

    def _begin_call(self, call: str) -> bool:
        """Counts and delays a call; returns whether the store is up."""
        self.calls_by_kind[call] = self.calls_by_kind.get(call, 0) + 1
        if self.faults.slow_s:
            self._timer.sleep(self.faults.slow_s)
        return not self.faults.down

    def _write(
        self, call: str, key: str, write: _Write
    ) -> result.Result[Any, stores.StoreError]:
        if not self._begin_call(call):
            return result.Failure(stores.StoreUnavailable(call))
        if self._draw_fault(self.faults.lost_writes):
            return result.Failure(stores.OutcomeUnknown(key))
        outcome = write()
        if self._draw_fault(self.faults.lost_answers):
            return result.Failure(stores.OutcomeUnknown(key))
        self._tell_era()
        return outcome

    def _tell_era(self) -> None:
        """Tells the era of the answer that is about to be returned."""
        if self._eras is not None:
            self._eras.record(self._store.era, store_eras.Source.STORE)

    def _draw_fault(self, rate: float) -> bool:
        return rate > 0 and self._rng.random() < rate

    def _history(self) -> stores.Watched:
        return self._store.watch('', stores.ABSENT, 0.0).unwrap()

    def _reads_are_stale(self) -> bool:
        return bool(self.faults.reads_hide or self.faults.stale_reads)

    def _earlier_entries(self) -> dict[str, stores.Entry]:
        """Returns the entries that a stale read returns."""
        changes = self._history().changes
        shown = max(0, len(changes) - self.faults.reads_hide)
        if self._draw_fault(self.faults.stale_reads):
            shown = self._rng.randint(0, shown)
        entry_by_key: dict[str, stores.Entry] = {}
        for change in changes[:shown]:
            if change.entry is None:
                entry_by_key.pop(change.key, None)
            else:
                entry_by_key[change.key] = change.entry
        return entry_by_key
