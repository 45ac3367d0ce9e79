"""Repairs one chain: covers missing layers, or rebuilds the whole chain."""

from . import chain_pool
from . import chains
from . import placement_search
from . import targets

# A repaired chain must keep at least this share of its KV cache capacity.
MIN_CAPACITY_SHARE = 0.5


def fill_missing_layers(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
) -> placement_search.Chain:
    """Covers missing layers with spares, or with neighbours and spares.

    The variant with the higher request rate is returned. Layers that can't be
    covered stay with their lost targets.
    """
    room = chain_pool.min_cache_tokens(pool, chain) * MIN_CAPACITY_SHARE
    with_spares = _replace_with_spares(pool, chain, free, room)
    extended = _extend_adjacent(pool, chain, room)
    with_both = _replace_with_spares(pool, extended, free, room)
    if chain_pool.chain_rate(pool, with_both) > chain_pool.chain_rate(
        pool, with_spares
    ):
        return with_both
    return with_spares


def _extend_adjacent(
    pool: chain_pool.Pool, chain: placement_search.Chain, room: float
) -> placement_search.Chain:
    """Extends the targets next to missing layers as far as they can hold."""
    stages = list(chain)
    for index, placed in enumerate(stages):
        if placed.target_id in pool.usable:
            continue
        first, end = placed.layers
        if index > 0:
            before, first = _extend_to(
                pool, stages[index - 1], first, end, room
            )
            stages[index - 1] = before
        if index + 1 < len(stages) and first < end:
            after = stages[index + 1]
            target = pool.usable.get(after.target_id)
            if target is not None:
                most = chain_pool.max_layers(pool, target, room)
                taken = min(max(0, most - after.layers.size), end - first)
                end -= taken
                stages[index + 1] = after._replace(
                    layers=targets.LayerRange(end, after.layers.end)
                )
        stages[index] = placed._replace(layers=targets.LayerRange(first, end))
    return tuple(each for each in stages if each.layers.size > 0)


def _extend_to(
    pool: chain_pool.Pool,
    placed: placement_search.PlacedStage,
    first: int,
    end: int,
    room: float,
) -> tuple[placement_search.PlacedStage, int]:
    """Extends a stage towards ``end``.

    :returns: the stage, and the first layer that is still missing.
    """
    target = pool.usable.get(placed.target_id)
    if target is None or placed.layers.end != first:
        return placed, first
    most = chain_pool.max_layers(pool, target, room)
    taken = min(max(0, most - placed.layers.size), end - first)
    layers = targets.LayerRange(placed.layers.first, first + taken)
    return placed._replace(layers=layers), first + taken


def _replace_with_spares(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
    room: float,
) -> placement_search.Chain:
    """Replaces lost targets by spares, where these can hold all layers."""
    zone = chain_pool.majority_zone(chain_pool.usable_targets(pool, chain))
    left = list(free)
    stages: list[placement_search.PlacedStage] = []
    for placed in chain:
        if placed.target_id in pool.usable:
            stages.append(placed)
            continue
        replaced = _cover(pool, placed.layers, room, zone, left)
        stages.extend(replaced or [placed])
    return tuple(stages)


def _cover(
    pool: chain_pool.Pool,
    layers: targets.LayerRange,
    room: float,
    zone: str,
    left: list[targets.Target],
) -> list[placement_search.PlacedStage]:
    """Removes targets that can hold ``layers`` from ``left``.

    :returns: their stages, none if the targets can't hold all layers.
    """
    engine = pool.engine

    def rank(target: targets.Target) -> tuple[bool, float, int]:
        pace = engine.card_by_name[target.card].step_pace
        pace *= pool.pace_by_target.get(target.id, 1.0)
        return (
            target.zone != zone,
            pace,
            -chain_pool.max_layers(pool, target, room),
        )

    stages = []
    first = layers.first
    for target in sorted(left, key=rank):
        if first >= layers.end:
            break
        count = min(
            chain_pool.max_layers(pool, target, room), layers.end - first
        )
        if count > 0:
            stage_layers = targets.LayerRange(first, first + count)
            stages.append(
                placement_search.PlacedStage(target.id, stage_layers)
            )
            first += count
    if first < layers.end:
        return []
    taken = {each.target_id for each in stages}
    left[:] = [each for each in left if each.id not in taken]
    return stages


def rebuild_chain(
    pool: chain_pool.Pool, members: list[targets.Target]
) -> placement_search.Chain:
    """Divides all layers among the members that make the best chain."""
    engine = pool.engine
    groups = tuple(
        sorted({chains.CardGroup(each.card, each.zone) for each in members})
    )
    if not groups:
        return ()
    rater = chains.ChainRater(engine, groups)
    counts = [0] * len(groups)
    for each in members:
        counts[groups.index(chains.CardGroup(each.card, each.zone))] += 1
    composition = placement_search.best_subset(rater, tuple(counts))
    room = rater.room(composition)
    if room <= 0:
        return ()
    chosen: list[targets.Target] = []
    for count, group in zip(composition, groups, strict=True):
        of_group = [
            each for each in members if (each.card, each.zone) == group
        ]
        chosen.extend(of_group[:count])
    return placement_search.assign_layers(engine, chosen, room)
