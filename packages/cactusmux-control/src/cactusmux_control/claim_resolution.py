"""Resolves a request whose idempotency key was claimed before."""

from returns import result

from . import claims


def resolve(
    record: claims.ClaimRecord,
    request: claims.ClaimRequest,
    is_abandoned: bool,
    wall: float,
) -> result.Result[claims.Outcome | None, claims.ClaimError]:
    """Returns the stored outcome, ``None``, or why the claim is refused.

    ``None`` means that the claim may be replaced. ``is_abandoned`` says that
    this instance made the existing claim and will never send under it.
    """
    key = request.idempotency_key
    if record.digest != request.digest:
        return result.Failure(claims.KeyReused(key))
    if (
        record.state is claims.ClaimState.FINISHED
        and record.outcome is not None
    ):
        return result.Success(record.outcome)
    if record.state is claims.ClaimState.RELEASED:
        return result.Success(None)
    if record.state is claims.ClaimState.UNKNOWN:
        return result.Failure(claims.ClaimOutcomeUnknown(key))
    if is_abandoned or record.claim_id in request.resume_ids:
        return result.Success(None)
    left_s = record.settled_by - wall
    if left_s <= 0:
        return result.Failure(claims.ClaimOutcomeUnknown(key))
    retry_after_s = max(
        claims.MIN_RETRY_AFTER_S, min(claims.MAX_RETRY_AFTER_S, left_s)
    )
    return result.Failure(claims.ClaimInProgress(key, retry_after_s))
