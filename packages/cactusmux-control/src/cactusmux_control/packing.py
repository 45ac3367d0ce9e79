"""Memory allocation of the pool's targets during planning."""

from collections.abc import Iterable, Mapping, Sequence
import heapq
import math
from typing import NamedTuple

from cactusmux_platform import targets

from . import placement_types


class Slice(NamedTuple):
    """Layers to add to a target."""

    address: str
    first: int
    last: int


class MemoryAllocation:
    """Holdings of each target, and the memory that is free.

    Holdings of pinned targets don't change.
    """

    def __init__(
        self,
        pool: Sequence[placement_types.PoolTarget],
        holdings_by_address: Mapping[str, placement_types.Holdings],
        demand_by_model: Mapping[str, placement_types.ModelDemand],
        limits: placement_types.Limits,
        pinned: frozenset[str],
    ) -> None:
        self.target_by_address = {target.address: target for target in pool}
        self._demand_by_model = demand_by_model
        self._pinned = pinned
        self._before = dict(holdings_by_address)
        self._holdings_by_address: dict[str, list[targets.Holding]] = {
            target.address: [] for target in pool
        }
        self._free_mb = {
            target.address: target.memory_mb * limits.usable_memory
            for target in pool
        }
        self._free_mb_by_zone: dict[str, float] = {}
        for target in pool:
            free_mb_of_zone = self._free_mb_by_zone.get(target.zone, 0.0)
            free_mb_of_zone += self._free_mb[target.address]
            self._free_mb_by_zone[target.zone] = free_mb_of_zone
        self._service_mb: dict[tuple[str, str], float] = {}
        self.changed: set[str] = set()
        for address in self._holdings_by_address:
            for holding in holdings_by_address.get(address, ()):
                self._add_holding(address, holding)

    def holdings(self) -> dict[str, placement_types.Holdings]:
        """Returns the holdings of each target, in a fixed order."""
        return {
            address: self._sorted(holdings)
            for address, holdings in sorted(self._holdings_by_address.items())
        }

    def held_by(self, address: str) -> Sequence[targets.Holding]:
        """Returns the holdings of one target."""
        return self._holdings_by_address[address]

    def is_pinned(self, address: str) -> bool:
        """Returns whether the target must keep its holdings."""
        return address in self._pinned

    def free_mb(self, zone: str) -> float:
        """Returns the free memory of a zone, in MB."""
        return self._free_mb_by_zone[zone]

    def add(self, address: str, holding: targets.Holding) -> None:
        """Adds a holding to a target."""
        self._add_holding(address, holding)
        self._update_changed(address)

    def drop(self, address: str, holding: targets.Holding) -> None:
        """Removes a holding from a target that is not pinned."""
        if address in self._pinned:
            return
        self._holdings_by_address[address].remove(holding)
        self._update_usage(address, holding, -1.0)
        self._update_changed(address)

    def fit(
        self,
        demand: placement_types.ModelDemand,
        layers: tuple[int, int],
        candidates: Sequence[str],
        beside_own: bool,
    ) -> list[Slice]:
        """Divides a layer range over as few of the candidates as possible.

        Less loaded targets are chosen first; the sizes of their slices are
        proportional to their speed. Returns an empty list if the range
        doesn't fit. ``beside_own`` permits targets that already hold other
        layers of the variant.
        """
        fitting_by_address = {
            address: fitting
            for address in candidates
            if (
                fitting := self._count_fitting_layers(
                    demand, layers, address, beside_own
                )
            )
            > 0
        }
        needed = layers[1] - layers[0]
        if sum(fitting_by_address.values()) < needed:
            return []
        chosen = self._choose(demand, fitting_by_address, needed)
        return self._divide(chosen, fitting_by_address, layers)

    def _choose(
        self,
        demand: placement_types.ModelDemand,
        fitting_by_address: Mapping[str, int],
        needed: int,
    ) -> list[str]:
        """Returns targets that hold the layers; prefers large shares."""
        large_share = min(needed, max(fitting_by_address.values())) / 2

        def preference(address: str) -> tuple[bool, float, float, str, str]:
            target = self.target_by_address[address]
            service_mb = self._service_mb.get((address, demand.service), 0.0)
            free = self._free_mb[address] / target.memory_mb
            return (
                fitting_by_address[address] < large_share,
                service_mb / target.speed,
                -free,
                target.accelerator,
                address,
            )

        ranked = [
            (preference(address), address) for address in fitting_by_address
        ]
        heapq.heapify(ranked)
        chosen: list[str] = []
        while needed > 0:
            address = heapq.heappop(ranked)[1]
            chosen.append(address)
            needed -= fitting_by_address[address]
        return chosen

    def _divide(
        self,
        chosen: Sequence[str],
        fitting_by_address: Mapping[str, int],
        layers: tuple[int, int],
    ) -> list[Slice]:
        speed_left = sum(self.target_by_address[a].speed for a in chosen)
        fitting_left = sum(fitting_by_address[address] for address in chosen)
        position, last = layers
        slices = []
        for address in chosen:
            speed = self.target_by_address[address].speed
            fitting = fitting_by_address[address]
            fitting_left -= fitting
            left = last - position
            length = math.ceil(left * speed / speed_left)
            length = min(fitting, max(length, left - fitting_left))
            if length > 0:
                slices.append(Slice(address, position, position + length))
            position += length
            speed_left -= speed
        return slices

    def _count_fitting_layers(
        self,
        demand: placement_types.ModelDemand,
        layers: tuple[int, int],
        address: str,
        beside_own: bool,
    ) -> int:
        """Returns the number of layers that fit on the target."""
        if address in self._pinned:
            return 0
        for holding in self._holdings_by_address[address]:
            if holding.model != demand.name or not is_of(
                holding, demand.variant
            ):
                continue
            overlaps = holding.first < layers[1] and layers[0] < holding.last
            if overlaps or not beside_own:
                return 0
        return int(self._free_mb[address] // demand.model.layer_mb)

    def _add_holding(self, address: str, holding: targets.Holding) -> None:
        self._holdings_by_address[address].append(holding)
        self._update_usage(address, holding, 1.0)

    def _update_usage(
        self, address: str, holding: targets.Holding, sign: float
    ) -> None:
        demand = self._demand_by_model.get(holding.model)
        if demand is None:
            return
        size_mb = (holding.last - holding.first) * demand.model.layer_mb
        self._free_mb[address] -= sign * size_mb
        zone = self.target_by_address[address].zone
        self._free_mb_by_zone[zone] -= sign * size_mb
        key = (address, demand.service)
        self._service_mb[key] = self._service_mb.get(key, 0.0) + sign * size_mb

    def _update_changed(self, address: str) -> None:
        before = set(self._before.get(address, ()))
        if before == set(self._holdings_by_address[address]):
            self.changed.discard(address)
        else:
            self.changed.add(address)

    def _sorted(
        self, holdings: Iterable[targets.Holding]
    ) -> placement_types.Holdings:
        """Sorts the wanted variant first, as engines use the first match."""

        def order(holding: targets.Holding) -> tuple[str, bool, int, str]:
            demand = self._demand_by_model.get(holding.model)
            is_old = demand is None or not is_of(holding, demand.variant)
            return holding.model, is_old, holding.first, holding.version

        return tuple(sorted(holdings, key=order))


def is_of(holding: targets.Holding, variant: placement_types.Variant) -> bool:
    """Returns whether a holding is a piece of a variant."""
    return (
        holding.model == variant.model
        and holding.version == variant.version
        and holding.adapters == variant.adapters
    )
