"""Sockets that let other tasks run while a flood of bytes arrives."""

import errno
from typing import Any

from cactusmux_base import client_sockets
from cactusmux_base import turns
from geventhttpclient import connectionpool

# A chunk of one byte takes six bytes without an extension.
MAX_BYTES_PER_BYTE = 8


class YieldingSocket(client_sockets.ClientSocket):
    """A client socket that pauses after enough bytes or calls."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._turns = turns.Turns()

    def recv(self, *args: Any) -> bytes:
        """Receives data; lets other tasks run if due."""
        data = super().recv(*args)
        self._turns.record(len(data))
        return data


class TooManyBytes(OSError):
    """The peer sent more than the reader accepts."""


class BoundedSocket(YieldingSocket):
    """Receives no more than the bytes left to it.

    :ivar remaining_bytes: the bytes that may still arrive, ``None`` for any
        number; whoever reads sets it for what is to be read next.
    """

    remaining_bytes: int | None = None

    def recv(self, *args: Any) -> bytes:
        """Receives data; raises :class:`TooManyBytes` beyond the limit."""
        data = super().recv(*args)
        if self.remaining_bytes is None:
            return data
        self.remaining_bytes -= len(data)
        if self.remaining_bytes < 0:
            raise TooManyBytes(errno.EMSGSIZE, 'too many bytes received')
        return data


class YieldingPool(connectionpool.ConnectionPool):
    """Connection pool with yielding sockets, bounded where set."""

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> BoundedSocket:
        return BoundedSocket(family, socktype, protocol)
