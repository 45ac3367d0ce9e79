"""The copies of one model while a plan is made."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusmux_platform import targets

from . import packing
from . import placement_types
from . import tilings


class Copy(NamedTuple):
    """A complete tiling of one variant; ``reported`` when all is loaded."""

    tiling: tilings.Tiling
    variant: placement_types.Variant
    reported: bool

    @property
    def zone(self) -> str:
        """The zone of the first stage."""
        return self.tiling[0].zone


class ModelCopies:
    """Copies of the wanted variant, of older ones, and spare pieces."""

    def __init__(
        self,
        demand: placement_types.ModelDemand,
        table: packing.MemoryAllocation,
        reported_by_address: Mapping[str, placement_types.Holdings],
    ) -> None:
        self.demand = demand
        self._table = table
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
        """Returns a current copy to give up, never the last loaded one.

        Copies that aren't loaded go first, then those of the fullest zone.
        """
        count_by_zone = self.zone_counts()
        choice = [
            copy
            for copy in self.current
            if not (copy.reported and self.reported == 1)
            and self._can_drop(copy)
        ]
        return min(
            choice,
            key=lambda c: (c.reported, -count_by_zone[c.zone], c.tiling),
            default=None,
        )

    def list_droppable_old(self) -> list[Copy]:
        """Returns old copies of which any one may go, the best to drop first.

        The last loaded one goes only when a copy of the wanted variant is
        loaded.
        """
        serving = sum(copy.reported for copy in self.old)
        choice = [
            copy
            for copy in self.old
            if not (copy.reported and serving == 1 and not self.reported)
            and self._can_drop(copy)
        ]
        return sorted(choice, key=lambda c: (c.reported, c.tiling))

    def drop(self, copy: Copy) -> None:
        """Takes a copy off its targets."""
        copies = self.current if copy in self.current else self.old
        copies.remove(copy)
        for piece in copy.tiling:
            self._drop_piece(piece, copy.variant)

    def restore(self, old: Copy) -> None:
        """Puts an old copy back that was dropped for nothing."""
        self.old.append(old)
        for piece in old.tiling:
            self._table.add(
                piece.address, _holding(old.variant, piece.first, piece.last)
            )

    def drop_spare(self) -> None:
        """Takes all pieces that are in no copy off their targets."""
        for piece in self.spare:
            self._drop_piece(piece, self.demand.variant)
        self.spare = []

    def add(
        self, cover: tilings.Tiling, slices: Iterable[packing.Slice]
    ) -> None:
        """Makes a copy of spare pieces and new slices."""
        pieces = list(cover)
        for one in slices:
            self._table.add(
                one.address,
                _holding(self.demand.variant, one.first, one.last),
            )
            zone = self._table.target_by_address[one.address].zone
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
        for address, target in self._table.target_by_address.items():
            for holding in self._table.held_by(address):
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
            self._sort_out(variant, pieces)

    def _sort_out(
        self, variant: placement_types.Variant, pieces: list[tilings.Piece]
    ) -> None:
        """Finds copies among loaded pieces first, then among the rest."""
        loaded = [p for p in pieces if self._is_loaded(p, variant)]
        known = set(loaded)
        layers = self.demand.model.layers
        serving = tilings.find_tilings(loaded, layers)
        rest = [p for p in pieces if p not in known] + serving.spare
        coming = tilings.find_tilings(rest, layers)
        copies = [Copy(t, variant, True) for t in serving.tilings]
        copies += [Copy(t, variant, False) for t in coming.tilings]
        if variant == self.demand.variant:
            self.current = copies
            self.spare = coming.spare
            return
        self.old += copies
        for piece in coming.spare:
            self._drop_piece(piece, variant)

    def _is_loaded(
        self, piece: tilings.Piece, variant: placement_types.Variant
    ) -> bool:
        holding = _holding(variant, piece.first, piece.last)
        return holding in self._reported_by_address.get(piece.address, ())

    def _can_drop(self, copy: Copy) -> bool:
        return not any(self._table.is_pinned(p.address) for p in copy.tiling)

    def _drop_piece(
        self, piece: tilings.Piece, variant: placement_types.Variant
    ) -> None:
        self._table.drop(
            piece.address, _holding(variant, piece.first, piece.last)
        )


def _holding(
    variant: placement_types.Variant, first: int, last: int
) -> targets.Holding:
    return targets.Holding(
        variant.model, variant.version, first, last, variant.adapters
    )
