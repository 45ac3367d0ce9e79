"""Tests of documents in force: how they change, and never revert."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import document_store
from cactusmux_control import document_watch
from cactusmux_control import documents
from cactusmux_control import envelopes
from cactusmux_control import in_force
from cactusmux_fakes import faulty_store
from cactusmux_fakes import linked_documents
from cactusmux_fakes import memory_store
from cactusmux_fakes import sample_documents
from cactusmux_platform import stores
import pytest

SERVICE = sample_documents.SERVICE
KEY = documents.document_key(SERVICE)


class Fleet:
    """Instances with a shared clock and a shared store that can fail."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.clock)
        self.store = faulty_store.FaultyStore(
            self.memory, self.clock, random.Random(1)
        )
        self.links = linked_documents.DocumentLinks()
        self.metric = metrics.MemoryMetrics()

    def start(
        self, address: str, zone: str = 'a', settle: bool = True
    ) -> in_force.DocumentsInForce:
        peers = linked_documents.LinkedPeers(self.links, address, zone)
        started = in_force.DocumentsInForce(
            self.store,
            peers,
            peers,
            self.clock,
            self.metric,
            random.Random(2),
        )
        self.links.documents_by_address[address] = started
        started.start_timers()
        if settle:
            self.clock.advance(in_force.START_GRACE_S)
        return started

    def fail(self, **faults: object) -> None:
        self.store.faults = faulty_store.Faults(**faults)

    def apply(self, version: str, epoch: int | None = None) -> int:
        """Writes a new version and returns its revision in force."""
        text = sample_documents.document_text(version)
        return self.put_text(text, epoch)

    def put_text(self, text: bytes, epoch: int | None = None) -> int:
        """Writes a text that may be invalid, bypassing validation."""
        found = self.memory.get(KEY).unwrap()
        envelope = envelopes.build_successor(found, 'w', epoch, text).unwrap()
        revision = self.put_value(envelopes.encode(envelope))
        return envelopes.revision_in_force(envelope, revision)

    def put_value(self, value: bytes) -> int:
        found = self.memory.get(KEY).unwrap()
        expected = found.revision if found else stores.ABSENT
        written = self.memory.compare_and_swap(KEY, value, expected)
        return written.unwrap().revision

    def count(self, name: str) -> int:
        return self.metric.counter_by_name[f'documents.{name}']


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def _version(one: in_force.DocumentsInForce) -> str:
    document = one.find(SERVICE).unwrap().document
    return document.model_by_name['drafter'].version


def _revision(one: in_force.DocumentsInForce) -> int:
    return one.revision_by_service().get(SERVICE, 0)


def test_watch_puts_an_edit_in_force(fleet: Fleet) -> None:
    one = fleet.start('1')
    revision = fleet.apply('v1')
    assert one.watch_once()
    assert _version(one) == 'v1'
    fleet.apply('v2')
    assert one.watch_once()
    assert _version(one) == 'v2'
    assert list(one.all_in_force()) == [SERVICE]
    assert one.all_in_force()[SERVICE].revision == revision + 1


def test_stale_reads_are_ignored_and_counted(fleet: Fleet) -> None:
    one = fleet.start('1')
    for number in range(20):
        fleet.apply(f'v{number}')
    one.poll_once()
    fleet.fail(stale_reads=1.0)
    for _ in range(20):
        assert one.poll_once()
        assert _version(one) == 'v19'
    assert fleet.count('ignored.older_from_store') > 0


def test_late_watch_is_ignored_after_a_newer_poll(fleet: Fleet) -> None:
    one = fleet.start('1')
    one.watch_once()
    fleet.apply('v1')
    fleet.apply('v2')
    one.poll_once()
    fleet.fail(watch_hides=1)
    assert one.watch_once()
    assert _version(one) == 'v2'
    assert fleet.count('ignored.older_from_store') == 1


