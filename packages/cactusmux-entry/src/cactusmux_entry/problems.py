"""Refusals and failures as RFC 9457 problem details."""

import enum
from http import HTTPStatus
import math
from typing import NamedTuple

from cactusmux_base import failures
import msgspec

CONTENT_TYPE = 'application/problem+json'


class Outcome(enum.StrEnum):
    """Outcome of a request without a complete response."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Problem(NamedTuple):
    """A refusal or failure; ``retry_after_s`` 0 if a retry can't help.

    A retry that returns ``resume_ids`` in ``X-Resume-Id`` isn't blocked by
    this request's claims. Without ``earlier_known`` the outcome of earlier
    requests with the same idempotency key is unknown.
    """

    status: HTTPStatus
    reason: str
    detail: str
    outcome: Outcome
    retry_after_s: float = 0.0
    resume_ids: tuple[str, ...] = ()
    earlier_known: bool = True


class RequestFailed(failures.CactusmuxError):
    """A request failed without a complete response."""

    reason = 'request_failed'

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem
        self.reason = problem.reason


def refused(
    reason: str,
    detail: str,
    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
    retry_after_s: float = 0.0,
) -> Problem:
    """Returns a problem for a request that was not run."""
    return Problem(status, reason, detail, Outcome.NOT_RUN, retry_after_s)


def bad_request(reason: str, detail: str) -> Problem:
    """Returns a problem for an invalid request."""
    return refused(reason, detail, HTTPStatus.BAD_REQUEST)


def to_body(problem: Problem, request_id: str) -> dict[str, object]:
    """Returns the JSON object of a problem."""
    body: dict[str, object] = {
        'type': f'urn:cactusmux:problem:{problem.reason}',
        'title': problem.reason.replace('_', ' '),
        'status': int(problem.status),
        'detail': problem.detail,
        'reason': problem.reason,
        'outcome': str(problem.outcome),
        'request_id': request_id,
    }
    if problem.resume_ids:
        body['resume_ids'] = problem.resume_ids
    if not problem.earlier_known:
        body['earlier_attempts'] = 'unknown'
    return body


def encode(problem: Problem, request_id: str) -> bytes:
    """Returns the response body of a problem."""
    return msgspec.json.encode(to_body(problem, request_id)) + b'\n'


def headers(problem: Problem, request_id: str) -> list[tuple[str, str]]:
    """Returns the response headers of a problem."""
    fields = [('Content-Type', CONTENT_TYPE), ('X-Request-Id', request_id)]
    if problem.retry_after_s > 0:
        seconds = max(1, math.ceil(problem.retry_after_s))
        fields.append(('Retry-After', str(seconds)))
    return fields
