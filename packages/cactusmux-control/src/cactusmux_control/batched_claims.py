"""Claims that are won from the owner of a range, many by one store write."""

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
# A bid whose answer was lost may be taken for as long as this.
LATE_WRITE_S = 60.0

Verdict = claim_writes.Verdict


class _Pending(NamedTuple):
    """An outcome that the owner has not written yet."""

    bid: claim_writes.ClaimWrite
    since: float


class BatchedClaims(base_claims.BaseClaims):
    """Bids for claims and tells outcomes, both by range."""

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
        """Tells outcomes from now on, until cancelled."""
        return self._timer.every(OUTCOME_PERIOD_S, self.retry_pending)

    def pending(self) -> int:
        return len(self._pending_by_claim)

    def _win(self, grant: claims.Grant) -> claims.Claimed:
        bid = claim_writes.ClaimWrite(grant.request, grant.record)
        range_number = claim_writes.range_of(grant.key, self._ranges)
        may_stand = False
        reply = claim_writes.Reply(Verdict.NOT_WRITTEN)
        for _ in range(MAX_FORWARDS):
            if not self.may_dispatch(grant):
                break
            forwarded = self._forwarder.forward(range_number, (bid,))
            if isinstance(forwarded, result.Success):
                (reply,) = forwarded.unwrap()
                if reply.verdict is not Verdict.NOT_WRITTEN:
                    break
                self._metric.count('claims.retried.not_written')
                continue
            failure = forwarded.failure()
            self._metric.count(f'claims.retried.{failure.reason}')
            may_stand = may_stand or _may_have_run(failure)
        if reply.verdict is Verdict.WON:
            return result.Success(grant)
        may_stand = may_stand or reply.verdict is Verdict.UNSETTLED
        if may_stand:
            self._defer(grant.request, claims.released(grant.record))
        return _to_claimed(grant, reply, may_stand)

    def _record(self, grant: claims.Grant, record: claims.ClaimRecord) -> None:
        self._defer(grant.request, record)

    def _defer(
        self, request: claims.ClaimRequest, record: claims.ClaimRecord
    ) -> None:
        if len(self._pending_by_claim) >= MAX_PENDING:
            self._metric.count('claims.dropped.too_many_pending')
            return
        bid = claim_writes.ClaimWrite(request, record)
        pending = _Pending(bid, self._timer.now())
        self._pending_by_claim[record.claim_id] = pending

    def retry_pending(self) -> None:
        """Tells outcomes to the owners, one call for each range."""
        pendings_by_range = collections.defaultdict(list)
        for pending in self._pending_by_claim.values():
            key = claims.claim_key(pending.bid.request)
            range_number = claim_writes.range_of(key, self._ranges)
            pendings_by_range[range_number].append(pending)
        for range_number, pendings in pendings_by_range.items():
            self._tell(range_number, pendings[:MAX_WRITES_PER_CALL])

    def _tell(self, range_number: int, pendings: list[_Pending]) -> None:
        bids = tuple(pending.bid for pending in pendings)
        forwarded = self._forwarder.forward(range_number, bids)
        if isinstance(forwarded, result.Failure):
            self._metric.count(f'claims.deferred.{forwarded.failure().reason}')
            return
        for pending, reply in zip(pendings, forwarded.unwrap(), strict=True):
            if self._is_done(pending, reply):
                claim_id = pending.bid.record.claim_id
                self._pending_by_claim.pop(claim_id, None)

    def _is_done(self, pending: _Pending, reply: claim_writes.Reply) -> bool:
        if reply.verdict is Verdict.GONE:
            return self._timer.now() - pending.since > LATE_WRITE_S
        return reply.verdict is Verdict.WRITTEN


def _may_have_run(failure: transport.PeerError) -> bool:
    return not isinstance(
        failure, transport.PeerNotSent | transport.PeerRefused
    )


def _to_claimed(
    grant: claims.Grant, reply: claim_writes.Reply, may_stand: bool
) -> claims.Claimed:
    """Returns what a request gets whose bid did not win."""
    key = grant.request.idempotency_key
    if reply.outcome is not None:
        return result.Success(reply.outcome)
    # With an earlier bid that may stand, it may be that one.
    if reply.verdict is Verdict.IN_PROGRESS and not may_stand:
        return result.Failure(claims.ClaimInProgress(key, reply.retry_after_s))
    if reply.verdict is Verdict.OUTCOME_UNKNOWN:
        return result.Failure(claims.ClaimOutcomeUnknown(key))
    if reply.verdict is Verdict.KEY_REUSED:
        return result.Failure(claims.KeyReused(key))
    resume_ids = grant.request.resume_ids
    if may_stand:
        resume_ids = claims.resume_ids(grant.request, grant.record)
    return result.Failure(claims.ClaimsUnavailable(key, resume_ids))
