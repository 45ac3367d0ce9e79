"""Interface of calls between instances."""

import abc
from collections.abc import Callable
import enum

from cactusmux_base import failures
from returns import result

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class Method(enum.StrEnum):
    """The methods that an instance serves."""

    PROBE = 'Probe'
    PROBE_VIA = 'ProbeVia'
    SYNC = 'Sync'
    NOTICE = 'Notice'
    FETCH = 'Fetch'
    FORWARD = 'Forward'


class PeerError(failures.CactusmuxError):
    """A call to another instance that failed."""

    reason = 'peer_error'

    def __init__(self, peer_address: str, detail: str = '') -> None:
        super().__init__(f'peer {peer_address}: {detail or self.reason}')
        self.peer_address = peer_address
        self.detail = detail


class PeerUnreachable(PeerError):
    """No answer was received; the call may have run."""

    reason = 'peer_unreachable'


class PeerNotSent(PeerError):
    """No connection could be made; the call did not run."""

    reason = 'peer_not_sent'


class PeerRefused(PeerError):
    """The peer refused the call and did not run it."""

    reason = 'peer_refused'


class MessageMalformed(PeerError):
    """A message could not be decoded; no state was changed."""

    reason = 'peer_message_malformed'


class MessageTooLarge(PeerError):
    """A message exceeds ``MAX_MESSAGE_BYTES``; it was not read."""

    reason = 'peer_message_too_large'


class CallRefused(failures.CactusmuxError):
    """Raised by a handler that refuses a call without running it."""

    reason = 'call_refused'

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


Handler = Callable[[Method, bytes], bytes]


class PeerTransport(abc.ABC):
    """Unary calls between instances; a call blocks the calling task."""

    @abc.abstractmethod
    def call(
        self,
        peer_address: str,
        method: Method,
        request: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, PeerError]:
        """Returns the answer of the instance at ``peer_address``."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """The address at which this instance serves calls."""

    @abc.abstractmethod
    def serve(self, handler: Handler) -> None:
        """Starts to serve calls.

        The caller receives a :class:`CallRefused` raised by the handler as
        :class:`PeerRefused`, and any other error as a call that may have
        run.
        """

    @abc.abstractmethod
    def forget(self, peer_address: str) -> None:
        """Releases the connection to an address no longer in use."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stops the server and closes all connections."""
