import random

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_relay import instance_rank
from cactusmux_relay import mirror_checks
from cactusmux_relay import store_mirror
from cactusmux_relay import watch_pace
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


def test_copy_is_kept_while_the_store_is_away(world):
    world.write('a', b'1')
    world.mirror.step()
    world.store.faults = faulty_store.Faults(down=True)
    world.mirror.step()
    world.mirror.step()
    assert world.values() == {'p/a': b'1'}
    assert not world.mirror.is_connected
    assert not world.mirror.is_settled


def test_missing_entries_count_only_some_time_after_an_outage(world):
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


def test_compacted_watch_leads_to_reading_anew(world):
    world.mirror.step()
    world.write('a', b'1')
    world.store.faults = faulty_store.Faults(watch_compacted=True)
    world.mirror.step()
    world.mirror.step()
    assert world.values() == {'p/a': b'1'}


def test_newer_copy_of_another_instance_is_taken_an_older_one_is_not(world):
    other = world.new_mirror()
    world.write('a', b'old')
    world.mirror.step()
    old = world.mirror.copy()
    world.write('a', b'new')
    other.step()
    assert world.mirror.take(other.copy())
    assert world.values() == {'p/a': b'new'}
    assert not world.mirror.take(old)
    assert world.values() == {'p/a': b'new'}


def test_watch_answer_from_before_a_taken_copy_is_ignored(world):
    world.mirror.step()
    world.write('a', b'1')
    late = world.memory.watch(PREFIX, 0, 0.0).unwrap()
    world.write('a', b'2')
    other = world.new_mirror()
    other.step()
    world.mirror.take(other.copy())
    world.mirror._apply(late)
    assert world.values() == {'p/a': b'2'}


def test_check_finds_what_a_deaf_watch_has_missed(world):
    """A watch during a compaction hears nothing and doesn't fail."""
    sample = world.new_mirror('s/')
    sample.step()
    world.mirror.step()
    world.store.faults = faulty_store.Faults(watch_skips=1.0)
    world.write('a', b'1')
    world.mirror.step()
    assert world.values() == {}
    world.mirror.revision = 0
    checks = mirror_checks.MirrorChecks(
        [sample, world.mirror],
        lambda: instance_rank.InstanceRank(0, 1),
        world.timer,
        random.Random(1),
    )
    checks.check()
    assert world.values() == {'p/a': b'1'}


def test_check_of_what_is_known_reads_only_the_sample(world):
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
    """The store's counter rises by changes of other prefixes too."""
    other = world.new_mirror()
    world.write('a', b'1')
    world.mirror.step()
    other.step()
    before = world.changes
    world.write('x', b'1', 'q/')
    other.check()
    assert not world.mirror.take(other.copy())
    assert world.changes == before
    assert world.mirror.revision == other.revision


def test_check_that_finds_nothing_is_no_news(world):
    world.write('a', b'1')
    world.mirror.step()
    before = world.mirror.changed
    world.write('x', b'1', 'q/')
    world.mirror.check()
    assert world.mirror.revision > before
    assert world.mirror.changed == before


def test_reading_the_same_again_is_no_change(world):
    world.write('a', b'1')
    world.mirror.step()
    before = world.changes
    world.store.faults = faulty_store.Faults(watch_compacted=True)
    world.write('x', b'1', 'q/')
    world.mirror.step()
    world.mirror.step()
    assert world.changes == before


def test_deaf_watch_does_not_make_a_copy_newer(world):
    other = world.new_mirror()
    world.mirror.step()
    other.step()
    world.write('a', b'1')
    other.step()
    world.store.faults = faulty_store.Faults(watch_skips=1.0)
    world.mirror.step()
    assert other.changed > world.mirror.revision
    assert world.mirror.take(other.copy())
    assert world.values() == {'p/a': b'1'}


def test_change_missed_before_a_known_one_is_told(world):
    """Others may know the later change and lack the earlier one too."""
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
    other.check()
    assert other.changed > world.mirror.revision
    assert world.mirror.take(other.copy())
    assert world.values() == {'p/a': b'1', 'p/b': b'2'}


def test_change_from_the_store_is_told_from_a_copied_one(world):
    other = world.new_mirror()
    world.mirror.step()
    other.step()
    world.write('a', b'1')
    other.step()
    world.mirror.take(other.copy())
    assert world.mirror.is_copied
    assert not other.is_copied
    world.write('b', b'1')
    world.mirror.check()
    assert not world.mirror.is_copied


def test_deletion_found_by_reading_anew_is_told(world):
    other = world.new_mirror()
    world.write('a', b'1')
    entry = world.write('b', b'1')
    world.mirror.step()
    other.step()
    world.memory.delete('p/b', entry.revision)
    world.store.faults = faulty_store.Faults(watch_compacted=True)
    other.step()
    other.step()
    assert other.changed > world.mirror.revision
    assert world.mirror.take(other.copy())
    assert world.values() == {'p/a': b'1'}


def _answered_watches(world, instances):
    """How many watches bring the changes of some seconds."""
    mirror = store_mirror.StoreMirror(
        world.store,
        world.store,
        PREFIX,
        world.timer,
        world.note,
        lambda: watch_pace.batch_s(instances),
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


def test_changes_of_a_large_fleet_come_together(world):
    """Each change of a target cost a call of each of 58 instances."""
    small = _answered_watches(world, 8)
    assert _answered_watches(world, 58) <= small / 2


def test_check_waits_for_a_watch_that_is_not_asked_yet(world):
    """What comes with the next watch was taken for a missed change."""
    sample = world.new_mirror('s/')
    sample.step()
    world.mirror.step()
    world.write('a', b'1')
    world.mirror._asks_at = world.timer.now() + watch_pace.LONGEST_S
    world.timer.after(watch_pace.LONGEST_S, world.mirror.step)
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


def test_store_that_refuses_is_asked_once_a_second(world):
    """Four mirrors of each instance asked four times a second."""
    calls = _play_outage(world, faulty_store.Faults(down=True), 10.0)
    assert calls <= 13


def test_store_that_returns_is_read_within_a_second(world):
    _play_outage(world, faulty_store.Faults(down=True), 10.0)
    began_at = world.timer.now()
    world.mirror.step()
    assert world.timer.now() - began_at <= 1.0
    world.store.faults = faulty_store.NO_FAULTS
    world.write('a', b'1')
    world.mirror.step()
    assert world.values() == {'p/a': b'1'}


def test_store_that_does_not_answer_is_read_soon_after_its_return(world):
    faults = faulty_store.Faults(down=True, slow_s=1.2)
    _play_outage(world, faults, 10.0)
    began_at = world.timer.now()
    world.mirror.step()
    assert world.timer.now() - began_at <= 1.2 + store_mirror.BACKOFF_S + 0.01


class Mirrors(stateful.RuleBasedStateMachine):
    """Two mirrors of a store that fails; none ever goes back."""

    def __init__(self):
        super().__init__()
        self.world = _World()
        self.mirrors = [self.world.mirror, self.world.new_mirror()]
        self.newest = [0, 0]

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
            assert mirror.revision >= self.newest[index]
            self.newest[index] = mirror.revision

    @stateful.invariant()
    def what_is_told_can_be_taken(self):
        for mirror in self.mirrors:
            assert mirror.last_change_revision <= mirror.revision

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
