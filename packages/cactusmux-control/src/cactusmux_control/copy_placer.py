"""Finds targets for another copy of a model, making room if needed."""

from collections.abc import Iterator, Mapping, Sequence
import sys

from . import copies
from . import packing
from . import placement_types
from . import tilings


class CopyPlacer:
    """Places copies one by one in the memory left by earlier ones."""

    def __init__(
        self,
        pool: Sequence[placement_types.PoolTarget],
        allocation: packing.MemoryAllocation,
        copies_by_model: Mapping[str, copies.ModelCopies],
        range_by_model: Mapping[str, placement_types.CopyRange],
    ) -> None:
        self._allocation = allocation
        self._copies_by_model = copies_by_model
        self._range_by_model = range_by_model
        self._areas = _list_areas(pool)

    def place(self, model: copies.ModelCopies) -> bool:
        """Places a copy; returns whether there was room."""
        return any(self._attempts(model))

    def supply_rank(self, name: str) -> tuple[int, float, str]:
        """Returns a sort key: below minimum, below floor, then by share."""
        model = self._copies_by_model[name]
        wanted = self._range_by_model[name]
        minimum = model.demand.model.min_copies
        count = len(model.current)
        if count < minimum:
            return 0, count / minimum, name
        if count < wanted.floor:
            return 1, count / wanted.floor, name
        return 2, count / max(1, wanted.low), name

    def _attempts(self, model: copies.ModelCopies) -> Iterator[bool]:
        """Tries to place a copy, making more room with each attempt."""
        # Filling gaps between old copies would split new ones into many small
        # stages.
        most_stages = max(
            (len(copy.tiling) for copy in model.old),
            default=model.demand.model.layers,
        )
        yield self._try_place(model, False, most_stages)
        for other in self._copies_by_model.values():
            if other is not model:
                other.drop_spare()
        yield self._try_place(model, False, most_stages)
        yield self._replace_one_old(model)
        yield self._try_place(model, True)
        if not self._may_take_from_others(model):
            return
        while self._drop_above_floor(model):
            yield self._try_place(model, True)

    def _replace_one_old(self, model: copies.ModelCopies) -> bool:
        """Replaces one old copy by one of the wanted variant.

        If no single old copy makes enough room, one is dropped without a
        replacement once all current copies are loaded, so that the version
        change makes progress.
        """
        old_copies = model.list_droppable_old()
        for old in old_copies:
            model.drop(old)
            if self._replace(model, old):
                return True
            if self._try_place(model, True):
                return True
            model.restore(old)
        if old_copies and model.reported == len(model.current) > 0:
            model.drop(old_copies[0])
        return False

    def _replace(self, model: copies.ModelCopies, old: copies.Copy) -> bool:
        """Places a copy on the targets of an old one, where it fits."""
        slices: list[packing.Slice] = []
        for piece in old.tiling:
            layers = (piece.first, piece.last)
            slices += self._allocation.fit(
                model.demand, layers, [piece.address], beside_own=True
            )
        if len(slices) < len(old.tiling):
            return False
        model.add((), slices)
        return True

    def _may_take_from_others(self, model: copies.ModelCopies) -> bool:
        """Returns whether models above their floor have to make room."""
        served = len(model.current) + len(model.old)
        return (
            not model.current
            or served < self._range_by_model[model.demand.name].floor
        )

    def _drop_above_floor(self, receiver: copies.ModelCopies) -> bool:
        """Drops a copy of the best supplied model above its floor."""
        droppable_models = [
            model
            for model in self._copies_by_model.values()
            if model is not receiver
            and len(model.current)
            > self._range_by_model[model.demand.name].floor
            and model.find_droppable() is not None
        ]
        if not droppable_models:
            return False
        donor = max(
            droppable_models, key=lambda m: self.supply_rank(m.demand.name)
        )
        copy = donor.find_droppable()
        assert copy is not None
        donor.drop(copy)
        return True

    def _try_place(
        self,
        model: copies.ModelCopies,
        beside_own: bool,
        most_stages: int = sys.maxsize,
    ) -> bool:
        for addresses in self._by_preference(model):
            spare = [p for p in model.spare if p.address in addresses]
            for cover in dict.fromkeys((tilings.best_cover(spare), ())):
                slices = self._fill(model, cover, addresses, beside_own)
                if slices is None:
                    continue
                if len(cover) + len(slices) <= most_stages:
                    model.add(cover, slices)
                    return True
        return False

    def _fill(
        self,
        model: copies.ModelCopies,
        cover: tilings.Tiling,
        addresses: dict[str, None],
        beside_own: bool,
    ) -> list[packing.Slice] | None:
        """Returns slices for the layers that ``cover`` lacks."""
        demand = model.demand
        used = {piece.address for piece in cover}
        slices: list[packing.Slice] = []
        for layers in tilings.missing_ranges(cover, demand.model.layers):
            candidates = [a for a in addresses if a not in used]
            found = self._allocation.fit(
                demand, layers, candidates, beside_own
            )
            if not found:
                return None
            slices += found
            used.update(one.address for one in found)
        return slices

    def _by_preference(
        self, model: copies.ModelCopies
    ) -> Iterator[dict[str, None]]:
        """Yields zones, then regions, then the whole pool.

        Zones are sorted by spare layers of the model (most first), copies
        of the model (fewest first) and free memory (most first).
        """
        count_by_zone = model.zone_counts()
        spare_by_zone: dict[str, int] = {}
        for piece in model.spare:
            layers = piece.last - piece.first
            spare_by_zone[piece.zone] = (
                spare_by_zone.get(piece.zone, 0) + layers
            )
        zones, larger = self._areas
        free_by_zone = {zone: self._allocation.free_mb(zone) for zone in zones}
        fitting = [
            zone
            for zone in zones
            if free_by_zone[zone] >= model.demand.copy_mb
            or zone in spare_by_zone
        ]
        fitting.sort(
            key=lambda zone: (
                -spare_by_zone.get(zone, 0),
                count_by_zone.get(zone, 0),
                -free_by_zone[zone],
                zone,
            )
        )
        for zone in fitting:
            yield zones[zone]
        yield from larger


def _list_areas(
    pool: Sequence[placement_types.PoolTarget],
) -> tuple[dict[str, dict[str, None]], list[dict[str, None]]]:
    """Returns addresses by zone, and those of larger areas by size."""
    zones: dict[str, dict[str, None]] = {}
    regions: dict[str, dict[str, None]] = {}
    for target in sorted(pool, key=lambda t: (t.region, t.zone, t.address)):
        zones.setdefault(target.zone, {})[target.address] = None
        regions.setdefault(target.region, {})[target.address] = None
    larger = list(regions.values())
    everywhere: dict[str, None] = {}
    for addresses in larger:
        everywhere.update(addresses)
    return zones, [*larger, everywhere]
