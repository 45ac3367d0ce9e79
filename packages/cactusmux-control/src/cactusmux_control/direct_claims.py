"""Claims that take one store write each, and one for the outcome."""

import itertools
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import stores
from returns import result

from . import base_claims
from . import claim_resolution
from . import claim_retention
from . import claims

MAX_ROUNDS = 4
MAX_PENDING = 10_000
PENDING_RETRY_S = 1.0
# Limits the store calls of one run after an outage.
MAX_SETTLED = 20
# A write whose response was lost may still take effect for this long.
LATE_WRITE_S = 60.0


class _Pending(NamedTuple):
    """An outcome that is not stored yet."""

    key: str
    record: claims.ClaimRecord
    since: float


class _Attempt:
    """The attempt to win one claim.

    ``expected`` is the revision to replace. ``may_be_stored`` is set when a
    write of this claim may have taken effect or may still do so.
    """

    def __init__(self, grant: claims.Grant) -> None:
        self.grant = grant
        self.expected = stores.ABSENT
        self.may_be_stored = False


class DirectClaims(base_claims.BaseClaims):
    """Claims each key by compare-and-swap of its own store entry."""

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        instance_id: str,
        settings: claims.ClaimSettings,
    ) -> None:
        super().__init__(timer, metric, instance_id, settings)
        self._store = store
        self._retention = claim_retention.RetentionLease(
            store, timer, settings
        )
        self._pending_by_claim: dict[str, _Pending] = {}

    def start(self) -> timers.Subscription:
        """Writes pending outcomes periodically until cancelled."""
        return self._timer.every(PENDING_RETRY_S, self.retry_pending)

    def pending(self) -> int:
        return len(self._pending_by_claim)

    def _acquire(self, grant: claims.Grant) -> claims.Claimed:
        attempt = _Attempt(grant)
        for _ in range(MAX_ROUNDS):
            claimed = self._write_claim(attempt)
            if claimed is not None:
                return self._finish_attempt(attempt, claimed)
        return self._finish_attempt(attempt, self._unavailable(attempt))

    def _finish_attempt(
        self, attempt: _Attempt, claimed: claims.Claimed
    ) -> claims.Claimed:
        """Releases a claim that was not won but may be stored."""
        won = isinstance(claimed, result.Success) and isinstance(
            claimed.unwrap(), claims.Grant
        )
        if attempt.may_be_stored and not won:
            grant = attempt.grant
            self._defer(grant.key, claims.released(grant.record))
        return claimed

    def _write_claim(self, attempt: _Attempt) -> claims.Claimed | None:
        """Writes the claim once; returns ``None`` if a retry is needed."""
        leased = self._retention.current_lease_id()
        if isinstance(leased, result.Failure):
            return self._unavailable(attempt)
        lease_id = leased.unwrap()
        grant = attempt.grant
        written = self._store.compare_and_swap(
            grant.key, claims.encode(grant.record), attempt.expected, lease_id
        )
        if isinstance(written, result.Success):
            return self._won(grant, written.unwrap())
        failure = written.failure()
        if isinstance(failure, stores.LeaseLost):
            self._retention.forget(lease_id)
            return None
        if isinstance(failure, stores.Conflict):
            return self._resolve_entry(attempt, failure.found)
        if isinstance(failure, stores.OutcomeUnknown):
            self._metric.count('claims.retried.write_outcome_unknown')
            attempt.may_be_stored = True
            return self._read_back(attempt)
        return self._unavailable(attempt)

    def _read_back(self, attempt: _Attempt) -> claims.Claimed | None:
        read = self._store.get(attempt.grant.key)
        if isinstance(read, result.Failure):
            return self._unavailable(attempt)
        return self._resolve_entry(attempt, read.unwrap())

    def _resolve_entry(
        self, attempt: _Attempt, found: stores.Entry | None
    ) -> claims.Claimed | None:
        """Resolves the attempt against the entry found in the store."""
        if found is None:
            attempt.expected = stores.ABSENT
            return None
        grant = attempt.grant
        record = claims.decode(found.value)
        if record.claim_id == grant.record.claim_id:
            return self._won(grant, found)
        resolved = claim_resolution.resolve(
            record,
            grant.request,
            self._is_given_up(record),
            self._timer.wall(),
        )
        if isinstance(resolved, result.Failure):
            return result.Failure(resolved.failure())
        outcome = resolved.unwrap()
        if outcome is not None:
            return result.Success(outcome)
        attempt.expected = found.revision
        return None

    def _won(self, grant: claims.Grant, entry: stores.Entry) -> claims.Claimed:
        return result.Success(
            grant._replace(revision=entry.revision, lease_id=entry.lease_id)
        )

    def _is_given_up(self, record: claims.ClaimRecord) -> bool:
        pending = self._pending_by_claim.get(record.claim_id)
        return (
            pending is not None
            and pending.record.state is claims.ClaimState.RELEASED
        )

    def _unavailable(self, attempt: _Attempt) -> claims.Claimed:
        grant = attempt.grant
        ids = grant.request.resume_ids
        if attempt.may_be_stored:
            ids = claims.resume_ids(grant.request, grant.record)
        key = grant.request.idempotency_key
        return result.Failure(claims.ClaimsUnavailable(key, ids))

    def _record(self, grant: claims.Grant, record: claims.ClaimRecord) -> None:
        written = self._store.compare_and_swap(
            grant.key, claims.encode(record), grant.revision, grant.lease_id
        )
        if isinstance(written, result.Success):
            self._metric.count(f'claims.recorded.{record.state}')
            return
        failure = written.failure()
        self._metric.count(f'claims.deferred.{failure.reason}')
        if not isinstance(failure, stores.LeaseLost):
            self._defer(grant.key, record)

    def _defer(self, key: str, record: claims.ClaimRecord) -> None:
        if len(self._pending_by_claim) >= MAX_PENDING:
            self._metric.count('claims.dropped.too_many_pending')
            return
        pending = _Pending(key, record, self._timer.now())
        self._pending_by_claim[record.claim_id] = pending

    def retry_pending(self) -> None:
        """Writes some deferred outcomes; stops at the first failed call."""
        oldest = itertools.islice(self._pending_by_claim.items(), MAX_SETTLED)
        for claim_id, pending in list(oldest):
            settled = self._settle(pending)
            if isinstance(settled, result.Failure):
                return
            self._pending_by_claim.pop(claim_id, None)
            if not settled.unwrap():
                # Moved to the end, so that the other outcomes are tried first.
                self._pending_by_claim[claim_id] = pending

    def _settle(
        self, pending: _Pending
    ) -> result.Result[bool, stores.StoreError]:
        """Writes one deferred outcome; returns whether it can be dropped."""
        read = self._store.get(pending.key)
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        found = read.unwrap()
        is_late = self._timer.now() - pending.since > LATE_WRITE_S
        if found is None:
            return result.Success(is_late)
        record = claims.decode(found.value)
        if record.claim_id != pending.record.claim_id:
            return result.Success(is_late)
        if record.state is not claims.ClaimState.CLAIMED:
            return result.Success(True)
        written = self._store.compare_and_swap(
            pending.key,
            claims.encode(pending.record),
            found.revision,
            found.lease_id,
        )
        if isinstance(written, result.Success):
            return result.Success(True)
        if isinstance(written.failure(), stores.Conflict):
            return result.Success(False)
        return result.Failure(written.failure())
