"""Complete tilings of a model by the layer ranges that targets hold.

Each piece belongs to at most one tiling. The pieces of a tiling are
contiguous and don't overlap, like the stages of a route.
"""

import bisect
import collections
from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Piece(NamedTuple):
    """Layers ``first`` to ``last`` (exclusive) on one target."""

    first: int
    last: int
    zone: str
    address: str


Tiling = tuple[Piece, ...]


class TilingResult(NamedTuple):
    """Tilings found, and the pieces that belong to none."""

    tilings: list[Tiling]
    spare: list[Piece]


def find_tilings(pieces: Iterable[Piece], layers: int) -> TilingResult:
    """Finds disjoint tilings of ``layers``, within a zone if possible."""
    pieces_by_zone = collections.defaultdict(list)
    for piece in pieces:
        pieces_by_zone[piece.zone].append(piece)
    tilings: list[Tiling] = []
    spare: list[Piece] = []
    for zone in sorted(pieces_by_zone):
        found = _extract(pieces_by_zone[zone], layers)
        tilings += found.tilings
        spare += found.spare
    if len(pieces_by_zone) > 1:
        across = _extract(spare, layers)
        return TilingResult(tilings + across.tilings, across.spare)
    return TilingResult(tilings, spare)


def best_cover(pieces: Sequence[Piece]) -> Tiling:
    """Returns non-overlapping pieces that cover the most layers."""
    ordered = sorted(pieces, key=lambda p: (p.last, p.first, p.address))
    lasts = [piece.last for piece in ordered]
    best: list[tuple[int, Tiling]] = [(0, ())]
    for index, piece in enumerate(ordered):
        before = bisect.bisect_right(lasts, piece.first, 0, index)
        covered, chosen = best[before]
        taken = (covered + piece.last - piece.first, (*chosen, piece))
        best.append(max(best[-1], taken, key=lambda one: one[0]))
    return best[-1][1]


def missing_ranges(
    pieces: Sequence[Piece], layers: int
) -> list[tuple[int, int]]:
    """Returns the layer ranges that ordered, disjoint pieces lack."""
    open_ranges = []
    position = 0
    for piece in pieces:
        if piece.first > position:
            open_ranges.append((position, piece.first))
        position = piece.last
    if position < layers:
        open_ranges.append((position, layers))
    return open_ranges


def _extract(pieces: Sequence[Piece], layers: int) -> TilingResult:
    pieces_by_range: dict[tuple[int, int], list[Piece]] = {}
    for piece in sorted(pieces, reverse=True):
        key = (piece.first, piece.last)
        pieces_by_range.setdefault(key, []).append(piece)
    tilings: list[Tiling] = []
    while True:
        path = _find_path(pieces_by_range, layers)
        if not path:
            break
        tilings.append(tuple(pieces_by_range[key].pop() for key in path))
    spare = [piece for left in pieces_by_range.values() for piece in left]
    return TilingResult(tilings, sorted(spare))


def _find_path(
    pieces_by_range: dict[tuple[int, int], list[Piece]], layers: int
) -> list[tuple[int, int]]:
    """Returns ranges from 0 to ``layers``; prefers the most common ones."""
    step_from: dict[int, tuple[int, int]] = {}
    reaches = {layers}
    for key in sorted(pieces_by_range, reverse=True):
        first, last = key
        count = len(pieces_by_range[key])
        if not count or last not in reaches:
            continue
        reaches.add(first)
        known = step_from.get(first)
        if known is None or count > len(pieces_by_range[known]):
            step_from[first] = key
    path = []
    position = 0
    while position != layers:
        if position not in step_from:
            return []
        path.append(step_from[position])
        position = step_from[position][1]
    return path
