"""Claims: at most one execution per idempotency key in the whole fleet.

The instance that wins the claim of a key may send its request once, within a
time window. A claim is never won a second time unless the first winner is
proved to have sent nothing.
"""

import abc
import enum
import hashlib
from typing import NamedTuple
import uuid

from cactusmux_base import decoding
from cactusmux_base import failures
from cactusmux_base import ids
from cactusmux_base import timers
import msgspec
from returns import result

CLAIM_PREFIX = 'claims/'
MAX_KEPT_BODY_BYTES = 16 * 1024
MAX_RESUME_IDS = 8
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0
UUID_TIME_VERSION = 7


class ClaimSettings(NamedTuple):
    """Durations of claims, in seconds.

    A winner may send until ``dispatch_window_s`` after it began to claim.
    ``clock_margin_s`` bounds the difference between instances' clocks.
    """

    retention_s: float = 86_400.0
    slot_s: float = 3_600.0
    dispatch_window_s: float = 5.0
    clock_margin_s: float = 2.0


class ClaimRequest(NamedTuple):
    """A request to execute one idempotency key.

    ``digest`` identifies the content. ``run_limit_s`` is how long the winner
    waits for the response. ``resume_ids`` are the ids of earlier claims of
    this key that were refused as not run; each proves that its claim was
    abandoned.
    """

    service: str
    organisation: str
    idempotency_key: str
    digest: str
    run_limit_s: float
    resume_ids: tuple[str, ...] = ()


class ClaimState(enum.StrEnum):
    """The stored state of a claim."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


class Outcome(NamedTuple):
    """The response of a finished request; a long body is omitted."""

    status: int
    content_type: str
    body: bytes
    body_kept: bool = True


class ClaimRecord(NamedTuple):
    """A claim as it is stored.

    After ``settled_by``, in seconds since the epoch, the winner can neither
    send the request nor wait for a response any more.
    """

    claim_id: str
    instance_id: str
    digest: str
    state: ClaimState
    settled_by: float
    outcome: Outcome | None = None


class Grant(NamedTuple):
    """A won claim: permission to send one request once.

    ``dispatch_by`` is a deadline in the winner's monotonic time.
    ``revision`` and ``lease_id`` are those of the claim's store entry.
    """

    request: ClaimRequest
    key: str
    record: ClaimRecord
    dispatch_by: float
    revision: int = 0
    lease_id: int = 0


class ClaimError(failures.CactusmuxError):
    """A claim that was not won: this request was not run."""

    reason = 'claim_error'
    retry_after_s = MIN_RETRY_AFTER_S

    def __init__(self, idempotency_key: str) -> None:
        super().__init__(f'key {idempotency_key!r}: {self.reason}')
        self.idempotency_key = idempotency_key


class ClaimsUnavailable(ClaimError):
    """The claim could not be written; earlier requests may have run.

    A retry that passes ``resume_ids`` is not blocked by this claim or by
    earlier ones of its key, which may be stored.
    """

    reason = 'claims_unavailable'
    retry_after_s = 2.0

    def __init__(
        self, idempotency_key: str, resume_ids: tuple[str, ...] = ()
    ) -> None:
        super().__init__(idempotency_key)
        self.resume_ids = resume_ids


class ClaimsStopped(ClaimError):
    """This instance is shutting down and accepts no further claims."""

    reason = 'claims_stopped'


class KeyReused(ClaimError):
    """The key belongs to a request with different content."""

    reason = 'idempotency_key_reused'


class KeyExpired(ClaimError):
    """The key is older than the retention: it may have run before."""

    reason = 'idempotency_key_expired'


class ClaimInProgress(ClaimError):
    """An earlier request with this key may be running now."""

    reason = 'claim_in_progress'

    def __init__(self, idempotency_key: str, retry_after_s: float) -> None:
        super().__init__(idempotency_key)
        self.retry_after_s = retry_after_s


class ClaimOutcomeUnknown(ClaimError):
    """An earlier request with this key may have run; it never runs again."""

    reason = 'claim_outcome_unknown'


Claimed = result.Result[Grant | Outcome, ClaimError]


class Claims(abc.ABC):
    """Decides who may send a request that must not run twice; blocks."""

    @abc.abstractmethod
    def claim(self, request: ClaimRequest) -> Claimed:
        """Wins the claim, or returns the outcome of an earlier winner."""

    @abc.abstractmethod
    def may_dispatch(self, grant: Grant) -> bool:
        """Returns whether the request may still be sent; call just before."""

    @abc.abstractmethod
    def finish(self, grant: Grant, outcome: Outcome) -> None:
        """Records the response that was received."""

    @abc.abstractmethod
    def mark_outcome_unknown(self, grant: Grant) -> None:
        """Records that the request was sent and its outcome is unknown."""

    @abc.abstractmethod
    def release(self, grant: Grant) -> None:
        """Releases a claim whose request is proved not to have run."""

    @abc.abstractmethod
    def pending(self) -> int:
        """Returns the number of outcomes not yet written to the store."""

    @abc.abstractmethod
    def retry_pending(self) -> None:
        """Retries writing the outcomes that are not yet stored."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Refuses further claims; requests of won claims continue."""


def new_grant(
    request: ClaimRequest,
    timer: timers.TimerService,
    instance_id: str,
    settings: ClaimSettings,
) -> Grant:
    """Returns the grant of a claim that starts now."""
    lasts_s = settings.dispatch_window_s + request.run_limit_s
    record = ClaimRecord(
        ids.new_id(),
        instance_id,
        request.digest,
        ClaimState.CLAIMED,
        timer.wall() + lasts_s + settings.clock_margin_s,
    )
    dispatch_by = timer.now() + settings.dispatch_window_s
    return Grant(request, claim_key(request), record, dispatch_by)


def resume_ids(request: ClaimRequest, record: ClaimRecord) -> tuple[str, ...]:
    """Returns the ids that a retry has to pass after a refusal.

    The oldest are dropped when there are more than ``MAX_RESUME_IDS``.
    """
    return (*request.resume_ids, record.claim_id)[-MAX_RESUME_IDS:]


def released(record: ClaimRecord) -> ClaimRecord:
    """Returns the record of a released claim."""
    return record._replace(state=ClaimState.RELEASED)


def claim_key(request: ClaimRequest) -> str:
    """Returns the store key of a request's claim."""
    scope = (request.service, request.organisation, request.idempotency_key)
    digest = hashlib.sha256(msgspec.json.encode(scope)).hexdigest()
    return f'{CLAIM_PREFIX}{digest[:40]}'


def request_digest(method: str, path: str, body: bytes) -> str:
    """Returns a digest of a request's method, path and body."""
    content = msgspec.json.encode((method, path, body))
    return hashlib.sha256(content).hexdigest()[:32]


def outcome_to_store(status: int, content_type: str, body: bytes) -> Outcome:
    """Returns an outcome to store; omits a body that is too large."""
    if len(body) > MAX_KEPT_BODY_BYTES:
        return Outcome(status, content_type, b'', body_kept=False)
    return Outcome(status, content_type, body)


def encode(record: ClaimRecord) -> bytes:
    """Returns the stored form of a record."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> ClaimRecord:
    """Reads a record from its stored form."""
    return decoding.from_json(value, type=ClaimRecord)


def is_expired(idempotency_key: str, wall: float, retention_s: float) -> bool:
    """Returns whether a key is older than the retention of claims.

    Only keys that contain a timestamp (UUID version 7) can expire here; any
    other key may run again once its claim is deleted.
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return False
    if parsed.version != UUID_TIME_VERSION:
        return False
    return wall - (parsed.int >> 80) / 1000.0 > retention_s
