"""Slow-start limits of one instance on targets that started or recovered.

Each instance adapts its own limits to the responses that it receives, and
reports those that have increased to its peers. A target at its limit is used
only if there is no other one.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import msgspec

from . import cost_model
from . import desired_state
from . import gossip_topics
from . import instance_rank
from . import load_tracker
from . import recoveries
from . import request_handling
from . import slow_start
from . import target_limits
from . import target_registry
from . import targets

REVIEW_PERIOD_S = 0.25
# The bounds, which depend on the peers' requests and on this instance's
# permits, are cached for this time. Computed at each search (every 10 ms while
# a request waits), they took 2.3 ms with 40 limited targets. This instance's
# own requests count at once.
BOUNDS_CACHE_S = 0.05
# Increases are reported to peers repeatedly for this time, which makes up for
# lost datagrams. Reports are ignored for the same time after a recovery, as
# they may have been sent before it.
REPORT_DURATION_S = 2.0
MAX_REPORTED = 16
# Minimum time between two log lines about the same target at its limit.
LOG_PERIOD_S = 1.0
# If more than this fraction of a service's targets is limited, the limits are
# set aside: the other targets couldn't take over the load.
MAX_LIMITED_SHARE = 0.5


class Rise(msgspec.Struct, array_like=True, frozen=True):
    """Increase of a limit as it is reported to peers.

    :ivar share: fraction of full use, in thousandths.
    :ivar is_removed: whether the limit was removed, because the target worked
        at the expected speed at full use.
    """

    target_id: str
    born_ms: int
    share: int
    is_removed: bool


SHARE_UNITS = 1000
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.msgpack_decoder(list[Rise])


class _Bound(NamedTuple):
    """Bound on the requests in flight at a limited target.

    :ivar part: permits of this instance.
    :ivar seats: permits of all instances.
    :ivar others: requests that the peers have in flight there.
    """

    part: int
    seats: int
    others: int

    def is_reached(self, own: int) -> bool:
        """Whether no further request may be sent.

        :param own: this instance's requests in flight at the target.
        """
        return own >= self.part or own + self.others >= self.seats


class TargetPaces(target_limits.TargetLimits, gossip_topics.GossipTopic):
    """Keeps a slow-start limit for each target that started or recovered.

    The timer logs the class by name, so that name is part of the log format.
    """

    name = 'pace'

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        tracker: load_tracker.LoadTracker,
        in_force: request_handling.ConfigurationInForce,
        rank: Callable[[], instance_rank.InstanceRank],
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self._registry = registry
        self._tracker = tracker
        self._in_force = in_force
        self._turn = rank
        self._timer = timer
        self._metric = metric
        self._recoveries = recoveries.Recoveries(registry, timer)
        self._limit_by_start: dict[
            targets.Start, slow_start.SlowStartLimit
        ] = {}
        self._increase_by_start: dict[targets.Start, tuple[float, Rise]] = {}
        self._logged_at_by_id: dict[str, float] = {}
        self._set_aside_services: frozenset[str] = frozenset()
        # None for a start that isn't the target's current one.
        self._bound_by_start: dict[targets.Start, _Bound | None] = {}
        self._bounds_end_at = 0.0
        self._bounds_epochs: tuple[int, int] | None = None
        self._bounds_target_by_id: dict[str, targets.Target] | None = None

    def add_cause(
        self, cause: slow_start.Cause, ids: recoveries.IdSource
    ) -> None:
        """Adds a cause for which targets are limited when they are back.

        :param ids: returns the ids of the targets unavailable for this cause.
        """
        self._recoveries.add_exclusion(cause, ids)

    def start(self) -> None:
        """Starts the periodic review."""
        self._timer.every(REVIEW_PERIOD_S, self.review)

    def review(self) -> None:
        """Sets, increases and removes limits as time passes."""
        self._add_limits()
        self._update_limits()
        self._metric.gauge(
            'believed.targets_pace_limited', len(self._limit_by_start)
        )

    def _add_limits(self) -> None:
        now = self._timer.now()
        for start, cause in self._recoveries.take_recoveries():
            known = self._limit_by_start.get(start)
            self._set_limit(start, slow_start.initial_limit(cause, now, known))
            self._metric.count(f'relay.pace_limit_begun.{cause}')
            self._log(start, 'begun', cause)

    def _update_limits(self) -> None:
        now = self._timer.now()
        for start, limit in list(self._limit_by_start.items()):
            current = self._registry.target_by_id.get(start.target_id)
            if current is not None and current.start != start:
                self._remove_limit(start, 'target restarted')
            elif slow_start.is_expired(limit, now):
                self._remove_limit(start, 'maximum age reached')
            elif slow_start.is_increase_due(limit, now):
                self._increase_limit(start, 'no bad responses')

    def ids_at_limit(self) -> frozenset[str]:
        """Returns the ids of the targets that have reached their limits."""
        self._add_limits()
        if not self._limit_by_start:
            self._set_aside_services = frozenset()
            return frozenset()
        self._refresh_bounds()
        reached = [
            start
            for start, bound in self._bound_by_start.items()
            if bound is not None
            and bound.is_reached(self._tracker.own_requests(start.target_id))
            and not self._is_set_aside(start)
        ]
        if reached:
            self._metric.count('relay.pace_limit_reached', len(reached))
            self._log_reached(reached)
        return frozenset(start.target_id for start in reached)

    def _is_set_aside(self, start: targets.Start) -> bool:
        target = self._registry.target_by_id.get(start.target_id)
        return target is None or target.service in self._set_aside_services

    def _refresh_bounds(self) -> None:
        """Computes the bounds that are missing or whose cache has expired.

        A new epoch invalidates all bounds, as its permits have other owners.
        """
        now = self._timer.now()
        wall = self._timer.wall()
        epochs = (
            int(wall / slow_start.PLAIN_EPOCH_S),
            int(wall / slow_start.STREAM_EPOCH_S),
        )
        target_by_id = self._registry.target_by_id
        if (
            now >= self._bounds_end_at
            or epochs != self._bounds_epochs
            or target_by_id is not self._bounds_target_by_id
        ):
            self._update_limits()
            self._bound_by_start = {}
            self._bounds_end_at = now + BOUNDS_CACHE_S
            self._bounds_epochs = epochs
            self._bounds_target_by_id = target_by_id
            self._set_aside_services = self._find_set_aside()
        if len(self._bound_by_start) < len(self._limit_by_start):
            self._add_bounds(self._limit_by_start.keys())

    def _add_bounds(self, starts: Iterable[targets.Start]) -> None:
        missing = [each for each in starts if each not in self._bound_by_start]
        others = self._tracker.peer_requests(e.target_id for e in missing)
        rank = self._turn()
        for start in missing:
            target = self._registry.target_by_id.get(start.target_id)
            if target is None or target.start != start:
                self._bound_by_start[start] = None
                continue
            count = self._total_permits(target, self._limit_by_start[start])
            part = self._own_permits(target, count, rank)
            self._bound_by_start[start] = _Bound(
                part, count, others[target.id]
            )

    def _find_set_aside(self) -> frozenset[str]:
        """Returns the services with too many limited targets."""
        limited_by_service: dict[str, int] = {}
        for start in self._limit_by_start:
            target = self._registry.target_by_id.get(start.target_id)
            if target is not None:
                limited = limited_by_service.get(target.service, 0)
                limited_by_service[target.service] = limited + 1
        found = frozenset(
            service
            for service, limited in limited_by_service.items()
            if limited > MAX_LIMITED_SHARE * self._serving_count(service)
        )
        for service in found - self._set_aside_services:
            self._metric.count('relay.pace_limits_set_aside')
            events.info(
                'pace_limits_set_aside',
                service=service,
                limited=limited_by_service[service],
                serving=self._serving_count(service),
            )
        return found

    def _serving_count(self, service: str) -> int:
        ready = self._registry.ready(service)
        return sum(slow_start.is_serving(each) for each in ready)

    def _engine(self, target: targets.Target) -> desired_state.Engine | None:
        state = self._in_force.state
        if state is None or target.service not in state.service_by_name:
            return None
        return state.service_by_name[target.service].engine

    def _total_permits(
        self, target: targets.Target, limit: slow_start.SlowStartLimit
    ) -> int:
        max_requests = slow_start.full_use_requests(
            target, self._engine(target)
        )
        return slow_start.total_permits(limit, max_requests)

    def _own_permits(
        self,
        target: targets.Target,
        count: int,
        rank: instance_rank.InstanceRank,
    ) -> int:
        length_s = slow_start.permit_epoch_s(self._engine(target))
        epoch = int(self._timer.wall() / length_s)
        return slow_start.own_permits(count, rank, target.start, epoch)

    def record_sent(
        self, stages: Iterable[targets.Target]
    ) -> target_limits.SentRequest:
        """Records a request after it was added to the load."""
        if not self._limit_by_start:
            return target_limits.NOTHING_LIMITED
        limited = [
            each.start for each in stages if each.start in self._limit_by_start
        ]
        if limited:
            self._refresh_bounds()
        return target_limits.SentRequest(
            tuple(limited),
            frozenset(
                each for each in limited if self._uses_own_permits(each)
            ),
            frozenset(each for each in limited if self._is_fully_used(each)),
            self._timer.now(),
        )

    def _uses_own_permits(self, start: targets.Start) -> bool:
        bound = self._bound_by_start.get(start)
        if bound is None:
            return False
        own = self._tracker.own_requests(start.target_id)
        return own >= slow_start.MIN_USED_SHARE * bound.part

    def _is_fully_used(self, start: targets.Start) -> bool:
        bound = self._bound_by_start.get(start)
        if bound is None:
            return False
        known = self._tracker.own_requests(start.target_id) + bound.others
        return known >= slow_start.MIN_USED_SHARE * bound.seats

    def record_response(
        self,
        sent: target_limits.SentRequest,
        assessment: target_limits.Assessment,
    ) -> None:
        """Increases or decreases the limits by a response."""
        for start in sent.starts:
            if assessment.target_id not in (None, start.target_id):
                continue
            if start in self._limit_by_start:
                self._apply_assessment(start, sent, assessment)

    def _apply_assessment(
        self,
        start: targets.Start,
        sent: target_limits.SentRequest,
        assessment: target_limits.Assessment,
    ) -> None:
        now = self._timer.now()
        limit = self._limit_by_start[start]
        times = {
            'measured_ms': round(assessment.measured_s * cost_model.MS_PER_S),
            'expected_ms': round(assessment.expected_s * cost_model.MS_PER_S),
            'sent_ms_ago': round((now - sent.at) * cost_model.MS_PER_S),
        }
        if assessment.verdict in slow_start.DECREASING_VERDICTS:
            decreased = slow_start.decreased(limit, sent.at, now)
            self._set_limit(start, decreased)
            if decreased.fallen_at != limit.fallen_at:
                self._metric.count(
                    f'relay.pace_limit_fell.{assessment.verdict}'
                )
                self._log(start, 'fell', assessment.verdict, **times)
        elif assessment.verdict is slow_start.Verdict.SILENT:
            self._set_limit(start, limit._replace(quiet_at=now))
        elif assessment.verdict is slow_start.Verdict.NEAR:
            used = sent.used
            if limit.share >= slow_start.FULL_SHARE:
                used = sent.fully_used
            if start in used and slow_start.may_increase(limit, now):
                self._increase_limit(start, assessment.verdict, **times)

    def _increase_limit(
        self, start: targets.Start, cause: str, **times: int
    ) -> None:
        limit = self._limit_by_start[start]
        if limit.share >= slow_start.FULL_SHARE:
            self._remove_limit(start, cause, **times)
            self._record_increase(start, slow_start.FULL_SHARE, True)
            return
        increased = slow_start.increased(limit, self._timer.now())
        self._set_limit(start, increased)
        if cause == slow_start.Verdict.NEAR:
            self._record_increase(start, increased.share, False)
        self._metric.count('relay.pace_limit_rose')
        self._log(start, 'rose', cause, **times)

    def _set_limit(
        self, start: targets.Start, limit: slow_start.SlowStartLimit
    ) -> None:
        known = self._limit_by_start.get(start)
        self._limit_by_start[start] = limit
        if known is None:
            # The limits of the service may have to be set aside now.
            self._bounds_end_at = 0.0
        elif known.share != limit.share:
            self._bound_by_start.pop(start, None)

    def _remove_limit(
        self, start: targets.Start, cause: str, **times: int
    ) -> None:
        self._log(start, 'removed', cause, **times)
        del self._limit_by_start[start]
        self._bound_by_start.pop(start, None)
        self._bounds_end_at = 0.0
        self._logged_at_by_id.pop(start.target_id, None)
        self._metric.count('relay.pace_limit_removed')

    def _record_increase(
        self, start: targets.Start, share: float, is_removed: bool
    ) -> None:
        units = int(share * SHARE_UNITS)
        rise = Rise(start.target_id, start.born_ms, units, is_removed)
        self._increase_by_start.pop(start, None)
        self._increase_by_start[start] = (self._timer.now(), rise)

    def own(self) -> bytes:
        """Returns the limits that this instance's responses have increased."""
        oldest = self._timer.now() - REPORT_DURATION_S
        for start, (increased_at, _) in list(self._increase_by_start.items()):
            if increased_at < oldest:
                del self._increase_by_start[start]
        rises = [rise for _, rise in self._increase_by_start.values()]
        return _ENCODER.encode(rises[-MAX_REPORTED:]) if rises else b''

    def take(self, sender: str, data: bytes) -> None:
        """Applies the increases that a peer reports."""
        for rise in _DECODER.decode(data)[:MAX_REPORTED]:
            start = targets.Start(rise.target_id, rise.born_ms)
            limit = self._limit_by_start.get(start)
            if limit is not None and not self._may_predate_recovery(limit):
                self._apply_increase(start, limit, rise)

    def _may_predate_recovery(self, limit: slow_start.SlowStartLimit) -> bool:
        """Whether a report may have been sent before the recovery."""
        if limit.cause is slow_start.Cause.STARTED:
            return False
        return self._timer.now() - limit.begun_at < REPORT_DURATION_S

    def _apply_increase(
        self,
        start: targets.Start,
        limit: slow_start.SlowStartLimit,
        rise: Rise,
    ) -> None:
        was_slow = limit.threshold < slow_start.FULL_SHARE
        if rise.is_removed and not was_slow:
            self._remove_limit(start, 'told')
            return
        share = rise.share / SHARE_UNITS
        increased = slow_start.increased_by_peer(
            limit, share, self._timer.now()
        )
        if increased is not limit:
            self._set_limit(start, increased)
            self._metric.count('relay.pace_limit_rose')
            self._log(start, 'rose', 'told')

    def _log(
        self, start: targets.Start, change: str, cause: str, **times: int
    ) -> None:
        limit = self._limit_by_start[start]
        now = self._timer.now()
        events.info(
            f'target_pace_limit_{change}',
            target=start.target_id,
            born_ms=start.born_ms,
            cause=cause,
            share=round(limit.share, 3),
            threshold=round(limit.threshold, 3),
            age_ms=round((now - limit.begun_at) * cost_model.MS_PER_S),
            **times,
        )

    def _log_reached(self, starts: Iterable[targets.Start]) -> None:
        now = self._timer.now()
        for start in starts:
            logged_at = self._logged_at_by_id.get(start.target_id)
            if logged_at is not None and now - logged_at < LOG_PERIOD_S:
                continue
            self._logged_at_by_id[start.target_id] = now
            limit = self._limit_by_start[start]
            bound = self._bound_by_start[start]
            if bound is not None:
                self._log_bound(start.target_id, limit, bound)

    def _log_bound(
        self,
        target_id: str,
        limit: slow_start.SlowStartLimit,
        bound: _Bound,
    ) -> None:
        own = self._tracker.own_requests(target_id)
        age_s = self._timer.now() - limit.changed_at
        events.info(
            'target_pace_limit_reached',
            target=target_id,
            own=own,
            part=bound.part,
            known=own + bound.others,
            seats=bound.seats,
            share_age_ms=round(age_s * cost_model.MS_PER_S),
        )
