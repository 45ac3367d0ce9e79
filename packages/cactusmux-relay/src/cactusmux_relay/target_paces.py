"""Limits of targets that have started or recovered, as one instance has them.

Each instance keeps its own, by the answers that it gets itself, and tells
the others of those that have risen. A target at its limit is used only if
there is no other one.
"""

from collections.abc import Callable, Iterable

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import msgspec

from . import cost_model
from . import desired
from . import load_ledger
from . import news_topics
from . import pace_limits
from . import recoveries
from . import request_core
from . import target_book
from . import target_pace_limit
from . import targets
from . import turns

REVIEW_PERIOD_S = 0.25
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


class TargetPaces(pace_limits.PaceLimits, news_topics.NewsTopic):
    """Keeps a limit for each target that has started or recovered."""

    name = 'pace'

    def __init__(
        self,
        book: target_book.TargetBook,
        ledger: load_ledger.LoadLedger,
        in_force: request_core.InForce,
        turn: Callable[[], turns.Turn],
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
        self._limit_by_start: dict[
            targets.Start, target_pace_limit.PaceLimit
        ] = {}
        self._risen_at_by_start: dict[targets.Start, tuple[float, Rise]] = {}
        self._logged_at_by_id: dict[str, float] = {}
        self._idle_services: frozenset[str] = frozenset()

    def watch(
        self, cause: target_pace_limit.Cause, ids: recoveries.Ids
    ) -> None:
        """Adds a reason after which a target that is back is limited."""
        self._recoveries.watch(cause, ids)

    def start(self) -> None:
        """Begins to look for targets that have started or recovered."""
        self._timer.every(REVIEW_PERIOD_S, self.review)

    @property
    def limit_by_start(
        self,
    ) -> dict[targets.Start, target_pace_limit.PaceLimit]:
        """The limits in force."""
        return dict(self._limit_by_start)

    def review(self) -> None:
        """Begins, raises and removes limits as time passes."""
        now = self._timer.now()
        for start, cause in self._recoveries.review():
            known = self._limit_by_start.get(start)
            self._set(start, target_pace_limit.begin(cause, now, known))
            self._metric.count(f'relay.pace_limit_begun.{cause}')
            self._log(start, 'begun', cause)
        for start, limit in list(self._limit_by_start.items()):
            current = self._book.target_by_id.get(start.target_id)
            if current is not None and current.start != start:
                self._remove(start, 'started anew')
            elif target_pace_limit.is_over(limit, now):
                self._remove(start, 'too old')
            elif target_pace_limit.is_due(limit, now):
                self._raise(start, 'nothing against it')
        self._metric.gauge(
            'believed.targets_pace_limited', len(self._limit_by_start)
        )

    def at_limit(self) -> frozenset[str]:
        """Returns ids of limited targets that have all that they may."""
        self.review()
        if not self._limit_by_start:
            self._idle_services = frozenset()
            return frozenset()
        self._idle_services = self._services_set_aside()
        return frozenset(
            start.target_id
            for start, limit in self._limit_by_start.items()
            if self._is_at_limit(start, limit)
        )

    def _is_at_limit(
        self, start: targets.Start, limit: target_pace_limit.PaceLimit
    ) -> bool:
        target = self._book.target_by_id.get(start.target_id)
        if target is None or target.start != start:
            return False
        if target.service in self._idle_services:
            return False
        count = self._seats(target, limit)
        part = self._part(target, count)
        requests = self._ledger.own().requests_by_target
        own = requests.get(target.id, 0)
        known = self._ledger.all_requests(target.id)
        if own < part and known < count:
            return False
        self._log_at_limit(target, limit, (own, part, known, count))
        return True

    def _services_set_aside(self) -> frozenset[str]:
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
        for service in found - self._idle_services:
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
        return sum(target_pace_limit.is_serving(each) for each in ready)

    def _engine(self, target: targets.Target) -> desired.Engine | None:
        state = self._in_force.state
        if state is None or target.service not in state.service_by_name:
            return None
        return state.service_by_name[target.service].engine

    def _seats(
        self, target: targets.Target, limit: target_pace_limit.PaceLimit
    ) -> int:
        full = target_pace_limit.full_requests(target, self._engine(target))
        return target_pace_limit.seats(limit, full)

    def _part(self, target: targets.Target, count: int) -> int:
        length_s = target_pace_limit.epoch_s(self._engine(target))
        epoch = int(self._timer.wall() / length_s)
        return target_pace_limit.part(count, self._turn(), target.start, epoch)

    def note_sent(self, stages: Iterable[targets.Target]) -> pace_limits.Sent:
        """Notes a request, after it was added to the load."""
        if not self._limit_by_start:
            return pace_limits.NOTHING_SENT
        limited = [
            each for each in stages if each.start in self._limit_by_start
        ]
        return pace_limits.Sent(
            tuple(each.start for each in limited),
            frozenset(e.start for e in limited if self._uses_part(e)),
            frozenset(e.start for e in limited if self._is_fully_used(e)),
            self._timer.now(),
        )

    def _uses_part(self, target: targets.Target) -> bool:
        count = self._seats(target, self._limit_by_start[target.start])
        part = self._part(target, count)
        own = self._ledger.own().requests_by_target.get(target.id, 0)
        return own >= target_pace_limit.USED_SHARE * part

    def _is_fully_used(self, target: targets.Target) -> bool:
        count = self._seats(target, self._limit_by_start[target.start])
        known = self._ledger.all_requests(target.id)
        return known >= target_pace_limit.USED_SHARE * count

    def note_answer(
        self, sent: pace_limits.Sent, answer: pace_limits.Answer
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
        sent: pace_limits.Sent,
        answer: pace_limits.Answer,
    ) -> None:
        now = self._timer.now()
        limit = self._limit_by_start[start]
        times = {
            'measured_ms': round(answer.measured_s * cost_model.MS_PER_S),
            'expected_ms': round(answer.expected_s * cost_model.MS_PER_S),
            'sent_ms_ago': round((now - sent.at) * cost_model.MS_PER_S),
        }
        if answer.verdict in target_pace_limit.LOWERING:
            lower = target_pace_limit.fallen(limit, sent.at, now)
            self._set(start, lower)
            if lower.fallen_at != limit.fallen_at:
                self._metric.count(f'relay.pace_limit_fell.{answer.verdict}')
                self._log(start, 'fell', answer.verdict, **times)
        elif answer.verdict is target_pace_limit.Verdict.SILENT:
            self._set(start, limit._replace(quiet_at=now))
        elif answer.verdict is target_pace_limit.Verdict.NEAR:
            used = sent.used
            if limit.share >= target_pace_limit.FULL_SHARE:
                used = sent.fully_used
            if start in used and target_pace_limit.may_rise(limit, now):
                self._raise(start, answer.verdict, **times)

    def _raise(self, start: targets.Start, cause: str, **times: int) -> None:
        limit = self._limit_by_start[start]
        if limit.share >= target_pace_limit.FULL_SHARE:
            self._remove(start, cause, **times)
            self._note_risen(start, target_pace_limit.FULL_SHARE, True)
            return
        higher = target_pace_limit.raised(limit, self._timer.now())
        self._set(start, higher)
        if cause == target_pace_limit.Verdict.NEAR:
            self._note_risen(start, higher.share, False)
        self._metric.count('relay.pace_limit_rose')
        self._log(start, 'rose', cause, **times)

    def _set(
        self, start: targets.Start, limit: target_pace_limit.PaceLimit
    ) -> None:
        self._limit_by_start[start] = limit

    def _remove(self, start: targets.Start, cause: str, **times: int) -> None:
        self._log(start, 'removed', cause, **times)
        del self._limit_by_start[start]
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

    def _may_be_older(self, limit: target_pace_limit.PaceLimit) -> bool:
        """Whether what is told may be from before a recovery."""
        if limit.cause is target_pace_limit.Cause.STARTED:
            return False
        return self._timer.now() - limit.begun_at < TOLD_S

    def _take_rise(
        self,
        start: targets.Start,
        limit: target_pace_limit.PaceLimit,
        rise: Rise,
    ) -> None:
        was_slow = limit.threshold < target_pace_limit.FULL_SHARE
        if rise.is_removed and not was_slow:
            self._remove(start, 'told')
            return
        share = rise.share / SHARE_UNITS
        higher = target_pace_limit.told(limit, share, self._timer.now())
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

    def _log_at_limit(
        self,
        target: targets.Target,
        limit: target_pace_limit.PaceLimit,
        counts: tuple[int, int, int, int],
    ) -> None:
        self._metric.count('relay.pace_limit_reached')
        now = self._timer.now()
        logged_at = self._logged_at_by_id.get(target.id)
        if logged_at is not None and now - logged_at < LOG_PERIOD_S:
            return
        self._logged_at_by_id[target.id] = now
        own, part, known, count = counts
        events.info(
            'target_pace_limit_reached',
            target=target.id,
            own=own,
            part=part,
            known=known,
            seats=count,
            share_age_ms=round((now - limit.changed_at) * cost_model.MS_PER_S),
        )
