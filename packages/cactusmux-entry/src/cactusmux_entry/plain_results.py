"""Requests to plain services, and their results."""

from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_control import claims
from cactusmux_platform import plain_services
from returns import result

NO_TARGET_RETRY_AFTER_S = 1.0
NOT_RUN_RETRY_AFTER_S = 0.5


class PlainRequest(NamedTuple):
    """A request of an organisation to a plain service.

    ``deadline_s`` is the remaining time in seconds. ``concurrency`` limits
    this instance's requests in flight to the plain service. ``resume_ids``
    were returned with earlier refusals of the same idempotency key.
    """

    service: str
    organisation: str
    plain_service: str
    repeatable: bool
    call: plain_services.PlainCall
    deadline_s: float
    concurrency: int = 32
    resume_ids: tuple[str, ...] = ()


class PlainComplete(NamedTuple):
    """A complete response.

    With ``repeated``, it is the stored response to an earlier request with
    the same key; its body is empty unless ``body_kept`` is set.
    """

    answer: plain_services.PlainResponse
    repeated: bool = False
    body_kept: bool = True


class PlainCallError(failures.CactusmuxError):
    """A failed request; ``retry_after_s`` 0 means that a retry can't help."""

    def __init__(self, reason: str, detail: str, retry_after_s: float) -> None:
        super().__init__(f'{reason}: {detail}')
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class PlainNotRun(PlainCallError):
    """The request was not run.

    Without ``earlier_known`` the outcome of earlier requests with the same
    key is unknown; only a retry with that key can determine it. A retry that
    returns ``resume_ids`` isn't blocked by this request's claims.
    """

    def __init__(
        self,
        reason: str,
        detail: str,
        retry_after_s: float,
        earlier_known: bool = True,
        resume_ids: tuple[str, ...] = (),
    ) -> None:
        super().__init__(reason, detail, retry_after_s)
        self.earlier_known = earlier_known
        self.resume_ids = resume_ids


class PlainUnknown(PlainCallError):
    """The request, or an earlier one with its key, may have run."""


PlainResult = result.Result[PlainComplete, PlainCallError]


def from_claim_failure(failure: claims.ClaimError) -> PlainCallError:
    """Converts the failure to claim a request."""
    reason, detail = failure.reason, str(failure)
    if isinstance(failure, claims.ClaimOutcomeUnknown):
        return PlainUnknown(reason, detail, 0.0)
    if isinstance(failure, claims.ClaimInProgress):
        return PlainUnknown(reason, detail, failure.retry_after_s)
    if isinstance(failure, claims.KeyReused | claims.KeyExpired):
        return PlainNotRun(reason, detail, 0.0, earlier_known=False)
    ids: tuple[str, ...] = ()
    if isinstance(failure, claims.ClaimsUnavailable):
        ids = failure.resume_ids
    return PlainNotRun(reason, detail, failure.retry_after_s, False, ids)


def from_stored_outcome(outcome: claims.Outcome) -> PlainComplete:
    """Returns the stored response of an earlier request."""
    answer = plain_services.PlainResponse(
        outcome.status, outcome.content_type, outcome.body
    )
    return PlainComplete(answer, repeated=True, body_kept=outcome.body_kept)


def from_attempts(
    request: PlainRequest, failed: list[plain_services.PlainError]
) -> PlainCallError:
    """Returns the error of a repeatable request without a response."""
    if not failed:
        return PlainNotRun(
            'no_plain_target', request.plain_service, NO_TARGET_RETRY_AFTER_S
        )
    last = failed[-1]
    if all(isinstance(f, plain_services.PlainNotRun) for f in failed):
        return PlainNotRun(last.reason, str(last), NOT_RUN_RETRY_AFTER_S)
    return PlainUnknown(last.reason, str(last), NOT_RUN_RETRY_AFTER_S)
