"""Rate limits that targets name in their responses, as known here.

A target in need names the requests a second that it accepts from all
instances together. The limit holds for one start of the target, for as long
as its responses name it.
"""

from collections.abc import Callable, Mapping
import enum
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

from . import dialect
from . import target_registry
from . import targets

REVIEW_PERIOD_S = 0.5
# How long the end of a limit is remembered, so that peers learn of it and
# their older data doesn't restore the limit.
ENDED_KEPT_S = 10.0
MAX_RECORDS = 4096
# Higher limits are no limits to any instance.
MAX_PER_S = 1e9
# Error of times that peers tell by their age: the way of the message. What is
# hardly later than the known time has only been around.
AGE_ERROR_S = 0.05
# A limit is kept for this time after its target has disappeared from the list,
# as entries may return.
ABSENT_KEPT_S = 60.0
# All instances together send this many requests a second to a target whose
# limit is lower, as only a response can say that the limit has ended.
MIN_TRIAL_PER_S = 0.1


class Source(enum.StrEnum):
    """How an instance learned of a limit; used in logs."""

    ANSWER = 'answer'
    PEER = 'peer'


class EndReason(enum.StrEnum):
    """Why a limit ended; used in logs."""

    NOT_NAMED = 'not_named'
    RESTARTED = 'restarted'
    GONE = 'gone'


class RateLimit(NamedTuple):
    """The latest that is known of one target's limit.

    :ivar per_s: requests a second, ``None`` once the target names none.
    :ivar at: monotonic time for which this is known: when a response that
        named the limit arrived, or when the request was sent whose response
        named none.
    :ivar changed_at: monotonic time at which this instance learned of it.
    """

    per_s: float | None
    at: float
    changed_at: float = 0.0


def _ignore() -> None:
    pass


class RateLimits:
    """Stores the limits by start of the target.

    :param announce: called after each change, to tell the peers.
    """

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        announce: Callable[[], None] = _ignore,
    ) -> None:
        self._announce = announce
        self._registry = registry
        self._timer = timer
        self._metric = metric
        self._limit_by_start: dict[targets.Start, RateLimit] = {}
        self._unreadable_by_id: dict[str, str] = {}

    def start(self) -> None:
        """Starts to drop limits that don't hold any more."""
        self._timer.every(REVIEW_PERIOD_S, self.review)

    @property
    def limit_by_start(self) -> Mapping[targets.Start, RateLimit]:
        """All records, with the limits that have ended a short time ago."""
        return self._limit_by_start

    def per_s(self, start: targets.Start) -> float | None:
        """Returns the rate that is allowed, ``None`` without a limit.

        However old or low the limit is, some requests are sent: their
        responses confirm or end it.
        """
        known = self._limit_by_start.get(start)
        if known is None or known.per_s is None:
            return None
        return max(known.per_s, MIN_TRIAL_PER_S)

    def record_response(
        self,
        target: targets.Target,
        reading: dialect.RateLimitReading,
        sent_at: float,
    ) -> None:
        """Records what a target's response says of its limit.

        :param sent_at: monotonic time at which the request was sent. Only a
            response to a request that was sent after the limit was last named
            can end it, as responses may arrive in another order.
        """
        start = target.start
        if reading.unreadable:
            self._log_unreadable(start, reading.unreadable)
            return
        if reading.per_s is not None:
            per_s = min(reading.per_s, MAX_PER_S)
            self._record(start, per_s, self._timer.now())
        elif self.per_s(start) is not None:
            self._record(start, None, sent_at)

    def _record(
        self, start: targets.Start, per_s: float | None, at: float
    ) -> None:
        found = RateLimit(per_s, at, self._timer.now())
        self.merge(start, found, Source.ANSWER)

    def merge(
        self, start: targets.Start, found: RateLimit, source: Source
    ) -> bool:
        """Applies what is known of a limit; returns whether it has changed."""
        known = self._limit_by_start.get(start)
        if known is not None and found.at <= known.at:
            return False
        if known is None and found.per_s is None:
            return False
        if known is None and len(self._limit_by_start) >= MAX_RECORDS:
            return False
        before = None if known is None else known.per_s
        if known is not None and found.per_s == before:
            is_forwarded = found.at - known.at <= AGE_ERROR_S
            if source is Source.PEER and is_forwarded:
                return False
            kept = found._replace(changed_at=known.changed_at)
            self._limit_by_start[start] = kept
            return False
        self._limit_by_start[start] = found
        self._log_change(start, before, found, source)
        self._announce()
        return True

    def review(self) -> None:
        """Drops limits of earlier starts, and ends that peers know by now."""
        for start, limit in list(self._limit_by_start.items()):
            current = self._registry.target_by_id.get(start.target_id)
            if current is not None and current.born_ms > start.born_ms:
                self._drop(start, EndReason.RESTARTED)
            elif current is None and self._age_s(limit) > ABSENT_KEPT_S:
                self._drop(start, EndReason.GONE)
            elif limit.per_s is None and self._age_s(limit) > ENDED_KEPT_S:
                del self._limit_by_start[start]
        limited = sum(
            each.per_s is not None for each in self._limit_by_start.values()
        )
        self._metric.gauge('believed.targets_rate_limited', limited)

    def _age_s(self, limit: RateLimit) -> float:
        return self._timer.now() - limit.at

    def _drop(self, start: targets.Start, reason: EndReason) -> None:
        limit = self._limit_by_start.pop(start)
        if limit.per_s is not None:
            self._log_end(start, limit.per_s, limit, reason)

    def _log_change(
        self,
        start: targets.Start,
        before: float | None,
        found: RateLimit,
        source: Source,
    ) -> None:
        if found.per_s is None:
            assert before is not None
            self._log_end(start, before, found, EndReason.NOT_NAMED)
            return
        is_new = before is None
        self._metric.count('relay.rate_limit.named')
        events.info(
            'target_rate_limited' if is_new else 'target_rate_limit_changed',
            target=start.target_id,
            born_ms=start.born_ms,
            per_s=found.per_s,
            before=before,
            source=source,
            age_s=round(self._age_s(found), 3),
        )

    def _log_end(
        self,
        start: targets.Start,
        before: float,
        limit: RateLimit,
        reason: EndReason,
    ) -> None:
        self._metric.count(f'relay.rate_limit.ended.{reason}')
        events.info(
            'target_rate_limit_ended',
            target=start.target_id,
            born_ms=start.born_ms,
            before=before,
            reason=reason,
            age_s=round(self._age_s(limit), 3),
        )

    def _log_unreadable(self, start: targets.Start, value: str) -> None:
        """Logs a value once, as all responses of a target may have it."""
        self._metric.count('relay.rate_limit.unreadable')
        if self._unreadable_by_id.get(start.target_id) == value:
            return
        if len(self._unreadable_by_id) >= MAX_RECORDS:
            self._unreadable_by_id.clear()
        self._unreadable_by_id[start.target_id] = value
        events.warning(
            'target_rate_limit_unreadable',
            target=start.target_id,
            born_ms=start.born_ms,
            value=value,
        )