def test_poll_finds_a_change_that_the_watch_missed(fleet: Fleet) -> None:
    one = fleet.start('1')
    one.watch_once()
    fleet.apply('v1')
    fleet.fail(watch_skips=1.0)
    one.watch_once()
    fleet.fail()
    one.watch_once()
    assert _revision(one) == 0
    fleet.clock.advance(1.5 * in_force.POLL_PERIOD_S)
    assert _version(one) == 'v1'


def test_watcher_polls_for_changes_that_its_watch_missed(fleet: Fleet) -> None:
    one = fleet.start('1')
    one.stop()
    one.watch_once()
    fleet.apply('v1')
    fleet.fail(watch_skips=1.0)
    polls = fleet.count('polls')
    for _ in range(10):
        one.watch_once()
    assert fleet.count('polls') == polls
    fleet.clock.advance(document_watch.SAFETY_POLL_PERIOD_S)
    one.watch_once()
    assert _version(one) == 'v1'


def test_watch_resumes_after_an_outage_without_missing_changes(
    fleet: Fleet,
) -> None:
    one = fleet.start('1')
    one.watch_once()
    fleet.fail(down=True)
    fleet.apply('v1')
    assert not one.watch_once()
    assert not one.poll_once()
    fleet.fail()
    assert one.watch_once()
    assert _version(one) == 'v1'


def test_watch_resumes_after_compaction_without_missing_changes(
    fleet: Fleet,
) -> None:
    one = fleet.start('1')
    one.watch_once()
    fleet.apply('v1')
    fleet.memory.compare_and_swap('other', b'', stores.ABSENT)
    fleet.fail(watch_compacted=True)
    assert one.watch_once()
    assert _version(one) == 'v1'
    # The watch resumes from the newest revision, though no document has it.
    assert one.watch_once()
    fleet.fail()
    fleet.apply('v2')
    assert one.watch_once()
    assert _version(one) == 'v2'


def test_restarted_instance_waits_for_its_peers(fleet: Fleet) -> None:
    fleet.apply('v1')
    one = fleet.start('1')
    fleet.apply('v2')
    one.poll_once()
    fleet.fail(reads_hide=1)
    two = fleet.start('2', settle=False)
    two.poll_once()
    assert _revision(two) == _revision(one) - 1
    assert two.in_force(SERVICE) is None
    assert two.find(SERVICE).failure() == in_force.NoDocument(SERVICE, False)
    fleet.links.send_revisions('1', '2')
    two.pull_once()
    assert _version(two) == 'v2'
    assert two.state_by_service()[SERVICE].source == 'peer'
    # The store still does not return that revision.
    assert two.poll_once()
    assert _version(two) == 'v2'


def test_instance_started_in_an_outage_fetches_from_peers(
    fleet: Fleet,
) -> None:
    fleet.apply('v1')
    fleet.start('1')
    fleet.fail(down=True)
    two = fleet.start('2')
    assert two.find(SERVICE).failure() == in_force.NoDocument(SERVICE, False)
    fleet.links.send_revisions('1', '2')
    fleet.clock.advance(0.2)
    assert _version(two) == 'v1'


def test_fleet_started_in_an_outage_has_no_documents_until_it_ends(
    fleet: Fleet,
) -> None:
    fleet.apply('v1')
    fleet.fail(down=True)
    all_started = [fleet.start(address) for address in '123']
    # Enough failures that 2 to their number overflows a float.
    for _ in range(120):
        fleet.links.send_all_revisions()
        fleet.clock.advance(100.0)
    for one in all_started:
        failure = one.find(SERVICE).failure()
        assert failure == in_force.NoDocument(SERVICE, False)
    fleet.fail()
    fleet.clock.advance(15.0)
    for one in all_started:
        assert _version(one) == 'v1'


def test_absent_document_differs_from_one_not_yet_received(
    fleet: Fleet,
) -> None:
    one = fleet.start('1')
    assert one.find(SERVICE).failure() == in_force.NoDocument(SERVICE, True)


