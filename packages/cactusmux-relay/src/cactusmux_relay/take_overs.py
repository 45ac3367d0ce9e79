"""Uses spare targets in working chains where that raises their capacity."""

from collections.abc import Iterable

from . import chain_pool
from . import chain_repair
from . import cost_model
from . import placement_search
from . import targets

# A spare replaces working targets only for a capacity gain of this factor.
MIN_TAKE_OVER_GAIN = 1.15
# The weakest chain is rebuilt with the spares, using them up, only if it then
# serves this many requests a second more.
MIN_MERGE_GAIN_PER_S = 5.0
# From this pace on, i.e. twice as slow as usual, a target's layers may be
# loaded elsewhere.
SLOW_PACE = 2.0


def replace_slow(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
) -> placement_search.Chain:
    """Replaces slow targets by spares if the chain gains capacity."""
    slow = {
        each.target_id
        for each in chain
        if pool.pace_by_target.get(each.target_id, 1.0) >= SLOW_PACE
    }
    if not slow:
        return chain
    without = pool._replace(
        usable={
            target_id: each
            for target_id, each in pool.usable.items()
            if target_id not in slow
        }
    )
    filled = chain_repair.fill_missing_layers(without, chain, free)
    if (
        chain_pool.chain_rate(pool, filled)
        > chain_pool.chain_rate(pool, chain) * MIN_TAKE_OVER_GAIN
    ):
        return filled
    return chain


def merge_weakest(
    pool: chain_pool.Pool,
    kept: list[placement_search.Chain],
    free: list[targets.Target],
) -> None:
    """Rebuilds the weakest chain with the spares if that gains enough."""
    rates = [chain_pool.chain_rate(pool, chain) for chain in kept]
    weakest = min(range(len(kept)), key=lambda each: rates[each], default=-1)
    if weakest >= 0 and rates[weakest] <= 0:
        # A broken chain is left as it is: its lost target may come back.
        return
    own = (
        chain_pool.usable_targets(pool, kept[weakest]) if weakest >= 0 else []
    )
    merged = chain_repair.rebuild_chain(pool, own + free)
    rate = rates[weakest] if weakest >= 0 else 0.0
    if (
        not merged
        or chain_pool.chain_rate(pool, merged) < rate + MIN_MERGE_GAIN_PER_S
    ):
        return
    taken = {each.target_id for each in merged}
    free[:] = [each for each in own + free if each.id not in taken]
    if weakest >= 0:
        kept[weakest] = merged
    else:
        kept.append(merged)


def assign_best_spare(
    pool: chain_pool.Pool,
    kept: list[placement_search.Chain],
    free: list[targets.Target],
) -> bool:
    """Puts the spare with the largest gain in place of part of a chain.

    Returns whether a chain has changed.
    """
    best_gain = 0.0
    best: tuple[int, placement_search.Chain, targets.Target] | None = None
    for index, chain in enumerate(kept):
        rate = chain_pool.chain_rate(pool, chain)
        if rate <= 0:
            continue
        for target in _representatives(pool, free):
            for changed in _with_spare(pool, chain, target):
                gain = chain_pool.chain_rate(pool, changed) - rate
                if gain > max(best_gain, rate * (MIN_TAKE_OVER_GAIN - 1.0)):
                    best_gain = gain
                    best = (index, changed, target)
    if best is None:
        return False
    index, changed, target = best
    freed = {each.target_id for each in kept[index]} - {
        each.target_id for each in changed
    }
    kept[index] = changed
    free.remove(target)
    free.extend(pool.usable[each] for each in sorted(freed))
    return True


def _representatives(
    pool: chain_pool.Pool, free: list[targets.Target]
) -> list[targets.Target]:
    """Returns one spare that isn't slow for each card type and zone."""
    by_group: dict[tuple[str, str], targets.Target] = {}
    for each in free:
        if pool.pace_by_target.get(each.id, 1.0) < SLOW_PACE:
            by_group.setdefault((each.card, each.zone), each)
    return list(by_group.values())


def _with_spare(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    target: targets.Target,
) -> Iterable[placement_search.Chain]:
    """Yields variants of the chain, each with the spare in place of a run.

    A run is a number of consecutive parts whose layers fit on the spare.
    """
    engine = pool.engine
    room = (
        chain_pool.min_cache_tokens(pool, chain)
        * chain_repair.MIN_CAPACITY_SHARE
    )
    layer_limit = cost_model.max_layers(
        engine, engine.card_by_name[target.card], room
    )
    for start in range(len(chain)):
        for stop in range(start + 1, len(chain) + 1):
            layers = targets.LayerRange(
                chain[start].layers.first, chain[stop - 1].layers.end
            )
            if layers.size > layer_limit:
                break
            part = placement_search.PlacedStage(target.id, layers)
            yield chain[:start] + (part,) + chain[stop:]
