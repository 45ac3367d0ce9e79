"""A local copy of all keys under a prefix of the configuration store.

The copy is kept up to date by a watch, or by the deltas that watching peers
send. While the store doesn't answer this instance, it fetches newer copies
from peers. The copy with the higher position wins, wherever it comes from.

Peers are told the position of the last change under the prefix, not that of
the store: the store has one counter for all prefixes, so a copy with a higher
store revision needn't have new content.

After the store was restored, a copy from its new era replaces all entries,
and nothing from an earlier era is applied any more.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import store_eras
from cactusmux_platform import stores
import gevent
from returns import result

from . import deltas
from . import relay_settings
from . import store_availability
from . import tasks
from . import watch_batching

WATCH_TIMEOUT_S = 20.0
# How often a mirror that doesn't watch checks whether it should.
IDLE_POLL_S = 0.5
BACKOFF_S = 0.25
# Upper bound of the delay between failing reads. Refused calls cost the store
# as much as others.
MAX_RETRY_S = 1.0
# Time after an outage during which the store may still lack entries whose
# leases expired meanwhile.
SETTLE_S = 2.5


class Copy(NamedTuple):
    """All entries under a prefix at one position of the store.

    :ivar last_change: position of the last change under the prefix, at most
        ``position`` and in the same era.
    :ivar settles_in_s: seconds during which missing entries may still be
        written again.
    """

    entries: tuple[stores.Entry, ...]
    position: stores.Position
    last_change: stores.Position
    settles_in_s: float = 0.0


class _Pending(NamedTuple):
    """A watch call in progress and its start time."""

    task: gevent.Greenlet
    begun_at: float


class StoreMirror:
    """Mirrors one prefix and calls back after each change.

    :param batch_delay_s: returns the seconds to wait after a change before
        the next watch, so that one call returns several changes.
    :param should_watch: whether to watch the store; otherwise peers send the
        changes.
    :param on_delta: called with each delta that the own watch returned.
    :param availability: notified of each answer before it is used.
    :param eras: the eras of the store.
    :param restored_settle_s: time after a restore during which the store may
        still lack, or show in an earlier form, what others write again.
    :ivar position: position of the store at which it had these entries.
    :ivar last_change: position of the last known change under the prefix.
    :ivar is_from_peer: whether the last change came from a peer.
    :ivar has_missed_changes: whether the own watch has missed a change
        since it last answered.
    :ivar heard_at: time at which a read or watch last succeeded.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        reader: stores.SnapshotReader,
        prefix: str,
        timer: timers.TimerService,
        on_change: Callable[[], None],
        batch_delay_s: Callable[[], float] = lambda: (
            watch_batching.MIN_DELAY_S
        ),
        should_watch: Callable[[], bool] = lambda: True,
        on_delta: Callable[[deltas.Delta], None] = deltas.ignore,
        availability: store_availability.StoreAvailability | None = None,
        eras: store_eras.StoreEras | None = None,
        restored_settle_s: float = relay_settings.RESTORED_SETTLE_S,
    ) -> None:
        self._store = store
        self._reader = reader
        self._prefix = prefix
        self._timer = timer
        self._on_change = on_change
        self._batch_delay_s = batch_delay_s
        self._should_watch = should_watch
        self._on_delta = on_delta
        self._availability = (
            availability or store_availability.StoreAvailability(timer)
        )
        self._availability.subscribe(self.end_hung_watch)
        self._restored_settle_s = restored_settle_s
        self._eras = eras or store_eras.StoreEras(timer)
        self._eras.subscribe(self._on_new_era)
        self._lost_at = 0.0
        self._pending: _Pending | None = None
        self._missed_at = 0.0
        self.entry_by_key: dict[str, stores.Entry] = {}
        self.position = stores.NOWHERE
        self.last_change = stores.NOWHERE
        self.is_from_peer = False
        self.has_missed_changes = False
        self._watched = stores.NOWHERE
        self._needs_read = True
        self._was_compacted = False
        self._next_watch_at = 0.0
        self._retry_s = BACKOFF_S
        self.is_connected = False
        self._settles_at = 0.0
        self.heard_at = 0.0

    def start(self) -> None:
        """Starts mirroring in a new greenlet."""
        gevent.spawn(self._run)

    @property
    def is_settled(self) -> bool:
        """Whether a missing entry has really been removed."""
        return self.is_connected and self._settles_in_s <= 0.0

    @property
    def _settles_in_s(self) -> float:
        return max(0.0, self._settles_at - self._timer.now())

    @property
    def is_watching(self) -> bool:
        """Whether this instance watches the store for changes."""
        return self._should_watch()

    @property
    def batch_left_s(self) -> float:
        """Seconds until the next watch begins after a change."""
        return max(0.0, self._next_watch_at - self._timer.now())

    def copy(self) -> Copy:
        """Returns a copy of all entries, to be sent to a peer."""
        entries = tuple(self.entry_by_key.values())
        return Copy(
            entries,
            self.position,
            self.last_change,
            self._settles_in_s,
        )

    def announce_all(self) -> None:
        """Makes peers fetch this copy by announcing all of it as changed.

        Keys removed before the first read leave no trace in the entries, so
        peers that still hold them couldn't tell otherwise.
        """
        self.last_change = self.position

    def apply_copy(self, copy: Copy) -> bool:
        """Applies a peer's copy; returns whether it changed any entry."""
        if copy.position <= self.position:
            return False
        self._eras.record(copy.position.era, store_eras.Source.PEER)
        self._settle_within(copy.settles_in_s)
        if not self._replace(copy, is_from_peer=True):
            return False
        self._record_missed_change()
        events.info('copy_taken', prefix=self._prefix, position=copy.position)
        return True

    def apply_delta(self, delta: deltas.Delta) -> bool:
        """Applies changes that a peer's watch returned.

        Returns whether the mirror now contains them; ``False`` if earlier
        changes are missing, in which case a full copy is needed.
        """
        if delta.position <= self.position:
            return True
        self._eras.record(delta.era, store_eras.Source.PEER)
        is_same_era = delta.era == self.position.era
        if not is_same_era or delta.after > self.position.revision:
            return False
        self._settle_within(delta.settles_in_s)
        is_changed = self._merge(delta.changes)
        self.position = delta.position
        self._watched = max(self._watched, delta.position)
        if is_changed:
            self.is_from_peer = True
            self._on_change()
        return True

    def end_hung_watch(self, lost_at: float) -> None:
        """Ends a watch that may hang; called after each answer of the store.

        A watch that was waiting while another call failed may wait on a dead
        connection, and so may one that has missed a change. It is ended and
        begun again from the same revision.

        :param lost_at: when the last unanswered call ended.
        """
        if lost_at > self._lost_at:
            self._lost_at = lost_at
            self._settle_within(SETTLE_S)
        pending = self._pending
        if pending is None:
            return
        is_lost = pending.begun_at <= lost_at
        if is_lost or (
            self.has_missed_changes and pending.begun_at <= self._missed_at
        ):
            events.info('watch_ended', prefix=self._prefix, is_lost=is_lost)
            pending.task.kill(block=False)

    def _on_new_era(self) -> None:
        """Has all entries read again, and waits for what is written again."""
        if self.position == stores.NOWHERE:
            return
        self._settle_within(self._restored_settle_s)
        if self._should_watch():
            self._needs_read = True
            if self._pending is not None:
                self._pending.task.kill(block=False)

    def _settle_within(self, seconds: float) -> None:
        """Delays treating missing entries as removed by ``seconds``."""
        self._settles_at = max(self._settles_at, self._timer.now() + seconds)

    def _run(self) -> None:
        while True:
            tasks.run_step(self._prefix, self.step, self._timer)

    def step(self) -> None:
        """Reads all entries, or waits for changes after the first read."""
        if not self._needs_read and not self._should_watch():
            self._timer.sleep(IDLE_POLL_S)
            return
        if not self._needs_read:
            self._needs_read = not self._watch() or self._needs_read
            return
        asked_at = self._timer.now()
        self._needs_read = not self._read() or self._is_outdated
        if self._needs_read:
            self._back_off(asked_at)

    @property
    def _is_outdated(self) -> bool:
        """Whether the entries are from an earlier era of the store."""
        return self.position.era < self._eras.current and self._should_watch()

    def _back_off(self, asked_at: float) -> None:
        """Sleeps after a failed read, less the time that the read took."""
        passed_s = self._timer.now() - asked_at
        self._timer.sleep(max(BACKOFF_S, self._retry_s - passed_s))
        self._retry_s = min(MAX_RETRY_S, 2.0 * self._retry_s)

    def reconcile(self) -> stores.Position:
        """Reads all entries and applies changes that the watch has missed.

        Returns the store's position, ``NOWHERE`` if it doesn't answer.
        """
        match self._reader.read_prefix(self._prefix):
            case result.Success(snapshot):
                self._availability.record_answered()
                if snapshot.position < self.position:
                    return snapshot.position
                if self._replace(self._copy_of(snapshot)):
                    self._record_missed_change()
                    events.warning(
                        'watch_missed_change',
                        prefix=self._prefix,
                        position=snapshot.position,
                    )
                return snapshot.position
        return stores.NOWHERE

    def _read(self) -> bool:
        match self._reader.read_prefix(self._prefix):
            case result.Success(snapshot):
                self._record_answer()
                if snapshot.position >= self.position:
                    self._replace(self._copy_of(snapshot))
                    return True
                # Older than a peer's copy; its watch may continue from there
                # unless the store has just said that it lacks that revision.
                return not self._was_compacted
            case result.Failure(failure):
                self._record_failure(failure)
        return False

    def _watch(self) -> bool:
        """Waits for changes; returns whether the next watch may follow."""
        match self._wait_for_changes():
            case None:
                return True
            case result.Success(changes):
                self._record_answer()
                self._was_compacted = False
                return self._apply(changes)
            case result.Failure(stores.WatchCompacted()):
                self._availability.record_answered()
                self._was_compacted = True
                events.info('watch_compacted', prefix=self._prefix)
                return False
            case result.Failure(failure):
                self._record_failure(failure)
                self._timer.sleep(BACKOFF_S)
        # After an outage changes may have been missed or reverted.
        return False

    def _wait_for_changes(
        self,
    ) -> result.Result[stores.Watched, stores.StoreError] | None:
        """Calls the store's watch; ``None`` if it was ended meanwhile."""
        task = gevent.spawn(
            self._store.watch,
            self._prefix,
            self._watched.revision,
            WATCH_TIMEOUT_S,
        )
        self._pending = _Pending(task, self._timer.now())
        try:
            found = task.get()
        finally:
            self._pending = None
        return None if isinstance(found, gevent.GreenletExit) else found

    def _apply(self, watched: stores.Watched) -> bool:
        """Applies what a watch returned; whether the next one may follow."""
        if watched.position.era > self.position.era:
            # These changes don't follow from the entries of an earlier era.
            return False
        if watched.position < self.position:
            # A peer's newer copy was applied while the watch was waiting.
            return True
        # A faulty watch may skip changes. If it returns none, the next watch
        # continues from its position, but the mirror's position doesn't rise.
        self._watched = watched.position
        if not self._merge(watched.changes):
            return True
        delta = deltas.Delta(
            self._prefix,
            self.position.revision,
            watched.position.revision,
            watched.changes,
            self._settles_in_s,
            watched.position.era,
        )
        self.position = watched.position
        self.is_from_peer = False
        self._on_change()
        self._on_delta(delta)
        batch_delay_s = self._batch_delay_s()
        self._next_watch_at = self._timer.now() + batch_delay_s
        self._timer.sleep(batch_delay_s)
        return True

    def _merge(self, changes: Iterable[stores.Change]) -> bool:
        """Applies changes in order; returns whether any was new."""
        is_changed = False
        for change in changes:
            known = self.entry_by_key.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            is_changed = True
            changed_at = self.position._replace(revision=change.revision)
            self.last_change = max(self.last_change, changed_at)
            if change.entry is None:
                self.entry_by_key.pop(change.key, None)
            else:
                self.entry_by_key[change.key] = change.entry
        return is_changed

    def _copy_of(self, snapshot: stores.Snapshot) -> Copy:
        """Returns a snapshot as a copy with the position of its last change.

        A change that the own watch has missed may also be missing at peers
        that know later ones, so the whole snapshot then counts as changed.
        """
        position = snapshot.position
        changed = max(
            (each.revision for each in snapshot.entries), default=stores.ABSENT
        )
        if self._has_missed(snapshot):
            changed = position.revision
        last_change = position._replace(revision=changed)
        return Copy(snapshot.entries, position, min(last_change, position))

    def _has_missed(self, snapshot: stores.Snapshot) -> bool:
        """Whether a snapshot shows a change that the watch has missed."""
        found = {each.key for each in snapshot.entries}
        if not self.entry_by_key.keys() <= found:
            return True
        return any(
            each.revision <= self.position.revision
            and each != self.entry_by_key.get(each.key)
            for each in snapshot.entries
        )

    def _replace(self, copy: Copy, is_from_peer: bool = False) -> bool:
        """Replaces all entries; returns whether any entry changed."""
        entry_by_key = {each.key: each for each in copy.entries}
        is_first = self.position == stores.NOWHERE
        if copy.position.era > self.position.era and not is_first:
            self._log_restored(copy.position, entry_by_key)
        self.position = copy.position
        self._watched = copy.position
        self.last_change = max(self.last_change, copy.last_change)
        if entry_by_key == self.entry_by_key and not is_first:
            return False
        self.entry_by_key = entry_by_key
        self.is_from_peer = is_from_peer
        self._on_change()
        return True

    def _log_restored(
        self, position: stores.Position, entry_by_key: dict[str, stores.Entry]
    ) -> None:
        events.warning(
            'store_restored',
            prefix=self._prefix,
            old=self.position,
            new=position,
            lost=len(self.entry_by_key.keys() - entry_by_key.keys()),
            gained=len(entry_by_key.keys() - self.entry_by_key.keys()),
        )

    def _record_missed_change(self) -> None:
        """Records that the own watch has missed a change."""
        if not self.has_missed_changes:
            self._missed_at = self._timer.now()
        self.has_missed_changes = True

    def _record_answer(self) -> None:
        self._availability.record_answered()
        self.heard_at = self._timer.now()
        self.has_missed_changes = False
        self._retry_s = BACKOFF_S
        if self.is_connected:
            return
        self.is_connected = True
        events.info('store_regained', prefix=self._prefix)

    def _record_failure(self, failure: stores.StoreError) -> None:
        self._availability.record_unanswered()
        if not self.is_connected:
            return
        self.is_connected = False
        events.warning(
            'store_lost', prefix=self._prefix, reason=failure.reason
        )
