import random

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import stores
from cactusmux_relay import instance_rank
from cactusmux_relay import mirror_checks
from cactusmux_relay import store_mirror
from cactusmux_relay import watch_batching
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

PREFIX = 'p/'


class _World:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.store = faulty_store.FaultyStore(
            self.memory, self.timer, random.Random(1)
        )
        self.changes = 0
        self.mirror = self.new_mirror()

    def new_mirror(self, prefix=PREFIX):
        return store_mirror.StoreMirror(
            self.store, self.store, prefix, self.timer, self.note
        )

    def note(self):
        self.changes += 1

    def write(self, key, value, prefix=PREFIX):
        found = self.memory.get(prefix + key).unwrap()
        revision = found.revision if found else 0
        return self.memory.compare_and_swap(
            prefix + key, value, revision
        ).unwrap()

    def values(self, mirror=None):
        entries = (mirror or self.mirror).entry_by_key
        return {key: entry.value for key, entry in entries.items()}


@pytest.fixture(name='world')
def _world():
    return _World()


def test_reads_then_watches(world):
    world.write('a', b'1')
    world.mirror.step()
    assert world.values() == {'p/a': b'1'}
    world.write('a', b'2')
    world.write('b', b'3')
    world.mirror.step()
    assert world.values() == {'p/a': b'2', 'p/b': b'3'}


def test_removed_key_goes(world):
    entry = world.write('a', b'1')
    world.mirror.step()
    world.memory.delete('p/a', entry.revision)
    world.mirror.step()
    assert world.values() == {}


def test_entries_are_kept_while_the_store_is_unavailable(world):
    world.write('a', b'1')
    world.mirror.step()
    world.store.faults = faulty_store.Faults(down=True)
    world.mirror.step()
    world.mirror.step()
    assert world.values() == {'p/a': b'1'}
    assert not world.mirror.is_connected
    assert not world.mirror.is_settled


def test_missing_entries_count_as_removed_only_some_time_after_outage(world):
    world.mirror.step()
    assert world.mirror.is_settled
    world.store.faults = faulty_store.Faults(down=True)
    world.mirror.step()
    world.store.faults = faulty_store.NO_FAULTS
    world.mirror.step()
    assert world.mirror.is_connected
    assert not world.mirror.is_settled
    world.timer.advance(store_mirror.SETTLE_S + 0.1)
    assert world.mirror.is_settled


def test_compacted_watch_causes_a_full_read(world):
    world.mirror.step()
    world.write('a', b'1')
    world.store.faults = faulty_store.Faults(watch_compacted=True)
    world.mirror.step()
    world.mirror.step()
    assert world.values() == {'p/a': b'1'}


def test_newer_copy_of_a_peer_is_applied_an_older_one_is_not(world):
    other = world.new_mirror()
    world.write('a', b'old')
    world.mirror.step()
    old = world.mirror.copy()
    world.write('a', b'new')
    other.step()
    assert world.mirror.apply_copy(other.copy())
    assert world.values() == {'p/a': b'new'}
    assert not world.mirror.apply_copy(old)
    assert world.values() == {'p/a': b'new'}


def test_watch_answer_older_than_an_applied_copy_is_ignored(world):
    world.mirror.step()
    world.write('a', b'1')
    late = world.memory.watch(PREFIX, 0, 0.0).unwrap()
    world.write('a', b'2')
    other = world.new_mirror()
    other.step()
    world.mirror.apply_copy(other.copy())
    world.mirror._apply(late)
    assert world.values() == {'p/a': b'2'}


def test_check_finds_a_change_that_the_watch_missed(world):
    """A watch during a compaction returns no changes and no failure."""
    sample = world.new_mirror('s/')
    sample.step()
    world.mirror.step()
    world.store.faults = faulty_store.Faults(watch_skips=1.0)
    world.write('a', b'1')
    world.mirror.step()
    assert world.values() == {}
    world.mirror.position = stores.NOWHERE
    checks = mirror_checks.MirrorChecks(
        [sample, world.mirror],
        lambda: instance_rank.InstanceRank(0, 1),
        world.timer,
        random.Random(1),
    )
    checks.check()
    assert world.values() == {'p/a': b'1'}


