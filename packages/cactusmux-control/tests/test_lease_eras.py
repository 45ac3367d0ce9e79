"""Leases of a store that was restored from an earlier copy."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import lease_types
from cactusmux_control import leases
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import era_guarded_store
from cactusmux_platform import store_eras
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

SETTINGS = lease_types.LeaseSettings(
    ttl_s=2.0, margin_s=0.4, period_s=0.5, delivery_s=0.8
)


class _Candidate:
    """A holder with its own access to the store and its own eras."""

    def __init__(self, number, timer, memory):
        self.eras = store_eras.StoreEras(timer)
        self.store = faulty_store.FaultyStore(
            memory, timer, random.Random(number), self.eras
        )
        self.holder = leases.LeaseHolder(
            era_guarded_store.EraGuardedStore(self.store, self.eras),
            timer,
            metrics.MemoryMetrics(),
            leases.ORDER_LEASE,
            f'10.0.0.{number}:80',
            SETTINGS,
            eras=self.eras,
        )

    def cut_off(self, is_cut=True):
        self.store.faults = faulty_store.Faults(down=is_cut)

    @property
    def has_authority(self):
        return self.holder.authority() is not None


class _Bed:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.saved = self.memory.save()
        self.candidates = [
            _Candidate(number, self.timer, self.memory) for number in range(3)
        ]
        self.first, self.second, _ = self.candidates

    def restore(self):
        self.memory.restore(self.saved)

    def step(self, *candidates):
        for each in candidates or self.candidates:
            each.holder.step()

    def play(self, seconds, *candidates):
        for _ in range(int(seconds / SETTINGS.period_s)):
            self.timer.advance(SETTINGS.period_s)
            self.step(*candidates)


def test_holder_stops_acting_as_soon_as_it_knows_of_a_new_era():
    bed = _Bed()
    bed.play(1.0, bed.first)
    assert bed.first.has_authority
    bed.restore()
    bed.first.store.get('any')
    assert not bed.first.has_authority


def test_holder_that_is_cut_off_learns_of_a_new_era_from_a_peer():
    bed = _Bed()
    bed.play(1.0, bed.first)
    bed.first.cut_off()
    bed.first.eras.record(1, store_eras.Source.PEER)
    assert not bed.first.has_authority


def test_lease_of_a_new_era_has_no_effect_while_an_older_one_is_believed_in():
    bed = _Bed()
    bed.play(1.0, bed.first)
    bed.first.cut_off()
    bed.restore()
    bed.step(bed.second)
    while bed.first.has_authority:
        bed.timer.advance(0.1)
        bed.step(bed.second)
        assert not bed.second.has_authority
    bed.play(SETTINGS.ttl_s, bed.second)
    assert bed.second.has_authority


def test_last_holder_acquires_the_lease_of_a_new_era_first():
    bed = _Bed()
    bed.play(1.0)
    assert bed.first.has_authority
    bed.restore()
    for each in bed.candidates:
        each.store.get('any')
    bed.play(SETTINGS.ttl_s + SETTINGS.period_s)
    assert [each.has_authority for each in bed.candidates] == [
        True,
        False,
        False,
    ]


def test_fencing_numbers_rise_although_revisions_go_back():
    bed = _Bed()
    for number in range(20):
        bed.memory.compare_and_swap(f'k{number}', b'', 0)
    bed.play(1.0, bed.first)
    before = bed.first.holder.authority().fencing
    bed.restore()
    bed.play(3.0, bed.first)
    assert bed.first.holder.authority().fencing > before


def test_lease_id_of_an_earlier_era_is_not_revoked():
    """It may stand for another instance's lease by now."""
    bed = _Bed()
    bed.play(1.0, bed.first)
    bed.restore()
    bed.first.store.get('any')
    before = dict(bed.first.store.calls_by_kind)
    bed.first.holder.stop()
    assert bed.first.store.calls_by_kind == before


class LeasesInEras(stateful.RuleBasedStateMachine):
    """Candidates, cuts, pauses, lost answers and restores, in any order."""

    def __init__(self):
        super().__init__()
        self.bed = _Bed()
        self.highest_fencing = 0
        self.holder = None

    @stateful.rule(index=strategies.integers(0, 2))
    def step(self, index):
        self.bed.step(self.bed.candidates[index])

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.5, 1.0]))
    def wait(self, seconds):
        self.bed.timer.advance(seconds)

    @stateful.rule()
    def play(self):
        self.bed.play(SETTINGS.period_s)

    @stateful.rule()
    def save(self):
        self.bed.saved = self.bed.memory.save()

    @stateful.rule()
    def restore(self):
        self.bed.restore()

    @stateful.rule(
        index=strategies.integers(0, 2),
        down=strategies.booleans(),
        loses=strategies.booleans(),
    )
    def disturb(self, index, down, loses):
        self.bed.candidates[index].store.faults = faulty_store.Faults(
            down=down, lost_answers=0.5 if loses else 0.0
        )

    @stateful.rule(to=strategies.integers(0, 2), of=strategies.integers(0, 2))
    def tell_era(self, to, of):
        eras = self.bed.candidates[of].eras
        self.bed.candidates[to].eras.record(
            eras.current, store_eras.Source.PEER
        )

    @stateful.invariant()
    def at_most_one_has_authority(self):
        acting = [each for each in self.bed.candidates if each.has_authority]
        assert len(acting) <= 1
        for each in acting:
            fencing = each.holder.authority().fencing
            assert fencing >= self.highest_fencing
            if fencing == self.highest_fencing:
                assert each is self.holder
            self.highest_fencing = fencing
            self.holder = each


TestLeasesInEras = LeasesInEras.TestCase
TestLeasesInEras.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
