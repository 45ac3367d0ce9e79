"""How many requests a target gets after it has started or recovered.

It answers targets that are cold after a start, or that return many at once:
sent their full load they would answer all of it late, and sent nothing they
would be of no use. The limit is a share of the target's full use. It begins
small, doubles while answers come in the time expected, and is halved where
they don't; from then on it grows by small steps. All instances compute the
same seats from it and own different ones, so that no message is needed to
keep the sum.
"""

import enum
from typing import NamedTuple
import zlib

from . import cost_model
from . import desired_state
from . import instance_rank
from . import path_choice
from . import targets

# Share of a target's full use after a start, or after it was down.
# Three doublings then lead to full use.
START_SHARE = 1.0 / 8.0
# After a back-off or an ejection the target is warm, but was full or failed a
# moment ago. With 1/8, most instances of a large fleet have no seat at all.
BACKED_OFF_SHARE = 1.0 / 2.0
LEAST_SHARE = 1.0 / 16.0
# Slow up to here a target is cold rather than overloaded. With 1/8, one that
# was warm after 5 s took 14 s to half of its use, by small steps alone.
COLD_SHARE = 1.0 / 4.0
FALL_FACTOR = 0.5
# The limit doubles at most this often: slow answers come after the objective
# (0.5 s), fast ones before, so that these alone would raise it too far.
RISE_PERIOD_S = 0.5
# Growth beyond the share at which answers were slow, and how often at most.
# It is also for how long full use has to go well.
STEP_SHARE = 1.0 / 16.0
STEP_PERIOD_S = 1.0
FULL_SHARE = 1.0
# A rise needs at least this share of the limit to be in use.
USED_SHARE = 0.5
# Without a bad answer the limit rises once in this time, so that it is gone
# 8 s after a start also where no answer tells anything.
QUIET_ROUND_S = 2.0
# Whatever happens, a start is no reason for a limit for longer than this;
# breakers and reported paces deal with targets that stay bad.
MAX_AGE_S = 60.0
# Seats change hands so often: about as long as a request holds one, so that
# few requests of earlier owners are still under way.
PLAIN_EPOCH_S = 1.0
STREAM_EPOCH_S = 4.0


class Verdict(enum.StrEnum):
    """What an answer says of the targets that gave it; used in logs."""

    NEAR = 'near'
    FAIR = 'fair'
    SILENT = 'silent'
    SLOW = 'slow'
    REJECTED = 'rejected'
    FAILED = 'failed'


LOWERING = frozenset((Verdict.SLOW, Verdict.REJECTED, Verdict.FAILED))


class Cause(enum.StrEnum):
    """Why a limit has begun; used in logs and metrics."""

    STARTED = 'started'
    DOWN = 'down'
    EJECTED = 'ejected'
    BACKED_OFF = 'backed_off'


_WARM = frozenset((Cause.EJECTED, Cause.BACKED_OFF))


class PaceLimit(NamedTuple):
    """The limit of one start of a target.

    :ivar share: of the target's full use that all instances may have there.
    :ivar threshold: share up to which the limit doubles; above it answers
        have been slow.
    :ivar fallen_at: requests sent before this have been counted already.
    :ivar quiet_at: since when nothing has spoken against a rise.
    :ivar changed_at: when the share changed.
    """

    cause: Cause
    share: float
    threshold: float
    begun_at: float
    fallen_at: float
    quiet_at: float
    changed_at: float


def begin(cause: Cause, now: float, known: PaceLimit | None) -> PaceLimit:
    """Returns the limit after a start or recovery, never above a known one."""
    share = START_SHARE
    if cause in _WARM:
        share = BACKED_OFF_SHARE
    threshold = FULL_SHARE
    if known is not None:
        share = min(share, known.share)
        threshold = max(share, known.threshold)
    return PaceLimit(cause, share, threshold, now, now, now, now)


def may_rise(limit: PaceLimit, now: float) -> bool:
    """Whether the last change is long enough ago for the next rise."""
    period_s = STEP_PERIOD_S
    if limit.share < limit.threshold:
        period_s = RISE_PERIOD_S
    return now - limit.changed_at >= period_s


def raised(limit: PaceLimit, now: float) -> PaceLimit:
    """Returns the limit after an answer that was as expected."""
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


def fallen(limit: PaceLimit, sent_at: float, now: float) -> PaceLimit:
    """Returns the limit after a bad answer to a request sent at a time.

    Answers to what was sent before the last fall come from the same load, so
    they don't lower it again. A target that is slow at small shares is
    cold, not overloaded: its limit may double again once it is warm.
    """
    if sent_at < limit.fallen_at:
        return limit._replace(quiet_at=now)
    share = max(LEAST_SHARE, limit.share * FALL_FACTOR)
    is_loaded = limit.share > COLD_SHARE
    return limit._replace(
        share=share,
        threshold=share if is_loaded else limit.threshold,
        fallen_at=now,
        quiet_at=now,
        changed_at=now,
    )


def lifted(limit: PaceLimit, share: float, now: float) -> PaceLimit:
    """Returns the limit after another instance told of its own.

    It lifts ours to where answers were slow here, no further.
    """
    share = min(share, limit.threshold, FULL_SHARE)
    if share <= limit.share:
        return limit
    return limit._replace(share=share, quiet_at=now, changed_at=now)


def is_due(limit: PaceLimit, now: float) -> bool:
    """Whether the limit rises because nothing has spoken against it."""
    return now - limit.quiet_at >= QUIET_ROUND_S


def is_over(limit: PaceLimit, now: float) -> bool:
    """Whether the start or recovery is too long ago to matter."""
    return now - limit.begun_at >= MAX_AGE_S


def is_serving(target: targets.Target) -> bool:
    """Whether a target can be sent requests; a model's needs layers."""
    return not target.card or target.layers.size > 0


def full_requests(
    target: targets.Target, engine: desired_state.Engine | None
) -> float:
    """Returns the requests of usual size at a target's full use."""
    most = max(1.0, float(target.slots))
    if engine is None or target.card not in engine.card_by_name:
        return most
    card = engine.card_by_name[target.card]
    room = cost_model.kv_cache_tokens(engine, card, target.layers.size)
    usual = max(1.0, engine.usual_prompt + engine.usual_answer)
    fitting = room * path_choice.MAX_CACHE_FILL / usual
    return max(1.0, min(most, fitting))


def seats(limit: PaceLimit, full: float) -> int:
    """Returns how many requests all instances together may have there."""
    return max(1, int(limit.share * full))


def epoch_s(engine: desired_state.Engine | None) -> float:
    """Returns how long seats stay with their owners."""
    return PLAIN_EPOCH_S if engine is None else STREAM_EPOCH_S


def part(
    count: int,
    turn: instance_rank.InstanceRank,
    start: targets.Start,
    epoch: int,
) -> int:
    """Returns how many of the seats are this instance's in an epoch.

    Over all instances the parts sum up to the seats. Fewer seats than
    instances go to others in each epoch, and for each start.
    """
    instances = max(1, turn.instances)
    name = f'{start.target_id} {start.born_ms} {epoch}'
    place = (turn.place + zlib.crc32(name.encode())) % instances
    return (count - place - 1) // instances + 1 if place < count else 0


def judged(measured_s: float, near_s: float, slow_s: float) -> Verdict:
    """Returns what a time says: as expected, slow, or between."""
    if measured_s > slow_s:
        return Verdict.SLOW
    return Verdict.NEAR if measured_s <= near_s else Verdict.FAIR
