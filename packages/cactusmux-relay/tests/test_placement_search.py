import random

from cactusmux_fakes import sample_engine
from cactusmux_relay import chains
from cactusmux_relay import cost_model
from cactusmux_relay import placement_search

ENGINE = sample_engine.ENGINE


def assert_is_valid(placement, target_by_id):
    """Asserts that chains run all layers and no card is over its memory."""
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
    assert_is_valid(placement, target_by_id)


def test_three_chains_are_each_within_one_zone():
    placement, target_by_id = _place()
    local = 0
    for chain in placement.chains:
        zones = {target_by_id[each.target_id].zone for each in chain}
        local += len(zones) == 1
    assert local >= 3


def test_placement_has_spares():
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


def test_no_targets_give_an_empty_placement():
    assert (
        placement_search.place(ENGINE, [], random.Random(1))
        == placement_search.EMPTY
    )


def test_too_few_targets_are_spares():
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


def test_large_pool_is_placed_completely():
    members = _large_pool(8)
    placement = placement_search.place(ENGINE, members, random.Random(1))
    target_by_id = {each.id: each for each in members}
    assert_is_valid(placement, target_by_id)
    assert len(placement.chains) >= 20
    assert len(placement.spares) < len(members) / 4


def test_cells_have_the_same_composition():
    cells = placement_search.split_into_cells(_large_pool(5))
    kinds = {
        tuple(sorted((each.card, each.zone) for each in cell))
        for cell in cells
    }
    assert len(kinds) == 1
    assert len(cells) > 1


def test_cells_are_limited_to_a_few_zones():
    members = [
        each._replace(id=f'{each.id}-{zone}', zone=zone)
        for zone in 'abcdefg'
        for each in sample_engine.pool()[:13]
    ]
    for cell in placement_search.split_into_cells(members):
        assert (
            len({each.zone for each in cell})
            <= placement_search.ZONES_PER_CELL
        )


def test_rate_of_a_chain_is_limited_by_slow_links():
    """Chains across zones were rated at six times what their links carry."""
    slow_links = ENGINE._replace(pipe_tokens_per_s=4661.0)
    groups = (chains.CardGroup('a100', 'a'), chains.CardGroup('a100', 'b'))
    usual = ENGINE.usual_prompt + ENGINE.usual_answer
    fast_links_rate = chains.ChainRater(ENGINE, groups).rate((2, 2)).rate
    slow_links_rate = chains.ChainRater(slow_links, groups).rate((2, 2)).rate
    assert fast_links_rate > 10.0
    assert (
        slow_links_rate
        <= chains.MAX_LINK_SHARE * slow_links.pipe_tokens_per_s / usual
    )


def test_pool_with_slow_links_is_placed_within_zones():
    slow_links = ENGINE._replace(pipe_tokens_per_s=4661.0)
    members = sample_engine.pool()
    zone_by_id = {each.id: each.zone for each in members}
    placement = placement_search.place(slow_links, members, random.Random(1))
    local = [
        chain
        for chain in placement.chains
        if len({zone_by_id[each.target_id] for each in chain}) == 1
    ]
    assert len(local) >= 3
