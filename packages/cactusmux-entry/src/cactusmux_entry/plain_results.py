"""What a request for a plain service holds, and what it gets."""

from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_control import claims
from cactusmux_platform import plain_services
from returns import result

NO_TARGET_RETRY_AFTER_S = 1.0
NOT_RUN_RETRY_AFTER_S = 0.5


class PlainRequest(NamedTuple):
    """A request of an organisation to a plain service.

    ``deadline_s`` is the time that is left, in seconds. ``concurrency``
    bounds this instance's requests in flight to the plain service.
    ``resume_ids`` come from earlier refusals of the same key.
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
    """A whole answer.

    ``repeated`` tells that an earlier request with the same key ran and
    this is its answer; its body is empty when ``body_kept`` is false.
    """

    answer: plain_services.PlainResponse
    repeated: bool = False
    body_kept: bool = True


class PlainCallError(failures.CactusmuxError):
    """A request that brought no answer; ``retry_after_s`` 0 means never."""

    def __init__(self, reason: str, detail: str, retry_after_s: float) -> None:
        super().__init__(f'{reason}: {detail}')
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class PlainNotRun(PlainCallError):
    """This request was not run.

    Without ``earlier_known`` nothing is known of earlier requests with the
    same key: only a repeat with that key can tell. A repeat that gives
    ``resume_ids`` back is not held up by what this request left behind.
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
    """Returns what a request gets whose claim was not won."""
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
    """Returns the answer of the earlier run of a key."""
    answer = plain_services.PlainResponse(
        outcome.status, outcome.content_type, outcome.body
    )
    return PlainComplete(answer, repeated=True, body_kept=outcome.body_kept)


def from_attempts(
    request: PlainRequest, failed: list[plain_services.PlainError]
) -> PlainCallError:
    """Returns what a repeatable request gets whose attempts all failed."""
    if not failed:
        return PlainNotRun(
            'no_plain_target', request.plain_service, NO_TARGET_RETRY_AFTER_S
        )
    last = failed[-1]
    if all(isinstance(f, plain_services.PlainNotRun) for f in failed):
        return PlainNotRun(last.reason, str(last), NOT_RUN_RETRY_AFTER_S)
    return PlainUnknown(last.reason, str(last), NOT_RUN_RETRY_AFTER_S)
