"""The targets that serve one model, and the request rate of their chains.

A chain is a sequence of targets that together hold all layers of the model,
each of them a pipeline stage.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import chains
from . import cost_model
from . import desired_state
from . import placement_search
from . import targets


class Pool(NamedTuple):
    """Targets that serve one model.

    :ivar usable: targets that accept new work and aren't down, by id.
    :ivar returning: ids of targets that are down but may recover.
    :ivar pace_by_target: slowdown factors of slow targets; 2 is twice as
        slow.
    """

    engine: desired_state.Engine
    usable: dict[str, targets.Target]
    returning: frozenset[str]
    pace_by_target: Mapping[str, float]


def make_pool(
    engine: desired_state.Engine,
    members: Iterable[targets.Target],
    down: frozenset[str],
    pace_by_target: Mapping[str, float],
) -> Pool:
    """Returns the pool of the given targets, which must not be leaving."""
    known = [each for each in members if each.card in engine.card_by_name]
    usable = {each.id: each for each in known if each.id not in down}
    returning = frozenset(each.id for each in known if each.id in down)
    return Pool(engine, usable, returning, pace_by_target)


def chain_rate(pool: Pool, chain: placement_search.Chain) -> float:
    """Returns the requests per second of a chain, 0 if a target is down."""
    stages = []
    for placed in chain:
        target = pool.usable.get(placed.target_id)
        if target is None:
            return 0.0
        stages.append(cost_model.Stage(target, placed.layers))
    return chains.path_rate(pool.engine, tuple(stages), pool.pace_by_target)


def usable_targets(
    pool: Pool, chain: placement_search.Chain
) -> list[targets.Target]:
    """Returns the usable targets of a chain, in chain order."""
    return [
        pool.usable[each.target_id]
        for each in chain
        if each.target_id in pool.usable
    ]


def max_layers(pool: Pool, target: targets.Target, room: float) -> int:
    """Returns how many layers fit on a target beside ``room`` tokens."""
    card = pool.engine.card_by_name[target.card]
    return cost_model.max_layers(pool.engine, card, room)


def min_cache_tokens(pool: Pool, chain: placement_search.Chain) -> float:
    """Returns the smallest KV cache of the chain's usable targets, in tokens.

    It is 0 if no target is usable.
    """
    rooms = []
    for placed in chain:
        target = pool.usable.get(placed.target_id)
        if target is not None:
            card = pool.engine.card_by_name[target.card]
            rooms.append(
                cost_model.kv_cache_tokens(
                    pool.engine, card, placed.layers.size
                )
            )
    return min(rooms, default=0.0)


def majority_zone(members: list[targets.Target]) -> str:
    """Returns the zone of most members, an empty string without members."""
    zones = [each.zone for each in members]
    return max(sorted(set(zones)), key=zones.count, default='')
