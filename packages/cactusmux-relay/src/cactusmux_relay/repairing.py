"""Repairs a placement after targets are gone, leave, fail, or have come.

It answers losses one after the other while traffic goes on. A broken chain
serves nothing, so it is mended in the quickest way that leaves a good rate:
spares take over the missing layers, or the chain is shared anew among its
targets and the spares. In a sound chain a spare takes over from slow or weak
targets. Sound targets keep their layers: one that gives some up waits for all
that passes through them.
"""

from collections.abc import Iterable, Mapping
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
# Spares take over from targets that work when that serves this much more.
TAKE_OVER_GAIN = 1.15
MAX_TAKE_OVERS = 3
# The weakest chain is shared anew with the spares, which then are no spares
# any more, when it serves this many requests a second more.
MERGE_GAIN_RATE = 5.0
# At this pace a target's layers may be loaded elsewhere.
SLOW_PACE = 2.0


class Pool(NamedTuple):
    """Targets of one model's service.

    :ivar usable: may get new work and aren't down.
    :ivar returning: ids of targets that are down but may come back.
    :ivar pace_by_target: of slow targets, 2 is twice as slow.
    """

    engine: desired.Engine
    usable: dict[str, targets.Target]
    returning: frozenset[str]
    pace_by_target: Mapping[str, float]


def pool_of(
    engine: desired.Engine,
    members: Iterable[targets.Target],
    down: frozenset[str],
    pace_by_target: Mapping[str, float],
) -> Pool:
    """Returns the pool of targets that aren't leaving."""
    known = [each for each in members if each.card in engine.card_by_name]
    usable = {each.id: each for each in known if each.id not in down}
    returning = frozenset(each.id for each in known if each.id in down)
    return Pool(engine, usable, returning, pace_by_target)


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
        if any(each.target_id not in pool.usable for each in chain):
            mended = _mend(pool, chain, free)
        else:
            mended = _replace_slow(pool, chain, free)
        if not mended:
            free.extend(_own_targets(pool, chain))
            continue
        taken = {each.target_id for each in mended}
        own = [
            each for each in _own_targets(pool, chain) if each.id not in taken
        ]
        free = [each for each in free if each.id not in taken] + own
        kept.append(mended)
    _merge_weakest(pool, kept, free)
    for _ in range(MAX_TAKE_OVERS):
        if not _take_over(pool, kept, free):
            break
    return placing.Placement(
        tuple(kept), tuple(sorted(each.id for each in free))
    )


def chain_rate(pool: Pool, chain: placing.Chain) -> float:
    """Returns what a chain serves a second, 0 for a broken one."""
    stages = []
    for placed in chain:
        target = pool.usable.get(placed.target_id)
        if target is None:
            return 0.0
        stages.append(cost_model.Stage(target, placed.layers))
    return chains.path_rate(pool.engine, tuple(stages), pool.pace_by_target)


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


def _replace_slow(
    pool: Pool, chain: placing.Chain, free: list[targets.Target]
) -> placing.Chain:
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
    filled = _fill(without, chain, free)
    if chain_rate(pool, filled) > chain_rate(pool, chain) * TAKE_OVER_GAIN:
        return filled
    return chain


def _merge_weakest(
    pool: Pool, kept: list[placing.Chain], free: list[targets.Target]
) -> None:
    """Shares the weakest chain anew with the spares if that pays."""
    rates = [chain_rate(pool, chain) for chain in kept]
    weakest = min(range(len(kept)), key=lambda each: rates[each], default=-1)
    if weakest >= 0 and rates[weakest] <= 0:
        # A broken chain waits for a target that may come back.
        return
    own = _own_targets(pool, kept[weakest]) if weakest >= 0 else []
    merged = _rebuild(pool, own + free)
    rate = rates[weakest] if weakest >= 0 else 0.0
    if not merged or chain_rate(pool, merged) < rate + MERGE_GAIN_RATE:
        return
    taken = {each.target_id for each in merged}
    free[:] = [each for each in own + free if each.id not in taken]
    if weakest >= 0:
        kept[weakest] = merged
    else:
        kept.append(merged)


