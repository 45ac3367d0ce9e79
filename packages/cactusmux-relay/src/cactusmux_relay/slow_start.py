"""Slow-start limit on the requests to a target that started or recovered.

A cold target that receives its full load answers all of it late; a target
that receives nothing is of no use. The same holds for many targets that
return at once. The limit is a share of the target's full use. It starts
small, doubles while responses arrive in the expected time, and is halved when
they don't; from then on it increases by small steps. All instances derive the
same number of permits from it and own different ones, so that the total is
bounded without messages.
"""

import enum
from typing import NamedTuple
import zlib

from . import cost_model
from . import desired_state
from . import instance_rank
from . import path_choice
from . import targets

# Share of a target's full use after a start, or after it was down. Three
# doublings then lead to full use.
START_SHARE = 1.0 / 8.0
# After a backoff or an ejection the target is warm, but was full or failing a
# moment ago. With 1/8, most instances of a large fleet have no permit at all.
BACKED_OFF_SHARE = 1.0 / 2.0
MIN_SHARE = 1.0 / 16.0
# A target that is slow at shares up to this one is cold rather than
# overloaded. With 1/8, a target that was warm after 5 s took 14 s to reach
# half of its use, as the limit increased by small steps only.
COLD_SHARE = 1.0 / 4.0
DECREASE_FACTOR = 0.5
# Minimum time between doublings. Slow responses arrive after the objective
# (0.5 s) and fast ones before it, so the fast ones alone would raise the limit
# too far.
DOUBLING_PERIOD_S = 0.5
# Additive increase above the share at which responses were slow, and the
# minimum time between two increases. At full use, the limit has to work for
# the same time before it is removed.
STEP_SHARE = 1.0 / 16.0
STEP_PERIOD_S = 1.0
FULL_SHARE = 1.0
# The limit increases only if at least this fraction of it is in use.
MIN_USED_SHARE = 0.5
# Without a bad response the limit increases once in this time, so that it is
# removed 8 s after a start even if no response allows a conclusion.
QUIET_PERIOD_S = 2.0
# Maximum lifetime of a limit. Circuit breakers and reported slowdown factors
# handle targets that stay slow or keep failing.
MAX_AGE_S = 60.0
# Time after which permits pass to other instances. It is about as long as a
# request holds one, so that few requests of earlier owners are still running.
PLAIN_EPOCH_S = 1.0
STREAM_EPOCH_S = 4.0


class Verdict(enum.StrEnum):
    """Assessment of a target by one response; used in logs."""

    NEAR = 'near'
    FAIR = 'fair'
    SILENT = 'silent'
    SLOW = 'slow'
    REJECTED = 'rejected'
    FAILED = 'failed'


DECREASING_VERDICTS = frozenset(
    (Verdict.SLOW, Verdict.REJECTED, Verdict.FAILED)
)


class Cause(enum.StrEnum):
    """Why a limit was set; used in logs and metrics."""

    STARTED = 'started'
    DOWN = 'down'
    EJECTED = 'ejected'
    BACKED_OFF = 'backed_off'


_WARM_CAUSES = frozenset((Cause.EJECTED, Cause.BACKED_OFF))


class SlowStartLimit(NamedTuple):
    """Limit on a target since one of its starts or recoveries.

    Times are monotonic, in seconds.

    :ivar share: fraction of the target's full use that all instances together
        may use.
    :ivar threshold: share up to which the limit doubles; responses have been
        slow above it.
    :ivar begun_at: time at which the limit was set.
    :ivar fallen_at: time of the last decrease; responses to requests sent
        before it don't decrease the limit again.
    :ivar quiet_at: time since which no response has opposed an increase.
    :ivar changed_at: time at which the share last changed.
    """

    cause: Cause
    share: float
    threshold: float
    begun_at: float
    fallen_at: float
    quiet_at: float
    changed_at: float


def initial_limit(
    cause: Cause, now: float, known: SlowStartLimit | None
) -> SlowStartLimit:
    """Returns the limit after a start or recovery.

    It is never above a limit that is already in place.
    """
    share = START_SHARE
    if cause in _WARM_CAUSES:
        share = BACKED_OFF_SHARE
    threshold = FULL_SHARE
    if known is not None:
        share = min(share, known.share)
        threshold = max(share, known.threshold)
    return SlowStartLimit(cause, share, threshold, now, now, now, now)


