"""Placements in a store that is restored from an earlier copy."""

import random

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_fakes import sample_engine
from cactusmux_platform import store_eras
from cactusmux_relay import held_chains
from cactusmux_relay import placement_search
from cactusmux_relay import placement_storage
from cactusmux_relay import targets
import pytest

SERVICE = 's'


def _chain(*names, layers=80):
    size = layers // len(names)
    return tuple(
        placement_search.PlacedStage(
            name, targets.LayerRange(index * size, (index + 1) * size)
        )
        for index, name in enumerate(names)
    )


def _placement(*chains):
    return placement_search.Placement(chains, ())


FIRST = _placement(_chain('a', 'b'))
SECOND = _placement(_chain('a', 'c'))
THIRD = _placement(_chain('c', 'd'))


class _Holder:
    def __init__(self, timer, memory):
        self.eras = store_eras.StoreEras(timer)
        self.store = faulty_store.FaultyStore(
            memory, timer, random.Random(1), self.eras
        )
        self.storage = placement_storage.PlacementStorage(
            self.store, self.eras
        )

    def load(self, fencing):
        assert self.storage.load(fencing, [SERVICE])
        return self.storage.get(SERVICE)


class _World:
    def __init__(self):
        timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(timer)
        self.holder = _Holder(timer, self.memory)
        self.other = _Holder(timer, self.memory)
        assert self.holder.load(1) is None
        assert self.holder.storage.save(SERVICE, FIRST)
        self.saved = self.memory.save()

    def restore(self):
        self.memory.restore(self.saved)
        for each in (self.holder, self.other):
            each.store.get('any')


@pytest.fixture(name='world')
def _world():
    return _World()


def test_next_holder_reads_what_the_last_one_wrote(world):
    assert world.other.load(2) == FIRST
    assert not world.other.storage.is_outdated(SERVICE)


def test_holder_writes_its_later_placement_again(world):
    world.holder.storage.save(SERVICE, SECOND)
    world.restore()
    assert world.holder.load(3) == SECOND
    assert not world.holder.storage.is_outdated(SERVICE)
    assert world.other.load(4) == SECOND


def test_placement_of_the_new_era_is_not_replaced_by_an_earlier_one(world):
    world.holder.storage.save(SERVICE, SECOND)
    world.restore()
    world.other.load(3)
    world.other.storage.save(SERVICE, THIRD)
    world.other.storage.save(SERVICE, THIRD)
    assert world.holder.load(4) == THIRD


def test_placements_are_read_again_in_a_new_era_with_the_same_number(world):
    world.holder.storage.save(SERVICE, SECOND)
    world.restore()
    world.other.load(1)
    for _ in range(3):
        world.other.storage.save(SERVICE, THIRD)
    assert world.holder.load(1) == THIRD


def test_holder_without_the_lost_placement_looks_at_the_targets(world):
    world.other.load(2)
    world.holder.storage.save(SERVICE, SECOND)
    world.restore()
    assert world.other.load(3) == FIRST
    assert world.other.storage.is_outdated(SERVICE)
    world.other.storage.keep(SERVICE, SECOND)
    assert not world.other.storage.is_outdated(SERVICE)


def test_failed_write_has_the_placement_read_again(world):
    world.other.load(2)
    world.other.storage.save(SERVICE, SECOND)
    assert not world.holder.storage.save(SERVICE, THIRD)
    assert world.holder.load(1) == SECOND


def _held(*chains):
    engine = sample_engine.ENGINE
    members = [
        sample_engine.target(stage.target_id, 'a100', 'z', stage.layers)
        for chain in chains
        for stage in chain
    ]
    return engine, members


def test_chains_that_targets_hold_are_kept():
    engine, members = _held(_chain('a', 'c'), _chain('d', 'e'))
    found = held_chains.adopt_held(engine, members, FIRST)
    assert set(found.chains) == {_chain('a', 'c'), _chain('d', 'e')}


def test_held_placement_is_not_changed():
    engine, members = _held(_chain('a', 'b'), _chain('c', 'd'))
    placement = _placement(_chain('a', 'b'), _chain('c', 'd'))
    assert held_chains.adopt_held(engine, members, placement) == placement


def test_chain_that_nobody_holds_completely_stays_placed():
    engine, members = _held(_chain('a', 'b')[:1])
    assert held_chains.adopt_held(engine, members, FIRST) == FIRST
