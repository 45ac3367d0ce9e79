"""Mirrors of a store that was restored from an earlier copy."""

import random
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from cactusmux_relay import copy_packing
from cactusmux_relay import deltas
from cactusmux_relay import relay_settings
from cactusmux_relay import soft_exchange
from cactusmux_relay import store_mirror
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

PREFIX = 'p/'
# A read and the watch after it, and the watch that finds the new era.
CALLS_AFTER_RESTORE = 3


class _Instance:
    """A mirror with its own access to the store and its own eras."""

    def __init__(self, timer, memory, watches=True):
        self.eras = store_eras.StoreEras(timer)
        self.store = faulty_store.FaultyStore(
            memory, timer, random.Random(1), self.eras
        )
        self.sent = []
        self.watches = watches
        self.mirror = store_mirror.StoreMirror(
            self.store,
            self.store,
            PREFIX,
            timer,
            lambda: None,
            should_watch=lambda: self.watches,
            on_delta=self.sent.append,
            eras=self.eras,
        )

    @property
    def calls(self):
        return sum(self.store.calls_by_kind.values())

    def keys(self):
        return set(self.mirror.entry_by_key)


class _World:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.saved = self.memory.save()

    def instance(self, watches=True):
        return _Instance(self.timer, self.memory, watches)

    def write(self, key, value=b'1'):
        found = self.memory.get(PREFIX + key).unwrap()
        revision = found.revision if found else 0
        self.memory.compare_and_swap(PREFIX + key, value, revision).unwrap()

    def remove(self, key):
        found = self.memory.get(PREFIX + key).unwrap()
        if found is not None:
            self.memory.delete(PREFIX + key, found.revision)

    def save(self):
        self.saved = self.memory.save()

    def restore(self):
        self.memory.restore(self.saved)


@pytest.fixture(name='world')
def _world():
    world = _World()
    world.write('kept')
    world.save()
    for number in range(5):
        world.write(f'lost{number}')
    return world


def _step(instance, count=4):
    for _ in range(count):
        instance.mirror.step()


def test_mirror_drops_what_a_restored_store_has_lost(world):
    """It kept the lost entries and lacked what was written since."""
    instance = world.instance()
    _step(instance)
    world.restore()
    world.write('new')
    _step(instance)
    assert instance.keys() == {'p/kept', 'p/new'}


def test_mirror_notices_a_restored_store_that_has_passed_its_revision(world):
    """It missed for good what had been written before that revision."""
    instance = world.instance()
    _step(instance)
    world.restore()
    for number in range(8):
        world.write(f'new{number}')
    _step(instance)
    expected = {'p/kept', *(f'p/new{number}' for number in range(8))}
    assert instance.keys() == expected


def test_restored_store_is_called_a_bounded_number_of_times(world):
    """Reads and watches followed each other without a pause."""
    instance = world.instance()
    _step(instance)
    before = instance.calls
    world.restore()
    _step(instance, 3)
    assert instance.keys() == {'p/kept'}
    assert instance.calls - before <= CALLS_AFTER_RESTORE


def test_store_that_went_back_without_an_era_is_not_called_in_a_loop(world):
    """A store that doesn't tell its eras may still lose writes."""
    instance = world.instance()
    _step(instance)
    world.restore()
    world.memory.era = 0
    begun = world.timer.now()
    before = instance.calls
    _step(instance, 200)
    passed_s = world.timer.now() - begun
    calls = instance.calls - before
    assert calls <= 4 + 2 * passed_s / store_mirror.BACKOFF_S


def test_entries_that_a_restored_store_lacks_are_not_settled(world):
    instance = world.instance()
    _step(instance)
    world.restore()
    _step(instance)
    assert not instance.mirror.is_settled
    world.timer.advance(relay_settings.RESTORED_SETTLE_S + 0.1)
    assert instance.mirror.is_settled


def test_copy_of_an_earlier_era_is_not_applied(world):
    late = world.instance()
    _step(late)
    old = late.mirror.copy()
    instance = world.instance()
    _step(instance)
    world.restore()
    _step(instance)
    assert old.position.revision > instance.mirror.position.revision
    assert not instance.mirror.apply_copy(old)
    assert instance.keys() == {'p/kept'}


