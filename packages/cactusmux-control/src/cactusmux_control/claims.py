"""Claims: at most one run for each idempotency key, on any instance.

Whoever wins the claim of a key may send its request once, within a window.
A claim is never won a second time unless it is proved that the first
winner sent nothing.
"""

import abc
import enum
import hashlib
from typing import NamedTuple
import uuid

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
    """A wish to run one request.

    ``digest`` identifies its content. ``run_limit_s`` is how long its
    winner waits for the answer. ``resume_ids`` are the ids of earlier claims
    of this key that were refused as not run; each proves that its claim was
    given up.
    """

    service: str
    organisation: str
    idempotency_key: str
    digest: str
    run_limit_s: float
    resume_ids: tuple[str, ...] = ()


class ClaimState(enum.StrEnum):
    """What the store knows of a claim."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


class Outcome(NamedTuple):
    """A finished run's answer; a long body is left out."""

    status: int
    content_type: str
    body: bytes
    body_kept: bool = True


class ClaimRecord(NamedTuple):
    """A claim as the store keeps it.

    After ``settled_by``, in seconds since the epoch, its winner can't send
    any more and no longer waits for an answer.
    """

    claim_id: str
    instance_id: str
    digest: str
    state: ClaimState
    settled_by: float
    outcome: Outcome | None = None


class Grant(NamedTuple):
    """A won claim: the authority to send one request, once.

    ``dispatch_by`` is in the winner's monotonic time. ``revision`` and
    ``lease_id`` are those of the claim's entry in the store.
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
    """The claim could not be agreed; earlier requests may have run.

    A repeat that gives ``resume_ids`` is not held up by this claim or by
    earlier ones of its key, which may stand in the store.
    """

    reason = 'claims_unavailable'
    retry_after_s = 2.0

    def __init__(
        self, idempotency_key: str, resume_ids: tuple[str, ...] = ()
    ) -> None:
        super().__init__(idempotency_key)
        self.resume_ids = resume_ids


class ClaimsStopped(ClaimError):
    """This instance is about to exit and claims no more."""

    reason = 'claims_stopped'


class KeyReused(ClaimError):
    """The key belongs to a request with another content."""

    reason = 'idempotency_key_reused'


class KeyExpired(ClaimError):
    """The key is older than claims are kept: it may have run before."""

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
    """Who may run a request that must not run twice; calls block."""

    @abc.abstractmethod
    def claim(self, request: ClaimRequest) -> Claimed:
        """Wins the claim, or returns the outcome of the run that did."""

    @abc.abstractmethod
    def may_dispatch(self, grant: Grant) -> bool:
        """Tells whether the request may still be sent; ask right before."""

    @abc.abstractmethod
    def finish(self, grant: Grant, outcome: Outcome) -> None:
        """Records the answer that came."""

    @abc.abstractmethod
    def mark_outcome_unknown(self, grant: Grant) -> None:
        """Records that the request was sent and its outcome is unknown."""

    @abc.abstractmethod
    def release(self, grant: Grant) -> None:
        """Gives up a claim whose request is proved not to have run."""

    @abc.abstractmethod
    def pending(self) -> int:
        """Counts outcomes that are not yet written to the store."""

    @abc.abstractmethod
    def retry_pending(self) -> None:
        """Writes the outcomes that are not yet written."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Refuses further claims; those won go on."""


def new_grant(
    request: ClaimRequest,
    timer: timers.TimerService,
    instance_id: str,
    settings: ClaimSettings,
) -> Grant:
    """Returns the grant that a claim begun now would win."""
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
    """Returns the ids that a repeat has to give after a refusal.

    The oldest go first when there are more than ``MAX_RESUME_IDS``.
    """
    return (*request.resume_ids, record.claim_id)[-MAX_RESUME_IDS:]


def released(record: ClaimRecord) -> ClaimRecord:
    """Returns the record of a claim that was given up."""
    return record._replace(state=ClaimState.RELEASED)


def claim_key(request: ClaimRequest) -> str:
    """Returns the store key of a request's claim."""
    scope = (request.service, request.organisation, request.idempotency_key)
    digest = hashlib.sha256(msgspec.json.encode(scope)).hexdigest()
    return f'{CLAIM_PREFIX}{digest[:40]}'


def request_digest(method: str, path: str, body: bytes) -> str:
    """Returns a digest of what a request asks for."""
    content = msgspec.json.encode((method, path, body))
    return hashlib.sha256(content).hexdigest()[:32]


def outcome_to_store(status: int, content_type: str, body: bytes) -> Outcome:
    """Returns an outcome that is small enough to keep."""
    if len(body) > MAX_KEPT_BODY_BYTES:
        return Outcome(status, content_type, b'', body_kept=False)
    return Outcome(status, content_type, body)


def encode(record: ClaimRecord) -> bytes:
    """Returns the stored form of a record."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> ClaimRecord:
    """Reads a record from its stored form."""
    return msgspec.json.decode(value, type=ClaimRecord)


def is_expired(idempotency_key: str, wall: float, retention_s: float) -> bool:
    """Tells whether a key is older than claims are kept.

    Only keys that carry their time (UUID version 7) can tell; others never
    expire here, and run again once their claim is gone.
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return False
    if parsed.version != UUID_TIME_VERSION:
        return False
    return wall - (parsed.int >> 80) / 1000.0 > retention_s
