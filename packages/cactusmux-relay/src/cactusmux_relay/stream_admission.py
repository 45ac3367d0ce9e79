"""Whether a stream may begin now, by its urgency and by what others need.

It handles loads above the capacity of a service. Room is reserved for more
urgent requests in proportion to the tokens that they asked for lately, and
each less urgent rank is assured of a small part. It applies only to services
whose routes differ in urgency. All functions are pure.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from cactusmux_routing import max_min

from . import service_load

# News of the other instances arrive within about this time. Room is reserved
# for the more urgent requests that are expected to arrive meanwhile.
REACTION_S = 1.0
# Each rank and organisation is assured of this share of what it asks for,
# scaled down to the room. Callers are promised a quarter of the mean; 0.35
# served the lowest rank as well as the middle one when callers repeat at once.
ASSURED_SHARE = 0.3
# Share of its rank's limit up to which an organisation that holds more than
# its fair part is admitted, while the demand exceeds the room.
OVER_PART_LIMIT = 0.9
# One instance holds at most this many equal parts of the room, when it has
# fresh news of the others. Callers are spread at random and by the capacity of
# instances, so some instances get more than twice the mean.
MAX_EQUAL_PARTS = 3.0
# The largest share of the longest pause by which the limit for paths of less
# urgent requests is lowered.
PAUSE_RESERVE = 0.4
# Waits are estimated as if more urgent arrivals took at most this share of
# the room that becomes free, so that the estimate stays finite.
MAX_URGENT_SHARE = 0.9
# A request is rejected at once only if its expected wait is more than this
# many times the wait that it can afford: the estimate is rough.
WAIT_TOLERANCE = 2.0
# Shortest retry time of the most urgent rank; each further rank adds as much.
LEAST_RETRY_S = 0.3
# A rejected caller is recognised for 6 s, so it has to return before that.
LONGEST_RETRY_S = 5.0
# Retry times are drawn up to this factor above the expected time.
RETRY_SPREAD = 1.6


class Candidate(NamedTuple):
    """A request that asks for admission.

    :ivar rank: place of its urgency; 0 is the most urgent.
    :ivar organisation: its key, see
        :func:`service_load.organisation_key`.
    :ivar tokens: the memory that it needs.
    :ivar until: monotonic time after which it would miss its objective.
    :ivar is_returning: it was rejected a short time ago.
    """

    rank: int
    organisation: int
    tokens: float
    asked_at: float
    until: float
    is_returning: bool


class Activity(NamedTuple):
    """What the admitted streams of a service do.

    :ivar hold_s: mean time for which a stream holds its memory.
    :ivar resuming: the most urgent rank of this instance's streams that look
        for a path after a loss, ``None`` if there are none.
    """

    hold_s: float
    resuming: int | None = None


class Blocker(enum.StrEnum):
    """Why a request may not begin now; logged as ``barred_by``.

    :cvar RESUMING: a running stream of the same or a lower urgency looks for
        another path.
    :cvar ROOM: the whole service lacks room.
    :cvar OWN_PART: this instance holds what it may.
    :cvar KEPT: the rest of the room is reserved for more urgent ranks.
    :cvar OVER_PART: the organisation holds more than its fair part.
    """

    RESUMING = 'resuming_first'
    ROOM = 'room'
    OWN_PART = 'own_part'
    KEPT = 'kept_for_urgent'
    OVER_PART = 'over_part'


class Shares(NamedTuple):
    """How the room is divided under a pressure.

    :ivar limit_by_rank: tokens in use up to which a rank is admitted.
    :ivar assured_by_rank: tokens that a rank may hold in any case.
    :ivar part_by_organisation: tokens of each organisation's fair part;
        empty while the room suffices for all that is asked.
    """

    limit_by_rank: tuple[float, ...]
    assured_by_rank: tuple[float, ...]
    part_by_organisation: Mapping[int, float]


def divide(pressure: service_load.Pressure, hold_s: float) -> Shares:
    """Divides the room among ranks and organisations."""
    return Shares(
        _limits(pressure, hold_s),
        _assured(pressure, hold_s),
        _parts(pressure, hold_s),
    )


def _limits(
    pressure: service_load.Pressure, hold_s: float
) -> tuple[float, ...]:
    """Returns the room less what is kept for more urgent ranks.

    For each more urgent rank, the larger of two amounts is reserved: the
    tokens that arrive within :data:`REACTION_S`, or the tokens that its
    streams will hold at their present rate less those they hold already.
    """
    limits = []
    kept = 0.0
    for asked, held in zip(pressure.asked, pressure.held, strict=True):
        limits.append(max(0.0, pressure.room_tokens - kept))
        kept += max(asked * REACTION_S, asked * hold_s - held)
    return tuple(limits)


def _assured(
    pressure: service_load.Pressure, hold_s: float
) -> tuple[float, ...]:
    wanted = [asked * hold_s for asked in pressure.asked]
    share = _floor_share(pressure.room_tokens, sum(wanted))
    return tuple(share * each for each in wanted)


def _parts(pressure: service_load.Pressure, hold_s: float) -> dict[int, float]:
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
    """Returns which share of its demand each rank is assured of."""
    if wanted_tokens <= 0:
        return 0.0
    return ASSURED_SHARE * min(1.0, room_tokens / wanted_tokens)


def is_assured(
    pressure: service_load.Pressure, shares: Shares, rank: int
) -> bool:
    """Whether a rank holds less than it gets in any case."""
    return pressure.held[rank] < shares.assured_by_rank[rank]


def part_used(
    pressure: service_load.Pressure, shares: Shares, organisation: int
) -> float:
    """Returns what an organisation holds, as a share of its fair part.

    0 while the room suffices for all that is asked.
    """
    part = shares.part_by_organisation.get(organisation, 0.0)
    if part <= 0:
        return 0.0
    return pressure.held_by_organisation.get(organisation, 0.0) / part


def own_cap_tokens(pressure: service_load.Pressure) -> float:
    """Returns what this instance may hold, whatever it believes of others.

    An equal part without news, more with each instance heard of. All
    instances together thus hold at most :data:`MAX_EQUAL_PARTS` times the
    room, and the room alone where no news arrive.
    """
    part = pressure.room_tokens / pressure.instances
    return part * (1.0 + (MAX_EQUAL_PARTS - 1.0) * pressure.heard_share)


def find_blocker(
    pressure: service_load.Pressure,
    shares: Shares,
    candidate: Candidate,
    activity: Activity,
) -> Blocker | None:
    """Returns why a request may not begin now, ``None`` if it may.

    Without any news, an instance that has nothing under way may always
    begin one request: it never rejects everything.
    """
    if pressure.room_tokens <= 0:
        # Nothing is known that could be divided; the path decides.
        return None
    if activity.resuming is not None and activity.resuming <= candidate.rank:
        return Blocker.RESUMING
    if pressure.is_guess and pressure.own_tokens <= 0:
        return None
    after = pressure.used_tokens + candidate.tokens
    if after > pressure.room_tokens:
        return Blocker.ROOM
    own_after = pressure.own_tokens + candidate.tokens
    if pressure.own_tokens > 0 and own_after > own_cap_tokens(pressure):
        return Blocker.OWN_PART
    if is_assured(pressure, shares, candidate.rank):
        return None
    limit = shares.limit_by_rank[candidate.rank]
    if after > limit:
        return Blocker.KEPT
    is_over = part_used(pressure, shares, candidate.organisation) > 1.0
    if is_over and after > limit * OVER_PART_LIMIT:
        return Blocker.OVER_PART
    return None


def expected_wait_s(
    pressure: service_load.Pressure,
    shares: Shares,
    candidate: Candidate,
    activity: Activity,
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
    limit = shares.limit_by_rank[candidate.rank]
    if is_assured(pressure, shares, candidate.rank):
        limit = pressure.room_tokens
    missing = pressure.used_tokens + ahead_tokens + candidate.tokens - limit
    if missing <= 0:
        return 0.0
    freed_per_s = pressure.room_tokens / activity.hold_s
    urgent_per_s = sum(pressure.asked[: candidate.rank])
    least_per_s = freed_per_s * (1.0 - MAX_URGENT_SHARE)
    return missing / max(freed_per_s - urgent_per_s, least_per_s)


def pause_share(
    pressure: service_load.Pressure, shares: Shares, rank: int
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
