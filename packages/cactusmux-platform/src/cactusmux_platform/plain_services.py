"""Interface of plain services, which run alongside the model engines."""

import abc
from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import failures
from returns import result

# Set by a service that refuses a request before running any part of it.
# The value is the reason, such as ``leaving`` or ``busy``.
NOT_RUN_HEADER = 'Cactusmux-Not-Run'
REQUEST_ID_HEADER = 'X-Request-Id'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'


class PlainCall(NamedTuple):
    """One request to a plain service.

    ``path`` is sent unchanged, so it must be ASCII and percent-encoded.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    request_id: str
    idempotency_key: str = ''


class PlainResponse(NamedTuple):
    """A complete response of a plain service, with any status."""

    status: int
    content_type: str
    body: bytes


class PlainError(failures.CactusmuxError):
    """A call to a plain service without a complete response."""

    reason = 'plain_error'

    def __init__(self, address: str, detail: str = '') -> None:
        super().__init__(f'plain service {address}: {detail or self.reason}')
        self.address = address
        self.detail = detail


class PlainNotRun(PlainError):
    """The service is known not to have run the request."""

    reason = 'plain_not_run'


class NotSent(PlainNotRun):
    """No byte of the request was sent."""

    reason = 'plain_not_sent'


class ServiceRefused(PlainNotRun):
    """The service stated that it did not run the request."""

    reason = 'plain_refused'


class PlainOutcomeUnknown(PlainError):
    """The request may have run: it was sent without a full response."""

    reason = 'plain_outcome_unknown'


class AnswerTooLarge(PlainOutcomeUnknown):
    """The response exceeds the size limit."""

    reason = 'plain_answer_too_large'


def always() -> bool:
    """Default of ``may_send``; permits every request."""
    return True


class PlainServiceClient(abc.ABC):
    """Calls plain services by address; a call blocks the calling task."""

    @abc.abstractmethod
    def call(
        self,
        address: str,
        call: PlainCall,
        timeout_s: float,
        once: bool,
        may_send: Callable[[], bool] = always,
    ) -> result.Result[PlainResponse, PlainError]:
        """Sends a request at most once and reads the complete response.

        :param timeout_s: seconds for connecting, sending and reading
        :param once: use a new connection instead of an idle one, which the
            service may close at any moment
        :param may_send: called after connecting, right before the first
            byte is sent; if false, the call fails with :class:`NotSent`
        """
