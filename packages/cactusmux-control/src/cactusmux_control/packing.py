"""Memory of the pool's targets while a plan is made."""

from collections.abc import Iterable, Mapping, Sequence
import heapq
import math
from typing import NamedTuple

from cactusmux_platform import targets

from . import placement_types


class Slice(NamedTuple):
    """Layers that a target is to hold in addition."""

    address: str
    first: int
    last: int


class MemoryAllocation:
    """Holdings of each target, and the room that is left.

    Pinned targets neither lose nor gain holdings.
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
            room_mb = self._free_mb_by_zone.get(target.zone, 0.0)
            room_mb += self._free_mb[target.address]
            self._free_mb_by_zone[target.zone] = room_mb
        self._service_mb: dict[tuple[str, str], float] = {}
        self.changed: set[str] = set()
        for address in self._holdings_by_address:
            for holding in holdings_by_address.get(address, ()):
                self._put(address, holding)

    def holdings(self) -> dict[str, placement_types.Holdings]:
        """Returns what each target holds, in a fixed order."""
        return {
            address: self._sorted(holdings)
            for address, holdings in sorted(self._holdings_by_address.items())
        }

    def held_by(self, address: str) -> Sequence[targets.Holding]:
        """Returns what one target holds."""
        return self._holdings_by_address[address]

    def is_pinned(self, address: str) -> bool:
        """Tells whether the target must keep what it holds."""
        return address in self._pinned

    def free_mb(self, zone: str) -> float:
        """Returns the room in a zone, in MB."""
        return self._free_mb_by_zone[zone]

    def add(self, address: str, holding: targets.Holding) -> None:
        """Adds a holding to a target."""
        self._put(address, holding)
        self._note_change(address)

    def drop(self, address: str, holding: targets.Holding) -> None:
        """Takes a holding off a target, unless that is pinned."""
        if address in self._pinned:
            return
        self._holdings_by_address[address].remove(holding)
        self._count(address, holding, -1.0)
        self._note_change(address)

    def fit(
        self,
        demand: placement_types.ModelDemand,
        layers: tuple[int, int],
        candidates: Sequence[str],
        beside_own: bool,
    ) -> list[Slice]:
        """Divides a layer range over as few of the candidates as it can.

        Less loaded targets come first, then slices follow their speed.
        Returns nothing when the range doesn't fit. ``beside_own`` allows
        targets that already hold other layers of the variant.
        """
        room_by_address = {
            address: room
            for address in candidates
            if (room := self._room(demand, layers, address, beside_own)) > 0
        }
        needed = layers[1] - layers[0]
        if sum(room_by_address.values()) < needed:
            return []
        chosen = self._choose(demand, room_by_address, needed)
        return self._divide(chosen, room_by_address, layers)

    def _choose(
        self,
        demand: placement_types.ModelDemand,
        room_by_address: Mapping[str, int],
        needed: int,
    ) -> list[str]:
        """Returns targets whose room is enough; roomy ones come first."""
        roomy = min(needed, max(room_by_address.values())) / 2

        def preference(address: str) -> tuple[bool, float, float, str, str]:
            target = self.target_by_address[address]
            service_mb = self._service_mb.get((address, demand.service), 0.0)
            free = self._free_mb[address] / target.memory_mb
            return (
                room_by_address[address] < roomy,
                service_mb / target.speed,
                -free,
                target.accelerator,
                address,
            )

        ranked = [
            (preference(address), address) for address in room_by_address
        ]
        heapq.heapify(ranked)
        chosen: list[str] = []
        while needed > 0:
            address = heapq.heappop(ranked)[1]
            chosen.append(address)
            needed -= room_by_address[address]
        return chosen

    def _divide(
        self,
        chosen: Sequence[str],
        room_by_address: Mapping[str, int],
        layers: tuple[int, int],
    ) -> list[Slice]:
        speed_left = sum(self.target_by_address[a].speed for a in chosen)
        room_left = sum(room_by_address[address] for address in chosen)
        position, last = layers
        slices = []
        for address in chosen:
            speed = self.target_by_address[address].speed
            room = room_by_address[address]
            room_left -= room
            left = last - position
            length = math.ceil(left * speed / speed_left)
            length = min(room, max(length, left - room_left))
            if length > 0:
                slices.append(Slice(address, position, position + length))
            position += length
            speed_left -= speed
        return slices

    def _room(
        self,
        demand: placement_types.ModelDemand,
        layers: tuple[int, int],
        address: str,
        beside_own: bool,
    ) -> int:
        """Returns how many of the layers fit on the target."""
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

    def _put(self, address: str, holding: targets.Holding) -> None:
        self._holdings_by_address[address].append(holding)
        self._count(address, holding, 1.0)

    def _count(
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

    def _note_change(self, address: str) -> None:
        before = set(self._before.get(address, ()))
        if before == set(self._holdings_by_address[address]):
            self.changed.discard(address)
        else:
            self.changed.add(address)

    def _sorted(
        self, holdings: Iterable[targets.Holding]
    ) -> placement_types.Holdings:
        """Puts the wanted variant first: engines take the first match."""

        def order(holding: targets.Holding) -> tuple[str, bool, int, str]:
            demand = self._demand_by_model.get(holding.model)
            is_old = demand is None or not is_of(holding, demand.variant)
            return holding.model, is_old, holding.first, holding.version

        return tuple(sorted(holdings, key=order))


def is_of(holding: targets.Holding, variant: placement_types.Variant) -> bool:
    """Tells whether a holding is a piece of a variant."""
    return (
        holding.model == variant.model
        and holding.version == variant.version
        and holding.adapters == variant.adapters
    )
