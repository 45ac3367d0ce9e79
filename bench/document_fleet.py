"""Instances in one process with a fake store over sockets, and outages."""

from collections.abc import Callable
import random
import time
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import document_store
from cactusmux_control import documents
from cactusmux_control import in_force
from cactusmux_fakes import faulty_store
from cactusmux_fakes import linked_documents
from cactusmux_fakes import platform_server
from cactusmux_fakes import sample_documents
from cactusmux_platform import http_store
import gevent

SERVICE = sample_documents.SERVICE
# How often an instance receives gossip from one peer, as in the real exchange.
GOSSIP_PERIOD_S = 0.7
SETTLE_S = 60.0

StoreFailure = Callable[[platform_server.PlatformServer], None]


class Outcome(NamedTuple):
    """Seconds from each edit until it is in force, over all instances."""

    times_s: list[float]
    reverts: int


def _make_failure(**faults: object) -> StoreFailure:
    def apply_faults(server: platform_server.PlatformServer) -> None:
        server.store.faults = faulty_store.Faults(**faults)

    return apply_faults


OUTAGES: dict[str, StoreFailure] = {
    'none': _make_failure(),
    'down': _make_failure(down=True),
    'connections refused': lambda server: server.stop(),
    'no answer in time': _make_failure(slow_s=3.0),
    'slow': _make_failure(slow_s=1.0),
    'watch broken': _make_failure(watch_broken=True),
    'watch skips': _make_failure(watch_skips=1.0),
    'stale reads': _make_failure(stale_reads=0.7, watch_hides=1),
}


class Fleet:
    """A store, its operator, and the instances that watch it."""

    def __init__(self, size: int, zones: int, rng: random.Random) -> None:
        self._rng = rng
        self._timer = timers.GeventTimers()
        self._server = platform_server.PlatformServer(seed=rng.randrange(99))
        self._server.start()
        self._operator = self._client()
        self._links = linked_documents.DocumentLinks()
        self._times_s: list[float] = []
        self._reverts = 0
        self._changed_at = 0.0
        self._revision = 0
        self._versions = 0
        self._seen_by_address: dict[str, int] = {}
        self._gossip_timers: list[timers.Subscription] = []
        for number in range(size):
            self._add(f'{number:03}', f'zone-{number % zones}')

    def start(self) -> None:
        """Writes a first document and starts all instances."""
        self._revision = self._edit()
        for held in self._links.documents_by_address.values():
            held.start()
        for address in self._links.documents_by_address:
            self._gossip_timers.append(
                self._timer.every(
                    GOSSIP_PERIOD_S, lambda to=address: self._send_gossip(to)
                )
            )

    def change(
        self, break_store: StoreFailure, outage_s: float, limit_s: float
    ) -> None:
        """Edits the document while the store loses responses and fails.

        Returns when the edit is in force everywhere, or at the limit, which
        is then recorded for the instances where it is not.
        """
        self._changed_at = time.monotonic()
        # The write takes effect, its response is lost, and the waiting watches
        # fail before they return it; then the store fails.
        self._server.store.faults = faulty_store.Faults(
            lost_answers=1.0, watch_broken=True
        )
        edit = gevent.spawn(self._edit)
        while self._stored_revision() == self._revision and not edit.dead:
            gevent.sleep(0.001)
        break_store(self._server)
        gevent.sleep(outage_s)
        self._repair_store()
        self._revision = edit.get()
        while self._count_outdated() and self._age_s() < limit_s:
            gevent.sleep(0.01)
        self._times_s.extend(limit_s for _ in range(self._count_outdated()))

    def outcome(self) -> Outcome:
        """Returns the measurements so far."""
        return Outcome(list(self._times_s), self._reverts)

    def stop(self) -> None:
        """Stops the instances and the store."""
        for gossip_timer in self._gossip_timers:
            gossip_timer.cancel()
        for held in self._links.documents_by_address.values():
            held.stop()
        self._server.stop()

    def _add(self, address: str, zone: str) -> None:
        peers = linked_documents.LinkedPeers(self._links, address, zone)
        held = in_force.DocumentsInForce(
            self._client(),
            peers,
            peers,
            self._timer,
            metrics.MemoryMetrics(),
            random.Random(f'{address} {self._rng.random()}'),
        )
        self._links.documents_by_address[address] = held
        last = [0]

        def note(service: str, now: documents.InForce) -> None:
            self._reverts += now.revision <= last[0]
            last[0] = now.revision
            if self._changed_at:
                self._times_s.append(self._age_s())

        held.subscribe(note)

    def _client(self) -> http_store.HttpConfigStore:
        return http_store.HttpConfigStore(
            self._server.address, metrics.MemoryMetrics()
        )

    def _send_gossip(self, to_address: str) -> None:
        """Sends one peer's revisions to an instance; counts reverts."""
        peers = self._links.peers_of(to_address)
        self._links.send_revisions(self._rng.choice(peers), to_address)
        held = self._links.documents_by_address[to_address]
        found = held.in_force(SERVICE)
        revision = found.revision if found else 0
        self._reverts += revision < self._seen_by_address.get(to_address, 0)
        self._seen_by_address[to_address] = revision

    def _edit(self) -> int:
        """Applies a new version like an operator; returns its revision."""
        self._versions += 1
        applied = document_store.apply_document(
            self._operator,
            self._timer,
            sample_documents.document_text(f'v{self._versions}'),
            self._revision,
            settle_s=SETTLE_S,
        )
        return applied.unwrap().revision

    def _repair_store(self) -> None:
        self._server.store.faults = faulty_store.NO_FAULTS
        self._server.start()

    def _stored_revision(self) -> int:
        key = documents.document_key(SERVICE)
        entry = self._server.memory.get(key).unwrap()
        return entry.revision if entry else 0

    def _count_outdated(self) -> int:
        return sum(
            held.revision_by_service().get(SERVICE, 0) < self._revision
            for held in self._links.documents_by_address.values()
        )

    def _age_s(self) -> float:
        return time.monotonic() - self._changed_at
