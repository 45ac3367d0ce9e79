"""Sockets that let other tasks run while a flood of bytes arrives."""

from typing import Any

from cactusmux_base import turns
from gevent import socket
from geventhttpclient import connectionpool


class YieldingSocket(socket.socket):
    """Receives like any socket, and pauses after enough bytes or calls."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._turns = turns.Turns()

    def recv(self, *args: Any) -> bytes:
        """Receives data; lets other tasks run if due."""
        data: bytes = super().recv(*args)
        self._turns.record(len(data))
        return data


class YieldingPool(connectionpool.ConnectionPool):
    """Connection pool with yielding sockets."""

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> YieldingSocket:
        return YieldingSocket(family, socktype, protocol)
