"""Conditional writes to a store that is restored meanwhile."""

import random

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import era_guarded_store
from cactusmux_platform import store_eras
from cactusmux_platform import stores
import pytest
from returns import result

KEY = 'cactusmux/placement/s'
TTL_S = 4.0


class _Instance:
    def __init__(self, timer, memory):
        self.eras = store_eras.StoreEras(timer)
        self.calls = faulty_store.FaultyStore(
            memory, timer, random.Random(1), self.eras
        )
        self.store = era_guarded_store.EraGuardedStore(self.calls, self.eras)

    def write(self, value, expected, lease_id=0):
        return self.store.compare_and_swap(KEY, value, expected, lease_id)


class _World:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.first = _Instance(self.timer, self.memory)
        self.second = _Instance(self.timer, self.memory)


@pytest.fixture(name='world')
def _world():
    return _World()


def _values(memory):
    return memory.get(KEY).unwrap().value


def test_write_is_done_in_a_quiet_era(world):
    entry = world.first.write(b'1', 0).unwrap()
    assert entry == world.memory.get(KEY).unwrap()
    assert world.first.store.delete(KEY, entry.revision) == result.Success(
        entry.revision + 1
    )


@pytest.mark.parametrize('restores', [1, 2, era_guarded_store.MARKED_ERAS])
def test_condition_that_holds_by_chance_overwrites_nothing(world, restores):
    """Another instance has written the same revision in the new era."""
    saved = world.memory.save()
    old = world.first.write(b'old', 0).unwrap()
    for _ in range(restores):
        world.memory.restore(saved)
    world.second.store.get(KEY)
    new = world.second.write(b'new', 0).unwrap()
    assert new.revision == old.revision
    failure = world.first.write(b'older', old.revision).failure()
    assert isinstance(failure, stores.EraEnded)
    assert _values(world.memory) == b'new'


def test_late_write_of_an_earlier_era_overwrites_nothing(world):
    """A call may be executed seconds after it was given up."""
    saved = world.memory.save()
    old = world.first.write(b'old', 0).unwrap()
    late = stores.Transaction(
        (stores.Condition(KEY, old.revision),), (stores.Write(KEY, b'late'),)
    )
    guarded = world.first.store._guarded(world.first.eras.current, late)
    world.memory.restore(saved)
    world.second.store.get(KEY)
    world.second.write(b'new', 0).unwrap()
    assert isinstance(world.memory.transact(guarded), result.Failure)
    assert _values(world.memory) == b'new'


def test_write_that_the_restored_store_has_lost_does_not_count(world):
    saved = world.memory.save()
    transact = world.calls = world.first.calls.transact

    def lose(transaction):
        transact(transaction)
        world.memory.restore(saved)
        world.first.calls.get('any')
        return result.Success(1)

    world.first.calls.transact = lose
    failure = world.first.write(b'1', 0).failure()
    assert isinstance(failure, stores.EraEnded)


def test_write_that_the_restored_store_has_counts(world):
    transact = world.first.calls.transact

    def restore(transaction):
        transact(transaction)
        world.memory.restore(world.memory.save())
        world.first.calls.get('any')
        return result.Failure(stores.OutcomeUnknown(KEY))

    world.first.calls.transact = restore
    assert world.first.write(b'1', 0).unwrap().value == b'1'


def test_lease_granted_in_another_era_is_not_used(world):
    saved = world.memory.save()
    grant = world.first.calls.grant_lease

    def restore(ttl_s):
        found = grant(ttl_s)
        world.memory.restore(saved)
        world.first.calls.get('any')
        return found

    world.first.calls.grant_lease = restore
    failure = world.first.store.grant_lease(TTL_S).failure()
    assert isinstance(failure, stores.EraEnded)


def test_renewal_of_a_lease_that_is_another_instances_now_fails(world):
    """Ids of leases are given out again."""
    saved = world.memory.save()
    world.first.store.get('any')
    lease = world.first.store.grant_lease(TTL_S).unwrap()
    world.memory.restore(saved)
    assert world.second.store.grant_lease(TTL_S).unwrap() == lease
    failure = world.first.store.renew_lease(lease).failure()
    assert isinstance(failure, stores.LeaseLost)


def test_marker_is_written_once_in_an_era(world):
    world.memory.restore(world.memory.save())
    world.first.store.get('any')
    entry = world.first.write(b'1', 0).unwrap()
    marker = world.memory.get(era_guarded_store.marker_key(1)).unwrap()
    world.first.write(b'2', entry.revision).unwrap()
    assert world.memory.get(marker.key).unwrap() == marker


def test_new_era_is_told_once_and_an_older_one_is_ignored(world):
    eras = world.first.eras
    told = []
    eras.subscribe(lambda: told.append(eras.current))
    eras.record(3, store_eras.Source.STORE)
    assert (eras.current, eras.change_count, told) == (3, 0, [])
    eras.record(4, store_eras.Source.PEER)
    eras.record(4, store_eras.Source.STORE)
    eras.record(2, store_eras.Source.STORE)
    assert (eras.current, eras.change_count, told) == (4, 1, [4])


def test_first_restore_of_a_store_is_told(world):
    eras = world.first.eras
    eras.record(0, store_eras.Source.STORE)
    eras.record(1, store_eras.Source.STORE)
    assert eras.change_count == 1
