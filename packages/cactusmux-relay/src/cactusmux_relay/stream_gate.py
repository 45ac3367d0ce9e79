"""Admission of streams where callers of different urgency share a service.

:mod:`stream_paths` calls the gate before it searches for a path. The
decisions are made in :mod:`stream_admission` and :mod:`admission_queue`, and
:mod:`service_load` keeps the state of the fleet; this module waits, logs and
counts. Where all routes of a service have the same urgency, streams are
admitted without a decision or a wait.
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

# Estimated time to the first event in a busy pool, as a multiple of the time
# in an idle one.
BUSY_FACTOR = 1.5
# A caller that was rejected before misses its objective anyway, so its retry
# may wait for a fixed time.
RETURNING_WAIT_S = 1.0
# An admitted request searches for a path for at least this time.
MIN_PATH_WAIT_S = 0.05
# Fraction of the retry budget that the least urgent requests leave unused.
MAX_RETRY_BUDGET_RESERVED = 0.3
# The retry delay is at most this fraction of the time left until the caller's
# deadline, which leaves time for further attempts.
RETRY_SHARE = 1.0 / 3.0

AdmissionResult = result.Result[admission_ticket.Ticket, float]


class Gate(abc.ABC):
    """Decides when a stream may start."""

    @abc.abstractmethod
    def admit(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        caller: int | None,
        is_returning: bool,
    ) -> AdmissionResult:
        """Returns a ticket for a stream, blocking while it is queued.

        The failure is the time in seconds after which to retry.

        :param caller: key that identifies the request when it is retried.
        """


class UnrestrictedGate(Gate):
    """Admits all streams immediately."""

    def admit(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        caller: int | None,
        is_returning: bool,
    ) -> AdmissionResult:
        return result.Success(admission_ticket.UNRANKED_TICKET)


class UrgencyGate(Gate):
    """Admits streams by urgency where the routes of a service differ in it."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        load_tracker: service_load.ServiceLoadTracker,
        refusals: refusal_gossip.RefusalGossip,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._down = down
        self._load_tracker = load_tracker
        self._refusal_gossip = refusals
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._service_by_name: dict[
            str, service_admission.ServiceAdmission
        ] = {}

    def admit(
        self,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        caller: int | None,
        is_returning: bool,
    ) -> AdmissionResult:
        engine = exchange.service.engine
        if engine is None or not exchange.urgencies:
            return result.Success(admission_ticket.UNRANKED_TICKET)
        service = self._service(exchange)
        candidate = self._candidate(exchange, demand, is_returning)
        number, verdict = service.submit(candidate)
        if isinstance(verdict, admission_queue.Waiting):
            self._log_decision(
                'stream_waits', 'waited', exchange, candidate, service
            )
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
        """Blocks until a queued request is decided; returns the verdict."""
        is_decided = False
        try:
            while True:
                self._timer.sleep(service_admission.REVIEW_PERIOD_S)
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
    ) -> AdmissionResult:
        service.record_rejection(candidate)
        retry_s = self._retry_delay_s(exchange, candidate, verdict.expected_s)
        self._log_decision(
            'stream_rejected',
            'rejected',
            exchange,
            candidate,
            service,
            reason=verdict.reason,
            expected_ms=_ms(verdict.expected_s),
            retry_ms=_ms(retry_s),
        )
        self._refusal_gossip.record_refusal(caller)
        return result.Failure(retry_s)

    def record_unserved(
        self,
        exchange: context.Exchange,
        candidate: stream_admission.Candidate,
        service: service_admission.ServiceAdmission,
        caller: int | None,
    ) -> float:
        """Returns the retry delay in seconds of a stream that no target ran.

        Also counts the stream and remembers its caller.
        """
        load, activity = service.load, service.activity
        shares = stream_admission.divide_capacity(load, activity.hold_s)
        expected_s = service.queue.expected_wait_s(
            candidate, load, shares, activity
        )
        self._refusal_gossip.record_refusal(caller)
        self._count('sent_back', exchange)
        return self._retry_delay_s(exchange, candidate, expected_s)

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._timer.now()

    def _retry_delay_s(
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

    def _log_decision(
        self,
        event: str,
        counter: str,
        exchange: context.Exchange,
        candidate: stream_admission.Candidate,
        service: service_admission.ServiceAdmission,
        **value_by_key: object,
    ) -> None:
        """Logs and counts a decision with the data behind it."""
        self._count(counter, exchange)
        load, activity = service.load, service.activity
        shares = stream_admission.divide_capacity(load, activity.hold_s)
        limit = shares.limit_by_rank[candidate.rank]
        events.info(
            event,
            id=exchange.facts.request_id,
            route=exchange.route.name,
            urgency=exchange.urgency,
            tokens=int(candidate.tokens),
            returning=candidate.is_returning,
            barred_by=stream_admission.find_blocker(
                load, shares, candidate, activity
            )
            or 'order',
            fill=round(load.fill, 3),
            limit=round(limit / max(1.0, load.room_tokens), 3),
            heard=load.heard,
            pressure_age_s=round(load.age_s, 2),
            waiting=len(service.queue.waiting),
            left_ms=_ms(candidate.until - self._timer.now()),
            **value_by_key,
        )

    def _count(self, outcome: str, exchange: context.Exchange) -> None:
        self._metric.count(f'relay.admission.{outcome}.{exchange.urgency}')

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
                self._registry,
                self._down,
                self._load_tracker,
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
            until = _latest_start(exchange, demand)
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
    """Ticket of a stream of a service whose routes differ in urgency."""

    def __init__(
        self,
        gate: UrgencyGate,
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

    def restricted_demand(
        self, demand: path_choice.Demand
    ) -> path_choice.Demand:
        longest_pause_s = demand.longest_pause_s * self._pause_share
        return demand._replace(longest_pause_s=longest_pause_s)

    def path_wait_s(self, usual_s: float) -> float:
        """Returns the time that the request could still wait for capacity."""
        left_s = self._candidate.until - self._gate.now()
        return max(MIN_PATH_WAIT_S, left_s)

    def retry_after_s(self, usual_s: float) -> float:
        return self._gate.record_unserved(
            self._exchange, self._candidate, self._service, self._caller
        )

    @property
    def reserved_retry_share(self) -> float:
        last = len(self._exchange.urgencies) - 1
        return MAX_RETRY_BUDGET_RESERVED * self._candidate.rank / last

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
        self._service.release(self._candidate)
        if has_run:
            self._service.record_hold_time(
                self._gate.now() - self._admitted_at
            )


def _latest_start(
    exchange: context.Exchange, demand: path_choice.Demand
) -> float:
    """Returns the latest start time that still meets the objective."""
    engine = exchange.service.engine
    assert engine is not None
    first_s = service_admission.idle_first_event_s(
        engine, demand.prompt_tokens, engine.event_tokens
    )
    objective_at = exchange.request.received_at + exchange.route.objective_s
    return objective_at - BUSY_FACTOR * first_s


def _ms(seconds: float) -> int:
    return round(seconds * cost_model.MS_PER_S)
