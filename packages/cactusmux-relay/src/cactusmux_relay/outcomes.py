"""Outcomes of a send to one target, and refusals of a caller's request."""

import enum
from typing import NamedTuple

from . import target_calls

# Failures that another target may not have; other statuses are due to the
# request itself.
FAILURE_STATUSES = range(500, 600)


class Refusal(enum.StrEnum):
    """Why the relay refuses a request; written to logs and metrics."""

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
    QUARANTINED = 'quarantined'
    RATE_LIMITED = 'rate_limited'
    MEMORY_LIMIT = 'memory_limit'


class NotRun(NamedTuple):
    """The target has not run the request and won't.

    :ivar at_fault: address of the target that is the cause.
    :ivar status: HTTP status of the target, 0 without a response.
    :ivar is_refused: whether it refused the connection.
    :ivar is_held: whether its rate limit forbade to send to it.
    :ivar is_local: whether this instance could not connect for a cause of
        its own, such as a lack of descriptors.
    """

    at_fault: str
    status: int
    is_refused: bool = False
    is_held: bool = False
    is_local: bool = False


class MaybeRun(NamedTuple):
    """The request was sent, but there is no valid response.

    :ivar is_broken_off: whether the target may have ended; not if it is
        silent, or its response isn't valid.
    """

    address: str
    detail: str
    is_broken_off: bool = False


class CompleteResponse(NamedTuple):
    """A valid response with its complete body."""

    head: target_calls.ResponseHead
    body: bytes


class StreamingResponse(NamedTuple):
    """A valid response head of a stream; its events aren't read yet."""

    head: target_calls.ResponseHead
    call: target_calls.TargetCall


SendOutcome = NotRun | MaybeRun | CompleteResponse | StreamingResponse