def may_increase(limit: SlowStartLimit, now: float) -> bool:
    """Whether the last change is long enough ago for an increase."""
    period_s = STEP_PERIOD_S
    if limit.share < limit.threshold:
        period_s = DOUBLING_PERIOD_S
    return now - limit.changed_at >= period_s


def increased(limit: SlowStartLimit, now: float) -> SlowStartLimit:
    """Returns the limit after a response in the expected time."""
    share = limit.share + STEP_SHARE
    if limit.share < limit.threshold:
        share = min(limit.threshold, 2.0 * limit.share)
    share = min(share, FULL_SHARE)
    return limit._replace(
        share=share,
        threshold=max(limit.threshold, share),
        quiet_at=now,
        changed_at=now,
    )


def decreased(
    limit: SlowStartLimit, sent_at: float, now: float
) -> SlowStartLimit:
    """Returns the limit after a bad response.

    Responses to requests sent before the last decrease result from the same
    load, so they don't decrease the limit again. A target that is slow at
    small shares is cold, not overloaded: its limit may double again once it
    is warm.

    :param sent_at: monotonic time at which the request was sent.
    """
    if sent_at < limit.fallen_at:
        return limit._replace(quiet_at=now)
    share = max(MIN_SHARE, limit.share * DECREASE_FACTOR)
    is_loaded = limit.share > COLD_SHARE
    return limit._replace(
        share=share,
        threshold=share if is_loaded else limit.threshold,
        fallen_at=now,
        quiet_at=now,
        changed_at=now,
    )


def increased_by_peer(
    limit: SlowStartLimit, share: float, now: float
) -> SlowStartLimit:
    """Returns the limit after a peer has reported a higher share.

    It increases at most to the share at which responses were slow here.
    """
    share = min(share, limit.threshold, FULL_SHARE)
    if share <= limit.share:
        return limit
    return limit._replace(share=share, quiet_at=now, changed_at=now)


def is_increase_due(limit: SlowStartLimit, now: float) -> bool:
    """Whether the limit increases for lack of bad responses."""
    return now - limit.quiet_at >= QUIET_PERIOD_S


def is_expired(limit: SlowStartLimit, now: float) -> bool:
    """Whether the limit has reached its maximum lifetime."""
    return now - limit.begun_at >= MAX_AGE_S


def is_serving(target: targets.Target) -> bool:
    """Whether a target can serve requests; a model target needs layers."""
    return not target.card or target.layers.size > 0


def full_use_requests(
    target: targets.Target, engine: desired_state.Engine | None
) -> float:
    """Returns how many requests of usual size a target runs at full use."""
    max_requests = max(1.0, float(target.slots))
    if engine is None or target.card not in engine.card_by_name:
        return max_requests
    card = engine.card_by_name[target.card]
    room = cost_model.kv_cache_tokens(engine, card, target.layers.size)
    usual = max(1.0, engine.usual_prompt + engine.usual_answer)
    fitting_requests = room * path_choice.MAX_CACHE_FILL / usual
    return max(1.0, min(max_requests, fitting_requests))


def total_permits(limit: SlowStartLimit, max_requests: float) -> int:
    """Returns how many requests all instances together may run there."""
    return max(1, int(limit.share * max_requests))


def permit_epoch_s(engine: desired_state.Engine | None) -> float:
    """Returns how many seconds permits stay with their owners."""
    return PLAIN_EPOCH_S if engine is None else STREAM_EPOCH_S


def own_permits(
    count: int,
    rank: instance_rank.InstanceRank,
    start: targets.Start,
    epoch: int,
) -> int:
    """Returns how many of the permits this instance owns in an epoch.

    The results of all instances sum up to ``count``. If there are fewer
    permits than instances, their owners change with each epoch and differ
    between starts.

    :param count: number of permits of all instances.
    """
    instances = max(1, rank.instances)
    name = f'{start.target_id} {start.born_ms} {epoch}'
    place = (rank.place + zlib.crc32(name.encode())) % instances
    return (count - place - 1) // instances + 1 if place < count else 0


def classify_time(measured_s: float, near_s: float, slow_s: float) -> Verdict:
    """Classifies a measured time as near the expected one, fair or slow."""
    if measured_s > slow_s:
        return Verdict.SLOW
    return Verdict.NEAR if measured_s <= near_s else Verdict.FAIR
