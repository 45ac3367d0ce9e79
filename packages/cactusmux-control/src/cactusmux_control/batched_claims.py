"""Claims written by the owner of a hash range, many per store write."""

import collections
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_peers import transport
from returns import result

from . import base_claims
from . import claim_writes
from . import claims

MAX_FORWARDS = 3
MAX_PENDING = 10_000
MAX_WRITES_PER_CALL = 200
OUTCOME_PERIOD_S = 0.5
# A write whose reply was lost may still be applied for this long.
LATE_WRITE_S = 60.0

Verdict = claim_writes.Verdict


class _Pending(NamedTuple):
    """An outcome that the owner of the range has not written yet."""

    write: claim_writes.ClaimWrite
    since: float


class BatchedClaims(base_claims.BaseClaims):
    """Sends claims and their outcomes to the owners of their ranges."""

    def __init__(
        self,
        forwarder: claim_writes.ClaimForwarder,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        instance_id: str,
        settings: claims.ClaimSettings,
        ranges: int = claim_writes.RANGES,
    ) -> None:
        super().__init__(timer, metric, instance_id, settings)
        self._forwarder = forwarder
        self._ranges = ranges
        self._pending_by_claim: dict[str, _Pending] = {}

    def start(self) -> timers.Subscription:
        """Sends pending outcomes periodically until cancelled."""
        return self._timer.every(OUTCOME_PERIOD_S, self.retry_pending)

    def pending(self) -> int:
        return len(self._pending_by_claim)

    def _acquire(self, grant: claims.Grant) -> claims.Claimed:
        write = claim_writes.ClaimWrite(grant.request, grant.record)
        range_number = claim_writes.range_of(grant.key, self._ranges)
        may_be_stored = False
        reply = claim_writes.Reply(Verdict.NOT_WRITTEN)
        for _ in range(MAX_FORWARDS):
            if not self.may_dispatch(grant):
                break
            forwarded = self._forwarder.forward(range_number, (write,))
            if isinstance(forwarded, result.Success):
                (reply,) = forwarded.unwrap()
                if reply.verdict is not Verdict.NOT_WRITTEN:
                    break
                self._metric.count('claims.retried.not_written')
                continue
            failure = forwarded.failure()
            self._metric.count(f'claims.retried.{failure.reason}')
            may_be_stored = may_be_stored or _may_be_accepted(failure)
        if reply.verdict is Verdict.WON:
            return result.Success(grant)
        may_be_stored = may_be_stored or reply.verdict is Verdict.UNSETTLED
        if may_be_stored:
            self._defer(grant.request, claims.released(grant.record))
        return _to_claimed(grant, reply, may_be_stored)

    def _record(self, grant: claims.Grant, record: claims.ClaimRecord) -> None:
        self._defer(grant.request, record)

    def _defer(
        self, request: claims.ClaimRequest, record: claims.ClaimRecord
    ) -> None:
        if len(self._pending_by_claim) >= MAX_PENDING:
            self._metric.count('claims.dropped.too_many_pending')
            return
        write = claim_writes.ClaimWrite(request, record)
        pending = _Pending(write, self._timer.now())
        self._pending_by_claim[record.claim_id] = pending

    def retry_pending(self) -> None:
        """Sends pending outcomes to the owners, one call per range."""
        outcomes_by_range = collections.defaultdict(list)
        for pending in self._pending_by_claim.values():
            key = claims.claim_key(pending.write.request)
            range_number = claim_writes.range_of(key, self._ranges)
            outcomes_by_range[range_number].append(pending)
        for range_number, outcomes in outcomes_by_range.items():
            self._send_outcomes(range_number, outcomes[:MAX_WRITES_PER_CALL])

    def _send_outcomes(
        self, range_number: int, outcomes: list[_Pending]
    ) -> None:
        writes = tuple(pending.write for pending in outcomes)
        forwarded = self._forwarder.forward(range_number, writes)
        if isinstance(forwarded, result.Failure):
            self._metric.count(f'claims.deferred.{forwarded.failure().reason}')
            return
        for pending, reply in zip(outcomes, forwarded.unwrap(), strict=True):
            if self._is_done(pending, reply):
                claim_id = pending.write.record.claim_id
                self._pending_by_claim.pop(claim_id, None)

    def _is_done(self, pending: _Pending, reply: claim_writes.Reply) -> bool:
        if reply.verdict is Verdict.GONE:
            return self._timer.now() - pending.since > LATE_WRITE_S
        return reply.verdict is Verdict.WRITTEN


def _may_be_accepted(failure: transport.PeerError) -> bool:
    return not isinstance(
        failure, transport.PeerNotSent | transport.PeerRefused
    )


def _to_claimed(
    grant: claims.Grant, reply: claim_writes.Reply, may_be_stored: bool
) -> claims.Claimed:
    """Returns the result of a claim that was not won."""
    key = grant.request.idempotency_key
    if reply.outcome is not None:
        return result.Success(reply.outcome)
    # If an earlier attempt may have been written, the claim in progress may
    # be its own.
    if reply.verdict is Verdict.IN_PROGRESS and not may_be_stored:
        return result.Failure(claims.ClaimInProgress(key, reply.retry_after_s))
    if reply.verdict is Verdict.OUTCOME_UNKNOWN:
        return result.Failure(claims.ClaimOutcomeUnknown(key))
    if reply.verdict is Verdict.KEY_REUSED:
        return result.Failure(claims.KeyReused(key))
    resume_ids = grant.request.resume_ids
    if may_be_stored:
        resume_ids = claims.resume_ids(grant.request, grant.record)
    return result.Failure(claims.ClaimsUnavailable(key, resume_ids))
