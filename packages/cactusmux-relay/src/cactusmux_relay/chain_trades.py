"""Repairs a strong chain with targets of a weaker one.

It answers the loss of a large card of a strong chain in a full pool, while
only small spares are left: with these, the chain would serve a fraction of
what it did, until the lost card is back and has loaded its layers. A weak
chain that holds large cards loses less without them. Both load layers
meanwhile, and the streams of the weak one are cut.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from . import chain_pool
from . import chain_repair
from . import placement_search
from . import targets

# A trade cuts the streams of the weaker chain: it must gain at least this
# share of what all chains serve.
MIN_GAIN_SHARE = 0.03

# Returns a chain repaired with some of the free targets.
ChainRepair = Callable[
    [chain_pool.Pool, placement_search.Chain, list[targets.Target]],
    placement_search.Chain,
]


class _Trade(NamedTuple):
    """A repair of a broken chain at the expense of another one.

    :ivar gain: requests per second that both serve more, taken together.
    :ivar broken: index of the broken chain; ``giving`` that of the other.
    :ivar repaired: the broken chain after the trade; ``left`` is the other.
    """

    gain: float
    broken: int
    giving: int
    repaired: placement_search.Chain
    left: placement_search.Chain


def trade(
    pool: chain_pool.Pool,
    kept: list[placement_search.Chain],
    free: list[targets.Target],
    broken_by_index: Mapping[int, placement_search.Chain],
    repair_chain: ChainRepair,
) -> None:
    """Carries out the trade with the largest gain, if it is large enough.

    :param kept: the chains after the usual repair.
    :param free: the spares left by it.
    :param broken_by_index: the broken chains before that repair, by their
        index in ``kept``.
    """
    if not broken_by_index or not chain_pool.is_full(pool, kept):
        return
    trades = [
        _plan(pool, kept, free, index, chain, giving, repair_chain)
        for index, chain in broken_by_index.items()
        for giving in range(len(kept))
        if giving not in broken_by_index
    ]
    best = max(trades, key=lambda each: each.gain, default=None)
    total = sum(chain_pool.chain_rate(pool, each) for each in kept)
    if best is None or best.gain < MIN_GAIN_SHARE * total:
        return
    members = free + [
        target
        for index in (best.broken, best.giving)
        for target in chain_pool.usable_targets(pool, kept[index])
    ]
    taken = {
        each.target_id
        for chain in (best.repaired, best.left)
        for each in chain
    }
    free[:] = [each for each in members if each.id not in taken]
    kept[best.broken] = best.repaired
    kept[best.giving] = best.left
    if not best.left:
        del kept[best.giving]


def _plan(
    pool: chain_pool.Pool,
    kept: list[placement_search.Chain],
    free: list[targets.Target],
    broken: int,
    chain: placement_search.Chain,
    giving: int,
    repair_chain: ChainRepair,
) -> _Trade:
    own_ids = {each.target_id for each in chain}
    # What the usual repair has added is free for a better one.
    added = [
        each
        for each in chain_pool.usable_targets(pool, kept[broken])
        if each.id not in own_ids
    ]
    spares = free + added
    given = chain_pool.usable_targets(pool, kept[giving])
    repaired = chain_repair.fill_missing_layers(pool, chain, spares + given)
    taken = {each.target_id for each in repaired}
    rest = pool._replace(
        usable={
            target_id: each
            for target_id, each in pool.usable.items()
            if target_id not in taken
        }
    )
    left = repair_chain(
        rest, kept[giving], [each for each in spares if each.id not in taken]
    )
    if chain_pool.chain_rate(rest, left) <= 0:
        left = ()
    gain = (
        chain_pool.chain_rate(pool, repaired)
        + chain_pool.chain_rate(rest, left)
        - chain_pool.chain_rate(pool, kept[broken])
        - chain_pool.chain_rate(pool, kept[giving])
    )
    return _Trade(gain, broken, giving, repaired, left)
