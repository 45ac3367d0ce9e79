"""The bytes that a caller sends over one connection."""

from collections.abc import Callable
import errno
import io

from cactusmux_base import turns
from gevent import socket


class HeadTooLarge(OSError):
    """The head of a request is longer than allowed."""


class InputDropped(OSError):
    """The connection had to give way to others."""


class CallerInput(io.RawIOBase):
    """Receives for as long as the bytes are wanted.

    Lets other tasks run while a flood of bytes arrives.

    :param max_head_bytes: longest head of a request.
    :param on_received: called with the size of what was received.
    :param is_dropped: returns whether the connection had to give way.
    """

    def __init__(
        self,
        connection: socket.socket,
        max_head_bytes: int,
        on_received: Callable[[int], None],
        is_dropped: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._connection = connection
        self._on_received = on_received
        self._is_dropped = is_dropped
        self._max_head_bytes = max_head_bytes
        # Of the head that is being read, ``None`` while a body is.
        self._head_bytes: int | None = 0
        self._turns = turns.Turns()
        self.is_stopped = False
        self.is_head_too_large = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        """Receives into ``buffer``; 0 at the end or once stopped.

        :raises HeadTooLarge: for the bytes beyond the limit.
        :raises InputDropped: once the connection had to give way.
        """
        if self.is_stopped:
            return 0
        received = self._receive(buffer)
        if received:
            self._on_received(received)
        if self._is_dropped():
            self.stop()
            raise InputDropped(errno.ECONNABORTED, 'gave way to others')
        self._turns.record(received)
        self._count_head(received)
        return received

    def _receive(self, buffer: memoryview) -> int:
        try:
            received: int = self._connection.recv_into(buffer)
        except OSError:
            if self._is_dropped():
                # Whoever dropped it ended a pending read.
                return 0
            raise
        return received

    def begin_head(self) -> None:
        """Counts what follows as the head of a request."""
        self._head_bytes = 0

    def end_head(self) -> None:
        """Counts what follows as a body."""
        self._head_bytes = None

    def stop(self) -> None:
        """Ends the input; what else the caller sends is not read."""
        self.is_stopped = True

    def _count_head(self, received: int) -> None:
        if self._head_bytes is None:
            return
        self._head_bytes += received
        if self._head_bytes > self._max_head_bytes:
            self.is_head_too_large = True
            self.stop()
            raise HeadTooLarge(errno.ECONNABORTED, 'head is too long')
