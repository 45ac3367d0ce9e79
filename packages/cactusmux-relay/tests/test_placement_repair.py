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
NONE_DOWN = frozenset()


def _placed():
    members = sample_engine.pool()
    return members, placement_search.place(ENGINE, members, random.Random(1))


def _rates(pool, placement):
    return [chain_pool.chain_rate(pool, each) for each in placement.chains]


def _pool(members, down=NONE_DOWN, paces=None):
    return chain_pool.make_pool(ENGINE, members, down, paces or {})


def test_intact_placement_is_not_changed():
    members, placement = _placed()
    repaired = placement_repair.repair(_pool(members), placement)
    assert repaired.chains == placement.chains


def test_lost_stage_is_covered():
    members, placement = _placed()
    lost = placement.chains[0][3].target_id
    left = [each for each in members if each.id != lost]
    repaired = placement_repair.repair(_pool(left), placement)
    rates = _rates(_pool(left), repaired)
    assert len(rates) == len(placement.chains)
    assert min(rates) > 0


def test_chain_is_kept_while_its_large_card_may_recover():
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


def test_recovered_large_card_replaces_weak_ones():
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


def test_slow_target_is_replaced_only_if_the_rate_rises():
    members, placement = _placed()
    slow = placement.chains[0][0].target_id
    slightly_slow = _pool(members, paces={slow: 1.5})
    assert (
        placement_repair.repair(slightly_slow, placement).chains
        == placement.chains
    )
    very_slow = _pool(members, paces={slow: 40.0})
    repaired = placement_repair.repair(very_slow, placement)
    assert slow not in {each.target_id for each in repaired.chains[0]}


def test_new_target_becomes_a_spare():
    members, placement = _placed()
    added = sample_engine.target('new', 'l4', 'b')
    repaired = placement_repair.repair(_pool([*members, added]), placement)
    assert 'new' in {*repaired.spares, *repaired.layers_by_target()}


def _pool_with_one_down_in_each_of(placement, members, count):
    """Returns a pool without spares, with stages down.

    The largest stage of each of the first ``count`` chains is down.
    """
    down = {
        max(chain, key=lambda each: each.layers.size).target_id
        for chain in placement.chains[:count]
    }
    spares = set(placement.spares)
    present = [each for each in members if each.id not in spares]
    return _pool(present, frozenset(down))


def test_rest_of_broken_chains_serves_if_most_are_broken():
    """All chains waited 3 s for recovery and no request was served."""
    members, placement = _placed()
    pool = _pool_with_one_down_in_each_of(
        placement, members, len(placement.chains)
    )
    before = max(_rates(pool, placement))
    repaired = placement_repair.repair(pool, placement)
    assert before == 0.0
    assert max(_rates(pool, repaired)) > 0.0


def test_intact_chains_are_kept_if_one_is_broken():
    members, placement = _placed()
    pool = _pool_with_one_down_in_each_of(placement, members, 1)
    repaired = placement_repair.repair(pool, placement)
    sound = placement.chains[1:]
    assert set(sound) <= set(repaired.chains)


class Losses(stateful.RuleBasedStateMachine):
    """Targets are removed, fail, slow down and recover in any order."""

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
    def target_is_removed(self, index):
        self.gone.add(self.members[index].id)
        self._repair()

    @stateful.rule(index=strategies.integers(0, 37))
    def target_fails(self, index):
        self.down.add(self.members[index].id)
        self._repair()

    @stateful.rule(
        index=strategies.integers(0, 37), pace=strategies.floats(1.0, 15.0)
    )
    def target_slows_down(self, index, pace):
        self.paces[self.members[index].id] = pace
        self._repair()

    @stateful.rule(index=strategies.integers(0, 37))
    def target_recovers(self, index):
        target_id = self.members[index].id
        self.gone.discard(target_id)
        self.down.discard(target_id)
        self.paces.pop(target_id, None)
        self._repair()

    @stateful.invariant()
    def chains_run_every_layer_once_within_memory(self):
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
    def second_repair_does_not_lower_the_rate(self):
        pool = _pool(self._present(), frozenset(self.down), self.paces)
        repaired_again = placement_repair.repair(pool, self.placement)
        assert sum(_rates(pool, repaired_again)) >= sum(
            _rates(pool, self.placement)
        )


TestLosses = Losses.TestCase
TestLosses.settings = settings(
    max_examples=15, stateful_step_count=8, deadline=None, derandomize=True
)