def test_copy_of_a_new_era_replaces_entries_at_a_higher_revision(world):
    cut_off = world.instance()
    _step(cut_off)
    instance = world.instance()
    world.restore()
    _step(instance)
    assert cut_off.mirror.apply_copy(instance.mirror.copy())
    assert cut_off.keys() == {'p/kept'}
    assert cut_off.eras.current == 1


def test_delta_of_another_era_is_not_merged(world):
    follower = world.instance(watches=False)
    _step(follower)
    watcher = world.instance()
    world.restore()
    _step(watcher)
    world.write('new')
    _step(watcher)
    (delta,) = watcher.sent
    assert delta.position.revision <= follower.mirror.position.revision
    assert not follower.mirror.apply_delta(delta)
    assert follower.eras.current == 1
    follower.mirror.apply_copy(watcher.mirror.copy())
    assert follower.keys() == {'p/kept', 'p/new'}


def test_read_that_began_in_an_earlier_era_is_repeated(world):
    """Its answer may arrive when another call has told of the new era."""
    instance = world.instance()
    read = instance.store.read_prefix

    def read_late(prefix):
        snapshot = read(prefix)
        instance.store.read_prefix = read
        world.restore()
        instance.store.get('any')
        return snapshot

    instance.store.read_prefix = read_late
    _step(instance)
    assert instance.keys() == {'p/kept'}


class _DeltaOfOldBuild(
    msgspec.Struct, array_like=True, frozen=True, tag='delta'
):
    prefix: str
    after: int
    revision: int
    changes: tuple[stores.Change, ...]
    settles_in_s: float = 0.0


class _NewsOfOldBuild(
    msgspec.Struct, array_like=True, frozen=True, tag='news'
):
    name: str
    is_stopping: bool
    changed_by_prefix: dict[str, int]
    tokens_by_target: dict[str, int]
    requests_by_target: dict[str, int]
    pipe_tokens: dict[str, int]
    down: list[str]
    pace_by_target: dict[str, float]


class _CopyOfOldBuild(NamedTuple):
    entries: tuple[stores.Entry, ...]
    revision: int
    last_change_revision: int
    settles_in_s: float = 0.0


def _convert(message, type_):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=type_)


def test_messages_are_read_by_builds_without_eras():
    delta = deltas.Delta('p/', 3, 4, (), 0.0, 2)
    assert _convert(delta, _DeltaOfOldBuild).revision == 4
    news = soft_exchange.GossipMessage(
        'i', False, {'p/': 4}, {}, {}, {}, [], {}, era_by_prefix={'p/': 2}
    )
    assert _convert(news, _NewsOfOldBuild).changed_by_prefix == {'p/': 4}
    position = stores.Position(2, 4)
    copy = store_mirror.Copy((), position, position)
    packed = copy_packing.pack(copy)
    read = msgspec.msgpack.decode(
        copy_packing.zlib.decompress(packed), type=_CopyOfOldBuild
    )
    assert read == _CopyOfOldBuild((), 4, 4)


def test_messages_of_builds_without_eras_count_as_era_0():
    delta = _convert(_DeltaOfOldBuild('p/', 3, 4, ()), deltas.Delta)
    assert delta.position == stores.Position(0, 4)
    news = _convert(
        _NewsOfOldBuild('i', False, {'p/': 4}, {}, {}, {}, [], {}),
        soft_exchange.GossipMessage,
    )
    assert news.last_change_by_prefix == {'p/': stores.Position(0, 4)}


