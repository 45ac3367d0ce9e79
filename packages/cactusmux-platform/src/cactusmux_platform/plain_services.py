"""Interface of the plain services that stand beside the model engines."""

import abc
from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import failures
from returns import result

# A service that refuses a request before it runs any of it says so with
# this header; its value is the reason, such as ``leaving`` or ``busy``.
NOT_RUN_HEADER = 'Cactusmux-Not-Run'
REQUEST_ID_HEADER = 'X-Request-Id'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'


class PlainCall(NamedTuple):
    """One request to a plain service.

    ``path`` goes on the wire as it is: in ASCII, with its escapes.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    request_id: str
    idempotency_key: str = ''


class PlainResponse(NamedTuple):
    """A whole answer of a plain service, whatever its status."""

    status: int
    content_type: str
    body: bytes


class PlainError(failures.CactusmuxError):
    """A call to a plain service that brought no whole answer."""

    reason = 'plain_error'

    def __init__(self, address: str, detail: str = '') -> None:
        super().__init__(f'plain service {address}: {detail or self.reason}')
        self.address = address
        self.detail = detail


class PlainNotRun(PlainError):
    """Proof that the service did not run the request."""

    reason = 'plain_not_run'


class NotSent(PlainNotRun):
    """No byte of the request left us."""

    reason = 'plain_not_sent'


class ServiceRefused(PlainNotRun):
    """The service itself said that it did not run the request."""

    reason = 'plain_refused'


class PlainOutcomeUnknown(PlainError):
    """The request may have run: bytes left, and no whole answer came."""

    reason = 'plain_outcome_unknown'


class AnswerTooLarge(PlainOutcomeUnknown):
    """An answer came that is larger than we take."""

    reason = 'plain_answer_too_large'


def always() -> bool:
    """Permits every send."""
    return True


class PlainServiceClient(abc.ABC):
    """Calls plain services by address; a call blocks its task."""

    @abc.abstractmethod
    def call(
        self,
        address: str,
        call: PlainCall,
        timeout_s: float,
        once: bool,
        may_send: Callable[[], bool] = always,
    ) -> result.Result[PlainResponse, PlainError]:
        """Sends one request, at most one time, and reads its whole answer.

        With ``once`` the connection is a new one, never one kept from an
        earlier request, as the service may close that at any moment.
        ``may_send`` is asked after connecting, right before the first byte
        leaves; when it says no the call fails with :class:`NotSent`.

        :param timeout_s: seconds for connecting, sending and reading
        """
