"""Runs requests to plain services, with retries or at most once.

Repeatable requests are retried within the retry budget. Other requests are
claimed before they are sent, and no second target is tried once the first
byte was sent.
"""

import abc
import collections

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import claims
from cactusmux_platform import plain_services
from cactusmux_routing import retries
from returns import result

from . import explain
from . import plain_results

MAX_ATTEMPTS = 4
# Timeout of an attempt, as a fraction of the time left to a repeatable
# request, so that time remains for a retry.
ATTEMPT_FRACTION = 0.5
BUSY_RETRY_AFTER_S = 0.5


class PlainTargets(abc.ABC):
    """Instances of plain services that accept new work."""

    @abc.abstractmethod
    def candidates(self, plain_service: str) -> tuple[str, ...]:
        """Returns addresses in order of preference."""

    @abc.abstractmethod
    def record_failure(
        self, address: str, failure: plain_services.PlainError
    ) -> None:
        """Records a failed call."""


class PlainCalls:
    """Runs requests until a complete response or a typed failure."""

    def __init__(
        self,
        client: plain_services.PlainServiceClient,
        targets: PlainTargets,
        claimer: claims.Claims,
        budget: retries.RetryBudget,
        backoff: retries.Backoff,
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self._client = client
        self._targets = targets
        self._claimer = claimer
        self._budget = budget
        self._backoff = backoff
        self._timer = timer
        self._metric = metric
        self._running_by_service: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def run(
        self, request: plain_results.PlainRequest, trace: explain.Trace
    ) -> plain_results.PlainResult:
        """Runs a request; blocks the current greenlet."""
        name = (request.service, request.plain_service)
        if self._running_by_service[name] >= request.concurrency:
            detail = f'{request.concurrency} requests are in flight'
            busy = plain_results.PlainNotRun(
                'plain_service_busy', detail, BUSY_RETRY_AFTER_S, False
            )
            return self._record_result(result.Failure(busy), trace)
        self._running_by_service[name] += 1
        try:
            if request.repeatable:
                run_result = self._run_repeatable(request, trace)
            else:
                run_result = self._run_once(request, trace)
        finally:
            self._running_by_service[name] -= 1
        return self._record_result(run_result, trace)

    def _record_result(
        self, run_result: plain_results.PlainResult, trace: explain.Trace
    ) -> plain_results.PlainResult:
        if isinstance(run_result, result.Success):
            self._metric.count('plain.completed')
            return run_result
        failure = run_result.failure()
        kind = (
            'not_run'
            if isinstance(failure, plain_results.PlainNotRun)
            else 'unknown'
        )
        self._metric.count(f'plain.{kind}.{failure.reason}')
        trace.add(f'plain_{kind}', reason=failure.reason)
        return run_result

    def _run_repeatable(
        self, request: plain_results.PlainRequest, trace: explain.Trace
    ) -> plain_results.PlainResult:
        deadline = retries.Deadline(self._timer.now() + request.deadline_s)
        self._budget.record_first_attempt(
            request.service, request.organisation
        )
        failed: list[plain_services.PlainError] = []
        for attempt in range(MAX_ATTEMPTS):
            address = self._next_address(request, failed)
            if address is None:
                break
            left_s = deadline.left_s(self._timer.now())
            trace.add('plain_attempt', address=address, attempt=attempt)
            call_result = self._client.call(
                address, request.call, left_s * ATTEMPT_FRACTION, once=False
            )
            if isinstance(call_result, result.Success):
                return result.Success(
                    plain_results.PlainComplete(call_result.unwrap())
                )
            failure = call_result.failure()
            failed.append(failure)
            self._targets.record_failure(address, failure)
            if isinstance(failure, plain_services.AnswerTooLarge):
                break
            if not self._may_retry(request, attempt, deadline, failure):
                break
        return result.Failure(plain_results.from_attempts(request, failed))

    def _may_retry(
        self,
        request: plain_results.PlainRequest,
        attempt: int,
        deadline: retries.Deadline,
        failure: plain_services.PlainError,
    ) -> bool:
        delay = self._backoff.delay_s(attempt, deadline)
        if isinstance(delay, result.Failure):
            self._metric.count(f'plain.no_retry.{delay.failure().reason}')
            return False
        taken = self._budget.spend(request.service, request.organisation)
        if isinstance(taken, result.Failure):
            self._metric.count(f'plain.no_retry.{taken.failure().reason}')
            return False
        self._metric.count(f'plain.retried.{failure.reason}')
        self._timer.sleep(delay.unwrap())
        return True

    def _next_address(
        self,
        request: plain_results.PlainRequest,
        failed: list[plain_services.PlainError],
    ) -> str | None:
        """Returns the preferred address among the untried, or of all."""
        addresses = self._targets.candidates(request.plain_service)
        tried = {failure.address for failure in failed}
        untried = [a for a in addresses if a not in tried]
        if untried:
            return untried[0]
        return addresses[0] if addresses else None

    def _run_once(
        self, request: plain_results.PlainRequest, trace: explain.Trace
    ) -> plain_results.PlainResult:
        call = request.call
        if not call.idempotency_key:
            return _refuse_unclaimed(
                'idempotency_key_missing',
                'a request that may not be repeated needs Idempotency-Key',
                0.0,
            )
        if not self._targets.candidates(request.plain_service):
            return _refuse_unclaimed(
                'no_plain_target',
                request.plain_service,
                plain_results.NO_TARGET_RETRY_AFTER_S,
            )
        claimed = self._claimer.claim(
            claims.ClaimRequest(
                request.service,
                request.organisation,
                call.idempotency_key,
                claims.request_digest(call.method, call.path, call.body),
                request.deadline_s,
                request.resume_ids,
            )
        )
        if isinstance(claimed, result.Failure):
            return result.Failure(
                plain_results.from_claim_failure(claimed.failure())
            )
        won = claimed.unwrap()
        if isinstance(won, claims.Outcome):
            return result.Success(plain_results.from_stored_outcome(won))
        trace.add('claim_won', revision=won.revision)
        return self._send_claimed(request, won, trace)

    def _send_claimed(
        self,
        request: plain_results.PlainRequest,
        grant: claims.Grant,
        trace: explain.Trace,
    ) -> plain_results.PlainResult:
        try:
            call_result = self._send_once(request, grant, trace)
        except BaseException:
            # The request may have been sent before the exception.
            self._claimer.mark_outcome_unknown(grant)
            raise
        if isinstance(call_result, result.Success):
            response = call_result.unwrap()
            self._claimer.finish(grant, claims.outcome_to_store(*response))
            return result.Success(plain_results.PlainComplete(response))
        failure = call_result.failure()
        if not isinstance(failure, plain_services.PlainNotRun):
            self._claimer.mark_outcome_unknown(grant)
            return result.Failure(
                plain_results.PlainUnknown(failure.reason, str(failure), 0.0)
            )
        self._claimer.release(grant)
        return result.Failure(
            plain_results.PlainNotRun(
                failure.reason,
                str(failure),
                plain_results.NOT_RUN_RETRY_AFTER_S,
                resume_ids=claims.resume_ids(grant.request, grant.record),
            )
        )

    def _send_once(
        self,
        request: plain_results.PlainRequest,
        grant: claims.Grant,
        trace: explain.Trace,
    ) -> result.Result[
        plain_services.PlainResponse, plain_services.PlainError
    ]:
        """Sends to the first target that accepts a connection."""
        deadline = retries.Deadline(self._timer.now() + request.deadline_s)
        failure: plain_services.PlainError = plain_services.NotSent(
            request.plain_service, 'no target'
        )
        addresses = self._targets.candidates(request.plain_service)
        for address in addresses[:MAX_ATTEMPTS]:
            trace.add('plain_attempt', address=address, once=True)
            call_result = self._client.call(
                address,
                request.call,
                deadline.left_s(self._timer.now()),
                once=True,
                may_send=lambda: self._claimer.may_dispatch(grant),
            )
            if isinstance(call_result, result.Success):
                return call_result
            failure = call_result.failure()
            self._targets.record_failure(address, failure)
            if not isinstance(failure, plain_services.NotSent):
                break
            if not self._claimer.may_dispatch(grant):
                break
            self._metric.count(f'plain.retried.{failure.reason}')
        return result.Failure(failure)


def _refuse_unclaimed(
    reason: str, detail: str, retry_after_s: float
) -> plain_results.PlainResult:
    return result.Failure(
        plain_results.PlainNotRun(
            reason, detail, retry_after_s, earlier_known=False
        )
    )
