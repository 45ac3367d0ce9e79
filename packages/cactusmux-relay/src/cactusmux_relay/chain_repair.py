"""Covers the missing layers of a chain, or shares the chain anew."""

from . import chain_pool
from . import chains
from . import placement_search
from . import targets

# A replacement may leave this share of its chain's room.
MIN_CAPACITY_SHARE = 0.5


def fill_missing_layers(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
) -> placement_search.Chain:
    """Covers missing layers by neighbours and spares, or spares alone.

    Holes stay where that fails.
    """
    room = chain_pool.min_cache_tokens(pool, chain) * MIN_CAPACITY_SHARE
    by_spares = _fill_by_spares(pool, chain, free, room)
    extended = _extend_neighbours(pool, chain, room)
    by_both = _fill_by_spares(pool, extended, free, room)
    if chain_pool.chain_rate(pool, by_both) > chain_pool.chain_rate(
        pool, by_spares
    ):
        return by_both
    return by_spares


def _extend_neighbours(
    pool: chain_pool.Pool, chain: placement_search.Chain, room: float
) -> placement_search.Chain:
    """Lets the targets beside a hole hold as much of it as they can."""
    parts = list(chain)
    for index, placed in enumerate(parts):
        if placed.target_id in pool.usable:
            continue
        first, end = placed.layers
        if index > 0:
            before, first = _grow(pool, parts[index - 1], first, end, room)
            parts[index - 1] = before
        if index + 1 < len(parts) and first < end:
            after = parts[index + 1]
            target = pool.usable.get(after.target_id)
            if target is not None:
                most = chain_pool.most_layers(pool, target, room)
                taken = min(max(0, most - after.layers.size), end - first)
                end -= taken
                parts[index + 1] = after._replace(
                    layers=targets.LayerRange(end, after.layers.end)
                )
        parts[index] = placed._replace(layers=targets.LayerRange(first, end))
    return tuple(each for each in parts if each.layers.size > 0)


def _grow(
    pool: chain_pool.Pool,
    placed: placement_search.PlacedStage,
    first: int,
    end: int,
    room: float,
) -> tuple[placement_search.PlacedStage, int]:
    """Returns a part grown towards ``end``, and where the hole goes on."""
    target = pool.usable.get(placed.target_id)
    if target is None or placed.layers.end != first:
        return placed, first
    most = chain_pool.most_layers(pool, target, room)
    taken = min(max(0, most - placed.layers.size), end - first)
    layers = targets.LayerRange(placed.layers.first, first + taken)
    return placed._replace(layers=layers), first + taken


def _fill_by_spares(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
    room: float,
) -> placement_search.Chain:
    """Covers missing layers by spares; holes stay where that fails."""
    zone = chain_pool.main_zone(chain_pool.usable_targets(pool, chain))
    left = list(free)
    parts: list[placement_search.PlacedStage] = []
    for placed in chain:
        if placed.target_id in pool.usable:
            parts.append(placed)
            continue
        replaced = _cover(pool, placed.layers, room, zone, left)
        parts.extend(replaced or [placed])
    return tuple(parts)


def _cover(
    pool: chain_pool.Pool,
    layers: targets.LayerRange,
    room: float,
    zone: str,
    left: list[targets.Target],
) -> list[placement_search.PlacedStage]:
    """Takes targets out of ``left`` that hold ``layers``, none if too few."""
    engine = pool.engine

    def rank(target: targets.Target) -> tuple[bool, float, int]:
        pace = engine.card_by_name[target.card].step_pace
        pace *= pool.pace_by_target.get(target.id, 1.0)
        return (
            target.zone != zone,
            pace,
            -chain_pool.most_layers(pool, target, room),
        )

    parts = []
    first = layers.first
    for target in sorted(left, key=rank):
        if first >= layers.end:
            break
        count = min(
            chain_pool.most_layers(pool, target, room), layers.end - first
        )
        if count > 0:
            part = targets.LayerRange(first, first + count)
            parts.append(placement_search.PlacedStage(target.id, part))
            first += count
    if first < layers.end:
        return []
    taken = {each.target_id for each in parts}
    left[:] = [each for each in left if each.id not in taken]
    return parts


def rebuild_chain(
    pool: chain_pool.Pool, members: list[targets.Target]
) -> placement_search.Chain:
    """Shares all layers among the members, leaving out those that slow."""
    engine = pool.engine
    groups = tuple(
        sorted({chains.Group(each.card, each.zone) for each in members})
    )
    if not groups:
        return ()
    rater = chains.ChainRater(engine, groups)
    counts = [0] * len(groups)
    for each in members:
        counts[groups.index(chains.Group(each.card, each.zone))] += 1
    composition = placement_search.best_part(rater, tuple(counts))
    room = rater.room(composition)
    if room <= 0:
        return ()
    chosen: list[targets.Target] = []
    for count, group in zip(composition, groups, strict=True):
        of_group = [
            each for each in members if (each.card, each.zone) == group
        ]
        chosen.extend(of_group[:count])
    return placement_search.share_layers(engine, chosen, room)
