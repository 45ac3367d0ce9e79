"""Counts store calls for documents by fleet size."""

import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import document_store
from cactusmux_control import document_watch
from cactusmux_control import in_force
from cactusmux_fakes import faulty_store
from cactusmux_fakes import linked_documents
from cactusmux_fakes import memory_store
from cactusmux_fakes import sample_documents

SIZES = (8, 26, 52, 104, 208, 360)
ZONES = 13
CHANGES_PER_DAY = 4_000
CHANGE_PERIOD_S = 86_400 / CHANGES_PER_DAY
GOSSIP_PERIOD_S = 2.0
WARM_UP_S = 200.0
MEASURED_S = 600.0


class Rates(NamedTuple):
    """The load of a fleet of ``size`` daemons on the store."""

    size: int
    reads_per_s: float
    watchers: int


def measure(size: int) -> Rates:
    """Counts calls on a manual clock.

    Timers start the polls. A waiting watch ends after its wait or with a
    change, and the next one then begins.
    """
    fleet = _Fleet(size)
    fleet.clock.advance(WARM_UP_S)
    before = fleet.reads()
    fleet.clock.advance(MEASURED_S)
    reads = fleet.reads() - before
    return Rates(size, reads / MEASURED_S, len(fleet.watchers))


class _Fleet:
    def __init__(self, size: int) -> None:
        self.clock = timers.ManualTimers()
        self._rng = random.Random(size)
        self._store = faulty_store.FaultyStore(
            memory_store.MemoryStore(self.clock), self.clock, self._rng
        )
        links = linked_documents.DocumentLinks()
        held_by_address = links.documents_by_address
        for number in range(size):
            address = f'{number:03}'
            peers = linked_documents.LinkedPeers(
                links, address, f'zone-{number % ZONES}'
            )
            held_by_address[address] = in_force.DocumentsInForce(
                self._store,
                peers,
                peers,
                self.clock,
                metrics.MemoryMetrics(),
                random.Random(number),
            )
        self._all_held = list(held_by_address.items())
        self.watchers = [
            _Watcher(held, self.clock)
            for _, held in self._all_held
            if held.is_watcher()
        ]
        self._revision = 0
        self._versions = 0
        for _, held in self._all_held:
            held.start_timers()
        self.clock.every(CHANGE_PERIOD_S, self._change)
        self.clock.every(GOSSIP_PERIOD_S, self._send_gossip)

    def reads(self) -> int:
        """Returns the number of reads and watches of the store."""
        count_by_kind = self._store.calls_by_kind
        kinds = ('get', 'get_prefix', 'watch')
        return sum(count_by_kind.get(kind, 0) for kind in kinds)

    def _change(self) -> None:
        self._versions += 1
        text = sample_documents.document_text(f'v{self._versions}')
        applied = document_store.apply_document(
            self._store, self.clock, text, self._revision
        )
        self._revision = applied.unwrap().revision
        for watcher in self.watchers:
            watcher.wake()

    def _send_gossip(self) -> None:
        for _, held in self._all_held:
            address, other = self._rng.choice(self._all_held)
            held.record_peer_revisions(address, other.revision_by_service())


class _Watcher:
    """Calls the watch as often as the greenlet of an instance would."""

    def __init__(
        self, held: in_force.DocumentsInForce, clock: timers.ManualTimers
    ) -> None:
        self._held = held
        self._clock = clock
        self._next = clock.after(0.0, self.wake)

    def wake(self) -> None:
        """Ends the wait: handles the result, and starts the next watch."""
        self._next.cancel()
        self._held.watch_once()
        wait_s = (
            document_watch.WATCH_WAIT_S + document_watch.MIN_WATCH_INTERVAL_S
        )
        self._next = self._clock.after(wait_s, self.wake)
