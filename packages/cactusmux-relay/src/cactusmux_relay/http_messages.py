"""What is read from callers, and where handlers write their answers."""

import abc
from collections.abc import Callable
from typing import NamedTuple

import gevent

Header = tuple[bytes, bytes]
Headers = list[Header]


class CallerDisconnected(gevent.GreenletExit):
    """The caller closed its connection before its answer was complete."""


class Request(NamedTuple):
    """A whole request; header names are in lower case."""

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    received_at: float

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, ``None`` if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value.decode('latin-1')
        return None


class Answerer(abc.ABC):
    """Where a handler writes its answer."""

    @abc.abstractmethod
    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""

    @abc.abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Sends the head; without a length the body goes in chunks."""

    @abc.abstractmethod
    def send(self, data: bytes) -> None:
        """Sends a part of the body at once."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Completes the body that :meth:`start` began."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Breaks off: the caller sees an answer that isn't complete."""


Handler = Callable[[Request, Answerer], None]
