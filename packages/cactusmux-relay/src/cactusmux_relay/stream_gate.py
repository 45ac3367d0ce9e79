"""Lets streams begin where callers of different urgency want the same room.

:mod:`stream_paths` calls the gate before it looks for a path. The decisions
are made in :mod:`stream_admission` and :mod:`admission_queue`, the state of
the fleet is kept in :mod:`service_load`; here are the wait, the logs and
the counters. Where all routes of a service have the
same urgency, nothing is decided here and nothing waits.
"""

import abc
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from returns import result

from . import admission_queue
from . import admission_ticket
from . import context
from . import cost_model
from . import down_targets
from . import path_choice
from . import refusal_gossip
from . import service_admission
from . import service_load
from . import stream_admission
from . import target_registry
from . import urgency_ranks

# Estimate of the time to the first event in a busy pool, as a multiple of
# that in an idle one.
BUSY_FACTOR = 1.5
# A caller that was rejected before misses its objective in any case, so it
# waits for a fixed time.
RETURNING_WAIT_S = 1.0
# An admitted request looks for a path at least so long.
LEAST_PATH_WAIT_S = 0.05
# Share of the repeats that the least urgent requests leave to others.
MOST_REPEATS_KEPT = 0.3
# A rejected caller returns after at most this share of the time it has left,
# so that it has time for further attempts.
RETRY_SHARE = 1.0 / 3.0

Entered = result.Result[admission_ticket.Ticket, float]


class Gate(abc.ABC):
    """Decides when a stream may begin."""

    @abc.abstractmethod
    def enter(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        caller: int | None,
        is_returning: bool,
    ) -> Entered:
        """Returns a ticket for a stream, after a wait if need be.

        The failure is the time in seconds after which to retry.

        :param caller: key by which the request is recognised when it returns.
        """


class OpenGate(Gate):
    """Lets all streams begin at once."""

    def enter(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        caller: int | None,
        is_returning: bool,
    ) -> Entered:
        return result.Success(admission_ticket.UNRANKED)


