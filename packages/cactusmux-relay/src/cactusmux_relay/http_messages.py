"""HTTP requests of callers, and the interface for writing responses."""

import abc
from collections.abc import Callable
from typing import NamedTuple

import gevent

Header = tuple[bytes, bytes]
Headers = list[Header]


class BadRequest(Exception):
    """A request that violates the protocol or exceeds a limit.

    :ivar status: HTTP status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}')
        self.status = status


class CallerDisconnected(gevent.GreenletExit):
    """The caller disconnected before its response was complete."""


def first_value(headers: tuple[Header, ...], name: bytes) -> str | None:
    """Returns the first value of a header, ``None`` if it is absent."""
    for key, value in headers:
        if key == name:
            return value.decode('latin-1')
    return None


class Request(NamedTuple):
    """A complete request; header names are in lower case.

    :ivar received_at: monotonic time at which the head was read.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    received_at: float

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, ``None`` if it is absent."""
        return first_value(self.headers, name)


class Answerer(abc.ABC):
    """Writes the response to one request."""

    @abc.abstractmethod
    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""

    @abc.abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Sends the head; without a content length the body is chunked."""

    @abc.abstractmethod
    def send(self, data: bytes) -> None:
        """Sends a part of the body without buffering."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Completes the body that :meth:`start` began."""

    def hold(self, size: int, may_wait: bool) -> None:
        """Asks for room for a response that is read before it is sent.

        Without a limit there is always room. Raises
        :class:`held_bytes.NoRoom`.

        :param size: bytes of the body of the response.
        :param may_wait: whether to wait for room for some time.
        """
        return

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection: the caller sees an incomplete response."""


Handler = Callable[[Request, Answerer], None]
