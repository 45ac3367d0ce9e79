"""Chooses who loses its memory when callers hold as much as they may.

A request that has arrived whole may be running, so it isn't ended here unless
its caller sends on far ahead. Of the others, those go first that got the least
further lately for the bytes that they hold.
"""

from collections.abc import Iterable
import enum
import math
from typing import NamedTuple

# A body lags if less than this part of it arrived lately.
LAG_FRACTION = 0.125
# An ordinary request holds no more; heavier ones are ended before it.
LIGHT_BYTES = 65536
# An ordinary caller sends no more ahead while its request is served: the head
# of the next one.
ORDINARY_AHEAD_BYTES = 16384


class Phase(enum.Enum):
    """How far the request of a connection has come."""

    ARRIVING = 'arriving'
    IN_SERVICE = 'in_service'
    ANSWERING = 'answering'


class Held(NamedTuple):
    """What one connection holds.

    :ivar held_bytes: bytes held; of the one that asks, with what it asks for.
    :ivar recent_bytes: bytes that it received or had read lately.
    :ivar began_at: when its request began, in seconds.
    :ivar ahead_bytes: bytes sent ahead while its request is served.
    """

    key: int
    phase: Phase
    held_bytes: int
    recent_bytes: int
    began_at: float
    ahead_bytes: int = 0


class RoomChoice(NamedTuple):
    """Whether there is room, and which connections are ended for it."""

    is_granted: bool
    ended_keys: tuple[int, ...] = ()


class _Rank(enum.IntEnum):
    """Groups of connections, in the order in which they are ended."""

    LAGGING = 0
    UNREAD = 1
    AHEAD = 2
    HEAVY = 3
    LIGHT = 4
    NEVER = 5


def choose(
    asker: Held, others: Iterable[Held], excess_bytes: int
) -> RoomChoice:
    """Decides who gives way so that ``excess_bytes`` become free.

    Nobody is ended if the asker would be next, or if it wouldn't suffice.
    """
    ended: list[int] = []
    freed_bytes = 0
    for held in sorted([asker, *others], key=_order):
        if freed_bytes >= excess_bytes:
            break
        if held is asker or _rank(held) is _Rank.NEVER:
            return RoomChoice(is_granted=False)
        ended.append(held.key)
        freed_bytes += held.held_bytes
    return RoomChoice(freed_bytes >= excess_bytes, tuple(ended))


def _rank(held: Held) -> _Rank:
    if held.phase is Phase.IN_SERVICE:
        is_ordinary = held.ahead_bytes <= ORDINARY_AHEAD_BYTES
        return _Rank.NEVER if is_ordinary else _Rank.AHEAD
    if held.phase is Phase.ANSWERING:
        return _Rank.NEVER if held.recent_bytes else _Rank.UNREAD
    if held.recent_bytes < held.held_bytes * LAG_FRACTION:
        return _Rank.LAGGING
    return _Rank.HEAVY if held.held_bytes > LIGHT_BYTES else _Rank.LIGHT


def _order(held: Held) -> tuple[_Rank, float, float]:
    """Sorts by group; in it, the slowest, heaviest or newest first."""
    rank = _rank(held)
    if rank is _Rank.LAGGING:
        progress = held.recent_bytes / held.held_bytes
        return (rank, progress, -held.held_bytes)
    if rank in (_Rank.UNREAD, _Rank.AHEAD):
        return (rank, 0.0, -held.held_bytes)
    if rank is _Rank.NEVER:
        return (rank, math.inf, 0.0)
    return (rank, 0.0, -held.began_at)
