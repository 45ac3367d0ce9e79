"""Finds the chains that targets hold, for a placement that went back.

If the store was restored and the last lease holder is lost, the stored
placement may be older than what the targets were ordered to hold. Chains
that they hold completely stay as they are: to go back to the older placement
would cut streams and load weights for nothing.
"""

from collections.abc import Iterable

from . import desired_state
from . import placement_search
from . import targets


def adopt_held(
    engine: desired_state.Engine,
    members: Iterable[targets.Target],
    placement: placement_search.Placement,
) -> placement_search.Placement:
    """Returns the placement with held chains in place of lost ones.

    A chain of the placement that isn't held is dropped if one of its targets
    is part of a held chain; else it stays, to be repaired or loaded.
    """
    held_by_id = {
        each.id: each for each in members if each.layers != targets.NO_LAYERS
    }
    kept = [chain for chain in placement.chains if _is_held(chain, held_by_id)]
    for chain in kept:
        for stage in chain:
            del held_by_id[stage.target_id]
    found: list[placement_search.Chain] = []
    while held := _find_chain(engine, held_by_id):
        found.append(held)
        for stage in held:
            del held_by_id[stage.target_id]
    taken = {stage.target_id for chain in found for stage in chain}
    waiting = [
        chain
        for chain in placement.chains
        if chain not in kept
        and taken.isdisjoint(stage.target_id for stage in chain)
    ]
    return placement._replace(chains=(*kept, *found, *waiting))


def _is_held(
    chain: placement_search.Chain, held_by_id: dict[str, targets.Target]
) -> bool:
    return all(
        stage.target_id in held_by_id
        and held_by_id[stage.target_id].layers == stage.layers
        for stage in chain
    )


def _find_chain(
    engine: desired_state.Engine, held_by_id: dict[str, targets.Target]
) -> placement_search.Chain:
    """Returns targets whose layers join to a whole model, within a zone first.

    The result is empty if there are none.
    """
    by_first: dict[int, list[targets.Target]] = {}
    for _, target in sorted(held_by_id.items()):
        by_first.setdefault(target.layers.first, []).append(target)
    # Positions from which the last layer can't be reached.
    dead_ends: set[int] = set()

    def extend(
        path: list[targets.Target], layer: int
    ) -> list[targets.Target] | None:
        if layer == engine.layers:
            return path
        if layer in dead_ends:
            return None
        zone = path[-1].zone if path else ''
        candidates = by_first.get(layer, [])
        for target in sorted(candidates, key=lambda each: each.zone != zone):
            found = extend([*path, target], target.layers.end)
            if found is not None:
                return found
        dead_ends.add(layer)
        return None

    return tuple(
        placement_search.PlacedStage(each.id, each.layers)
        for each in extend([], 0) or ()
    )
