import socket as std_socket

from cactusmux_relay import steady_sending
import gevent
from gevent import socket
import pytest

DATA = b'x' * (8 << 20)
STALL_TIMEOUT_S = 2.0


def _pair():
    """Returns two connected sockets of gevent."""
    return [
        socket.socket(fileno=each.detach()) for each in std_socket.socketpair()
    ]


def _read_all(sock):
    received = 0
    while received < len(DATA):
        received += len(sock.recv(1 << 20))


def test_timeout_that_a_reader_left_does_not_end_a_send():
    own, peer = _pair()
    own.settimeout(0.05)
    gevent.spawn_later(0.2, _read_all, peer)
    steady_sending.send_all(own, memoryview(DATA), STALL_TIMEOUT_S)


class _ClosedMeanwhile:
    """A socket that is closed while a send waits, as its descriptor tells."""

    def settimeout(self, timeout_s):
        pass

    def send(self, data):
        gevent.sleep(STALL_TIMEOUT_S)

    def fileno(self):
        return -1


def test_socket_that_is_closed_meanwhile_counts_as_stalled():
    with pytest.raises(steady_sending.PeerStalled):
        steady_sending.send_all(_ClosedMeanwhile(), memoryview(b'x'), 0.1)
