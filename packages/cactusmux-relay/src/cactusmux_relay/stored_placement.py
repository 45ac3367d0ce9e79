"""Encoding of placements in the configuration store."""

from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_base import events
from cactusmux_platform import stores
import msgspec

from . import placement_search
from . import targets


class StoredPlacement(msgspec.Struct, frozen=True):
    """The stored form of a placement.

    :ivar chains: target id, first layer and end layer of each stage.
    :ivar version: rises by one with each change, 0 if it isn't known.
    """

    chains: list[list[tuple[str, int, int]]]
    version: int = 0


class VersionedPlacement(NamedTuple):
    """A placement and its version, which never goes back."""

    placement: placement_search.Placement
    version: int


UNPLACED = VersionedPlacement(placement_search.EMPTY, 0)


def encode(placement: placement_search.Placement, version: int) -> bytes:
    """Returns the stored value of a placement, without its spares."""
    rows = [
        [(each.target_id, *each.layers) for each in chain]
        for chain in placement.chains
    ]
    return msgspec.json.encode(StoredPlacement(rows, version))


def decode(entry: stores.Entry) -> VersionedPlacement:
    """Returns a stored placement, an empty one if it can't be decoded."""
    try:
        stored = decoding.from_json(entry.value, type=StoredPlacement)
    except decoding.Unreadable:
        events.error('placement_unreadable', key=entry.key)
        return UNPLACED
    placement = placement_search.Placement(
        tuple(
            tuple(
                placement_search.PlacedStage(
                    row[0], targets.LayerRange(row[1], row[2])
                )
                for row in chain
            )
            for chain in stored.chains
        ),
        (),
    )
    return VersionedPlacement(placement, stored.version)
