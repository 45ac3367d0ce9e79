"""Admission control for streams by urgency and by fair shares.

It handles loads above the capacity of a service. Capacity is reserved for
more urgent requests in proportion to the tokens that they requested recently,
and each rank is assured of a small share. It applies only to services whose
routes differ in urgency. All functions are pure.

Capacity is counted in tokens of KV cache on the usable targets of a service.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from cactusmux_routing import max_min

from . import service_load

# Gossip from peers arrives within about this time. Capacity is reserved for
# the more urgent requests that are expected to arrive in the meantime.
GOSSIP_DELAY_S = 1.0
# Each rank and organisation is assured of this share of its demand, scaled
# down to the capacity. Callers are promised a quarter of the mean share. With
# 0.35, the lowest rank was served as well as the middle one when callers
# retried immediately.
ASSURED_SHARE = 0.3
# While the demand exceeds the capacity, an organisation above its fair share
# is admitted up to this fraction of its rank's limit.
OVER_FAIR_SHARE_LIMIT = 0.9
# With recent reports from its peers, an instance may hold at most this many
# equal shares of the capacity. Callers are distributed at random and by the
# capacity of the instances, so some instances get more than twice the mean.
MAX_EQUAL_SHARES = 3.0
# Maximum fraction by which the longest pause allowed on a path is reduced for
# less urgent requests.
PAUSE_RESERVE = 0.4
# Wait estimates assume that more urgent arrivals take at most this share of
# the capacity that becomes free, which keeps the estimate finite.
MAX_URGENT_SHARE = 0.9
# A new request is rejected immediately only if its expected wait exceeds the
# wait that its objective allows by this factor, because the estimate is rough.
WAIT_TOLERANCE = 2.0
# Minimum retry delay of the most urgent rank; each further rank adds as much.
MIN_RETRY_S = 0.3
# A rejected caller is recognised for 6 s, so it has to retry before that.
MAX_RETRY_S = 5.0
# Retry delays are drawn between the expected wait and this multiple of it.
RETRY_SPREAD = 1.6


class Candidate(NamedTuple):
    """A request that asks for admission.

    :ivar rank: index of its urgency; 0 is the most urgent.
    :ivar organisation: its key, see
        :func:`service_load.organisation_key`.
    :ivar tokens: tokens of KV cache that it needs.
    :ivar asked_at: monotonic time of its arrival.
    :ivar until: monotonic time after which it would miss its objective.
    :ivar is_returning: whether it was rejected a short time ago.
    """

    rank: int
    organisation: int
    tokens: float
    asked_at: float
    until: float
    is_returning: bool


class Activity(NamedTuple):
    """State of the admitted streams of a service.

    :ivar hold_s: mean time for which a stream holds its KV cache.
    :ivar resuming: most urgent rank among this instance's streams that lost
        their path and search for another one, ``None`` if there are none.
    """

    hold_s: float
    resuming: int | None = None


class Blocker(enum.StrEnum):
    """Why a request may not start now; logged as ``barred_by``.

    :cvar RESUMING: a running stream of the same or a higher urgency searches
        for another path.
    :cvar ROOM: the whole service lacks capacity.
    :cvar OWN_PART: this instance has reached its own limit.
    :cvar KEPT: the remaining capacity is reserved for more urgent ranks.
    :cvar OVER_PART: the organisation exceeds its fair share.
    """

    RESUMING = 'resuming_first'
    ROOM = 'room'
    OWN_PART = 'own_part'
    KEPT = 'kept_for_urgent'
    OVER_PART = 'over_part'


class Shares(NamedTuple):
    """Division of the capacity at a given load.

    :ivar limit_by_rank: tokens in use up to which a rank is admitted.
    :ivar assured_by_rank: tokens that a rank may hold in any case.
    :ivar part_by_organisation: fair share of each organisation in tokens;
        empty while the capacity covers the whole demand.
    """

    limit_by_rank: tuple[float, ...]
    assured_by_rank: tuple[float, ...]
    part_by_organisation: Mapping[int, float]


def divide_capacity(load: service_load.ServiceLoad, hold_s: float) -> Shares:
    """Divides the capacity among ranks and organisations."""
    return Shares(
        _rank_limits(load, hold_s),
        _assured_tokens(load, hold_s),
        _fair_shares(load, hold_s),
    )


def _rank_limits(
    load: service_load.ServiceLoad, hold_s: float
) -> tuple[float, ...]:
    """Returns the capacity minus what is reserved for more urgent ranks.

    For each more urgent rank, the larger of two amounts is reserved: the
    tokens that arrive within :data:`GOSSIP_DELAY_S`, or the tokens that its
    streams will hold at the present arrival rate minus those already held.
    """
    limits = []
    reserved = 0.0
    for asked, held in zip(load.asked, load.held, strict=True):
        limits.append(max(0.0, load.room_tokens - reserved))
        reserved += max(asked * GOSSIP_DELAY_S, asked * hold_s - held)
    return tuple(limits)


def _assured_tokens(
    load: service_load.ServiceLoad, hold_s: float
) -> tuple[float, ...]:
    demand = [asked * hold_s for asked in load.asked]
    share = _assured_share(load.room_tokens, sum(demand))
    return tuple(share * each for each in demand)


def _fair_shares(
    load: service_load.ServiceLoad, hold_s: float
) -> dict[int, float]:
    demand_by_key = {
        key: asked * hold_s
        for key, asked in load.asked_by_organisation.items()
    }
    total = sum(demand_by_key.values())
    if total <= load.room_tokens:
        return {}
    share = _assured_share(load.room_tokens, total)
    portion_by_key = max_min.divide(
        load.room_tokens,
        {
            key: max_min.Claim(demand, 1.0, share * demand)
            for key, demand in demand_by_key.items()
        },
    )
    return {key: each.potential for key, each in portion_by_key.items()}


def _assured_share(room_tokens: float, demand_tokens: float) -> float:
    """Returns the fraction of its demand that each rank is assured of."""
    if demand_tokens <= 0:
        return 0.0
    return ASSURED_SHARE * min(1.0, room_tokens / demand_tokens)


def is_assured(
    load: service_load.ServiceLoad, shares: Shares, rank: int
) -> bool:
    """Whether a rank holds less than its assured share."""
    return load.held[rank] < shares.assured_by_rank[rank]


def fair_share_used(
    load: service_load.ServiceLoad, shares: Shares, organisation: int
) -> float:
    """Returns what an organisation holds as a fraction of its fair share.

    0 while the capacity covers the whole demand.
    """
    share_tokens = shares.part_by_organisation.get(organisation, 0.0)
    if share_tokens <= 0:
        return 0.0
    return load.held_by_organisation.get(organisation, 0.0) / share_tokens


def instance_limit_tokens(load: service_load.ServiceLoad) -> float:
    """Returns this instance's own limit, independent of the peers' load.

    It is an equal share without any reports from peers, and grows with each
    peer that reports. All instances together thus hold at most
    :data:`MAX_EQUAL_SHARES` times the capacity, and no more than the capacity
    where no reports arrive.
    """
    share_tokens = load.room_tokens / load.instances
    return share_tokens * (
        1.0 + (MAX_EQUAL_SHARES - 1.0) * load.report_coverage
    )


def find_blocker(
    load: service_load.ServiceLoad,
    shares: Shares,
    candidate: Candidate,
    activity: Activity,
) -> Blocker | None:
    """Returns why a request may not start now, ``None`` if it may.

    Without any reports from peers, an instance that has no stream running
    may always start one, so that it never rejects everything.
    """
    if load.room_tokens <= 0:
        # The capacity is unknown; the path search decides.
        return None
    if activity.resuming is not None and activity.resuming <= candidate.rank:
        return Blocker.RESUMING
    if load.has_no_reports and load.own_tokens <= 0:
        return None
    after = load.used_tokens + candidate.tokens
    if after > load.room_tokens:
        return Blocker.ROOM
    own_after = load.own_tokens + candidate.tokens
    if load.own_tokens > 0 and own_after > instance_limit_tokens(load):
        return Blocker.OWN_PART
    if is_assured(load, shares, candidate.rank):
        return None
    limit = shares.limit_by_rank[candidate.rank]
    if after > limit:
        return Blocker.KEPT
    exceeds_share = fair_share_used(load, shares, candidate.organisation) > 1.0
    if exceeds_share and after > limit * OVER_FAIR_SHARE_LIMIT:
        return Blocker.OVER_PART
    return None


def expected_wait_s(
    load: service_load.ServiceLoad,
    shares: Shares,
    candidate: Candidate,
    activity: Activity,
    ahead_tokens: float,
) -> float:
    """Estimates the seconds until there is capacity for a request.

    Capacity becomes free as streams end, minus what more urgent requests ask
    for.

    :param ahead_tokens: tokens of the requests that are served before it,
        over all instances.
    """
    if load.room_tokens <= 0:
        return 0.0
    limit = shares.limit_by_rank[candidate.rank]
    if is_assured(load, shares, candidate.rank):
        limit = load.room_tokens
    missing = load.used_tokens + ahead_tokens + candidate.tokens - limit
    if missing <= 0:
        return 0.0
    freed_per_s = load.room_tokens / activity.hold_s
    urgent_per_s = sum(load.asked[: candidate.rank])
    min_freed_per_s = freed_per_s * (1.0 - MAX_URGENT_SHARE)
    return missing / max(freed_per_s - urgent_per_s, min_freed_per_s)


def pause_share(
    load: service_load.ServiceLoad, shares: Shares, rank: int
) -> float:
    """Returns the fraction of the longest pause that a path may use."""
    if load.room_tokens <= 0:
        return 1.0
    limit = shares.limit_by_rank[rank] / load.room_tokens
    return 1.0 - PAUSE_RESERVE * (1.0 - min(1.0, limit))


def retry_after_s(expected_s: float, draw: float, rank: int) -> float:
    """Returns after how many seconds a rejected caller is to retry.

    :param draw: random number from 0 to 1, which spreads the retries.
    """
    min_s = MIN_RETRY_S * (1 + rank)
    within_s = min(max(expected_s, min_s), MAX_RETRY_S / RETRY_SPREAD)
    return within_s * (1.0 + (RETRY_SPREAD - 1.0) * draw)