class RestoredStore(stateful.RuleBasedStateMachine):
    """Two watchers and a follower of a store that is restored at times.

    Messages are lost, late and out of order; one instance or another is cut
    off from the store while it is restored, also twice in a row.
    """

    def __init__(self):
        super().__init__()
        self.world = _World()
        self.instances = [
            self.world.instance(),
            self.world.instance(),
            self.world.instance(watches=False),
        ]
        self.newest = [stores.NOWHERE] * len(self.instances)
        self.history_by_era = {}
        self.deltas = []
        self.copies = []

    def _collect(self):
        for instance in self.instances:
            self.deltas.extend(instance.sent)
            instance.sent.clear()

    def _changes(self, era):
        if era == self.world.memory.era:
            return self.world.memory.watch('', 0, 0.0).unwrap().changes
        return self.history_by_era[era]

    @stateful.rule(key=strategies.sampled_from('abc'))
    def write(self, key):
        self.world.write(key)

    @stateful.rule(key=strategies.sampled_from('abc'))
    def remove(self, key):
        self.world.remove(key)

    @stateful.rule()
    def save(self):
        self.world.save()

    @stateful.rule()
    def restore(self):
        era = self.world.memory.era
        self.history_by_era[era] = self._changes(era)
        self.world.restore()

    @stateful.rule(index=strategies.integers(0, 2))
    def step(self, index):
        self.instances[index].mirror.step()
        self._collect()

    @stateful.rule(index=strategies.integers(0, 2))
    def call(self, index):
        """Another call of the instance, such as a renewal."""
        self.instances[index].store.get('any')

    @stateful.rule(index=strategies.integers(0, 1))
    def check(self, index):
        self.instances[index].mirror.reconcile()

    @stateful.rule(index=strategies.integers(0, 1), cut=strategies.booleans())
    def cut_off(self, index, cut):
        self.instances[index].store.faults = faulty_store.Faults(down=cut)

    @stateful.rule(
        index=strategies.integers(0, 2), which=strategies.integers(0, 9)
    )
    def deliver_delta(self, index, which):
        if self.deltas:
            delta = self.deltas[which % len(self.deltas)]
            self.instances[index].mirror.apply_delta(delta)

    @stateful.rule(index=strategies.integers(0, 2))
    def begin_copy(self, index):
        self.copies.append(self.instances[index].mirror.copy())

    @stateful.rule(
        index=strategies.integers(0, 2), which=strategies.integers(0, 9)
    )
    def deliver_copy(self, index, which):
        if self.copies:
            copy = self.copies[which % len(self.copies)]
            self.instances[index].mirror.apply_copy(copy)

    @stateful.rule(to=strategies.integers(0, 2), of=strategies.integers(0, 2))
    def tell_era(self, to, of):
        self.instances[to].eras.record(
            self.instances[of].mirror.last_change.era, store_eras.Source.PEER
        )

    @stateful.invariant()
    def positions_never_go_back(self):
        for index, instance in enumerate(self.instances):
            assert instance.mirror.position >= self.newest[index]
            self.newest[index] = instance.mirror.position

    @stateful.invariant()
    def announced_change_is_not_ahead_of_the_copy(self):
        for instance in self.instances:
            assert instance.mirror.last_change <= instance.mirror.position

    @stateful.invariant()
    def entries_match_the_store_at_their_position(self):
        for instance in self.instances:
            mirror = instance.mirror
            entry_by_key = {}
            for change in self._changes(mirror.position.era):
                if change.revision > mirror.position.revision:
                    break
                if change.entry is None:
                    entry_by_key.pop(change.key, None)
                else:
                    entry_by_key[change.key] = change.entry
            assert mirror.entry_by_key == entry_by_key

    def teardown(self):
        """When all is quiet, all instances agree with the store."""
        watchers, follower = self.instances[:2], self.instances[2]
        for instance in watchers:
            instance.store.faults = faulty_store.NO_FAULTS
            before = instance.calls
            _step(instance, 6)
            assert instance.calls - before <= 6
        announced = watchers[0].mirror.last_change
        if announced > follower.mirror.position:
            follower.mirror.apply_copy(watchers[0].mirror.copy())
        found = self.world.memory.get_prefix(PREFIX).unwrap()
        expected = {each.key: each for each in found}
        for instance in self.instances:
            assert instance.mirror.entry_by_key == expected


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(
    max_examples=200, deadline=None, derandomize=True
)
