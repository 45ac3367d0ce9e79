"""Watches and polls the documents in the configuration store."""

from collections.abc import Callable
import math
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import stores

from . import document_sources
from . import documents

WATCH_WAIT_S = 6.0
ROLE_CHECK_S = 1.0
MIN_WATCH_INTERVAL_S = 0.1
SAFETY_POLL_PERIOD_S = 5.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0

OfferEntry = Callable[[str, stores.Entry], None]


class DocumentWatch:
    """Passes every document entry of the store to ``offer_entry``.

    ``has_answered`` is set once the store has responded.
    ``store_revision_by_service`` holds the revisions that it returned last.

    Counters: ``documents.polls``, ``documents.watches``, each with
    ``_failed`` for failures, ``documents.key_deleted`` and
    ``documents.store_went_back``.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        role: document_sources.WatchRole,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        offer_entry: OfferEntry,
    ) -> None:
        self.has_answered = False
        self.store_revision_by_service: dict[str, int] = {}
        self._store = store
        self._role = role
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._offer_entry = offer_entry
        self._next_revision: int | None = None
        self._polled_at = -math.inf

    def run(self) -> None:
        """Watches while this instance has the watcher role, until killed."""
        retry_s = FIRST_RETRY_S
        while True:
            if not self._role.is_watcher():
                self._timer.sleep(ROLE_CHECK_S)
                continue
            if self.watch_once():
                retry_s = FIRST_RETRY_S
                self._timer.sleep(MIN_WATCH_INTERVAL_S)
                continue
            self._timer.sleep(self._rng.uniform(0.5, 1.0) * retry_s)
            retry_s = min(2.0 * retry_s, MAX_RETRY_S)

    def poll_once(self) -> bool:
        """Reads all documents; returns ``False`` if the store call failed."""
        self._metric.count('documents.polls')
        read = self._store.get_prefix(documents.DOCUMENT_PREFIX)
        entries = read.value_or(None)
        if entries is None:
            self._metric.count('documents.polls_failed')
            return False
        self.has_answered = True
        self._polled_at = self._timer.now()
        stored = {_service(entry.key) for entry in entries}
        for service in self.store_revision_by_service.keys() - stored:
            self._note_deleted(service)
        for entry in entries:
            self._offer(entry)
        return True

    def watch_once(self) -> bool:
        """Waits for one watch response; returns ``False`` on failure.

        Polls first if the revision to watch from is unknown.
        """
        if self._next_revision is None:
            if not self.poll_once():
                return False
            seen = self.store_revision_by_service.values()
            self._next_revision = max(seen, default=stores.ABSENT)
        return self._watch_from(self._next_revision)

    def _watch_from(self, revision: int) -> bool:
        self._metric.count('documents.watches')
        answer = self._store.watch(
            documents.DOCUMENT_PREFIX, revision, WATCH_WAIT_S
        )
        watched = answer.value_or(None)
        if watched is None:
            self._metric.count('documents.watches_failed')
            return self._recover(answer.failure())
        self.has_answered = True
        for change in watched.changes:
            self._offer_change(change)
        self._next_revision = watched.position.revision
        if watched.position.revision < revision:
            # The store was restored, or a stale replica responded.
            self._metric.count('documents.store_went_back')
            return self.poll_once()
        if not watched.changes:
            self._poll_if_due()
        return True

    def _poll_if_due(self) -> None:
        """Polls periodically, in case the watch misses changes."""
        if self._timer.now() - self._polled_at >= SAFETY_POLL_PERIOD_S:
            self.poll_once()

    def _recover(self, failure: stores.StoreError) -> bool:
        if not isinstance(failure, stores.WatchCompacted):
            return False
        # The revision to resume from was determined before this poll, so the
        # poll includes every change up to it.
        polled = self.poll_once()
        if not polled or failure.oldest == stores.ABSENT:
            self._next_revision = None
            return False
        self._next_revision = failure.oldest
        return True

    def _offer_change(self, change: stores.Change) -> None:
        if change.entry is None:
            self._note_deleted(_service(change.key))
            return
        self._offer(change.entry)

    def _offer(self, entry: stores.Entry) -> None:
        service = _service(entry.key)
        self.store_revision_by_service[service] = entry.revision
        self._offer_entry(service, entry)

    def _note_deleted(self, service: str) -> None:
        if self.store_revision_by_service.pop(service, None) is None:
            return
        self._metric.count('documents.key_deleted')
        events.warning('document_key_deleted', service=service)


def _service(key: str) -> str:
    return key.removeprefix(documents.DOCUMENT_PREFIX)
