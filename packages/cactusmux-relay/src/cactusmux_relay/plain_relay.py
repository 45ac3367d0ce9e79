"""Relays requests to plain services.

A plain service has a few targets with a few slots each, and its requests are
short. Some targets may be slow, failing or silent. A request goes to the
least busy target. An idempotent one is retried on another target after a
failure or after half of its remaining time; any other is sent once, unless a
target states that it did not run it. A request under which targets end isn't
sent from one to the next (:mod:`plain_gate`).
"""

import math
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_routing import breakers
import gevent

from . import backoffs
from . import context
from . import load_tracker
from . import outcomes
from . import path_queue
from . import plain_gate
from . import plain_latency
from . import quarantine
from . import request_identity
from . import retry_budget
from . import send_limits
from . import sending
from . import target_crashes
from . import target_limits
from . import target_registry
from . import targets

# Number of rejected sends after which a request is refused.
MAX_REJECTIONS = 3
RETRY_AFTER_S = 0.5
MIN_TURN_WAIT_S = 0.01
MS_PER_S = 1000.0


class PlainRelay:
    """Serves requests of routes of the kinds safe and unsafe."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        tracker: load_tracker.LoadTracker,
        sender: sending.Sender,
        budget: retry_budget.RetryBudget,
        health: breakers.Breakers,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        zone: str,
        target_backoffs: backoffs.Backoffs,
        limits: target_limits.TargetLimits | None = None,
        rates: send_limits.SendLimits | None = None,
        *,
        crashes: target_crashes.TargetCrashes,
    ) -> None:
        self._crashes = crashes
        self._registry = registry
        self._tracker = tracker
        self._sender = sender
        self._budget = budget
        self._health = health
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._zone = zone
        self._backoffs = target_backoffs
        self._limits = limits or target_limits.UnlimitedTargets()
        self._rates = rates or send_limits.UnlimitedSends()
        self._turn_queue_by_service: dict[str, path_queue.PathQueue] = {}

    def serve(self, exchange: context.Exchange) -> outcomes.CompleteResponse:
        """Returns the response.

        Raises :class:`context.RequestRefused`, or
        :class:`context.PassFailureOn` with the last failure of a target.
        """
        tried: set[str] = set()
        runs = 0
        rejections = 0
        last_failure: outcomes.CompleteResponse | None = None
        service = exchange.service.name
        self._rates.record_request(service)
        gate = plain_gate.PlainGate(self._crashes, self._timer, exchange)
        while True:
            if gate.is_quarantined():
                raise self._final_failure(
                    exchange, last_failure, runs, outcomes.Refusal.QUARANTINED
                )
            target = self._choose(service, tried) or self._await_turn(
                exchange, tried
            )
            if target is None:
                refusal = self._refusal_without_target(exchange, tried)
                raise self._final_failure(
                    exchange, last_failure, runs, refusal
                )
            if tried and not self._budget.take(service):
                raise self._final_failure(
                    exchange,
                    last_failure,
                    runs,
                    outcomes.Refusal.REPEATS_SPENT,
                )
            tried.add(target.id)
            may_retry = self._may_retry(exchange, runs + 1, tried)
            outcome = self._send(
                exchange, target, may_retry, gate, has_run=runs > 0
            )
            if isinstance(outcome, outcomes.CompleteResponse):
                if outcome.head.status not in outcomes.FAILURE_STATUSES:
                    return outcome
                last_failure = outcome
                runs += 1
            elif isinstance(outcome, outcomes.NotRun):
                rejections += 1
            else:
                runs += 1
            if runs and not self._may_run_again(exchange, runs):
                raise self._final_failure(
                    exchange,
                    last_failure,
                    runs,
                    outcomes.Refusal.TARGET_FAILED,
                )
            if runs and not gate.await_clearance():
                refusal = outcomes.Refusal.TARGET_FAILED
                raise self._final_failure(
                    exchange, last_failure, runs, refusal
                )
            if rejections >= MAX_REJECTIONS:
                raise self._final_failure(
                    exchange, last_failure, runs, outcomes.Refusal.REJECTED
                )

    def _may_retry(
        self, exchange: context.Exchange, runs: int, tried: set[str]
    ) -> bool:
        """Whether the request could be retried on another target."""
        service = exchange.service.name
        if not self._may_run_again(exchange, runs):
            return False
        if self._choose(service, tried) is None:
            return False
        return self._budget.has_left(service)

    def _may_run_again(self, exchange: context.Exchange, runs: int) -> bool:
        if not exchange.route.is_idempotent:
            return False
        return runs < exchange.route.max_attempts

    def _final_failure(
        self,
        exchange: context.Exchange,
        last_failure: outcomes.CompleteResponse | None,
        runs: int,
        refusal: outcomes.Refusal,
    ) -> context.RequestRefused | context.PassFailureOn:
        if last_failure is not None:
            return context.PassFailureOn(last_failure)
        if runs:
            return context.RequestRefused(refusal, True)
        if refusal is outcomes.Refusal.QUARANTINED:
            retry_after_s = quarantine.RETRY_AFTER_S
            return context.RequestRefused(refusal, False, retry_after_s)
        retry_after_s = self._retry_after_s(exchange.service.name)
        return context.RequestRefused(refusal, False, retry_after_s)

    def _retry_after_s(self, service: str) -> float:
        """Returns when to retry, with jitter while targets back off."""
        ready = self._registry.ready(service)
        wait_s = max(
            self._backoffs.wait_s(ready), self._rates.next_turn_s(ready)
        )
        if not wait_s:
            return RETRY_AFTER_S
        spread_s = self._rng.uniform(0.0, RETRY_AFTER_S)
        return max(RETRY_AFTER_S, wait_s + spread_s)

    def _await_turn(
        self, exchange: context.Exchange, tried: set[str]
    ) -> targets.Target | None:
        """Waits until a target may be sent to under its rate limit.

        Returns ``None``, at once, if that would be too late for the caller.
        """
        service = exchange.service.name
        if not self._held_targets(service, tried):
            return None
        queue = self._turn_queue_by_service.setdefault(
            service, path_queue.PathQueue()
        )
        number = queue.join(path_queue.Rank.NEW)
        try:
            while True:
                wait_s = self._turn_wait_s(
                    service, tried, queue.ahead_of(number)
                )
                passed_s = self._timer.now() - exchange.request.received_at
                if wait_s > path_queue.new_request_wait_s(
                    exchange.route.objective_s, passed_s
                ):
                    return None
                self._timer.sleep(wait_s)
                target = self._choose(service, tried)
                if target is not None:
                    return target
        finally:
            queue.leave(number)

    def _turn_wait_s(self, service: str, tried: set[str], ahead: int) -> float:
        """Returns when a waiting request may be sent; infinite if never."""
        held = self._held_targets(service, tried)
        if not held:
            return math.inf
        wait_s = min(map(self._rates.wait_s, held))
        wait_s += ahead / self._rates.turns_per_s(held)
        return max(wait_s, MIN_TURN_WAIT_S)

    def _refusal_without_target(
        self, exchange: context.Exchange, tried: set[str]
    ) -> outcomes.Refusal:
        service = exchange.service.name
        held = self._held_targets(service, tried)
        if not held:
            return outcomes.Refusal.NO_TARGET
        self._metric.count('relay.rate_limit.refused')
        events.info(
            'turn_not_awaited',
            id=exchange.facts.request_id,
            held=','.join(sorted(each.id for each in held)),
            wait_ms=round(min(map(self._rates.wait_s, held)) * MS_PER_S),
        )
        return outcomes.Refusal.RATE_LIMITED

    def _held_targets(
        self, service: str, tried: set[str]
    ) -> list[targets.Target]:
        """Returns the targets that only their rate limits exclude now."""
        held = self._rates.held_ids(service) - self._backoffs.ids - tried
        return [
            each for each in self._registry.ready(service) if each.id in held
        ]

    def _choose(self, service: str, tried: set[str]) -> targets.Target | None:
        """Returns the least busy target; prefers this zone among equals."""
        ejected = self._health.ejected()
        excluded = self._backoffs.ids | tried | self._rates.held_ids(service)
        ready = [
            each
            for each in self._registry.ready(service)
            if each.id not in excluded
        ]
        healthy = [each for each in ready if each.address not in ejected]
        candidates = self._within_limits(healthy or ready)
        if not candidates:
            return None
        return min(candidates, key=self._rank)

    def _within_limits(
        self, candidates: list[targets.Target]
    ) -> list[targets.Target]:
        """Leaves out targets at their limit while others have free slots."""
        limited = self._limits.ids_at_limit()
        if not limited:
            return candidates
        others = [each for each in candidates if each.id not in limited]
        has_slot = any(self._busy(each) < 1.0 for each in others)
        return others if has_slot else candidates

    def _rank(self, target: targets.Target) -> tuple[float, bool, float]:
        is_other_zone = target.zone != self._zone
        return (self._busy(target), is_other_zone, self._rng.random())

    def _busy(self, target: targets.Target) -> float:
        return self._tracker.all_requests(target.id) / max(1, target.slots)

    def _send(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        may_retry: bool,
        gate: plain_gate.PlainGate,
        has_run: bool,
    ) -> outcomes.SendOutcome:
        left_s = exchange.ends_at - self._timer.now()
        wait_s = left_s / 2 if may_retry else left_s
        events.info(
            'target_chosen',
            id=exchange.facts.request_id,
            route=exchange.route.name,
            request=request_identity.identify(exchange),
            target=target.id,
            busy=self._tracker.all_requests(target.id),
            wait_ms=round(wait_s * MS_PER_S),
        )
        sent_at = self._timer.now()
        self._tracker.add((target.id,), 0.0)
        self._health.record_started(target.address)
        pace = plain_latency.PlainLatency(self._limits, target, self._timer)
        outcome: outcomes.SendOutcome = outcomes.MaybeRun(
            target.address, 'no response in time'
        )
        try:
            with gevent.Timeout(max(wait_s, 0.0), False):
                outcome = self._sender.send(exchange, target, has_run=has_run)
        finally:
            self._tracker.remove((target.id,), 0.0)
        self._record_outcome(exchange, target, outcome, sent_at)
        pace.record_outcome(outcome, exchange.route.objective_s, wait_s)
        gate.record_outcome(target, outcome, sent_at)
        return outcome

    def _record_outcome(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        outcome: outcomes.SendOutcome,
        sent_at: float,
    ) -> None:
        after_s = self._timer.now() - sent_at
        match outcome:
            case outcomes.CompleteResponse(head, _):
                if head.status in outcomes.FAILURE_STATUSES:
                    self._health.record_failure(target.address)
                    detail = f'status_{head.status}'
                    self._log_failure(exchange, target, detail, after_s)
                else:
                    self._health.record_success(target.address)
            case outcomes.NotRun(is_held=True):
                self._log_failure(exchange, target, 'rate_limited', after_s)
            case outcomes.NotRun(is_local=True):
                self._health.record_abandoned(target.address)
                self._log_failure(exchange, target, 'not_connected', after_s)
            case outcomes.NotRun(_, status) as not_run:
                self._health.record_failure(target.address, not_run.is_refused)
                detail = f'not_run_{status}'
                self._log_failure(exchange, target, detail, after_s)
            case outcomes.MaybeRun(_, detail):
                self._health.record_failure(target.address)
                self._log_failure(exchange, target, detail, after_s)

    def _log_failure(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        detail: str,
        after_s: float,
    ) -> None:
        self._metric.count('relay.target_failed')
        events.info(
            'target_failed',
            id=exchange.facts.request_id,
            target=target.id,
            address=target.address,
            detail=detail,
            after_ms=round(after_s * MS_PER_S),
        )
