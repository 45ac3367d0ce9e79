"""Clients that connect at once, send what they are given and stay open."""

from collections.abc import Callable, Iterable

import gevent
from gevent import socket

from . import process_rig

# Nothing has moved for so long when a crowd has settled.
SETTLED_AFTER_S = 1.0
# A crowd that still moves then is looked at as it is.
ENDS_WITHIN_S = 40.0


class Crowd:
    """Clients of one instance.

    :param port: port of the instance to connect to, its entry by default.
    """

    def __init__(
        self, rig: process_rig.ProcessRig, port: int | None = None
    ) -> None:
        self._rig = rig
        self._port = port
        self._clients: list[gevent.Greenlet] = []
        self._sockets: list[socket.socket] = []
        self._sent_bytes = 0

    def join(self, count: int, pieces: Callable[[], Iterable[bytes]]) -> None:
        """Adds clients.

        :param pieces: returns what one client sends, piece by piece.
        """
        for _ in range(count):
            self._clients.append(gevent.spawn(self._run, pieces))

    def settle(self) -> None:
        """Returns when neither the clients nor the process get any further."""
        seen = (-1, -1.0)
        with gevent.Timeout(ENDS_WITHIN_S, False):
            while seen != self._progress():
                seen = self._progress()
                gevent.sleep(SETTLED_AFTER_S)

    def leave(self) -> None:
        """Closes all connections."""
        gevent.killall(self._clients)
        for sock in self._sockets:
            sock.close()

    def _progress(self) -> tuple[int, float]:
        return self._sent_bytes, self._rig.holdings().unread_mb

    def _run(self, pieces: Callable[[], Iterable[bytes]]) -> None:
        sock = self._rig.connect(self._port)
        self._sockets.append(sock)
        try:
            for piece in pieces():
                sock.sendall(piece)
                self._sent_bytes += len(piece)
        except OSError:
            return