def _take_over(
    pool: Pool, kept: list[placing.Chain], free: list[targets.Target]
) -> bool:
    """Lets the spare that gains most take over from some of a chain."""
    best_gain = 0.0
    best: tuple[int, placing.Chain, targets.Target] | None = None
    for index, chain in enumerate(kept):
        rate = chain_rate(pool, chain)
        if rate <= 0:
            continue
        for target in free:
            for changed in _with_spare(pool, chain, target):
                gain = chain_rate(pool, changed) - rate
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


def _with_spare(
    pool: Pool, chain: placing.Chain, target: targets.Target
) -> Iterable[placing.Chain]:
    """Yields the chain with each run of parts that a spare could hold."""
    if pool.pace_by_target.get(target.id, 1.0) >= SLOW_PACE:
        return
    engine = pool.engine
    room = _least_room(pool, chain) * ROOM_SHARE
    most = cost_model.most_layers(
        engine, engine.card_by_name[target.card], room
    )
    for start in range(len(chain)):
        for stop in range(start + 1, len(chain) + 1):
            layers = targets.LayerRange(
                chain[start].layers.first, chain[stop - 1].layers.end
            )
            if layers.size > most:
                break
            part = placing.Placed(target.id, layers)
            yield chain[:start] + (part,) + chain[stop:]


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
    """Covers missing layers by neighbours and spares, or spares alone.

    Holes stay where that fails.
    """
    room = _least_room(pool, chain) * ROOM_SHARE
    by_spares = _fill_by_spares(pool, chain, free, room)
    extended = _extend_neighbours(pool, chain, room)
    by_both = _fill_by_spares(pool, extended, free, room)
    if chain_rate(pool, by_both) > chain_rate(pool, by_spares):
        return by_both
    return by_spares


def _extend_neighbours(
    pool: Pool, chain: placing.Chain, room: float
) -> placing.Chain:
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
                most = _most(pool, target, room)
                taken = min(max(0, most - after.layers.size), end - first)
                end -= taken
                parts[index + 1] = after._replace(
                    layers=targets.LayerRange(end, after.layers.end)
                )
        parts[index] = placed._replace(layers=targets.LayerRange(first, end))
    return tuple(each for each in parts if each.layers.size > 0)


def _grow(
    pool: Pool, placed: placing.Placed, first: int, end: int, room: float
) -> tuple[placing.Placed, int]:
    """Returns a part grown towards ``end``, and where the hole goes on."""
    target = pool.usable.get(placed.target_id)
    if target is None or placed.layers.end != first:
        return placed, first
    most = _most(pool, target, room)
    taken = min(max(0, most - placed.layers.size), end - first)
    layers = targets.LayerRange(placed.layers.first, first + taken)
    return placed._replace(layers=layers), first + taken


def _most(pool: Pool, target: targets.Target, room: float) -> int:
    card = pool.engine.card_by_name[target.card]
    return cost_model.most_layers(pool.engine, card, room)


def _fill_by_spares(
    pool: Pool,
    chain: placing.Chain,
    free: list[targets.Target],
    room: float,
) -> placing.Chain:
    """Covers missing layers by spares; holes stay where that fails."""
    zone = _main_zone(_own_targets(pool, chain))
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

    def rank(target: targets.Target) -> tuple[bool, float, int]:
        pace = engine.card_by_name[target.card].step_pace
        pace *= pool.pace_by_target.get(target.id, 1.0)
        return (target.zone != zone, pace, -_most(pool, target, room))

    parts = []
    first = layers.first
    for target in sorted(left, key=rank):
        if first >= layers.end:
            break
        count = min(_most(pool, target, room), layers.end - first)
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
