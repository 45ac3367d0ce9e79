"""Keeps the quarantined parts of prompts in the configuration store.

Evidence is exchanged by gossip, which is lost when all instances end at the
same moment. So the lease holder stores the ends that quarantine a part, and
each instance reads them once after its start.
"""

from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_control import lease_types
from cactusmux_platform import store_eras
from cactusmux_platform import stores
import gevent
from returns import result

from . import part_evidence
from . import prompt_parts
from . import quarantine
from . import stored_quarantine
from . import tasks

KEY = 'cactusmux/quarantine'
PERIOD_S = 0.5
# How long the authority has to last for a write to arrive within it.
WRITE_S = 0.8
# A quarantine is stored again when its last request is later by this time.
RENEWAL_S = 120.0

Authority = Callable[[float], lease_types.Authority | None]


class _Stored(NamedTuple):
    """What was last read or written.

    :ivar known_at: when, in monotonic seconds.
    """

    keys: frozenset[prompt_parts.PartKey]
    revision: int
    known_at: float


class QuarantineStorage:
    """Reads the stored evidence at the start; writes it as lease holder."""

    def __init__(
        self,
        store: stores.ConfigStore,
        parts: quarantine.Quarantine,
        authority: Authority,
        timer: timers.TimerService,
        eras: store_eras.StoreEras,
    ) -> None:
        self._store = store
        self._quarantine = parts
        self._authority = authority
        self._timer = timer
        self._eras = eras
        self._stored: _Stored | None = None
        eras.subscribe(self._forget)

    def start(self) -> None:
        """Starts to read and to write in a task of its own."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            tasks.run_step('quarantine_storage', self.step, self._timer)
            self._timer.sleep(PERIOD_S)

    def step(self) -> None:
        """Reads what isn't known; writes what has changed, if it may."""
        if self._stored is None and not self._load():
            return
        stored = self._stored
        if stored is None or not self._is_changed(stored):
            return
        if self._authority(WRITE_S) is not None:
            self._save(stored)

    def _forget(self) -> None:
        """Has the evidence read again, as the store was restored."""
        self._stored = None

    def _load(self) -> bool:
        changes = self._eras.change_count
        match self._store.get(KEY):
            case result.Success(entry):
                crashes = self._decode(entry)
            case _:
                return False
        if self._eras.change_count != changes:
            return False
        for crash in crashes:
            self._quarantine.merge_crash(crash)
        self._stored = _Stored(
            frozenset(
                key for each in crashes for key in each.organisation_by_key
            ),
            entry.revision if entry else stores.ABSENT,
            self._timer.now(),
        )
        if crashes:
            events.info('quarantine_read', crashes=len(crashes))
        return True

    def _decode(self, entry: stores.Entry | None) -> list[part_evidence.Crash]:
        if entry is None:
            return []
        return stored_quarantine.decode(entry, self._timer)

    def _is_changed(self, stored: _Stored) -> bool:
        evidence = self._quarantine.evidence
        if evidence.quarantined != stored.keys:
            return True
        requested_at = max(
            evidence.requested_at_by_key.values(), default=part_evidence.NEVER
        )
        return requested_at > stored.known_at + RENEWAL_S

    def _save(self, stored: _Stored) -> None:
        keys = self._quarantine.evidence.quarantined
        written = self._store.compare_and_swap(
            KEY,
            stored_quarantine.encode(self._quarantine.evidence, self._timer),
            stored.revision,
        )
        match written:
            case result.Success(entry):
                self._stored = _Stored(keys, entry.revision, self._timer.now())
                events.info('quarantine_stored', parts=len(keys))
            case result.Failure(failure):
                events.info('quarantine_not_stored', reason=failure.reason)
                self._forget()
