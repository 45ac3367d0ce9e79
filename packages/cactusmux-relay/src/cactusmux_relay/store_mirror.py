"""A copy of all keys under a prefix of the configuration store.

It is kept by a watch, or by what the watches of other instances bring. While
the store doesn't answer this instance, newer copies of others are taken
instead. The copy with the higher revision wins, whichever side it comes
from. Others are told the last change rather than that revision: the store
has one counter for all prefixes, and a copy that is merely known as of later
holds nothing new.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import stores
import gevent
from returns import result

from . import deltas
from . import store_availability
from . import tasks
from . import watch_pace

WATCH_S = 20.0
# How often a mirror that doesn't watch looks whether it is to.
IDLE_S = 0.5
BACKOFF_S = 0.25
# Reads that fail begin this far apart at last: refused calls cost as others.
LONGEST_RETRY_S = 1.0
# After an outage the store may still lack entries that lapsed meanwhile.
SETTLE_S = 2.5


class Copy(NamedTuple):
    """All entries under a prefix, as of a revision of the store.

    :ivar changed: the last change among them, at most ``revision``.
    :ivar settles_in_s: until then missing entries may come back.
    """

    entries: tuple[stores.Entry, ...]
    revision: int
    changed: int
    settles_in_s: float = 0.0


class _Pending(NamedTuple):
    """A watch that is waiting, and since when."""

    task: gevent.Greenlet
    begun_at: float


class StoreMirror:
    """Mirrors one prefix and tells of each change.

    :param batch_s: asked after each change how long further ones are waited
        for, to bring them in one call.
    :param watches: whether to watch; other instances bring the changes
        otherwise.
    :param on_brought: told of what our own watch has brought.
    :param contact: told of each answer before it is used.
    :ivar revision: as of which the entries are known.
    :ivar changed: the last change that is known.
    :ivar is_copied: whether another instance brought that change.
    :ivar is_isolated: whether a change has come past our watch since it last
        answered.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        reader: stores.SnapshotReader,
        prefix: str,
        timer: timers.TimerService,
        on_change: Callable[[], None],
        batch_s: Callable[[], float] = lambda: watch_pace.SHORTEST_S,
        watches: Callable[[], bool] = lambda: True,
        on_brought: Callable[[deltas.Delta], None] = deltas.ignore,
        contact: store_availability.StoreAvailability | None = None,
    ) -> None:
        self._store = store
        self._reader = reader
        self._prefix = prefix
        self._timer = timer
        self._on_change = on_change
        self._batch_s = batch_s
        self._watches = watches
        self._on_brought = on_brought
        self._contact = contact or store_availability.StoreAvailability(timer)
        self._contact.subscribe(self.note_store_answers)
        self._lost_at = 0.0
        self._pending: _Pending | None = None
        self._deaf_at = 0.0
        self.entry_by_key: dict[str, stores.Entry] = {}
        self.revision = stores.ABSENT
        self.last_change_revision = stores.ABSENT
        self.is_from_peer = False
        self.has_missed_changes = False
        self._watched = stores.ABSENT
        self._must_read = True
        self._asks_at = 0.0
        self._retry_s = BACKOFF_S
        self.is_connected = False
        self._settles_at = 0.0
        self.heard_at = 0.0

    def start(self) -> None:
        """Begins to mirror, in a task of its own."""
        gevent.spawn(self._run)

    @property
    def is_settled(self) -> bool:
        """Whether a missing entry is really gone."""
        return self.is_connected and self._settles_in_s <= 0.0

    @property
    def _settles_in_s(self) -> float:
        return max(0.0, self._settles_at - self._timer.now())

    @property
    def is_watching(self) -> bool:
        """Whether changes are to come by our own watch."""
        return self._watches()

    @property
    def batch_left_s(self) -> float:
        """How long no watch is waiting, since a change has just come."""
        return max(0.0, self._asks_at - self._timer.now())

    def copy(self) -> Copy:
        """Returns all entries, for another instance."""
        entries = tuple(self.entry_by_key.values())
        return Copy(
            entries,
            self.revision,
            self.last_change_revision,
            self._settles_in_s,
        )

    def announce_all(self) -> None:
        """Has the others take our copy, as if all in it were new.

        What was removed before our first read no entry of ours shows.
        """
        self.last_change_revision = self.revision

    def apply_copy(self, copy: Copy) -> bool:
        """Takes another instance's copy; tells whether it held news."""
        if copy.revision <= self.revision:
            return False
        self._settle_within(copy.settles_in_s)
        if not self._replace(copy, is_copied=True):
            return False
        self._note_deaf()
        events.info('copy_taken', prefix=self._prefix, revision=copy.revision)
        return True

    def apply_delta(self, delta: deltas.Delta) -> bool:
        """Takes what another instance's watch has brought.

        Returns whether that is known now; ``False`` where earlier changes
        are missing, which only a copy can bring.
        """
        if delta.revision <= self.revision:
            return True
        if delta.after > self.revision:
            return False
        self._settle_within(delta.settles_in_s)
        is_changed = self._merge(delta.changes)
        self.revision = delta.revision
        self._watched = max(self._watched, delta.revision)
        if is_changed:
            self.is_from_peer = True
            self._on_change()
        return True

    def note_store_answers(self, lost_at: float) -> None:
        """Takes it that the store was away; called when it has answered.

        A watch that was waiting when a call beside it was lost may wait on
        a connection that is silent for good, and so may one that a change
        has come past. It is ended, and asked anew from where it was.

        :param lost_at: when the last call that got no answer ended.
        """
        if lost_at > self._lost_at:
            self._lost_at = lost_at
            self._settle_within(SETTLE_S)
        pending = self._pending
        if pending is None:
            return
        is_lost = pending.begun_at <= lost_at
        if is_lost or (
            self.has_missed_changes and pending.begun_at <= self._deaf_at
        ):
            events.info('watch_ended', prefix=self._prefix, is_lost=is_lost)
            pending.task.kill(block=False)

    def _settle_within(self, seconds: float) -> None:
        """Takes missing entries for gone only after so long."""
        self._settles_at = max(self._settles_at, self._timer.now() + seconds)

    def _run(self) -> None:
        while True:
            tasks.run_step(self._prefix, self.step, self._timer)

    def step(self) -> None:
        """Reads all entries, or waits for changes once they are read."""
        if not self._must_read and not self._watches():
            self._timer.sleep(IDLE_S)
            return
        if not self._must_read:
            self._must_read = not self._watch()
            return
        asked_at = self._timer.now()
        self._must_read = not self._read()
        if self._must_read:
            self._back_off(asked_at)

    def _back_off(self, asked_at: float) -> None:
        """Waits between reads that fail; one that took long waits less."""
        passed_s = self._timer.now() - asked_at
        self._timer.sleep(max(BACKOFF_S, self._retry_s - passed_s))
        self._retry_s = min(LONGEST_RETRY_S, 2.0 * self._retry_s)

    def reconcile(self) -> int:
        """Reads all entries and takes what the watch hasn't brought.

        Returns the store's revision, 0 if it doesn't answer.
        """
        match self._reader.read_prefix(self._prefix):
            case result.Success(snapshot):
                self._contact.note_answered()
                if snapshot.revision < self.revision:
                    return snapshot.revision
                if self._replace(self._copy_of(snapshot)):
                    self._note_deaf()
                    events.warning(
                        'watch_missed_change',
                        prefix=self._prefix,
                        revision=snapshot.revision,
                    )
                return snapshot.revision
        return stores.ABSENT

    def _read(self) -> bool:
        match self._reader.read_prefix(self._prefix):
            case result.Success(snapshot):
                self._note_answer()
                if snapshot.revision >= self.revision:
                    self._replace(self._copy_of(snapshot))
                return True
            case result.Failure(failure):
                self._note_failure(failure)
        return False

    def _watch(self) -> bool:
        """Waits for changes; tells whether the watch may go on."""
        match self._wait_for_changes():
            case None:
                return True
            case result.Success(changes):
                self._note_answer()
                self._apply(changes)
                return True
            case result.Failure(stores.WatchCompacted()):
                self._contact.note_answered()
                events.info('watch_compacted', prefix=self._prefix)
                return False
            case result.Failure(failure):
                self._note_failure(failure)
                self._timer.sleep(BACKOFF_S)
        # After an outage changes may have been missed or undone.
        return False

    def _wait_for_changes(
        self,
    ) -> result.Result[stores.Watched, stores.StoreError] | None:
        """Asks the watch; ``None`` if it was ended from outside."""
        task = gevent.spawn(
            self._store.watch, self._prefix, self._watched, WATCH_S
        )
        self._pending = _Pending(task, self._timer.now())
        try:
            found = task.get()
        finally:
            self._pending = None
        return None if isinstance(found, gevent.GreenletExit) else found

    def _apply(self, watched: stores.Watched) -> None:
        if watched.revision < self.revision:
            # Another instance's newer copy was taken while we waited.
            return
        # A deaf watch passes over changes: one that tells of none goes on
        # from there, but the copy isn't known to be that new.
        self._watched = watched.revision
        if not self._merge(watched.changes):
            return
        delta = deltas.Delta(
            self._prefix,
            self.revision,
            watched.revision,
            watched.changes,
            self._settles_in_s,
        )
        self.revision = watched.revision
        self.is_from_peer = False
        self._on_change()
        self._on_brought(delta)
        batch_s = self._batch_s()
        self._asks_at = self._timer.now() + batch_s
        self._timer.sleep(batch_s)

    def _merge(self, changes: Iterable[stores.Change]) -> bool:
        """Takes changes in their order; tells whether any was new."""
        is_changed = False
        for change in changes:
            known = self.entry_by_key.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            is_changed = True
            self.last_change_revision = max(
                self.last_change_revision, change.revision
            )
            if change.entry is None:
                self.entry_by_key.pop(change.key, None)
            else:
                self.entry_by_key[change.key] = change.entry
        return is_changed

    def _copy_of(self, snapshot: stores.Snapshot) -> Copy:
        """Returns a read with its last change.

        A change that our watch has passed over may be missing elsewhere
        too, by instances that know of later ones: it counts as new.
        """
        revision = snapshot.revision
        changed = max(
            (each.revision for each in snapshot.entries), default=stores.ABSENT
        )
        if self._has_missed(snapshot):
            changed = revision
        return Copy(snapshot.entries, revision, min(changed, revision))

    def _has_missed(self, snapshot: stores.Snapshot) -> bool:
        """Whether a read shows a change that we should have known."""
        found = {each.key for each in snapshot.entries}
        if not self.entry_by_key.keys() <= found:
            return True
        return any(
            each.revision <= self.revision
            and each != self.entry_by_key.get(each.key)
            for each in snapshot.entries
        )

    def _replace(self, copy: Copy, is_copied: bool = False) -> bool:
        """Takes a whole copy; tells whether it held anything new."""
        entry_by_key = {each.key: each for each in copy.entries}
        is_first = self.revision == stores.ABSENT
        self.revision = copy.revision
        self._watched = copy.revision
        self.last_change_revision = max(
            self.last_change_revision, copy.changed
        )
        if entry_by_key == self.entry_by_key and not is_first:
            return False
        self.entry_by_key = entry_by_key
        self.is_from_peer = is_copied
        self._on_change()
        return True

    def _note_deaf(self) -> None:
        """Notes that a change has come past our watch."""
        if not self.has_missed_changes:
            self._deaf_at = self._timer.now()
        self.has_missed_changes = True

    def _note_answer(self) -> None:
        self._contact.note_answered()
        self.heard_at = self._timer.now()
        self.has_missed_changes = False
        self._retry_s = BACKOFF_S
        if self.is_connected:
            return
        self.is_connected = True
        events.info('store_regained', prefix=self._prefix)

    def _note_failure(self, failure: stores.StoreError) -> None:
        self._contact.note_unanswered()
        if not self.is_connected:
            return
        self.is_connected = False
        events.warning(
            'store_lost', prefix=self._prefix, reason=failure.reason
        )
