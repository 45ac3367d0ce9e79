"""The bytes that a caller sends over one connection."""

import io

from cactusmux_base import turns
from gevent import socket


class CallerInput(io.RawIOBase):
    """Receives for as long as the bytes are wanted.

    Lets other tasks run while a flood of bytes arrives.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__()
        self._connection = connection
        self._turns = turns.Turns()
        self.is_stopped = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        """Receives into ``buffer``; 0 at the end or once stopped."""
        if self.is_stopped:
            return 0
        received: int = self._connection.recv_into(buffer)
        self._turns.record(received)
        return received

    def stop(self) -> None:
        """Ends the input; what else the caller sends is not read."""
        self.is_stopped = True
