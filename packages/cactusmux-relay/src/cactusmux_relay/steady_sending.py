"""Sends to a peer for as long as it keeps reading, however slowly."""

import fcntl
import struct
import sys
import termios

from cactusmux_base import failures
import gevent
from gevent import socket

CHECKS_PER_TIMEOUT = 4
_INT = struct.Struct('i')


class PeerStalled(failures.CactusmuxError):
    """The peer has acknowledged nothing for the whole timeout."""

    reason = 'peer_stalled'

    def __init__(self, unsent_bytes: int, timeout_s: float) -> None:
        super().__init__(
            f'no progress for {timeout_s} s, {unsent_bytes} bytes left'
        )
        self.unsent_bytes = unsent_bytes


def send_all(
    sock: socket.socket, data: memoryview, stall_timeout_s: float
) -> None:
    """Sends all of ``data``; raises :class:`PeerStalled` and ``OSError``.

    Takes the timeout off the socket: those of reads hold for sends as well.

    :param stall_timeout_s: how long the peer may acknowledge nothing while no
        more bytes can be sent.
    """
    sock.settimeout(None)
    while data:
        sent = _send_some(sock, data, stall_timeout_s)
        data = data[sent:]


def _send_some(
    sock: socket.socket, data: memoryview, stall_timeout_s: float
) -> int:
    """Returns the number of bytes that were sent, at least one."""
    check_s = stall_timeout_s / CHECKS_PER_TIMEOUT
    unacknowledged = sys.maxsize
    idle_checks = 0
    while idle_checks < CHECKS_PER_TIMEOUT:
        with gevent.Timeout(check_s, False):
            return sock.send(data)
        before, unacknowledged = unacknowledged, _unacknowledged_bytes(sock)
        idle_checks = 0 if unacknowledged < before else idle_checks + 1
    raise PeerStalled(len(data), stall_timeout_s)


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns the bytes in the kernel that the peer hasn't acknowledged.

    Without an answer of the kernel, as for a closed socket, it is the largest
    number, so that the peer counts as idle.
    """
    buffer = bytearray(_INT.size)
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, buffer)
    except (OSError, ValueError):
        return sys.maxsize
    return int(_INT.unpack(buffer)[0])
