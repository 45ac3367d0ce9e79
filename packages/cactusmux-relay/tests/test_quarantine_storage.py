"""Quarantined parts outlast an end of all instances."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from cactusmux_relay import part_evidence
from cactusmux_relay import prompt_parts
from cactusmux_relay import quarantine
from cactusmux_relay import quarantine_storage
from cactusmux_relay import targets
import pytest

REQUESTER = prompt_parts.Requester(
    'almaty', (prompt_parts.PartKey('drafts', 'fatal'),)
)


class _Instance:
    def __init__(self, timer, memory, is_holder):
        self.eras = store_eras.StoreEras(timer)
        self.store = faulty_store.FaultyStore(
            memory, timer, random.Random(1), self.eras
        )
        self.quarantine = quarantine.Quarantine(timer, metrics.MemoryMetrics())
        self.storage = quarantine_storage.QuarantineStorage(
            self.store,
            self.quarantine,
            lambda _for_s: 'authority' if is_holder else None,
            timer,
            self.eras,
        )

    def learn(self):
        for number in range(part_evidence.MIN_CRASHES):
            start = targets.Start(f't{number}', 1)
            self.quarantine.record_crash(REQUESTER, f'r{number}', start)

    @property
    def refuses(self):
        return self.quarantine.find(REQUESTER) is not None


class _World:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.timer)

    def start(self, is_holder=True):
        instance = _Instance(self.timer, self.memory, is_holder)
        instance.storage.step()
        return instance

    @property
    def revision(self):
        found = self.memory.get(quarantine_storage.KEY).unwrap()
        return found.revision if found else stores.ABSENT


@pytest.fixture(name='world')
def _world():
    return _World()


def test_instance_that_starts_after_the_end_of_all_refuses_the_part(world):
    first = world.start()
    first.learn()
    first.storage.step()
    world.timer.advance(5.0)
    assert world.start(is_holder=False).refuses


def test_instance_that_starts_after_the_end_of_all_refuses_the_request(world):
    key = prompt_parts.PartKey('portal', 'request-5c1e07a2')
    fatal = prompt_parts.Requester('almaty', (), key)
    first = world.start()
    for number in range(part_evidence.MIN_CRASHES):
        world.timer.advance(1.0)
        start = targets.Start(f't{number}', 1)
        sent_at = world.timer.now() - 0.1
        first.quarantine.record_crash(fatal, f'r{number}', start, sent_at)
    first.storage.step()
    world.timer.advance(5.0)
    restarted = world.start(is_holder=False)
    assert restarted.quarantine.find(fatal) == key
    other = fatal._replace(organisation='astana')
    assert restarted.quarantine.find(other) is None


def test_only_the_holder_writes(world):
    first = world.start(is_holder=False)
    first.learn()
    first.storage.step()
    assert world.revision == stores.ABSENT


def test_nothing_is_written_without_a_change(world):
    first = world.start()
    first.storage.step()
    assert world.revision == stores.ABSENT
    first.learn()
    first.storage.step()
    revision = world.revision
    for _ in range(10):
        world.timer.advance(1.0)
        key = first.quarantine.find(REQUESTER)
        first.quarantine.record_refusal('r', key)
        first.storage.step()
    assert world.revision == revision
    world.timer.advance(quarantine_storage.RENEWAL_S)
    first.quarantine.record_refusal('r', key)
    first.storage.step()
    assert world.revision > revision


def test_part_that_was_cleared_is_removed(world):
    first = world.start()
    first.learn()
    first.storage.step()
    world.timer.advance(1.0)
    first.quarantine.record_served(REQUESTER)
    first.storage.step()
    assert not world.start().refuses


def test_holder_adds_what_an_earlier_one_has_stored(world):
    first = world.start()
    first.learn()
    first.storage.step()
    second = world.start()
    other = prompt_parts.Requester(
        'astana', (prompt_parts.PartKey('drafts', 'second'),)
    )
    for number in range(part_evidence.MIN_CRASHES):
        start = targets.Start(f'u{number}', 1)
        second.quarantine.record_crash(other, f's{number}', start)
    second.storage.step()
    third = world.start(is_holder=False)
    assert third.refuses
    assert third.quarantine.find(other) is not None


def test_lost_write_is_repeated_after_a_restore(world):
    first = world.start()
    saved = world.memory.save()
    first.learn()
    first.storage.step()
    world.memory.restore(saved)
    first.store.get('any')
    first.storage.step()
    first.storage.step()
    assert world.start(is_holder=False).refuses


def test_unreadable_value_is_replaced(world):
    world.memory.compare_and_swap(quarantine_storage.KEY, b'?', stores.ABSENT)
    first = world.start()
    first.learn()
    first.storage.step()
    assert world.start(is_holder=False).refuses
