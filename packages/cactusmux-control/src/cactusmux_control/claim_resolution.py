"""Says what a request gets whose key was claimed before."""

from returns import result

from . import claims


def resolve(
    record: claims.ClaimRecord,
    request: claims.ClaimRequest,
    is_abandoned: bool,
    wall: float,
) -> result.Result[claims.Outcome | None, claims.ClaimError]:
    """Says what a request gets that meets an earlier claim of its key.

    ``None`` means that the claim may be taken over. ``given_up`` tells that
    this instance made that claim and will never send under it.
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
    left = record.settled_by - wall
    if left <= 0:
        return result.Failure(claims.ClaimOutcomeUnknown(key))
    retry_after_s = max(
        claims.MIN_RETRY_AFTER_S, min(claims.MAX_RETRY_AFTER_S, left)
    )
    return result.Failure(claims.ClaimInProgress(key, retry_after_s))
