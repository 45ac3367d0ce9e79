"""How a request to one target, and a caller's request, can end."""

import enum
from typing import NamedTuple

from . import target_calls

# Failures that may pass elsewhere; the rest is the caller's own.
FAILURE_STATUSES = range(500, 600)


class Refusal(enum.StrEnum):
    """Why a caller gets an answer of our own; used in logs and metrics."""

    NO_CONFIGURATION = 'no_configuration'
    MALFORMED = 'malformed'
    STOPPING = 'stopping'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    NO_TARGET = 'no_target'
    NO_ROOM = 'no_room'
    REJECTED = 'rejected'
    TARGET_FAILED = 'target_failed'
    TIMED_OUT = 'timed_out'
    REPEATS_SPENT = 'repeats_spent'


class NotRun(NamedTuple):
    """The target can't have run the request, and won't.

    :ivar at_fault: address of the target that is the cause.
    :ivar status: of the target's answer, 0 where it didn't answer.
    :ivar is_refused: it refused the connection.
    """

    at_fault: str
    status: int
    is_refused: bool = False


class MaybeRun(NamedTuple):
    """The request was sent and has no valid answer."""

    address: str
    detail: str


class CompleteResponse(NamedTuple):
    """A valid answer with its whole body."""

    head: target_calls.ResponseHead
    body: bytes


class StreamingResponse(NamedTuple):
    """A valid head of a stream; its events are still to come."""

    head: target_calls.ResponseHead
    call: target_calls.TargetCall


SendOutcome = NotRun | MaybeRun | CompleteResponse | StreamingResponse
