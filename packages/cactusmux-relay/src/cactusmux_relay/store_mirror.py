"""A copy of all keys under a prefix of the configuration store.

It is kept by a watch. While the store doesn't answer this instance, newer
copies of other instances are taken instead. The copy with the higher
revision wins, whichever side it comes from.
"""

from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import stores
import gevent
from returns import result

from . import tasks

WATCH_S = 20.0
BACKOFF_S = 0.25
# After a change, further ones are waited for, to bring them in one call.
BATCH_S = 0.2
# After an outage the store may still lack entries that lapsed meanwhile.
SETTLE_S = 2.5


class Copy(NamedTuple):
    """All entries under a prefix, as of a revision of the store."""

    entries: tuple[stores.Entry, ...]
    revision: int


class StoreMirror:
    """Mirrors one prefix and tells of each change."""

    def __init__(
        self,
        store: stores.ConfigStore,
        reader: stores.SnapshotReader,
        prefix: str,
        timer: timers.TimerService,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._reader = reader
        self._prefix = prefix
        self._timer = timer
        self._on_change = on_change
        self.entry_by_key: dict[str, stores.Entry] = {}
        self.revision = stores.ABSENT
        self._must_read = True
        self.is_connected = False
        self.connected_at = 0.0
        self.failed_at = 0.0
        self.heard_at = 0.0

    def start(self) -> None:
        """Begins to mirror, in a task of its own."""
        gevent.spawn(self._run)

    @property
    def is_settled(self) -> bool:
        """Whether a missing entry is really gone."""
        if not self.is_connected:
            return False
        if self.failed_at == 0.0:
            return True
        return self._timer.now() - self.connected_at > SETTLE_S

    def copy(self) -> Copy:
        """Returns all entries, for another instance."""
        return Copy(tuple(self.entry_by_key.values()), self.revision)

    def take(self, copy: Copy) -> bool:
        """Takes another instance's copy if it is newer; tells whether."""
        if copy.revision <= self.revision:
            return False
        self._replace(copy)
        events.info('copy_taken', prefix=self._prefix, revision=copy.revision)
        return True

    def _run(self) -> None:
        while True:
            tasks.run_step(self._prefix, self.step, self._timer)

    def step(self) -> None:
        """Reads all entries, or waits for changes once they are read."""
        if not self._must_read:
            self._must_read = not self._watch()
            return
        self._must_read = not self._read()
        if self._must_read:
            self._timer.sleep(BACKOFF_S)

    def check(self) -> int:
        """Reads all entries and takes what the watch hasn't brought.

        Returns the store's revision, 0 if it doesn't answer.
        """
        match self._reader.read_prefix(self._prefix):
            case result.Success(snapshot):
                entry_by_key = {each.key: each for each in snapshot.entries}
                if snapshot.revision < self.revision:
                    return snapshot.revision
                if entry_by_key == self.entry_by_key:
                    self.revision = snapshot.revision
                    return snapshot.revision
                events.warning(
                    'watch_missed_change',
                    prefix=self._prefix,
                    revision=snapshot.revision,
                )
                self._replace(Copy(snapshot.entries, snapshot.revision))
                return snapshot.revision
        return stores.ABSENT

    def _read(self) -> bool:
        match self._reader.read_prefix(self._prefix):
            case result.Success(snapshot):
                self._note_answer()
                if snapshot.revision >= self.revision:
                    self._replace(Copy(snapshot.entries, snapshot.revision))
                return True
            case result.Failure(failure):
                self._note_failure(failure)
        return False

    def _watch(self) -> bool:
        """Waits for changes; tells whether the watch may go on."""
        watched = self._store.watch(self._prefix, self.revision, WATCH_S)
        match watched:
            case result.Success(changes):
                self._note_answer()
                self._apply(changes)
                return True
            case result.Failure(stores.WatchCompacted()):
                events.info('watch_compacted', prefix=self._prefix)
                return False
            case result.Failure(failure):
                self._note_failure(failure)
                self._timer.sleep(BACKOFF_S)
        # After an outage changes may have been missed or undone.
        return False

    def _apply(self, watched: stores.Watched) -> None:
        if watched.revision < self.revision:
            # Another instance's newer copy was taken while we waited.
            return
        changed = False
        for change in watched.changes:
            known = self.entry_by_key.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            changed = True
            if change.entry is None:
                self.entry_by_key.pop(change.key, None)
            else:
                self.entry_by_key[change.key] = change.entry
        self.revision = watched.revision
        if changed:
            self._on_change()
            self._timer.sleep(BATCH_S)

    def _replace(self, copy: Copy) -> None:
        self.entry_by_key = {each.key: each for each in copy.entries}
        self.revision = copy.revision
        self._on_change()

    def _note_answer(self) -> None:
        self.heard_at = self._timer.now()
        if self.is_connected:
            return
        self.is_connected = True
        self.connected_at = self._timer.now()
        events.info('store_regained', prefix=self._prefix)

    def _note_failure(self, failure: stores.StoreError) -> None:
        self.failed_at = self._timer.now()
        if not self.is_connected:
            return
        self.is_connected = False
        events.warning(
            'store_lost', prefix=self._prefix, reason=failure.reason
        )
