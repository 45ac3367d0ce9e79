"""Tests of documents exchanged between instances."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import document_store
from cactusmux_control import in_force
from cactusmux_control import peer_documents
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_peers
from cactusmux_fakes import memory_store
from cactusmux_fakes import sample_documents
from cactusmux_peers import peer_service

SERVICE = sample_documents.SERVICE


class Fleet:
    """Instances with their own peer services on an in-memory network."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.store = faulty_store.FaultyStore(
            memory_store.MemoryStore(self.clock),
            self.clock,
            random.Random(1),
        )
        self.network = memory_peers.MemoryNetwork(random.Random(2))
        self.exchanges: list[peer_documents.DocumentExchange] = []

    def start(self, address: str, zone: str) -> in_force.DocumentsInForce:
        metric = metrics.MemoryMetrics()
        service = peer_service.PeerService(
            peer_service.PeerSettings(address, 'r', zone, ('1',)),
            memory_peers.MemoryTransport(self.network, address),
            self.clock,
            metric,
            rng=random.Random(address),
        )
        peers = peer_documents.PeerDocuments(service)
        held = in_force.DocumentsInForce(
            self.store, peers, peers, self.clock, metric, random.Random(4)
        )
        exchange = peer_documents.DocumentExchange(held, service, self.clock)
        service.start()
        exchange.start()
        held.start_timers()
        self.exchanges.append(exchange)
        return held

    def apply(self, version: str, expected: int) -> int:
        text = sample_documents.document_text(version)
        applied = document_store.apply_document(
            self.store, self.clock, text, expected
        )
        return applied.unwrap().revision


def test_body_reaches_instances_without_access_to_the_store() -> None:
    fleet = Fleet()
    one = fleet.start('1', 'a')
    revision = fleet.apply('v1', 0)
    fleet.clock.advance(6.0)
    assert one.revision_by_service() == {SERVICE: revision}
    fleet.store.faults = faulty_store.Faults(down=True)
    others = [fleet.start('2', 'a'), fleet.start('3', 'b')]
    fleet.clock.advance(10.0)
    for other in others:
        assert other.find(SERVICE).unwrap().revision == revision
        assert other.body(SERVICE) == one.body(SERVICE)
    fleet.store.faults = faulty_store.NO_FAULTS
    fleet.apply('v2', revision)
    assert one.poll_once()
    fleet.store.faults = faulty_store.Faults(down=True)
    fleet.clock.advance(5.0)
    for other in others:
        assert other.find(SERVICE).unwrap().revision > revision


def test_two_instances_of_a_zone_watch() -> None:
    fleet = Fleet()
    zones = 'aaaaabbbc'
    held = [
        fleet.start(f'{number + 1}', zone) for number, zone in enumerate(zones)
    ]

    def watchers() -> list[int]:
        return [n for n, one in enumerate(held) if one.is_watcher()]

    fleet.clock.advance(20.0)
    before = watchers()
    assert [zones[n] for n in before] == ['a', 'a', 'b', 'b', 'c']
    fleet.network.split([str(before[0] + 1)])
    fleet.clock.advance(60.0)
    after = watchers()
    # The isolated instance keeps watching, and another one replaces it.
    assert set(before) < set(after)
    assert [zones[n] for n in after] == ['a', 'a', 'a', 'b', 'b', 'c']


def test_body_missing_at_a_peer_is_unavailable() -> None:
    fleet = Fleet()
    fleet.start('1', 'a')
    two = fleet.start('2', 'a')
    two.record_peer_revisions('1', {SERVICE: 9})
    two.record_peer_revisions('nowhere', {SERVICE: 9})
    two.pull_once()
    assert two.revision_by_service() == {}
