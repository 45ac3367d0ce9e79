"""Instances that don't watch, and watches that hang."""

import random

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import stores
from cactusmux_relay import deltas
from cactusmux_relay import store_availability
from cactusmux_relay import store_mirror
import gevent
from gevent import event
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

PREFIX = 'p/'
WAIT_S = 10.0


class _HangingStore(faulty_store.FaultyStore):
    """Its watches hang while they are told to."""

    def __init__(self, memory, timer):
        super().__init__(memory, timer, random.Random(1))
        self.hangs = False
        self.asked_after = []

    def watch(self, prefix, after_revision, wait_s):
        self.asked_after.append(after_revision)
        if self.hangs:
            event.Event().wait(WAIT_S)
            return result.Failure(stores.StoreUnavailable('watch'))
        return super().watch(prefix, after_revision, wait_s)


class _World:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.store = _HangingStore(self.memory, self.timer)
        self.contact = store_availability.StoreAvailability(self.timer)
        self.sent = []
        self.watcher = self.new_mirror(True, self.sent.append)
        self.follower = self.new_mirror(False)

    def new_mirror(self, watches, on_brought=deltas.ignore):
        return store_mirror.StoreMirror(
            self.store,
            self.store,
            PREFIX,
            self.timer,
            lambda: None,
            watches=lambda: watches,
            on_brought=on_brought,
            contact=self.contact,
        )

    def write(self, key, value=b'1'):
        found = self.memory.get(PREFIX + key).unwrap()
        revision = found.revision if found else 0
        self.memory.compare_and_swap(PREFIX + key, value, revision).unwrap()

    def remove(self, key):
        found = self.memory.get(PREFIX + key).unwrap()
        if found is not None:
            self.memory.delete(PREFIX + key, found.revision)

    def hang(self):
        """Begins a watch that hangs; returns the task that waits for it."""
        self.store.hangs = True
        task = gevent.spawn(self.watcher.step)
        gevent.sleep(0)
        gevent.sleep(0)
        self.timer.advance(0.1)
        return task


@pytest.fixture(name='world')
def _world():
    world = _World()
    world.watcher.step()
    world.follower.step()
    return world


def test_watch_that_hangs_since_a_lost_call_is_ended(world):
    """Requests reached leaving targets while all watches hung for 21 s."""
    task = world.hang()
    world.contact.note_unanswered()
    world.contact.note_answered()
    with gevent.Timeout(WAIT_S / 2):
        task.join()
    world.store.hangs = False
    world.write('a')
    world.watcher.step()
    assert set(world.watcher.entry_by_key) == {'p/a'}


def test_watch_begun_after_the_last_lost_call_goes_on(world):
    world.contact.note_unanswered()
    world.timer.advance(0.1)
    task = world.hang()
    world.contact.note_answered()
    gevent.sleep(0.01)
    assert not task.ready()
    task.kill()


def test_watch_that_a_change_has_come_past_is_ended(world):
    other = world.new_mirror(True)
    task = world.hang()
    world.write('a')
    other.step()
    world.watcher.take(other.copy())
    world.contact.note_answered()
    with gevent.Timeout(WAIT_S / 2):
        task.join()


def test_ended_watch_goes_on_from_where_it_was(world):
    world.write('a')
    world.watcher.step()
    reads = world.store.calls_by_kind['get_prefix']
    task = world.hang()
    world.contact.note_unanswered()
    world.contact.note_answered()
    task.join()
    world.store.hangs = False
    world.watcher.step()
    assert world.store.asked_after[-1] == world.watcher.revision
    assert world.store.calls_by_kind['get_prefix'] == reads


def test_entries_missing_after_a_hung_watch_may_come_back(world):
    task = world.hang()
    world.contact.note_unanswered()
    assert world.watcher.is_settled
    world.contact.note_answered()
    task.join()
    assert not world.watcher.is_settled
    world.timer.advance(store_mirror.SETTLE_S + 0.1)
    assert world.watcher.is_settled


@pytest.mark.parametrize('loses_history', [False, True])
def test_check_after_an_outage_does_not_take_lapsed_entries_for_gone(
    world, loses_history
):
    """Entries lapse in an outage, and a check was the first to see that."""
    world.write('a')
    world.watcher.step()
    world.contact.note_unanswered()
    world.remove('a')
    if loses_history:
        world.store.faults = faulty_store.Faults(watch_compacted=True)
        world.watcher.step()
        world.watcher.step()
    else:
        world.watcher.check()
        world.follower.check()
        assert not world.follower.is_settled
    assert world.watcher.entry_by_key == {}
    assert not world.watcher.is_settled
    world.timer.advance(store_mirror.SETTLE_S + 0.1)
    assert world.watcher.is_settled


def test_long_gap_between_answers_counts_as_an_outage(world):
    """A process that was paused finds entries lapsed as after an outage."""
    world.contact.note_answered()
    world.timer.advance(1.2)
    world.contact.note_answered()
    assert world.watcher.is_settled
    task = world.hang()
    world.timer.advance(store_availability.GAP_S + 0.1)
    world.contact.note_answered()
    assert not world.watcher.is_settled
    with gevent.Timeout(WAIT_S / 2):
        task.join()


def test_follower_knows_what_the_watch_of_another_brought(world):
    world.write('a')
    world.write('b')
    world.remove('a')
    world.watcher.step()
    assert world.follower.apply_delta(world.sent[0])
    assert world.follower.entry_by_key == world.watcher.entry_by_key
    assert world.follower.changed == world.watcher.changed


