"""Repairs a placement after targets are gone, leave, fail, or have come.

It answers losses one after the other while traffic goes on. A broken chain
serves nothing, so it is mended in the quickest way that leaves a good rate:
spares take over the missing layers, or the chain is shared anew among its
targets and the spares. Where most chains are broken, what is left of them
makes a new one. In a sound chain a spare takes over from slow or weak
targets. Sound targets keep their layers where they can: one that gives some
up cuts the streams that pass through them.
"""

from . import chain_pool
from . import chain_repair
from . import placement_search
from . import take_overs
from . import targets

# Filling a hole is quicker than sharing a chain anew: it may serve less.
FILL_RATE_SHARE = 0.3
MAX_TAKE_OVERS = 3


def repair(
    pool: chain_pool.Pool, placement: placement_search.Placement
) -> placement_search.Placement:
    """Returns a placement in which broken chains are mended.

    A hole that can't be filled stays while its target may come back.
    """
    used = placement.layers_by_target()
    free = [
        each
        for target_id, each in sorted(pool.usable.items())
        if target_id not in used
    ]
    kept: list[placement_search.Chain] = []
    for chain in placement.chains:
        if any(each.target_id not in pool.usable for each in chain):
            mended = _mend(pool, chain, free)
        else:
            mended = take_overs.replace_slow(pool, chain, free)
        if not mended:
            free.extend(chain_pool.usable_targets(pool, chain))
            continue
        taken = {each.target_id for each in mended}
        own = [
            each
            for each in chain_pool.usable_targets(pool, chain)
            if each.id not in taken
        ]
        free = [each for each in free if each.id not in taken] + own
        kept.append(mended)
    _merge_broken(pool, kept, free)
    take_overs.merge_weakest(pool, kept, free)
    for _ in range(MAX_TAKE_OVERS):
        if not take_overs.assign_best_spare(pool, kept, free):
            break
    return placement_search.Placement(
        tuple(kept), tuple(sorted(each.id for each in free))
    )


def _mend(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
) -> placement_search.Chain:
    """Returns the chain with its holes filled, or shared anew.

    The chain as it is if neither can be done and its targets may return,
    else an empty one.
    """
    filled = chain_repair.fill_missing_layers(pool, chain, free)
    rebuilt = chain_repair.rebuild_chain(
        pool, chain_pool.usable_targets(pool, chain) + free
    )
    filled_rate = chain_pool.chain_rate(pool, filled)
    rebuilt_rate = chain_pool.chain_rate(pool, rebuilt)
    if filled_rate > 0 and filled_rate >= rebuilt_rate * FILL_RATE_SHARE:
        return filled
    if rebuilt_rate > 0 and not _may_return(pool, chain):
        return rebuilt
    if filled_rate > 0:
        return filled
    return chain if _may_return(pool, chain) else ()


def _merge_broken(
    pool: chain_pool.Pool,
    kept: list[placement_search.Chain],
    free: list[targets.Target],
) -> None:
    """Makes one chain of what is left of several, where most are broken.

    Broken chains wait for targets that may come back, while others serve.
    When hardly any does, what is left is put together at once.
    """
    broken = [each for each in kept if chain_pool.chain_rate(pool, each) <= 0]
    if len(broken) < 2 or len(broken) * 2 <= len(kept):
        return
    left = [
        target
        for chain in broken
        for target in chain_pool.usable_targets(pool, chain)
    ]
    merged = chain_repair.rebuild_chain(pool, left + free)
    if not merged or chain_pool.chain_rate(pool, merged) <= 0:
        return
    taken = {each.target_id for each in merged}
    free[:] = [each for each in left + free if each.id not in taken]
    kept[:] = [each for each in kept if each not in broken]
    kept.append(merged)


def _may_return(pool: chain_pool.Pool, chain: placement_search.Chain) -> bool:
    return all(
        each.target_id in pool.usable or each.target_id in pool.returning
        for each in chain
    )