@pytest.mark.parametrize(
    ('text', 'why'),
    [
        (b'{}', '$.pool: required key is missing'),
        (
            sample_documents.document_text('v9', 'consigna-arte'),
            "document of 'steppe-thread' names 'consigna-arte'",
        ),
    ],
)
def test_invalid_document_leaves_the_last_valid_one(
    fleet: Fleet, text: bytes, why: str
) -> None:
    one = fleet.start('1')
    two = fleet.start('2')
    valid = fleet.apply('v1')
    refused = fleet.put_text(text)
    one.poll_once()
    state = one.state_by_service()[SERVICE]
    assert state.refused_revision == refused
    assert why in state.refused_because
    fleet.links.send_revisions('1', '2')
    two.pull_once()
    # The store has only the newest edit, so no valid one is available yet.
    assert _revision(one) == _revision(two) == 0
    fleet.apply('v2')
    one.poll_once()
    fleet.put_text(text)
    one.poll_once()
    one.poll_once()
    assert _revision(one) == refused + 1 > valid
    assert _version(one) == 'v2'
    assert one.state_by_service()[SERVICE].refused_revision == refused + 2
    fleet.apply('v3')
    one.poll_once()
    assert _version(one) == 'v3'
    assert one.state_by_service()[SERVICE].refused_because == ''


def test_restarted_instance_gets_the_last_valid_one_from_a_peer(
    fleet: Fleet,
) -> None:
    fleet.start('1')
    fleet.apply('v1')
    fleet.links.documents_by_address['1'].poll_once()
    fleet.put_text(b'{}')
    two = fleet.start('2')
    assert two.in_force(SERVICE) is None
    fleet.links.send_revisions('1', '2')
    two.pull_once()
    assert _version(two) == 'v1'


def test_value_that_is_not_a_document_leaves_the_last_valid_one(
    fleet: Fleet,
) -> None:
    one = fleet.start('1')
    fleet.put_value(b'old rubbish')
    fleet.apply('v1')
    one.poll_once()
    revision = fleet.put_value(b'rubbish')
    one.poll_once()
    assert _version(one) == 'v1'
    assert one.state_by_service()[SERVICE].refused_revision == revision
    fleet.apply('v2')
    one.poll_once()
    fleet.fail(stale_reads=1.0)
    for _ in range(20):
        one.poll_once()
    assert _version(one) == 'v2'
    assert one.state_by_service()[SERVICE].refused_revision == 0


def test_deleted_key_leaves_the_document_in_force(fleet: Fleet) -> None:
    one = fleet.start('1')
    revision = fleet.apply('v1')
    one.watch_once()
    one.watch_once()
    fleet.memory.delete(KEY, revision)
    one.watch_once()
    one.poll_once()
    assert _version(one) == 'v1'
    assert fleet.count('key_deleted') == 1
    assert one.state_by_service()[SERVICE].store_revision == 0
    fleet.apply('v2')
    one.watch_once()
    assert _version(one) == 'v2'


def test_peer_with_an_older_copy_is_ignored(fleet: Fleet) -> None:
    one = fleet.start('1')
    two = fleet.start('2')
    fleet.apply('v1')
    one.poll_once()
    fleet.apply('v2')
    two.poll_once()
    fleet.links.send_revisions('1', '2')
    two.pull_once()
    assert fleet.count('pulls') == 0
    # A peer that announces a revision it lacks does no harm either.
    two.record_peer_revisions('1', {SERVICE: 99})
    two.pull_once()
    assert _version(two) == 'v2'
    assert fleet.count('ignored.older_from_peer') == 1
    assert fleet.count('pulls') == 1


def test_body_is_fetched_from_any_peer_that_has_it(fleet: Fleet) -> None:
    peers = [fleet.start(address) for address in '1234']
    fleet.apply('v1')
    for one in peers[:3]:
        one.poll_once()
    for address in '123':
        fleet.links.send_revisions(address, '4')
    fleet.links.cut = {'1', '2'}
    peers[3].pull_once()
    assert _version(peers[3]) == 'v1'


