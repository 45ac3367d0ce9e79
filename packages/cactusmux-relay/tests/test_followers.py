"""Mirrors that follow a peer's watch, and watches that hang."""

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
    """A store whose watches hang while ``hangs`` is set."""

    def __init__(self, memory, timer):
        super().__init__(memory, timer, random.Random(1))
        self.hangs = False
        self.watched_after = []

    def watch(self, prefix, after_revision, wait_s):
        self.watched_after.append(after_revision)
        if self.hangs:
            event.Event().wait(WAIT_S)
            return result.Failure(stores.StoreUnavailable('watch'))
        return super().watch(prefix, after_revision, wait_s)


class _World:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.store = _HangingStore(self.memory, self.timer)
        self.availability = store_availability.StoreAvailability(self.timer)
        self.sent = []
        self.watcher = self.new_mirror(True, self.sent.append)
        self.follower = self.new_mirror(False)

    def new_mirror(self, should_watch, on_delta=deltas.ignore):
        return store_mirror.StoreMirror(
            self.store,
            self.store,
            PREFIX,
            self.timer,
            lambda: None,
            should_watch=lambda: should_watch,
            on_delta=on_delta,
            availability=self.availability,
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
        """Starts a watch that hangs; returns the waiting greenlet."""
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


def test_watch_that_hangs_since_an_unanswered_call_is_ended(world):
    """Watches that hung for 21 s let requests reach leaving targets."""
    task = world.hang()
    world.availability.record_unanswered()
    world.availability.record_answered()
    with gevent.Timeout(WAIT_S / 2):
        task.join()
    world.store.hangs = False
    world.write('a')
    world.watcher.step()
    assert set(world.watcher.entry_by_key) == {'p/a'}


def test_watch_begun_after_the_last_unanswered_call_continues(world):
    world.availability.record_unanswered()
    world.timer.advance(0.1)
    task = world.hang()
    world.availability.record_answered()
    gevent.sleep(0.01)
    assert not task.ready()
    task.kill()


def test_watch_that_missed_a_change_is_ended(world):
    other = world.new_mirror(True)
    task = world.hang()
    world.write('a')
    other.step()
    world.watcher.apply_copy(other.copy())
    world.availability.record_answered()
    with gevent.Timeout(WAIT_S / 2):
        task.join()


def test_ended_watch_is_resumed_from_its_revision(world):
    world.write('a')
    world.watcher.step()
    reads = world.store.calls_by_kind['get_prefix']
    task = world.hang()
    world.availability.record_unanswered()
    world.availability.record_answered()
    task.join()
    world.store.hangs = False
    world.watcher.step()
    assert world.store.watched_after[-1] == world.watcher.position.revision
    assert world.store.calls_by_kind['get_prefix'] == reads


def test_missing_entries_after_a_hung_watch_are_not_settled(world):
    task = world.hang()
    world.availability.record_unanswered()
    assert world.watcher.is_settled
    world.availability.record_answered()
    task.join()
    assert not world.watcher.is_settled
    world.timer.advance(store_mirror.SETTLE_S + 0.1)
    assert world.watcher.is_settled


@pytest.mark.parametrize('loses_history', [False, True])
def test_check_after_an_outage_does_not_settle_expired_entries(
    world, loses_history
):
    """Leases expire in an outage, and a check may be first to see that."""
    world.write('a')
    world.watcher.step()
    world.availability.record_unanswered()
    world.remove('a')
    if loses_history:
        world.store.faults = faulty_store.Faults(watch_compacted=True)
        world.watcher.step()
        world.watcher.step()
    else:
        world.watcher.reconcile()
        world.follower.reconcile()
        assert not world.follower.is_settled
    assert world.watcher.entry_by_key == {}
    assert not world.watcher.is_settled
    world.timer.advance(store_mirror.SETTLE_S + 0.1)
    assert world.watcher.is_settled


def test_long_gap_between_answers_counts_as_an_outage(world):
    """After a pause of the process, leases have expired as in an outage."""
    world.availability.record_answered()
    world.timer.advance(1.2)
    world.availability.record_answered()
    assert world.watcher.is_settled
    task = world.hang()
    world.timer.advance(store_availability.MAX_ANSWER_GAP_S + 0.1)
    world.availability.record_answered()
    assert not world.watcher.is_settled
    with gevent.Timeout(WAIT_S / 2):
        task.join()


def test_follower_applies_deltas_of_the_watcher(world):
    world.write('a')
    world.write('b')
    world.remove('a')
    world.watcher.step()
    assert world.follower.apply_delta(world.sent[0])
    assert world.follower.entry_by_key == world.watcher.entry_by_key
    assert world.follower.last_change == world.watcher.last_change


def test_follower_makes_no_calls_to_the_store(world):
    before = dict(world.store.calls_by_kind)
    for number in range(5):
        world.write(f'k{number}')
        world.follower.step()
    assert world.store.calls_by_kind == before


def test_delta_after_a_lost_one_is_not_applied(world):
    world.write('a')
    world.watcher.step()
    world.write('b')
    world.watcher.step()
    assert not world.follower.apply_delta(world.sent[1])
    assert world.follower.entry_by_key == {}
    assert world.watcher.last_change > world.follower.position
    world.follower.apply_copy(world.watcher.copy())
    assert world.follower.entry_by_key == world.watcher.entry_by_key


def test_delta_sent_by_two_watchers_is_applied_once(world):
    world.write('a')
    world.watcher.step()
    delta = world.sent[0]
    assert world.follower.apply_delta(delta)
    world.write('a', b'2')
    world.watcher.step()
    world.follower.apply_delta(world.sent[1])
    assert world.follower.apply_delta(delta)
    assert world.follower.entry_by_key['p/a'].value == b'2'


def test_copy_of_an_unsettled_watcher_leaves_the_follower_unsettled(world):
    """Copies that lack expired entries must not remove healthy targets."""
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
    world.follower.apply_copy(world.watcher.copy())
    assert not world.follower.is_settled
    world.timer.advance(store_mirror.SETTLE_S + 0.1)
    assert world.follower.is_settled


def test_new_watcher_makes_followers_fetch_its_copy(world):
    """Guards against followers keeping keys removed while none watched."""
    world.write('a')
    world.follower.reconcile()
    world.remove('a')
    watcher = world.new_mirror(True)
    watcher.step()
    assert watcher.last_change <= world.follower.position
    watcher.announce_all()
    assert watcher.last_change > world.follower.position


class Followers(stateful.RuleBasedStateMachine):
    """One watcher and two followers, with lost deltas and store failures."""

    def __init__(self):
        super().__init__()
        self.world = _World()
        self.followers = [self.world.follower, self.world.new_mirror(False)]
        self.pending = [[], []]
        self.world.sent = []
        self.world.watcher = self.world.new_mirror(True, self._send)
        self.newest = [stores.NOWHERE, stores.NOWHERE]

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
        is_first = self.world.watcher.position == stores.NOWHERE
        self.world.watcher.step()
        if is_first:
            self.world.watcher.announce_all()

    @stateful.rule(index=strategies.integers(0, 1), last=strategies.booleans())
    def deliver(self, index, last):
        """Delivers the oldest or newest delta, as they may be reordered."""
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
            assert mirror.position >= self.newest[index]
            self.newest[index] = mirror.position

    @stateful.invariant()
    def entries_match_the_store_at_their_revision(self):
        """Each mirror must equal the store's state at its revision."""
        history = self.world.memory.watch(PREFIX, 0, 0.0).unwrap()
        for mirror in (*self.followers, self.world.watcher):
            entry_by_key = {}
            for change in history.changes:
                if change.revision > mirror.position.revision:
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
            if self.world.watcher.last_change > mirror.position:
                mirror.apply_copy(self.world.watcher.copy())
            entries = self.world.memory.get_prefix(PREFIX).unwrap()
            assert mirror.entry_by_key == {each.key: each for each in entries}


TestFollowers = Followers.TestCase
TestFollowers.settings = settings(
    max_examples=80, deadline=None, derandomize=True
)