def test_check_without_missed_changes_reads_only_the_first_prefix(world):
    sample = world.new_mirror('s/')
    sample.step()
    world.mirror.step()
    world.write('a', b'1')
    world.mirror.step()
    before = world.store.calls_by_kind['get_prefix']
    checks = mirror_checks.MirrorChecks(
        [sample, world.mirror],
        lambda: instance_rank.InstanceRank(0, 1),
        world.timer,
        random.Random(1),
    )
    checks.check()
    assert world.store.calls_by_kind['get_prefix'] == before + 1


def test_copy_of_known_entries_is_no_change(world):
    """The store's counter also rises with changes under other prefixes."""
    other = world.new_mirror()
    world.write('a', b'1')
    world.mirror.step()
    other.step()
    before = world.changes
    world.write('x', b'1', 'q/')
    other.reconcile()
    assert not world.mirror.apply_copy(other.copy())
    assert world.changes == before
    assert world.mirror.position == other.position


def test_check_without_findings_announces_no_change(world):
    world.write('a', b'1')
    world.mirror.step()
    before = world.mirror.last_change
    world.write('x', b'1', 'q/')
    world.mirror.reconcile()
    assert world.mirror.position > before
    assert world.mirror.last_change == before


def test_reading_the_same_again_is_no_change(world):
    world.write('a', b'1')
    world.mirror.step()
    before = world.changes
    world.store.faults = faulty_store.Faults(watch_compacted=True)
    world.write('x', b'1', 'q/')
    world.mirror.step()
    world.mirror.step()
    assert world.changes == before


def test_missed_change_does_not_raise_the_revision(world):
    other = world.new_mirror()
    world.mirror.step()
    other.step()
    world.write('a', b'1')
    other.step()
    world.store.faults = faulty_store.Faults(watch_skips=1.0)
    world.mirror.step()
    assert other.last_change > world.mirror.position
    assert world.mirror.apply_copy(other.copy())
    assert world.values() == {'p/a': b'1'}


def test_change_missed_before_a_known_one_is_announced(world):
    """Peers may know the later change but lack the earlier one as well."""
    other = world.new_mirror()
    world.mirror.step()
    other.step()
    world.write('a', b'1')
    world.store.faults = faulty_store.Faults(watch_skips=1.0)
    world.mirror.step()
    other.step()
    world.store.faults = faulty_store.NO_FAULTS
    world.write('b', b'2')
    world.mirror.step()
    other.step()
    assert world.values() == {'p/b': b'2'}
    world.write('x', b'1', 'q/')
    other.reconcile()
    assert other.last_change > world.mirror.position
    assert world.mirror.apply_copy(other.copy())
    assert world.values() == {'p/a': b'1', 'p/b': b'2'}


def test_change_from_the_store_is_distinguished_from_a_peers(world):
    other = world.new_mirror()
    world.mirror.step()
    other.step()
    world.write('a', b'1')
    other.step()
    world.mirror.apply_copy(other.copy())
    assert world.mirror.is_from_peer
    assert not other.is_from_peer
    world.write('b', b'1')
    world.mirror.reconcile()
    assert not world.mirror.is_from_peer


def test_deletion_found_by_a_full_read_is_announced(world):
    other = world.new_mirror()
    world.write('a', b'1')
    entry = world.write('b', b'1')
    world.mirror.step()
    other.step()
    world.memory.delete('p/b', entry.revision)
    world.store.faults = faulty_store.Faults(watch_compacted=True)
    other.step()
    other.step()
    assert other.last_change > world.mirror.position
    assert world.mirror.apply_copy(other.copy())
    assert world.values() == {'p/a': b'1'}


def _answered_watches(world, instances):
    """Returns how many watch answers deliver the changes of 10 s."""
    mirror = store_mirror.StoreMirror(
        world.store,
        world.store,
        PREFIX,
        world.timer,
        world.note,
        lambda: watch_batching.delay_s(instances),
    )
    mirror.step()
    before = world.changes
    changing = world.timer.every(0.2, lambda: world.write('a', b'x'))
    end = world.timer.now() + 10.0
    while world.timer.now() < end:
        mirror.step()
        world.timer.advance(0.01)
    changing.cancel()
    return world.changes - before


def test_changes_in_a_large_fleet_are_batched(world):
    """Otherwise each change of a target costs 58 instances a call each."""
    small = _answered_watches(world, 8)
    assert _answered_watches(world, 58) <= small / 2


