import random

from cactusmux_fakes import sample_engine
from cactusmux_relay import chain_pool
from cactusmux_relay import cost_model
from cactusmux_relay import placement_repair
from cactusmux_relay import placement_search
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

ENGINE = sample_engine.ENGINE
NOBODY = frozenset()


def _placed():
    members = sample_engine.pool()
    return members, placement_search.place(ENGINE, members, random.Random(1))


def _rates(pool, placement):
    return [chain_pool.chain_rate(pool, each) for each in placement.chains]


def _pool(members, down=NOBODY, paces=None):
    return chain_pool.pool_of(ENGINE, members, down, paces or {})


def test_sound_placement_stays_as_it_is():
    members, placement = _placed()
    repaired = placement_repair.repair(_pool(members), placement)
    assert repaired.chains == placement.chains


def test_spare_or_neighbours_cover_a_lost_stage():
    members, placement = _placed()
    lost = placement.chains[0][3].target_id
    left = [each for each in members if each.id != lost]
    repaired = placement_repair.repair(_pool(left), placement)
    rates = _rates(_pool(left), repaired)
    assert len(rates) == len(placement.chains)
    assert min(rates) > 0


def test_chain_of_a_large_card_that_may_come_back_is_kept_or_filled():
    members, placement = _placed()
    large = next(
        each.target_id
        for chain in placement.chains
        for each in chain
        if each.layers.size >= 25
    )
    pool = _pool(members, frozenset((large,)))
    repaired = placement_repair.repair(pool, placement)
    assert len(repaired.chains) == len(placement.chains)


def test_large_card_that_is_back_takes_over_from_weak_ones():
    members, placement = _placed()
    large = next(
        each.target_id
        for chain in placement.chains
        for each in chain
        if each.layers.size >= 25
    )
    without = _pool([each for each in members if each.id != large])
    weak = placement_repair.repair(without, placement)
    back = placement_repair.repair(_pool(members), weak)
    assert sum(_rates(_pool(members), back)) > sum(_rates(without, weak))
    assert large in back.layers_by_target()


def test_spares_stand_in_for_a_slow_target_only_if_that_serves_more():
    members, placement = _placed()
    slow = placement.chains[0][0].target_id
    hardly = _pool(members, paces={slow: 1.5})
    assert (
        placement_repair.repair(hardly, placement).chains == placement.chains
    )
    very = _pool(members, paces={slow: 40.0})
    repaired = placement_repair.repair(very, placement)
    assert slow not in {each.target_id for each in repaired.chains[0]}


def test_new_target_becomes_a_spare():
    members, placement = _placed()
    added = sample_engine.target('new', 'l4', 'b')
    repaired = placement_repair.repair(_pool([*members, added]), placement)
    assert 'new' in {*repaired.spares, *repaired.layers_by_target()}


def _with_one_down_in_each_of(placement, members, count):
    """Takes down the largest stage of so many chains."""
    down = {
        max(chain, key=lambda each: each.layers.size).target_id
        for chain in placement.chains[:count]
    }
    spares = set(placement.spares)
    present = [each for each in members if each.id not in spares]
    return _pool(present, frozenset(down))


def test_what_is_left_of_broken_chains_serves_while_most_are_broken():
    """All waited 3 s for targets that might come back; nobody was served."""
    members, placement = _placed()
    pool = _with_one_down_in_each_of(placement, members, len(placement.chains))
    before = max(_rates(pool, placement))
    repaired = placement_repair.repair(pool, placement)
    assert before == 0.0
    assert max(_rates(pool, repaired)) > 0.0


def test_broken_chain_waits_while_most_others_serve():
    members, placement = _placed()
    pool = _with_one_down_in_each_of(placement, members, 1)
    repaired = placement_repair.repair(pool, placement)
    sound = placement.chains[1:]
    assert set(sound) <= set(repaired.chains)


class Losses(stateful.RuleBasedStateMachine):
    """Targets go, fail, slow down and come back, one after the other."""

    def __init__(self):
        super().__init__()
        self.members, self.placement = _placed()
        self.gone = set()
        self.down = set()
        self.paces = {}

    def _present(self):
        return [each for each in self.members if each.id not in self.gone]

    def _repair(self):
        pool = _pool(self._present(), frozenset(self.down), self.paces)
        self.placement = placement_repair.repair(pool, self.placement)
        return pool

    @stateful.rule(index=strategies.integers(0, 37))
    def goes(self, index):
        self.gone.add(self.members[index].id)
        self._repair()

    @stateful.rule(index=strategies.integers(0, 37))
    def fails(self, index):
        self.down.add(self.members[index].id)
        self._repair()

    @stateful.rule(
        index=strategies.integers(0, 37), pace=strategies.floats(1.0, 15.0)
    )
    def slows(self, index, pace):
        self.paces[self.members[index].id] = pace
        self._repair()

    @stateful.rule(index=strategies.integers(0, 37))
    def comes_back(self, index):
        target_id = self.members[index].id
        self.gone.discard(target_id)
        self.down.discard(target_id)
        self.paces.pop(target_id, None)
        self._repair()

    @stateful.invariant()
    def no_card_is_over_its_memory_and_chains_run_every_layer_once(self):
        target_by_id = {each.id: each for each in self.members}
        seen = set()
        for chain in self.placement.chains:
            boundary = 0
            for placed in chain:
                assert placed.layers.first == boundary
                boundary = placed.layers.end
                assert placed.target_id not in seen
                seen.add(placed.target_id)
                card = ENGINE.card_by_name[target_by_id[placed.target_id].card]
                size = placed.layers.size
                assert cost_model.kv_cache_tokens(ENGINE, card, size) > 0
            assert boundary == ENGINE.layers

    @stateful.invariant()
    def repairing_again_changes_nothing_that_was_not_worth_it(self):
        pool = _pool(self._present(), frozenset(self.down), self.paces)
        again = placement_repair.repair(pool, self.placement)
        assert sum(_rates(pool, again)) >= sum(_rates(pool, self.placement))


TestLosses = Losses.TestCase
TestLosses.settings = settings(
    max_examples=15, stateful_step_count=8, deadline=None, derandomize=True
)
