"""Repairs a placement after targets are gone, leave, fail, or have come.

It answers losses one after the other while traffic goes on. A broken chain
serves nothing, so it is mended in the quickest way that leaves a good rate:
spares take over the missing layers, or the chain is shared anew among its
targets and the spares. Sound chains are only touched by a new placement of
everything, when that serves much more.
"""

from collections.abc import Callable, Iterable
import random
from typing import NamedTuple

from . import chains
from . import cost_model
from . import desired
from . import placing
from . import targets

# A replacement may leave this share of its chain's room.
ROOM_SHARE = 0.5
# Filling a hole is quicker than sharing a chain anew: it may serve less.
FILL_RATE_SHARE = 0.3
# A new placement of everything must serve this much more.
REPLACE_GAIN = 2.0


class Pool(NamedTuple):
    """Targets of one model's service.

    :ivar usable: may get new work and aren't down.
    :ivar returning: ids of targets that are down but may come back.
    """

    engine: desired.Engine
    usable: dict[str, targets.Target]
    returning: frozenset[str]


def pool_of(
    engine: desired.Engine,
    members: Iterable[targets.Target],
    down: frozenset[str],
) -> Pool:
    """Returns the pool of targets that aren't leaving."""
    known = [each for each in members if each.card in engine.card_by_name]
    usable = {each.id: each for each in known if each.id not in down}
    returning = frozenset(each.id for each in known if each.id in down)
    return Pool(engine, usable, returning)


def repair(pool: Pool, placement: placing.Placement) -> placing.Placement:
    """Returns a placement in which broken chains are mended.

    A hole that can't be filled stays while its target may come back.
    """
    used = placement.layers_by_target()
    free = [
        each
        for target_id, each in sorted(pool.usable.items())
        if target_id not in used
    ]
    kept: list[placing.Chain] = []
    for chain in placement.chains:
        mended = chain
        if any(each.target_id not in pool.usable for each in chain):
            mended = _mend(pool, chain, free)
        if not mended:
            free.extend(_own_targets(pool, chain))
            continue
        taken = {each.target_id for each in mended}
        own = [
            each for each in _own_targets(pool, chain) if each.id not in taken
        ]
        free = [each for each in free if each.id not in taken] + own
        kept.append(mended)
    return placing.Placement(
        tuple(kept), tuple(sorted(each.id for each in free))
    )


def place_anew(
    pool: Pool,
    placement: placing.Placement,
    rng: random.Random,
    pause: Callable[[], None],
) -> placing.Placement | None:
    """Returns a placement that serves much more, ``None`` if there is none.

    :param pause: lets other tasks run; called often.
    """
    members = list(pool.usable.values())
    count = len(placement.chains)
    changed = placing.place(
        pool.engine,
        members,
        rng,
        pause,
        placement,
        range(max(1, count - 1), count + 2),
    )
    present = placement_value(pool, placement)
    if placement_value(pool, changed) < present * REPLACE_GAIN:
        return None
    return changed


def placement_value(pool: Pool, placement: placing.Placement) -> float:
    """Returns the rate of a placement, less what its worst loss costs."""
    rates = [chain_rate(pool, chain) for chain in placement.chains]
    return sum(rates) - placing.LOSS_WEIGHT * max(rates, default=0.0)


def chain_rate(pool: Pool, chain: placing.Chain) -> float:
    """Returns what a chain serves a second, 0 for a broken one."""
    stages = []
    for placed in chain:
        target = pool.usable.get(placed.target_id)
        if target is None:
            return 0.0
        stages.append(cost_model.Stage(target, placed.layers))
    return chains.path_rate(pool.engine, tuple(stages))


def _mend(
    pool: Pool, chain: placing.Chain, free: list[targets.Target]
) -> placing.Chain:
    """Returns the chain with its holes filled, or shared anew.

    The chain as it is if neither can be done and its targets may return,
    else an empty one.
    """
    filled = _fill(pool, chain, free)
    rebuilt = _rebuild(pool, _own_targets(pool, chain) + free)
    filled_rate = chain_rate(pool, filled)
    rebuilt_rate = chain_rate(pool, rebuilt)
    if filled_rate > 0 and filled_rate >= rebuilt_rate * FILL_RATE_SHARE:
        return filled
    if rebuilt_rate > 0 and not _may_return(pool, chain):
        return rebuilt
    if filled_rate > 0:
        return filled
    return chain if _may_return(pool, chain) else ()


def _may_return(pool: Pool, chain: placing.Chain) -> bool:
    return all(
        each.target_id in pool.usable or each.target_id in pool.returning
        for each in chain
    )


def _own_targets(pool: Pool, chain: placing.Chain) -> list[targets.Target]:
    return [
        pool.usable[each.target_id]
        for each in chain
        if each.target_id in pool.usable
    ]


def _fill(
    pool: Pool, chain: placing.Chain, free: list[targets.Target]
) -> placing.Chain:
    """Covers missing layers by spares; holes stay where that fails."""
    own = _own_targets(pool, chain)
    room = _least_room(pool, chain) * ROOM_SHARE
    zone = _main_zone(own)
    left = list(free)
    parts: list[placing.Placed] = []
    for placed in chain:
        if placed.target_id in pool.usable:
            parts.append(placed)
            continue
        replaced = _cover(pool, placed.layers, room, zone, left)
        parts.extend(replaced or [placed])
    return tuple(parts)


def _cover(
    pool: Pool,
    layers: targets.LayerRange,
    room: float,
    zone: str,
    left: list[targets.Target],
) -> list[placing.Placed]:
    """Takes targets out of ``left`` that hold ``layers``, none if too few."""
    engine = pool.engine

    def most(target: targets.Target) -> int:
        card = engine.card_by_name[target.card]
        return cost_model.most_layers(engine, card, room)

    def rank(target: targets.Target) -> tuple[bool, float, int]:
        pace = engine.card_by_name[target.card].step_pace
        return (target.zone != zone, pace, -most(target))

    parts = []
    first = layers.first
    for target in sorted(left, key=rank):
        if first >= layers.end:
            break
        count = min(most(target), layers.end - first)
        if count > 0:
            part = targets.LayerRange(first, first + count)
            parts.append(placing.Placed(target.id, part))
            first += count
    if first < layers.end:
        return []
    taken = {each.target_id for each in parts}
    left[:] = [each for each in left if each.id not in taken]
    return parts


def _rebuild(pool: Pool, members: list[targets.Target]) -> placing.Chain:
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
    composition = placing.best_part(rater, tuple(counts))
    room = rater.room(composition)
    if room <= 0:
        return ()
    chosen: list[targets.Target] = []
    for count, group in zip(composition, groups, strict=True):
        of_group = [
            each for each in members if (each.card, each.zone) == group
        ]
        chosen.extend(of_group[:count])
    return placing.share_layers(engine, chosen, room)


def _least_room(pool: Pool, chain: placing.Chain) -> float:
    rooms = []
    for placed in chain:
        target = pool.usable.get(placed.target_id)
        if target is not None:
            card = pool.engine.card_by_name[target.card]
            rooms.append(
                cost_model.room_tokens(pool.engine, card, placed.layers.size)
            )
    return min(rooms, default=0.0)


def _main_zone(members: list[targets.Target]) -> str:
    zones = [each.zone for each in members]
    return max(sorted(set(zones)), key=zones.count, default='')
