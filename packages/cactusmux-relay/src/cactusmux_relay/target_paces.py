"""Limits of targets that have started or recovered, as one instance has them.

Each instance keeps its own, by the answers that it gets itself, and tells
the others of those that have risen. A target at its limit is used only if
there is no other one.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

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
# What others have under way and this instance's part are kept for so long:
# computed at each search (every 10 ms while a request waits), they took
# 2.3 ms with 40 limited targets. Our own requests count at once.
BOUNDS_KEPT_S = 0.05
# Rises are told for so long, so that a lost datagram is no loss. What was
# told before a recovery isn't believed for as long after it.
TOLD_S = 2.0
MAX_TOLD = 16
# At most one line a target in this time says that it is at its limit.
LOG_PERIOD_S = 1.0
# With more of a service's targets limited than this, the others couldn't
# take over their load, and all are alike.
MOST_LIMITED_SHARE = 0.5


class Rise(msgspec.Struct, array_like=True, frozen=True):
    """A limit that has risen, as it is told.

    :ivar share: of full use, in thousandths.
    :ivar is_removed: the target has shown its full pace.
    """

    target_id: str
    born_ms: int
    share: int
    is_removed: bool


SHARE_UNITS = 1000
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Rise])


class _Bound(NamedTuple):
    """What may be under way at a limited target.

    :ivar part: of the seats, this instance's.
    :ivar seats: of all instances.
    :ivar others: requests that the other instances have there.
    """

    part: int
    seats: int
    others: int

    def is_reached(self, own: int) -> bool:
        """Whether no further request may be sent, with so many of ours."""
        return own >= self.part or own + self.others >= self.seats


class TargetPaces(target_limits.TargetLimits, gossip_topics.GossipTopic):
    """Keeps a limit for each target that has started or recovered."""

    name = 'pace'

    def __init__(
        self,
        book: target_registry.TargetRegistry,
        ledger: load_tracker.LoadTracker,
        in_force: request_handling.ConfigurationInForce,
        turn: Callable[[], instance_rank.InstanceRank],
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self._book = book
        self._ledger = ledger
        self._in_force = in_force
        self._turn = turn
        self._timer = timer
        self._metric = metric
        self._recoveries = recoveries.Recoveries(book, timer)
        self._limit_by_start: dict[targets.Start, slow_start.PaceLimit] = {}
        self._risen_at_by_start: dict[targets.Start, tuple[float, Rise]] = {}
        self._logged_at_by_id: dict[str, float] = {}
        self._set_aside_services: frozenset[str] = frozenset()
        # None for a start that isn't the target's present one.
        self._bound_by_start: dict[targets.Start, _Bound | None] = {}
        self._bounds_end_at = 0.0
        self._bounds_epochs: tuple[int, int] | None = None
        self._bounds_target_by_id: dict[str, targets.Target] | None = None

    def watch(self, cause: slow_start.Cause, ids: recoveries.IdSource) -> None:
        """Adds a reason after which a target that is back is limited."""
        self._recoveries.add_exclusion(cause, ids)

    def start(self) -> None:
        """Begins to look for targets that have started or recovered."""
        self._timer.every(REVIEW_PERIOD_S, self.review)

    def review(self) -> None:
        """Begins, raises and removes limits as time passes."""
        self._begin_limits()
        self._age_limits()
        self._metric.gauge(
            'believed.targets_pace_limited', len(self._limit_by_start)
        )

    def _begin_limits(self) -> None:
        now = self._timer.now()
        for start, cause in self._recoveries.take_recoveries():
            known = self._limit_by_start.get(start)
            self._set(start, slow_start.begin(cause, now, known))
            self._metric.count(f'relay.pace_limit_begun.{cause}')
            self._log(start, 'begun', cause)

    def _age_limits(self) -> None:
        now = self._timer.now()
        for start, limit in list(self._limit_by_start.items()):
            current = self._book.target_by_id.get(start.target_id)
            if current is not None and current.start != start:
                self._remove(start, 'started anew')
            elif slow_start.is_over(limit, now):
                self._remove(start, 'too old')
            elif slow_start.is_due(limit, now):
                self._raise(start, 'nothing against it')

    def at_limit(self) -> frozenset[str]:
        """Returns ids of limited targets that have all that they may."""
        self._begin_limits()
        if not self._limit_by_start:
            self._set_aside_services = frozenset()
            return frozenset()
        self._renew_bounds()
        reached = [
            start
            for start, bound in self._bound_by_start.items()
            if bound is not None
            and bound.is_reached(self._ledger.own_requests(start.target_id))
            and not self._is_set_aside(start)
        ]
        if reached:
            self._metric.count('relay.pace_limit_reached', len(reached))
            self._log_reached(reached)
        return frozenset(start.target_id for start in reached)

    def _is_set_aside(self, start: targets.Start) -> bool:
        target = self._book.target_by_id.get(start.target_id)
        return target is None or target.service in self._set_aside_services

    def _renew_bounds(self) -> None:
        """Computes the bounds that are missing or no longer kept.

        Those of an earlier epoch end with it: its seats have other owners.
        """
        now = self._timer.now()
        wall = self._timer.wall()
        epochs = (
            int(wall / slow_start.PLAIN_EPOCH_S),
            int(wall / slow_start.STREAM_EPOCH_S),
        )
        target_by_id = self._book.target_by_id
        if (
            now >= self._bounds_end_at
            or epochs != self._bounds_epochs
            or target_by_id is not self._bounds_target_by_id
        ):
            self._age_limits()
            self._bound_by_start = {}
            self._bounds_end_at = now + BOUNDS_KEPT_S
            self._bounds_epochs = epochs
            self._bounds_target_by_id = target_by_id
            self._set_aside_services = self._find_set_aside()
        if len(self._bound_by_start) < len(self._limit_by_start):
            self._add_bounds(self._limit_by_start.keys())

    def _add_bounds(self, starts: Iterable[targets.Start]) -> None:
        missing = [each for each in starts if each not in self._bound_by_start]
        others = self._ledger.peer_requests(e.target_id for e in missing)
        turn = self._turn()
        for start in missing:
            target = self._book.target_by_id.get(start.target_id)
            if target is None or target.start != start:
                self._bound_by_start[start] = None
                continue
            count = self._seats(target, self._limit_by_start[start])
            part = self._part(target, count, turn)
            self._bound_by_start[start] = _Bound(
                part, count, others[target.id]
            )

    def _find_set_aside(self) -> frozenset[str]:
        """Returns the services most of whose targets are limited."""
        limited_by_service: dict[str, int] = {}
        for start in self._limit_by_start:
            target = self._book.target_by_id.get(start.target_id)
            if target is not None:
                limited = limited_by_service.get(target.service, 0)
                limited_by_service[target.service] = limited + 1
        found = frozenset(
            service
            for service, limited in limited_by_service.items()
            if limited > MOST_LIMITED_SHARE * self._serving(service)
        )
        for service in found - self._set_aside_services:
            self._metric.count('relay.pace_limits_set_aside')
            events.info(
                'pace_limits_set_aside',
                service=service,
                limited=limited_by_service[service],
                serving=self._serving(service),
            )
        return found

    def _serving(self, service: str) -> int:
        ready = self._book.ready(service)
        return sum(slow_start.is_serving(each) for each in ready)

    def _engine(self, target: targets.Target) -> desired_state.Engine | None:
        state = self._in_force.state
        if state is None or target.service not in state.service_by_name:
            return None
        return state.service_by_name[target.service].engine

    def _seats(
        self, target: targets.Target, limit: slow_start.PaceLimit
    ) -> int:
        full = slow_start.full_requests(target, self._engine(target))
        return slow_start.seats(limit, full)

    def _part(
        self,
        target: targets.Target,
        count: int,
        turn: instance_rank.InstanceRank,
    ) -> int:
        length_s = slow_start.epoch_s(self._engine(target))
        epoch = int(self._timer.wall() / length_s)
        return slow_start.part(count, turn, target.start, epoch)

    def note_sent(
        self, stages: Iterable[targets.Target]
    ) -> target_limits.Sent:
        """Notes a request, after it was added to the load."""
        if not self._limit_by_start:
            return target_limits.NOTHING_SENT
        limited = [
            each.start for each in stages if each.start in self._limit_by_start
        ]
        if limited:
            self._renew_bounds()
        return target_limits.Sent(
            tuple(limited),
            frozenset(each for each in limited if self._uses_part(each)),
            frozenset(each for each in limited if self._is_fully_used(each)),
            self._timer.now(),
        )

    def _uses_part(self, start: targets.Start) -> bool:
        bound = self._bound_by_start.get(start)
        if bound is None:
            return False
        own = self._ledger.own_requests(start.target_id)
        return own >= slow_start.USED_SHARE * bound.part

    def _is_fully_used(self, start: targets.Start) -> bool:
        bound = self._bound_by_start.get(start)
        if bound is None:
            return False
        known = self._ledger.own_requests(start.target_id) + bound.others
        return known >= slow_start.USED_SHARE * bound.seats

    def note_answer(
        self, sent: target_limits.Sent, answer: target_limits.Answer
    ) -> None:
        """Raises or lowers the limits of the targets that answered."""
        for start in sent.starts:
            if answer.target_id not in (None, start.target_id):
                continue
            if start in self._limit_by_start:
                self._take_answer(start, sent, answer)

    def _take_answer(
        self,
        start: targets.Start,
        sent: target_limits.Sent,
        answer: target_limits.Answer,
    ) -> None:
        now = self._timer.now()
        limit = self._limit_by_start[start]
        times = {
            'measured_ms': round(answer.measured_s * cost_model.MS_PER_S),
            'expected_ms': round(answer.expected_s * cost_model.MS_PER_S),
            'sent_ms_ago': round((now - sent.at) * cost_model.MS_PER_S),
        }
        if answer.verdict in slow_start.LOWERING:
            lower = slow_start.fallen(limit, sent.at, now)
            self._set(start, lower)
            if lower.fallen_at != limit.fallen_at:
                self._metric.count(f'relay.pace_limit_fell.{answer.verdict}')
                self._log(start, 'fell', answer.verdict, **times)
        elif answer.verdict is slow_start.Verdict.SILENT:
            self._set(start, limit._replace(quiet_at=now))
        elif answer.verdict is slow_start.Verdict.NEAR:
            used = sent.used
            if limit.share >= slow_start.FULL_SHARE:
                used = sent.fully_used
            if start in used and slow_start.may_rise(limit, now):
                self._raise(start, answer.verdict, **times)

    def _raise(self, start: targets.Start, cause: str, **times: int) -> None:
        limit = self._limit_by_start[start]
        if limit.share >= slow_start.FULL_SHARE:
            self._remove(start, cause, **times)
            self._note_risen(start, slow_start.FULL_SHARE, True)
            return
        higher = slow_start.raised(limit, self._timer.now())
        self._set(start, higher)
        if cause == slow_start.Verdict.NEAR:
            self._note_risen(start, higher.share, False)
        self._metric.count('relay.pace_limit_rose')
        self._log(start, 'rose', cause, **times)

    def _set(self, start: targets.Start, limit: slow_start.PaceLimit) -> None:
        known = self._limit_by_start.get(start)
        self._limit_by_start[start] = limit
        if known is None:
            # Limits of a service may be set aside from here on.
            self._bounds_end_at = 0.0
        elif known.share != limit.share:
            self._bound_by_start.pop(start, None)

    def _remove(self, start: targets.Start, cause: str, **times: int) -> None:
        self._log(start, 'removed', cause, **times)
        del self._limit_by_start[start]
        self._bound_by_start.pop(start, None)
        self._bounds_end_at = 0.0
        self._logged_at_by_id.pop(start.target_id, None)
        self._metric.count('relay.pace_limit_removed')

    def _note_risen(
        self, start: targets.Start, share: float, is_removed: bool
    ) -> None:
        units = int(share * SHARE_UNITS)
        rise = Rise(start.target_id, start.born_ms, units, is_removed)
        self._risen_at_by_start.pop(start, None)
        self._risen_at_by_start[start] = (self._timer.now(), rise)

    def own(self) -> bytes:
        """Returns the limits that have risen by our own answers."""
        oldest = self._timer.now() - TOLD_S
        for start, (risen_at, _) in list(self._risen_at_by_start.items()):
            if risen_at < oldest:
                del self._risen_at_by_start[start]
        rises = [rise for _, rise in self._risen_at_by_start.values()]
        return _ENCODER.encode(rises[-MAX_TOLD:]) if rises else b''

    def take(self, sender: str, data: bytes) -> None:
        """Takes the limits that have risen elsewhere."""
        for rise in _DECODER.decode(data)[:MAX_TOLD]:
            start = targets.Start(rise.target_id, rise.born_ms)
            limit = self._limit_by_start.get(start)
            if limit is not None and not self._may_be_older(limit):
                self._take_rise(start, limit, rise)

    def _may_be_older(self, limit: slow_start.PaceLimit) -> bool:
        """Whether what is told may be from before a recovery."""
        if limit.cause is slow_start.Cause.STARTED:
            return False
        return self._timer.now() - limit.begun_at < TOLD_S

    def _take_rise(
        self,
        start: targets.Start,
        limit: slow_start.PaceLimit,
        rise: Rise,
    ) -> None:
        was_slow = limit.threshold < slow_start.FULL_SHARE
        if rise.is_removed and not was_slow:
            self._remove(start, 'told')
            return
        share = rise.share / SHARE_UNITS
        higher = slow_start.lifted(limit, share, self._timer.now())
        if higher is not limit:
            self._set(start, higher)
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
        limit: slow_start.PaceLimit,
        bound: _Bound,
    ) -> None:
        own = self._ledger.own_requests(target_id)
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