def test_check_waits_for_a_watch_that_has_not_begun(world):
    """Changes due with the next watch must not count as missed."""
    sample = world.new_mirror('s/')
    sample.step()
    world.mirror.step()
    world.write('a', b'1')
    world.mirror._next_watch_at = (
        world.timer.now() + watch_batching.MAX_DELAY_S
    )
    world.timer.after(watch_batching.MAX_DELAY_S, world.mirror.step)
    before = world.store.calls_by_kind['get_prefix']
    checks = mirror_checks.MirrorChecks(
        [sample, world.mirror],
        lambda: instance_rank.InstanceRank(0, 58),
        world.timer,
        random.Random(1),
    )
    checks.check()
    assert world.values() == {'p/a': b'1'}
    assert world.store.calls_by_kind['get_prefix'] == before + 1


def _play_outage(world, faults, length_s):
    world.mirror.step()
    world.store.faults = faults
    before = sum(world.store.calls_by_kind.values())
    end = world.timer.now() + length_s
    while world.timer.now() < end:
        world.mirror.step()
    return sum(world.store.calls_by_kind.values()) - before


def test_store_that_refuses_calls_is_called_once_a_second(world):
    """Guards against 4 mirrors of each instance calling 4 times a second."""
    calls = _play_outage(world, faulty_store.Faults(down=True), 10.0)
    assert calls <= 13


def test_store_that_recovers_is_read_within_a_second(world):
    _play_outage(world, faulty_store.Faults(down=True), 10.0)
    began_at = world.timer.now()
    world.mirror.step()
    assert world.timer.now() - began_at <= 1.0
    world.store.faults = faulty_store.NO_FAULTS
    world.write('a', b'1')
    world.mirror.step()
    assert world.values() == {'p/a': b'1'}


def test_store_that_did_not_answer_is_read_soon_after_recovery(world):
    faults = faulty_store.Faults(down=True, slow_s=1.2)
    _play_outage(world, faults, 10.0)
    began_at = world.timer.now()
    world.mirror.step()
    assert world.timer.now() - began_at <= 1.2 + store_mirror.BACKOFF_S + 0.01


class Mirrors(stateful.RuleBasedStateMachine):
    """Two mirrors of a failing store; their revisions must never fall."""

    def __init__(self):
        super().__init__()
        self.world = _World()
        self.mirrors = [self.world.mirror, self.world.new_mirror()]
        self.newest = [stores.NOWHERE, stores.NOWHERE]

    @stateful.rule(key=strategies.sampled_from('ab'))
    def write(self, key):
        self.world.write(key, b'x')

    @stateful.rule(key=strategies.sampled_from('ab'))
    def remove(self, key):
        found = self.world.memory.get(PREFIX + key).unwrap()
        if found is not None:
            self.world.memory.delete(PREFIX + key, found.revision)

    @stateful.rule(index=strategies.integers(0, 1))
    def step(self, index):
        self.mirrors[index].step()

    @stateful.rule(index=strategies.integers(0, 1))
    def take(self, index):
        self.mirrors[index].apply_copy(self.mirrors[1 - index].copy())

    @stateful.rule(index=strategies.integers(0, 1))
    def check(self, index):
        self.mirrors[index].reconcile()

    @stateful.rule(
        down=strategies.booleans(),
        broken=strategies.booleans(),
        compacted=strategies.booleans(),
    )
    def break_store(self, down, broken, compacted):
        self.world.store.faults = faulty_store.Faults(
            down=down, watch_broken=broken, watch_compacted=compacted
        )

    @stateful.invariant()
    def revisions_never_fall(self):
        for index, mirror in enumerate(self.mirrors):
            assert mirror.position >= self.newest[index]
            self.newest[index] = mirror.position

    @stateful.invariant()
    def announced_change_is_not_ahead_of_the_copy(self):
        for mirror in self.mirrors:
            assert mirror.last_change <= mirror.position

    def teardown(self):
        self.world.store.faults = faulty_store.NO_FAULTS
        for mirror in self.mirrors:
            for _ in range(4):
                mirror.step()
            entries = self.world.memory.get_prefix(PREFIX).unwrap()
            expected = {entry.key: entry for entry in entries}
            assert mirror.entry_by_key == expected


TestMirrors = Mirrors.TestCase
TestMirrors.settings = settings(
    max_examples=60, deadline=None, derandomize=True
)