def test_follower_makes_no_calls_to_the_store(world):
    before = dict(world.store.calls_by_kind)
    for number in range(5):
        world.write(f'k{number}')
        world.follower.step()
    assert world.store.calls_by_kind == before


def test_delta_after_one_that_was_lost_is_not_taken(world):
    world.write('a')
    world.watcher.step()
    world.write('b')
    world.watcher.step()
    assert not world.follower.apply_delta(world.sent[1])
    assert world.follower.entry_by_key == {}
    assert world.watcher.changed > world.follower.revision
    world.follower.take(world.watcher.copy())
    assert world.follower.entry_by_key == world.watcher.entry_by_key


def test_delta_that_two_watchers_sent_counts_once(world):
    world.write('a')
    world.watcher.step()
    delta = world.sent[0]
    assert world.follower.apply_delta(delta)
    world.write('a', b'2')
    world.watcher.step()
    world.follower.apply_delta(world.sent[1])
    assert world.follower.apply_delta(delta)
    assert world.follower.entry_by_key['p/a'].value == b'2'


def test_follower_keeps_what_the_watcher_keeps_after_an_outage(world):
    """Copies without entries that had lapsed took sound targets away."""
    world.write('a')
    world.watcher.step()
    world.follower.apply_delta(world.sent[0])
    world.store.faults = faulty_store.Faults(down=True)
    world.watcher.step()
    world.watcher.step()
    world.remove('a')
    world.store.faults = faulty_store.NO_FAULTS
    world.watcher.step()
    assert not world.watcher.is_settled
    world.follower.take(world.watcher.copy())
    assert not world.follower.is_settled
    world.timer.advance(store_mirror.SETTLE_S + 0.1)
    assert world.follower.is_settled


def test_new_watcher_has_the_others_take_its_copy(world):
    """What was removed while nobody watched stayed known to followers."""
    world.write('a')
    world.follower.check()
    world.remove('a')
    watcher = world.new_mirror(True)
    watcher.step()
    assert watcher.changed <= world.follower.revision
    watcher.tell_all()
    assert watcher.changed > world.follower.revision


class Followers(stateful.RuleBasedStateMachine):
    """One watcher, two followers; deltas get lost, the store fails."""

    def __init__(self):
        super().__init__()
        self.world = _World()
        self.followers = [self.world.follower, self.world.new_mirror(False)]
        self.pending = [[], []]
        self.world.sent = []
        self.world.watcher = self.world.new_mirror(True, self._send)
        self.newest = [0, 0]

    def _send(self, delta):
        for queue in self.pending:
            queue.append(delta)

    @stateful.rule(key=strategies.sampled_from('abc'))
    def write(self, key):
        self.world.write(key)

    @stateful.rule(key=strategies.sampled_from('abc'))
    def remove(self, key):
        self.world.remove(key)

    @stateful.rule()
    def watch(self):
        is_first = self.world.watcher.revision == 0
        self.world.watcher.step()
        if is_first:
            self.world.watcher.announce_all()

    @stateful.rule(index=strategies.integers(0, 1), last=strategies.booleans())
    def deliver(self, index, last):
        """Deltas may also arrive in another order."""
        if self.pending[index]:
            delta = self.pending[index].pop(-1 if last else 0)
            self.followers[index].apply_delta(delta)

    @stateful.rule(index=strategies.integers(0, 1))
    def lose(self, index):
        self.pending[index].clear()

    @stateful.rule(index=strategies.integers(0, 1))
    def begin(self, index):
        self.followers[index].step()

    @stateful.rule(index=strategies.integers(0, 1))
    def pull(self, index):
        self.followers[index].apply_copy(self.world.watcher.copy())

    @stateful.rule(index=strategies.integers(0, 1))
    def pull_from_each_other(self, index):
        self.followers[index].apply_copy(self.followers[1 - index].copy())

    @stateful.rule(down=strategies.booleans(), compacted=strategies.booleans())
    def break_store(self, down, compacted):
        self.world.store.faults = faulty_store.Faults(
            down=down, watch_compacted=compacted
        )

    @stateful.invariant()
    def revisions_never_fall(self):
        for index, mirror in enumerate(self.followers):
            assert mirror.revision >= self.newest[index]
            self.newest[index] = mirror.revision

    @stateful.invariant()
    def entries_are_those_of_the_revision(self):
        """What a follower believes was once the state of the store."""
        history = self.world.memory.watch(PREFIX, 0, 0.0).unwrap()
        for mirror in (*self.followers, self.world.watcher):
            entry_by_key = {}
            for change in history.changes:
                if change.revision > mirror.revision:
                    break
                if change.entry is None:
                    entry_by_key.pop(change.key, None)
                else:
                    entry_by_key[change.key] = change.entry
            assert mirror.entry_by_key == entry_by_key

    def teardown(self):
        self.world.store.faults = faulty_store.NO_FAULTS
        for _ in range(3):
            self.watch()
        for mirror in self.followers:
            if self.world.watcher.last_change_revision > mirror.revision:
                mirror.apply_copy(self.world.watcher.copy())
            entries = self.world.memory.get_prefix(PREFIX).unwrap()
            assert mirror.entry_by_key == {each.key: each for each in entries}


TestFollowers = Followers.TestCase
TestFollowers.settings = settings(
    max_examples=80, deadline=None, derandomize=True
)
