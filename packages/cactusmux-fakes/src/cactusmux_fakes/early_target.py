"""A loopback target that responds before it has read a request's body."""

import enum
import struct

from gevent import server
from gevent import socket

RECEIVE_BYTES = 1024
# Small, so that a long body doesn't fit into the buffers of both sides.
RECEIVE_BUFFER_BYTES = 65536
HEAD_END = b'\r\n\r\n'
_ABORTING_CLOSE = struct.pack('ii', 1, 0)


class Ending(enum.Enum):
    """How the target ends a connection once it has responded."""

    # It discards what it hasn't sent, and tells the client so.
    RESET = 'reset'
    # It ends its data, then refuses what the client still sends.
    CLOSED = 'closed'


class EarlyTarget:
    """Sends the same bytes on each connection, and ends it.

    :param response: bytes of the response, or of a part of it.
    :param awaits_head: whether it waits for the head of a request; without,
        it responds to a connection that carries no request yet.
    """

    def __init__(
        self, response: bytes, ending: Ending, awaits_head: bool = True
    ) -> None:
        self._response = response
        self._ending = ending
        self._awaits_head = awaits_head
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self._server = server.StreamServer(listener, self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Returns the listen address, as host:port."""
        return f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Closes the listening socket; later connections are refused."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        if self._awaits_head:
            _read_head(sock)
        sock.sendall(self._response)
        if self._ending is Ending.RESET:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ABORTING_CLOSE
            )
        else:
            sock.shutdown(socket.SHUT_WR)
        sock.close()


def _read_head(sock: socket.socket) -> None:
    received = b''
    while HEAD_END not in received:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return
        received += data