def test_store_decides_between_two_bodies_of_one_revision(
    fleet: Fleet,
) -> None:
    fleet.apply('v1')
    one = fleet.start('1')
    other = Fleet()
    other.apply('w1')
    two = other.start('2')
    fleet.links.documents_by_address['2'] = two
    fleet.links.zone_by_address['2'] = 'a'
    three = fleet.start('3', settle=False)
    fleet.links.send_revisions('2', '3')
    three.pull_once()
    fleet.clock.advance(30.0)
    assert _version(three) == _version(one) == 'v1'
    assert fleet.count('mismatch') == 1


def test_restored_store_reverts_nothing_until_the_epoch_is_raised(
    fleet: Fleet,
) -> None:
    one = fleet.start('1')
    for number in range(5):
        fleet.apply(f'v{number}')
    one.watch_once()
    one.watch_once()
    fleet.memory = memory_store.MemoryStore(fleet.clock)
    fleet.store.restore(fleet.memory)
    restored = fleet.apply('v1')
    one.watch_once()
    one.poll_once()
    assert _version(one) == 'v4'
    assert fleet.count('store_went_back') == 1
    assert one.state_by_service()[SERVICE].store_revision == restored
    edited = document_store.apply_document(
        fleet.store,
        fleet.clock,
        sample_documents.document_text('v5'),
        restored,
        epoch=1,
    ).unwrap()
    one.watch_once()
    assert _version(one) == 'v5'
    assert _revision(one) == edited.revision_in_force > 5


def test_poll_rate_of_a_zone_is_independent_of_its_size(fleet: Fleet) -> None:
    for size in (4, 16):
        while len(fleet.links.documents_by_address) < size:
            fleet.start(f'1:{len(fleet.links.documents_by_address)}')
        before = fleet.count('polls')
        for _ in range(600):
            fleet.links.send_all_revisions()
            fleet.clock.advance(1.0)
        polled = fleet.count('polls') - before
        assert 0.8 < polled / (600 / in_force.POLL_PERIOD_S) < 1.2


def test_instances_poll_individually_when_peers_are_silent(
    fleet: Fleet,
) -> None:
    for number in range(16):
        fleet.start(f'1:{number}')
    fleet.links.send_all_revisions()
    fleet.clock.advance(in_force.PEER_SILENCE_S)
    for one in fleet.links.documents_by_address.values():
        one.poll_once()
    before = fleet.count('polls')
    fleet.clock.advance(300.0)
    assert fleet.count('polls') - before > 16 * 20


def test_subscriber_is_called_once_and_cannot_block_others(
    fleet: Fleet,
) -> None:
    one = fleet.start('1', settle=False)
    calls: list[tuple[str, int]] = []

    def fail(service: str, now_in_force: documents.InForce) -> None:
        raise RuntimeError(service)

    one.subscribe(fail)
    one.subscribe(lambda service, now: calls.append((service, now.revision)))
    first = fleet.apply('v1')
    one.poll_once()
    assert calls == []
    fleet.clock.advance(in_force.START_GRACE_S)
    one.poll_once()
    second = fleet.apply('v2')
    one.poll_once()
    assert calls == [(SERVICE, first), (SERVICE, second)]
    assert fleet.count('subscriber_failed') == 2
    one.subscribe(lambda service, now: calls.append((service, -now.revision)))
    assert calls[2:] == [(SERVICE, -second)]


def test_failed_watch_is_retried_with_a_delay(fleet: Fleet) -> None:
    one = fleet.start('1')
    fleet.fail(down=True)
    slept: list[float] = []

    def sleep(seconds: float) -> None:
        slept.append(seconds)
        # Enough failures that 2 to their number overflows a float.
        if len(slept) == 2000:
            raise StopIteration

    fleet.clock.sleep = sleep
    with pytest.raises(StopIteration):
        one._watch.run()
    assert min(slept) >= document_watch.FIRST_RETRY_S / 2
    assert max(slept) <= document_watch.MAX_RETRY_S
