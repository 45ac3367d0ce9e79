"""JSON encoding of configuration store calls and failures.

A call is ``POST /store/<call>`` with a JSON array of its arguments in the
order of :class:`stores.ConfigStore`; values are encoded in base64. The
response body is the result of the call, or a :class:`FailureMessage` with
a status other than 200.
"""

import enum
from typing import Any, TypedDict

from cactusmux_base import decoding
import msgspec

from . import stores

PATH_PREFIX = '/store/'
STATUS_OK = 200
STATUS_REFUSED = 409
STATUS_UNAVAILABLE = 503
STATUS_UNKNOWN = 504


class Call(enum.StrEnum):
    """Names of calls in paths and metrics."""

    GET = 'get'
    GET_PREFIX = 'get_prefix'
    COMPARE_AND_SWAP = 'compare_and_swap'
    DELETE = 'delete'
    GRANT_LEASE = 'grant_lease'
    RENEW_LEASE = 'renew_lease'
    REVOKE_LEASE = 'revoke_lease'
    WATCH = 'watch'


ARGUMENTS_BY_CALL: dict[Call, Any] = {
    Call.GET: tuple[str],
    Call.GET_PREFIX: tuple[str],
    Call.COMPARE_AND_SWAP: tuple[str, bytes, int, int],
    Call.DELETE: tuple[str, int],
    Call.GRANT_LEASE: tuple[float],
    Call.RENEW_LEASE: tuple[int],
    Call.REVOKE_LEASE: tuple[int],
    Call.WATCH: tuple[str, int, float],
}

RESULT_BY_CALL: dict[Call, Any] = {
    Call.GET: stores.Entry | None,
    Call.GET_PREFIX: tuple[stores.Entry, ...],
    Call.COMPARE_AND_SWAP: stores.Entry,
    Call.DELETE: int,
    Call.GRANT_LEASE: int,
    Call.RENEW_LEASE: None,
    Call.REVOKE_LEASE: None,
    Call.WATCH: stores.Watched,
}

WRITES = frozenset(
    (
        Call.COMPARE_AND_SWAP,
        Call.DELETE,
        Call.GRANT_LEASE,
        Call.RENEW_LEASE,
        Call.REVOKE_LEASE,
    )
)


class FailureMessage(TypedDict, total=False):
    """A failed call: the reason, and the fields of that reason."""

    reason: str
    call: str
    key: str
    expected: int
    found: stores.Entry | None
    lease_id: int
    revision: int
    oldest: int


def encode_failure(failure: stores.StoreError) -> tuple[int, bytes]:
    """Returns the HTTP status and body that represent a failure."""
    message: FailureMessage = {'reason': failure.reason}
    status = STATUS_REFUSED
    if isinstance(failure, stores.Conflict):
        message['key'] = failure.key
        message['expected'] = failure.expected
        message['found'] = failure.found
    elif isinstance(failure, stores.LeaseLost):
        message['lease_id'] = failure.lease_id
    elif isinstance(failure, stores.WatchCompacted):
        message['revision'] = failure.revision
        message['oldest'] = failure.oldest
    elif isinstance(failure, stores.OutcomeUnknown):
        message['key'] = failure.key
        status = STATUS_UNKNOWN
    else:
        status = STATUS_UNAVAILABLE
    return status, msgspec.json.encode(message)


def decode_failure(body: bytes) -> stores.StoreError | None:
    """Returns the failure in a body, ``None`` if it is not a known one."""
    try:
        message = decoding.from_json(body, type=FailureMessage)
    except decoding.Unreadable:
        return None
    reason = message.get('reason')
    if reason == stores.Conflict.reason:
        return stores.Conflict(
            message.get('key', ''),
            message.get('expected', stores.ABSENT),
            message.get('found'),
        )
    if reason == stores.LeaseLost.reason:
        return stores.LeaseLost(message.get('lease_id', 0))
    if reason == stores.WatchCompacted.reason:
        return stores.WatchCompacted(
            message.get('revision', stores.ABSENT),
            message.get('oldest', stores.ABSENT),
        )
    return None
