"""The bytes that a caller sends over one connection."""

import errno
import io

from cactusmux_base import turns
from gevent import socket


class HeadTooLarge(OSError):
    """The head of a request is longer than allowed."""


class CallerInput(io.RawIOBase):
    """Receives for as long as the bytes are wanted.

    Lets other tasks run while a flood of bytes arrives.

    :param max_head_bytes: longest head of a request.
    """

    def __init__(self, connection: socket.socket, max_head_bytes: int) -> None:
        super().__init__()
        self._connection = connection
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
        """
        if self.is_stopped:
            return 0
        received: int = self._connection.recv_into(buffer)
        self._turns.record(received)
        self._count_head(received)
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
