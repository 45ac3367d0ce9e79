"""Targets whose entries a restored store shows in an earlier form."""

import random

from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_platform import stores
from cactusmux_relay import down_targets
from cactusmux_relay import request_handling
from cactusmux_relay import restored_entries
from cactusmux_relay import target_registry
from cactusmux_relay import target_roster
from cactusmux_relay import targets
import pytest

SERVICE = sample_engine.SERVICE
TARGET = sample_engine.target('x')
LEAVING = TARGET._replace(is_leaving=True)


class _Mirror:
    def __init__(self):
        self.entry_by_key = {}
        self.is_settled = True
        self.position = stores.Position(1, 10)


class _Pool:
    """A roster that reads targets from the entries of a store."""

    def __init__(self):
        self.timer = timers.ManualTimers()
        self.registry = target_registry.TargetRegistry()
        in_force = request_handling.ConfigurationInForce()
        in_force.replace(relay_rig.make_desired_state())
        self.roster = target_roster.TargetRoster(
            self.registry,
            down_targets.DownTargets(self.timer, random.Random(1)),
            in_force,
            self.timer,
            lambda entry: self.target_by_value[entry.value],
        )
        self.target_by_value = {}
        self.mirror = _Mirror()
        self.roster.read_from(self.mirror)

    def show(self, *rows):
        """Shows entries of targets, each with its revision."""
        entries = {}
        for target, revision in rows:
            value = repr(target).encode()
            self.target_by_value[value] = target
            entry = stores.Entry(target.id, value, revision)
            entries[target.id] = entry
        self.mirror.entry_by_key = entries
        self.roster.update()

    def restore(self, *rows):
        """Shows the entries of an earlier copy in a new era."""
        era = self.mirror.position.era + 1
        self.mirror.position = stores.Position(era, 1)
        self.mirror.is_settled = False
        self.show(*rows)

    def settle(self):
        self.mirror.is_settled = True
        self.timer.advance(target_roster.REVIEW_PERIOD_S + 0.1)

    @property
    def ready_ids(self):
        return [each.id for each in self.registry.ready(SERVICE)]


@pytest.fixture(name='pool')
def _pool():
    return _Pool()


def test_leaving_target_gets_no_work_by_its_earlier_entry(pool):
    pool.show((LEAVING, 9))
    pool.restore((TARGET, 3))
    assert pool.ready_ids == []
    pool.settle()
    assert pool.ready_ids == []


def test_target_that_restarted_after_a_restore_gets_work(pool):
    pool.show((LEAVING, 9))
    pool.restore((TARGET, 3))
    pool.show((TARGET._replace(born_ms=TARGET.born_ms + 1), 4))
    assert pool.ready_ids == ['x']


def test_target_that_is_gone_gets_no_work_by_its_earlier_entry(pool):
    pool.show((TARGET, 9))
    pool.show()
    assert pool.ready_ids == []
    pool.restore((TARGET, 3))
    assert pool.ready_ids == []
    pool.settle()
    assert pool.ready_ids == []


def test_target_that_writes_its_entry_again_gets_work(pool):
    """Its entry had expired while the target was sound."""
    pool.show((TARGET, 9))
    pool.show()
    pool.restore((TARGET, 3))
    pool.show((TARGET, 4))
    assert pool.ready_ids == ['x']


def test_target_that_a_restored_store_lacks_is_kept_until_it_settles(pool):
    pool.show((TARGET, 9))
    pool.restore()
    assert pool.ready_ids == ['x']
    pool.settle()
    assert pool.ready_ids == []


def test_other_targets_are_used_by_their_earlier_entries(pool):
    other = sample_engine.target('y')
    pool.show((TARGET, 8), (other, 9))
    pool.restore((TARGET, 3), (other, 4))
    assert sorted(pool.ready_ids) == ['x', 'y']


def test_target_keeps_its_layers_until_it_writes_its_entry_again(pool):
    """Streams were cut, as the earlier entry showed no layers."""
    holding = TARGET._replace(layers=targets.LayerRange(0, 40))
    pool.show((holding, 9))
    pool.restore((TARGET, 3))
    assert pool.registry.ready(SERVICE) == [holding]
    other = TARGET._replace(layers=targets.LayerRange(0, 20))
    pool.show((other, 4))
    assert pool.registry.ready(SERVICE) == [other]


def test_earlier_entry_that_is_not_written_again_counts_once_settled(pool):
    holding = TARGET._replace(layers=targets.LayerRange(0, 40))
    pool.show((holding, 9))
    pool.restore((TARGET, 3))
    pool.settle()
    assert pool.registry.ready(SERVICE) == [TARGET]


def test_target_that_leaves_in_a_new_era_gets_no_work_at_once(pool):
    pool.show((TARGET, 9))
    pool.restore((LEAVING, 4))
    assert pool.ready_ids == []


def test_gone_targets_that_are_remembered_are_bounded():
    restored = restored_entries.RestoredEntries()
    keys = [f'k{number}' for number in range(restored_entries.MAX_GONE + 1)]
    restored.record_gone(keys)
    found_by_key = {
        each: restored_entries.DecodedEntry(
            stores.Entry(each, b'', 1), sample_engine.target(each)
        )
        for each in keys
    }
    restored.compare({}, found_by_key)
    assert restored.resolve('k0', found_by_key['k0']) is not None
    assert restored.resolve('k1', found_by_key['k1']) is None