class RankedGate(Gate):
    """Admits streams by urgency, where that differs."""

    def __init__(
        self,
        book: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        pressures: service_load.ServiceLoadTracker,
        refused: refusal_gossip.RefusalGossip,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._book = book
        self._down = down
        self._pressures = pressures
        self._refused = refused
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._service_by_name: dict[
            str, service_admission.ServiceAdmission
        ] = {}

    def enter(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        caller: int | None,
        is_returning: bool,
    ) -> Entered:
        engine = exchange.service.engine
        if engine is None or not exchange.urgencies:
            return result.Success(admission_ticket.UNRANKED)
        service = self._service(exchange)
        candidate = self._candidate(exchange, demand, is_returning)
        number, verdict = service.submit(candidate)
        if isinstance(verdict, admission_queue.Waiting):
            self._note('stream_waits', 'waited', exchange, candidate, service)
            verdict = self._wait(service, candidate, number)
        if isinstance(verdict, admission_queue.Rejected):
            return self._reject(exchange, candidate, service, verdict, caller)
        assert isinstance(verdict, admission_queue.Admitted)
        self._count('admitted', exchange)
        return result.Success(
            _RankedTicket(self, service, exchange, candidate, caller, verdict)
        )

    def _wait(
        self,
        service: service_admission.ServiceAdmission,
        candidate: stream_admission.Candidate,
        number: int,
    ) -> admission_queue.Verdict:
        """Returns the verdict on a request that waits, once there is one."""
        is_decided = False
        try:
            while True:
                self._timer.sleep(service_admission.REVIEW_S)
                verdict = service.verdict(number)
                if not isinstance(verdict, admission_queue.Waiting):
                    is_decided = True
                    return verdict
        finally:
            if not is_decided:
                service.withdraw(number, candidate)

    def _reject(
        self,
        exchange: context.Exchange,
        candidate: stream_admission.Candidate,
        service: service_admission.ServiceAdmission,
        verdict: admission_queue.Rejected,
        caller: int | None,
    ) -> Entered:
        service.note_rejected(candidate)
        retry_s = self._retry_s(exchange, candidate, verdict.expected_s)
        self._note(
            'stream_rejected',
            'rejected',
            exchange,
            candidate,
            service,
            reason=verdict.reason,
            expected_ms=_ms(verdict.expected_s),
            retry_ms=_ms(retry_s),
        )
        self._refused.note(caller)
        return result.Failure(retry_s)

    def note_unserved(
        self,
        exchange: context.Exchange,
        candidate: stream_admission.Candidate,
        service: service_admission.ServiceAdmission,
        caller: int | None,
    ) -> float:
        """Returns after how long to retry a stream that no target ran."""
        pressure, activity = service.pressure, service.activity
        shares = stream_admission.divide(pressure, activity.hold_s)
        expected_s = service.queue.expected_wait_s(
            candidate, pressure, shares, activity
        )
        self._refused.note(caller)
        self._count('sent_back', exchange)
        return self._retry_s(exchange, candidate, expected_s)

    def now(self) -> float:
        """Returns monotonic time."""
        return self._timer.now()

    def _retry_s(
        self,
        exchange: context.Exchange,
        candidate: stream_admission.Candidate,
        expected_s: float,
    ) -> float:
        retry_s = stream_admission.retry_after_s(
            expected_s, self._rng.random(), candidate.rank
        )
        left_s = exchange.ends_at - self._timer.now()
        return min(retry_s, max(0.0, left_s) * RETRY_SHARE)

    def _note(
        self,
        event: str,
        counter: str,
        exchange: context.Exchange,
        candidate: stream_admission.Candidate,
        service: service_admission.ServiceAdmission,
        **value_by_key: object,
    ) -> None:
        """Logs and counts a decision with the data that it rests on."""
        self._count(counter, exchange)
        pressure, activity = service.pressure, service.activity
        shares = stream_admission.divide(pressure, activity.hold_s)
        limit = shares.limit_by_rank[candidate.rank]
        events.info(
            event,
            id=exchange.facts.request_id,
            route=exchange.route.name,
            urgency=exchange.urgency,
            tokens=int(candidate.tokens),
            returning=candidate.is_returning,
            barred_by=stream_admission.find_blocker(
                pressure, shares, candidate, activity
            )
            or 'order',
            fill=round(pressure.fill, 3),
            limit=round(limit / max(1.0, pressure.room_tokens), 3),
            heard=pressure.heard,
            pressure_age_s=round(pressure.age_s, 2),
            waiting=len(service.queue.waiting),
            left_ms=_ms(candidate.until - self._timer.now()),
            **value_by_key,
        )

    def _count(self, what: str, exchange: context.Exchange) -> None:
        self._metric.count(f'relay.admission.{what}.{exchange.urgency}')

    def _service(
        self, exchange: context.Exchange
    ) -> service_admission.ServiceAdmission:
        name = exchange.service.name
        engine = exchange.service.engine
        assert engine is not None
        service = self._service_by_name.get(name)
        if service is None:
            service = service_admission.ServiceAdmission(
                name,
                engine,
                self._book,
                self._down,
                self._pressures,
                self._timer,
            )
            self._service_by_name[name] = service
        service.configure(engine, len(exchange.urgencies))
        return service

    def _candidate(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        is_returning: bool,
    ) -> stream_admission.Candidate:
        organisation = exchange.organisation
        now = self._timer.now()
        until = now + RETURNING_WAIT_S
        if not is_returning:
            until = _latest_begin(exchange, demand)
        return stream_admission.Candidate(
            rank=urgency_ranks.rank(exchange.urgencies, exchange.urgency),
            organisation=service_load.organisation_key(
                organisation.name if organisation else ''
            ),
            tokens=demand.tokens,
            asked_at=now,
            until=min(until, exchange.ends_at),
            is_returning=is_returning,
        )


class _RankedTicket(admission_ticket.Ticket):
    """Ticket of a stream whose service has callers of different urgency."""

    def __init__(
        self,
        gate: RankedGate,
        service: service_admission.ServiceAdmission,
        exchange: context.Exchange,
        candidate: stream_admission.Candidate,
        caller: int | None,
        admitted: admission_queue.Admitted,
    ) -> None:
        self._gate = gate
        self._service = service
        self._exchange = exchange
        self._candidate = candidate
        self._caller = caller
        self._pause_share = admitted.pause_share
        self._admitted_at = gate.now()
        self._is_resuming = False
        self._is_released = False

    def demand(self, demand: path_choice.Demand) -> path_choice.Demand:
        longest_s = demand.longest_pause_s * self._pause_share
        return demand._replace(longest_pause_s=longest_s)

    def path_wait_s(self, usual_s: float) -> float:
        """Looks for a path as long as it would have waited for room."""
        left_s = self._candidate.until - self._gate.now()
        return max(LEAST_PATH_WAIT_S, left_s)

    def retry_after_s(self, usual_s: float) -> float:
        return self._gate.note_unserved(
            self._exchange, self._candidate, self._service, self._caller
        )

    @property
    def repeats_kept(self) -> float:
        last = len(self._exchange.urgencies) - 1
        return MOST_REPEATS_KEPT * self._candidate.rank / last

    def set_resuming(self, is_resuming: bool) -> None:
        if is_resuming != self._is_resuming:
            self._is_resuming = is_resuming
            change = 1 if is_resuming else -1
            self._service.count_resuming(self._candidate.rank, change)

    def release(self, has_run: bool) -> None:
        if self._is_released:
            return
        self._is_released = True
        self.set_resuming(False)
        self._service.end(self._candidate)
        if has_run:
            self._service.note_held(self._gate.now() - self._admitted_at)


def _latest_begin(
    exchange: context.Exchange, demand: path_choice.Demand
) -> float:
    """Returns the latest time to begin at which the objective is met."""
    engine = exchange.service.engine
    assert engine is not None
    first_s = service_admission.first_event_s(
        engine, demand.prompt_tokens, engine.event_tokens
    )
    aim_at = exchange.request.received_at + exchange.route.objective_s
    return aim_at - BUSY_FACTOR * first_s


def _ms(seconds: float) -> int:
    return round(seconds * cost_model.MS_PER_S)
