"""Repairs a placement after targets are gone, leave, or have come."""

from collections.abc import Iterable

from . import chains
from . import cost_model
from . import desired
from . import placing
from . import targets

# A replacement may leave this share of its chain's room.
ROOM_SHARE = 0.5


def repair(
    engine: desired.Engine,
    placement: placing.Placement,
    members: Iterable[targets.Target],
    known_ids: frozenset[str],
) -> placing.Placement:
    """Returns a placement in which spares stand in for missing targets.

    A hole that can't be filled stays while its target may come back; a
    chain whose target is gone for good is built anew of what is left.

    :param members: targets that may get new work.
    :param known_ids: ids of all targets that haven't gone for good.
    """
    target_by_id = {
        each.id: each for each in members if each.card in engine.card_by_name
    }
    spares = _Spares(engine, placement, target_by_id)
    repaired = [
        _fill_holes(engine, chain, target_by_id, spares)
        for chain in placement.chains
    ]
    kept: list[placing.Chain] = []
    for chain in repaired:
        missing = [each for each in chain if each.target_id not in known_ids]
        if not missing:
            kept.append(chain)
            continue
        rebuilt = _rebuild(engine, chain, target_by_id, spares)
        if rebuilt:
            kept.append(rebuilt)
    used = {each.target_id for chain in kept for each in chain}
    left = sorted(set(target_by_id) - used)
    return placing.Placement(tuple(kept), tuple(left))


class _Spares:
    """Targets outside all chains, those with most memory last."""

    def __init__(
        self,
        engine: desired.Engine,
        placement: placing.Placement,
        target_by_id: dict[str, targets.Target],
    ) -> None:
        used = placement.layers_by_target()
        self._engine = engine
        self.free = [
            each
            for target_id, each in sorted(target_by_id.items())
            if target_id not in used
        ]

    def most(self, target: targets.Target, room: float) -> int:
        card = self._engine.card_by_name[target.card]
        return cost_model.most_layers(self._engine, card, room)

    def take(
        self, layers: targets.LayerRange, room: float, zone: str
    ) -> list[placing.Placed] | None:
        """Returns parts that cover ``layers``, ``None`` if there are none."""
        ranked = sorted(
            self.free,
            key=lambda each: (
                each.zone != zone,
                self._pace(each),
                -self.most(each, room),
            ),
        )
        parts = []
        first = layers.first
        for target in ranked:
            if first >= layers.end:
                break
            count = min(self.most(target, room), layers.end - first)
            if count > 0:
                part = targets.LayerRange(first, first + count)
                parts.append(placing.Placed(target.id, part))
                first += count
        if first < layers.end:
            return None
        taken = {each.target_id for each in parts}
        self.free = [each for each in self.free if each.id not in taken]
        return parts

    def _pace(self, target: targets.Target) -> float:
        return self._engine.card_by_name[target.card].step_pace


def _fill_holes(
    engine: desired.Engine,
    chain: placing.Chain,
    target_by_id: dict[str, targets.Target],
    spares: _Spares,
) -> placing.Chain:
    room = _room(engine, chain, target_by_id)
    parts: list[placing.Placed] = []
    for placed in chain:
        if placed.target_id in target_by_id:
            parts.append(placed)
            continue
        zone = _main_zone(chain, target_by_id)
        replaced = spares.take(placed.layers, room * ROOM_SHARE, zone)
        parts.extend(replaced if replaced is not None else [placed])
    return tuple(parts)


def _rebuild(
    engine: desired.Engine,
    chain: placing.Chain,
    target_by_id: dict[str, targets.Target],
    spares: _Spares,
) -> placing.Chain:
    """Shares all layers among the chain's targets and all spares."""
    own = [
        target_by_id[each.target_id]
        for each in chain
        if each.target_id in target_by_id
    ]
    members = own + spares.free
    groups = tuple(
        sorted({chains.Group(each.card, each.zone) for each in members})
    )
    if not groups:
        return ()
    rater = chains.ChainRater(engine, groups)
    composition = tuple(
        sum(1 for each in members if (each.card, each.zone) == group)
        for group in groups
    )
    room = rater.room(composition)
    if room <= 0:
        spares.free = members
        return ()
    rebuilt = placing.share_layers(engine, members, room)
    used = {each.target_id for each in rebuilt}
    spares.free = [each for each in members if each.id not in used]
    return rebuilt


def _room(
    engine: desired.Engine,
    chain: placing.Chain,
    target_by_id: dict[str, targets.Target],
) -> float:
    rooms = [
        cost_model.room_tokens(
            engine,
            engine.card_by_name[target_by_id[each.target_id].card],
            each.layers.size,
        )
        for each in chain
        if each.target_id in target_by_id
    ]
    return min(rooms, default=0.0)


def _main_zone(
    chain: placing.Chain, target_by_id: dict[str, targets.Target]
) -> str:
    zones = [
        target_by_id[each.target_id].zone
        for each in chain
        if each.target_id in target_by_id
    ]
    return max(sorted(set(zones)), key=zones.count, default='')
