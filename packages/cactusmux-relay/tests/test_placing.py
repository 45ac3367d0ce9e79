import random

from cactusmux_fakes import sample_engine
from cactusmux_relay import chains
from cactusmux_relay import cost_model
from cactusmux_relay import placement_search

ENGINE = sample_engine.ENGINE


def assert_sound(placement, target_by_id):
    """Each chain runs all layers; no card holds more than fits."""
    seen = set()
    for chain in placement.chains:
        boundary = 0
        for placed in chain:
            assert placed.layers.first == boundary
            boundary = placed.layers.end
            assert placed.target_id not in seen
            seen.add(placed.target_id)
            card = ENGINE.card_by_name[target_by_id[placed.target_id].card]
            room = cost_model.kv_cache_tokens(ENGINE, card, placed.layers.size)
            assert room > 0
        assert boundary == ENGINE.layers
    assert not seen & set(placement.spares)


def _place(seed=1):
    members = sample_engine.pool()
    placement = placement_search.place(ENGINE, members, random.Random(seed))
    return placement, {each.id: each for each in members}


def test_chains_run_all_layers_and_no_card_is_over_its_memory():
    placement, target_by_id = _place()
    assert_sound(placement, target_by_id)


def test_three_fast_chains_stay_within_a_zone_each():
    placement, target_by_id = _place()
    local = 0
    for chain in placement.chains:
        zones = {target_by_id[each.target_id].zone for each in chain}
        local += len(zones) == 1
    assert local >= 3


def test_some_targets_stay_spare():
    placement, _ = _place()
    assert len(placement.spares) >= 3


def test_pause_is_called_so_that_other_tasks_run():
    calls = []
    placement_search.place(
        ENGINE,
        sample_engine.pool(),
        random.Random(1),
        lambda: calls.append(1),
    )
    assert calls


def test_no_targets_make_no_chains():
    assert (
        placement_search.place(ENGINE, [], random.Random(1))
        == placement_search.EMPTY
    )


def test_too_few_targets_make_no_chains():
    few = sample_engine.pool()[:1]
    placement = placement_search.place(ENGINE, few, random.Random(1))
    assert placement.chains == ()
    assert placement.spares == (few[0].id,)


def _large_pool(times):
    found = []
    for number in range(times):
        for each in sample_engine.pool():
            found.append(each._replace(id=f'{each.id}-{number:02}'))
    return found


def test_large_pool_is_placed_in_cells():
    members = _large_pool(8)
    placement = placement_search.place(ENGINE, members, random.Random(1))
    target_by_id = {each.id: each for each in members}
    assert_sound(placement, target_by_id)
    assert len(placement.chains) >= 20
    assert len(placement.spares) < len(members) / 4


def test_cells_are_alike():
    cells = placement_search.cells_of(_large_pool(5))
    kinds = {
        tuple(sorted((each.card, each.zone) for each in cell))
        for cell in cells
    }
    assert len(kinds) == 1
    assert len(cells) > 1


def test_pool_of_many_zones_is_cut_by_zones():
    members = [
        each._replace(id=f'{each.id}-{zone}', zone=zone)
        for zone in 'abcdefg'
        for each in sample_engine.pool()[:13]
    ]
    for cell in placement_search.cells_of(members):
        assert (
            len({each.zone for each in cell}) <= placement_search.ZONES_OF_CELL
        )


def test_chain_that_crosses_thin_pipes_is_rated_by_them():
    """Chains over zones were rated at six times what their pipes carry."""
    thin = ENGINE._replace(pipe_tokens_per_s=4661.0)
    groups = (chains.Group('a100', 'a'), chains.Group('a100', 'b'))
    usual = ENGINE.usual_prompt + ENGINE.usual_answer
    wide_rate = chains.ChainRater(ENGINE, groups).rate((2, 2)).rate
    thin_rate = chains.ChainRater(thin, groups).rate((2, 2)).rate
    assert wide_rate > 10.0
    assert thin_rate <= chains.PIPE_SHARE * thin.pipe_tokens_per_s / usual


def test_pool_with_thin_pipes_is_placed_within_zones():
    thin = ENGINE._replace(pipe_tokens_per_s=4661.0)
    members = sample_engine.pool()
    zone_by_id = {each.id: each.zone for each in members}
    placement = placement_search.place(thin, members, random.Random(1))
    local = [
        chain
        for chain in placement.chains
        if len({zone_by_id[each.target_id] for each in chain}) == 1
    ]
    assert len(local) >= 3
