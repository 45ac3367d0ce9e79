"""Whether a stream may begin now, by its urgency and by what others need.

It answers a load above what a service can carry: room is kept for more
urgent requests, by what was lately asked of them, and a small part of it
for each less urgent kind. Only services whose routes differ in urgency are
decided here. All functions are pure.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from cactusmux_routing import max_min

from . import service_pressure

# An instance learns from the others' news within about this time; more
# urgent requests that arrive meanwhile find room that was kept for them.
REACTION_S = 1.0
# Share of its even part of the room that each rank and organisation gets in
# any case. Callers are promised a quarter of the mean.
ASSURED_SHARE = 0.3
# An organisation that holds more than its part leaves this share of the room
# to others while the demand passes the room.
OVER_PART_LIMIT = 0.9
# How far one instance may go beyond an equal part of the room, at most, when
# it hears of others. Callers are spread at random and by the capacity of
# instances, so some instances get more than twice the mean.
MOST_PARTS = 3.0
# Less urgent requests leave this much of the longest pause at the most.
PAUSE_RESERVE = 0.4
# More urgent arrivals never take away more than this of what becomes free.
MOST_TAKEN = 0.9
# A request waits although room is expected this many times too late: the
# expectation is that rough.
PATIENCE = 2.0
LEAST_RETRY_S = 0.3
# A rejected caller is recognised for six seconds.
LONGEST_RETRY_S = 5.0
# Retry times are drawn up to this factor above the expected time.
RETRY_SPREAD = 1.6


class Ask(NamedTuple):
    """What is known of a request that wants to begin.

    :ivar rank: of its urgency, 0 first.
    :ivar organisation: its key, see :mod:`service_pressure`.
    :ivar until: monotonic time after which it would miss its objective.
    :ivar is_returning: it was rejected a short time ago.
    """

    rank: int
    organisation: int
    tokens: float
    asked_at: float
    until: float
    is_returning: bool


class Course(NamedTuple):
    """What goes on at the service besides the fill.

    :ivar hold_s: for which a stream holds its memory, on average.
    :ivar resuming: least rank of our streams that look for a path after a
        loss, ``None`` if there are none.
    """

    hold_s: float
    resuming: int | None = None


class Bar(enum.StrEnum):
    """What keeps a request from beginning; used in logs."""

    RESUMING = 'resuming_first'
    ROOM = 'room'
    OWN_PART = 'own_part'
    KEPT = 'kept_for_urgent'
    OVER_PART = 'over_part'


class Shares(NamedTuple):
    """How the room is divided under a pressure.

    :ivar limit_by_rank: tokens in use up to which a rank is admitted.
    :ivar assured_by_rank: tokens that a rank may hold in any case.
    :ivar part_by_organisation: tokens that each may hold; empty while the
        room suffices for all that is asked.
    """

    limit_by_rank: tuple[float, ...]
    assured_by_rank: tuple[float, ...]
    part_by_organisation: Mapping[int, float]


def divide(pressure: service_pressure.Pressure, hold_s: float) -> Shares:
    """Divides the room among ranks and organisations."""
    return Shares(
        _limits(pressure, hold_s),
        _assured(pressure, hold_s),
        _parts(pressure, hold_s),
    )


def _limits(
    pressure: service_pressure.Pressure, hold_s: float
) -> tuple[float, ...]:
    """Returns the room less what is kept for more urgent ranks.

    For each of these it is what arrives until news get around, or what its
    streams lack of what they will hold at their present rate, if that is
    more.
    """
    limits = []
    kept = 0.0
    for asked, held in zip(pressure.asked, pressure.held, strict=True):
        limits.append(max(0.0, pressure.room_tokens - kept))
        kept += max(asked * REACTION_S, asked * hold_s - held)
    return tuple(limits)


def _assured(
    pressure: service_pressure.Pressure, hold_s: float
) -> tuple[float, ...]:
    wanted = [asked * hold_s for asked in pressure.asked]
    share = _floor_share(pressure.room_tokens, sum(wanted))
    return tuple(share * each for each in wanted)


def _parts(
    pressure: service_pressure.Pressure, hold_s: float
) -> dict[int, float]:
    wanted_by_key = {
        key: asked * hold_s
        for key, asked in pressure.asked_by_organisation.items()
    }
    total = sum(wanted_by_key.values())
    if total <= pressure.room_tokens:
        return {}
    share = _floor_share(pressure.room_tokens, total)
    portion_by_key = max_min.divide(
        pressure.room_tokens,
        {
            key: max_min.Claim(wanted, 1.0, share * wanted)
            for key, wanted in wanted_by_key.items()
        },
    )
    return {key: each.potential for key, each in portion_by_key.items()}


def _floor_share(room_tokens: float, wanted_tokens: float) -> float:
    """Returns the part of what each wants that it gets in any case."""
    if wanted_tokens <= 0:
        return 0.0
    return ASSURED_SHARE * min(1.0, room_tokens / wanted_tokens)


def is_assured(
    pressure: service_pressure.Pressure, shares: Shares, rank: int
) -> bool:
    """Whether a rank holds less than it gets in any case."""
    return pressure.held[rank] < shares.assured_by_rank[rank]


def part_used(
    pressure: service_pressure.Pressure, shares: Shares, organisation: int
) -> float:
    """Returns what an organisation holds, as a share of its fair part.

    0 while the room suffices for all that is asked.
    """
    part = shares.part_by_organisation.get(organisation, 0.0)
    if part <= 0:
        return 0.0
    return pressure.held_by_organisation.get(organisation, 0.0) / part


def own_cap_tokens(pressure: service_pressure.Pressure) -> float:
    """Returns what this instance may hold, whatever it believes of others.

    An equal part without news, more with each instance heard of. All
    instances together thus hold at most :data:`MOST_PARTS` times the room,
    and the room alone where no news arrive.
    """
    part = pressure.room_tokens / pressure.instances
    return part * (1.0 + (MOST_PARTS - 1.0) * pressure.heard_share)


def bar(
    pressure: service_pressure.Pressure,
    shares: Shares,
    ask: Ask,
    course: Course,
) -> Bar | None:
    """Returns what keeps a request from beginning now, if anything does.

    Without any news, an instance that has nothing under way may always
    begin one request: it never rejects everything.
    """
    if pressure.room_tokens <= 0:
        # Nothing is known that could be divided; the path decides.
        return None
    if course.resuming is not None and course.resuming <= ask.rank:
        return Bar.RESUMING
    if pressure.is_guess and pressure.own_tokens <= 0:
        return None
    after = pressure.used_tokens + ask.tokens
    if after > pressure.room_tokens:
        return Bar.ROOM
    own_after = pressure.own_tokens + ask.tokens
    if pressure.own_tokens > 0 and own_after > own_cap_tokens(pressure):
        return Bar.OWN_PART
    if is_assured(pressure, shares, ask.rank):
        return None
    limit = shares.limit_by_rank[ask.rank]
    if after > limit:
        return Bar.KEPT
    is_over = part_used(pressure, shares, ask.organisation) > 1.0
    if is_over and after > limit * OVER_PART_LIMIT:
        return Bar.OVER_PART
    return None


def expected_wait_s(
    pressure: service_pressure.Pressure,
    shares: Shares,
    ask: Ask,
    course: Course,
    ahead_tokens: float,
) -> float:
    """Returns in how many seconds there will be room for a request.

    Room becomes free as streams end; what more urgent requests ask for is
    taken off that.

    :param ahead_tokens: of the requests that are served before it, over
        all instances.
    """
    if pressure.room_tokens <= 0:
        return 0.0
    limit = shares.limit_by_rank[ask.rank]
    if is_assured(pressure, shares, ask.rank):
        limit = pressure.room_tokens
    missing = pressure.used_tokens + ahead_tokens + ask.tokens - limit
    if missing <= 0:
        return 0.0
    freed_per_s = pressure.room_tokens / course.hold_s
    urgent_per_s = sum(pressure.asked[: ask.rank])
    least_per_s = freed_per_s * (1.0 - MOST_TAKEN)
    return missing / max(freed_per_s - urgent_per_s, least_per_s)


def pause_share(
    pressure: service_pressure.Pressure, shares: Shares, rank: int
) -> float:
    """Returns how much of the longest pause a request's path may take."""
    if pressure.room_tokens <= 0:
        return 1.0
    limit = shares.limit_by_rank[rank] / pressure.room_tokens
    return 1.0 - PAUSE_RESERVE * (1.0 - min(1.0, limit))


def retry_after_s(expected_s: float, draw: float, rank: int) -> float:
    """Returns after how many seconds a rejected caller is to return.

    :param draw: from 0 to 1, so that callers don't return together.
    """
    least_s = LEAST_RETRY_S * (1 + rank)
    within_s = min(max(expected_s, least_s), LONGEST_RETRY_S / RETRY_SPREAD)
    return within_s * (1.0 + (RETRY_SPREAD - 1.0) * draw)
