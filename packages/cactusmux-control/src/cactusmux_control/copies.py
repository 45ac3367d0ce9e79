"""The copies of one model during planning."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusmux_platform import targets

from . import packing
from . import placement_types
from . import tilings


class Copy(NamedTuple):
    """A complete tiling of a variant; ``reported`` if all of it is loaded."""

    tiling: tilings.Tiling
    variant: placement_types.Variant
    reported: bool

    @property
    def zone(self) -> str:
        """The zone of the first stage."""
        return self.tiling[0].zone


class ModelCopies:
    """Copies of the wanted variant and of old ones, and unused pieces."""

    def __init__(
        self,
        demand: placement_types.ModelDemand,
        allocation: packing.MemoryAllocation,
        reported_by_address: Mapping[str, placement_types.Holdings],
    ) -> None:
        self.demand = demand
        self._allocation = allocation
        self._reported_by_address = reported_by_address
        self.current: list[Copy] = []
        self.old: list[Copy] = []
        self.spare: list[tilings.Piece] = []
        self._find()

    @property
    def reported(self) -> int:
        """The number of copies of the wanted variant that are loaded."""
        return sum(copy.reported for copy in self.current)

    def zone_counts(self) -> dict[str, int]:
        """Returns the number of current copies by zone."""
        count_by_zone: dict[str, int] = {}
        for copy in self.current:
            count_by_zone[copy.zone] = count_by_zone.get(copy.zone, 0) + 1
        return count_by_zone

    def find_droppable(self) -> Copy | None:
        """Returns a current copy to drop, never the last loaded one.

        Prefers copies that aren't loaded, then those of the zone with the
        most copies.
        """
        count_by_zone = self.zone_counts()
        candidates = [
            copy
            for copy in self.current
            if not (copy.reported and self.reported == 1)
            and self._can_drop(copy)
        ]
        return min(
            candidates,
            key=lambda c: (c.reported, -count_by_zone[c.zone], c.tiling),
            default=None,
        )

    def list_droppable_old(self) -> list[Copy]:
        """Returns old copies of which one may be dropped, in order.

        The last loaded one may be dropped only when a copy of the wanted
        variant is loaded.
        """
        loaded_count = sum(copy.reported for copy in self.old)
        candidates = [
            copy
            for copy in self.old
            if not (copy.reported and loaded_count == 1 and not self.reported)
            and self._can_drop(copy)
        ]
        return sorted(candidates, key=lambda c: (c.reported, c.tiling))

    def drop(self, copy: Copy) -> None:
        """Removes a copy from its targets."""
        copies = self.current if copy in self.current else self.old
        copies.remove(copy)
        for piece in copy.tiling:
            self._drop_piece(piece, copy.variant)

    def restore(self, old: Copy) -> None:
        """Restores an old copy whose removal did not make enough room."""
        self.old.append(old)
        for piece in old.tiling:
            self._allocation.add(
                piece.address, _holding(old.variant, piece.first, piece.last)
            )

    def drop_spare(self) -> None:
        """Removes all pieces that belong to no copy from their targets."""
        for piece in self.spare:
            self._drop_piece(piece, self.demand.variant)
        self.spare = []

    def add(
        self, cover: tilings.Tiling, slices: Iterable[packing.Slice]
    ) -> None:
        """Adds a copy made of spare pieces and new slices."""
        pieces = list(cover)
        for one in slices:
            self._allocation.add(
                one.address,
                _holding(self.demand.variant, one.first, one.last),
            )
            zone = self._allocation.target_by_address[one.address].zone
            pieces.append(
                tilings.Piece(one.first, one.last, zone, one.address)
            )
        for piece in cover:
            self.spare.remove(piece)
        tiling = tuple(sorted(pieces))
        self.current.append(Copy(tiling, self.demand.variant, False))

    def _find(self) -> None:
        pieces_by_variant: dict[
            placement_types.Variant, list[tilings.Piece]
        ] = {self.demand.variant: []}
        for address, target in self._allocation.target_by_address.items():
            for holding in self._allocation.held_by(address):
                if holding.model != self.demand.name:
                    continue
                variant = placement_types.Variant(
                    holding.model, holding.version, holding.adapters
                )
                pieces_by_variant.setdefault(variant, []).append(
                    tilings.Piece(
                        holding.first, holding.last, target.zone, address
                    )
                )
        for variant, pieces in sorted(pieces_by_variant.items()):
            self._classify(variant, pieces)

    def _classify(
        self, variant: placement_types.Variant, pieces: list[tilings.Piece]
    ) -> None:
        """Builds copies from loaded pieces first, then from the others."""
        loaded = [p for p in pieces if self._is_loaded(p, variant)]
        loaded_pieces = set(loaded)
        layers = self.demand.model.layers
        loaded_tilings = tilings.find_tilings(loaded, layers)
        rest = [
            p for p in pieces if p not in loaded_pieces
        ] + loaded_tilings.spare
        pending = tilings.find_tilings(rest, layers)
        copies = [Copy(t, variant, True) for t in loaded_tilings.tilings]
        copies += [Copy(t, variant, False) for t in pending.tilings]
        if variant == self.demand.variant:
            self.current = copies
            self.spare = pending.spare
            return
        self.old += copies
        for piece in pending.spare:
            self._drop_piece(piece, variant)

    def _is_loaded(
        self, piece: tilings.Piece, variant: placement_types.Variant
    ) -> bool:
        holding = _holding(variant, piece.first, piece.last)
        return holding in self._reported_by_address.get(piece.address, ())

    def _can_drop(self, copy: Copy) -> bool:
        return not any(
            self._allocation.is_pinned(p.address) for p in copy.tiling
        )

    def _drop_piece(
        self, piece: tilings.Piece, variant: placement_types.Variant
    ) -> None:
        self._allocation.drop(
            piece.address, _holding(variant, piece.first, piece.last)
        )


def _holding(
    variant: placement_types.Variant, first: int, last: int
) -> targets.Holding:
    return targets.Holding(
        variant.model, variant.version, first, last, variant.adapters
    )
