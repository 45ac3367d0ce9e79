"""Repairs a placement after targets were lost, added, failed or are leaving.

Losses are handled one after the other, under load. A broken chain serves no
requests, so it is repaired in the quickest way that leaves a good request
rate: spares take over the missing layers, or the chain is rebuilt from its
usable targets and the spares. If most chains are broken, one chain is built
from the rest of them. In an intact chain, spares replace slow or weak
targets. Healthy targets keep their layers if possible, because giving up
layers cuts the streams that use them.
"""

from . import chain_pool
from . import chain_repair
from . import placement_search
from . import take_overs
from . import targets

# Filling missing layers is quicker than rebuilding the chain, so it may have
# as little as this share of the rebuilt chain's rate.
FILL_RATE_SHARE = 0.3
MAX_TAKE_OVERS = 3


def repair(
    pool: chain_pool.Pool, placement: placement_search.Placement
) -> placement_search.Placement:
    """Returns a placement in which broken chains are repaired.

    A chain that can't be repaired stays as it is while its lost targets may
    recover.
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
            repaired = _repair_chain(pool, chain, free)
        else:
            repaired = take_overs.replace_slow(pool, chain, free)
        if not repaired:
            free.extend(chain_pool.usable_targets(pool, chain))
            continue
        taken = {each.target_id for each in repaired}
        own = [
            each
            for each in chain_pool.usable_targets(pool, chain)
            if each.id not in taken
        ]
        free = [each for each in free if each.id not in taken] + own
        kept.append(repaired)
    _merge_broken(pool, kept, free)
    take_overs.merge_weakest(pool, kept, free)
    for _ in range(MAX_TAKE_OVERS):
        if not take_overs.assign_best_spare(pool, kept, free):
            break
    return placement_search.Placement(
        tuple(kept), tuple(sorted(each.id for each in free))
    )


def _repair_chain(
    pool: chain_pool.Pool,
    chain: placement_search.Chain,
    free: list[targets.Target],
) -> placement_search.Chain:
    """Returns the chain with its missing layers covered, or rebuilt.

    If neither is possible, it is the chain as it is while its targets may
    recover, else an empty one.
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
    """Builds one chain from the rest of the broken ones if most are broken.

    While enough other chains serve, a broken chain waits for the recovery of
    its targets. If most chains are broken, there is no such wait.
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
