"""Spares take over in chains that work, where that serves more."""

from collections.abc import Iterable

from . import chain_pool
from . import chain_repair
from . import cost_model
from . import placement_search
from . import targets

# Spares take over from targets that work when that serves this much more.
TAKE_OVER_GAIN = 1.15
# The weakest chain is shared anew with the spares, which then are no spares
# any more, when it serves this many requests a second more.
MERGE_GAIN_RATE = 5.0
# At this pace a target's layers may be loaded elsewhere.
SLOW_PACE = 2.0


def replace_slow(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
) -> placement_search.Chain:
    """Lets spares stand in for slow targets where that serves more."""
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
        > chain_pool.chain_rate(pool, chain) * TAKE_OVER_GAIN
    ):
        return filled
    return chain


def merge_weakest(
    pool: chain_pool.Pool,
    kept: list[placement_search.Chain],
    free: list[targets.Target],
) -> None:
    """Shares the weakest chain anew with the spares if that pays."""
    rates = [chain_pool.chain_rate(pool, chain) for chain in kept]
    weakest = min(range(len(kept)), key=lambda each: rates[each], default=-1)
    if weakest >= 0 and rates[weakest] <= 0:
        # A broken chain waits for a target that may come back.
        return
    own = (
        chain_pool.usable_targets(pool, kept[weakest]) if weakest >= 0 else []
    )
    merged = chain_repair.rebuild_chain(pool, own + free)
    rate = rates[weakest] if weakest >= 0 else 0.0
    if (
        not merged
        or chain_pool.chain_rate(pool, merged) < rate + MERGE_GAIN_RATE
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
    """Lets the spare that gains most take over from some of a chain."""
    best_gain = 0.0
    best: tuple[int, placement_search.Chain, targets.Target] | None = None
    for index, chain in enumerate(kept):
        rate = chain_pool.chain_rate(pool, chain)
        if rate <= 0:
            continue
        for target in _representatives(pool, free):
            for changed in _with_spare(pool, chain, target):
                gain = chain_pool.chain_rate(pool, changed) - rate
                if gain > max(best_gain, rate * (TAKE_OVER_GAIN - 1.0)):
                    best_gain = gain
                    best = (index, changed, target)
    if best is None:
        return False
    index, changed, target = best
    relieved = {each.target_id for each in kept[index]} - {
        each.target_id for each in changed
    }
    kept[index] = changed
    free.remove(target)
    free.extend(pool.usable[each] for each in sorted(relieved))
    return True


def _representatives(
    pool: chain_pool.Pool, free: list[targets.Target]
) -> list[targets.Target]:
    """Returns one sound spare of each card and zone for all like it."""
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
    """Yields the chain with each run of parts that a spare could hold."""
    engine = pool.engine
    room = (
        chain_pool.min_cache_tokens(pool, chain)
        * chain_repair.MIN_CAPACITY_SHARE
    )
    most = cost_model.max_layers(
        engine, engine.card_by_name[target.card], room
    )
    for start in range(len(chain)):
        for stop in range(start + 1, len(chain) + 1):
            layers = targets.LayerRange(
                chain[start].layers.first, chain[stop - 1].layers.end
            )
            if layers.size > most:
                break
            part = placement_search.PlacedStage(target.id, layers)
            yield chain[:start] + (part,) + chain[stop:]
