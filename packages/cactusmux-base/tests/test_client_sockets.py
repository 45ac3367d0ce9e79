"""Connections that end while their client still sends."""

from cactusmux_base import client_sockets
from cactusmux_fakes import early_target
import gevent
from gevent import server
from gevent import socket
import pytest

RESPONSE = b'part'
SETTLE_S = 0.05


@pytest.fixture(name='connect')
def _connect():
    """Connects to targets that respond and end the connection at once."""
    opened = []

    def connect(ending):
        target = early_target.EarlyTarget(RESPONSE, ending, False)
        sock = client_sockets.ClientSocket(socket.AF_INET, socket.SOCK_STREAM)
        opened.extend((target.stop, sock.close))
        sock.connect(('127.0.0.1', int(target.address.rpartition(':')[2])))
        gevent.sleep(SETTLE_S)
        return sock

    yield connect
    for close in opened:
        close()


def test_reset_is_reported_to_the_receiver_after_the_sender(connect):
    sock = connect(early_target.Ending.RESET)
    with pytest.raises(ConnectionResetError):
        sock.sendall(b'request')
    assert sock.recv(100) == RESPONSE
    for _ in range(2):
        with pytest.raises(ConnectionResetError):
            sock.recv(100)


def test_reset_is_reported_to_the_receiver_alone(connect):
    sock = connect(early_target.Ending.RESET)
    assert sock.recv(100) == RESPONSE
    with pytest.raises(ConnectionResetError):
        sock.recv(100)


def test_end_of_data_is_no_loss_though_sending_fails_later(connect):
    sock = connect(early_target.Ending.CLOSED)
    with pytest.raises(BrokenPipeError):
        for _ in range(3):
            sock.sendall(b'request')
            gevent.sleep(SETTLE_S)
    assert sock.recv(100) == RESPONSE
    assert sock.recv(100) == b''


def test_timeout_of_a_send_is_no_loss():
    def serve(sock, _peer):
        gevent.sleep(4 * SETTLE_S)
        sock.sendall(RESPONSE)
        sock.shutdown(socket.SHUT_WR)
        gevent.sleep(4 * SETTLE_S)

    target = server.StreamServer(('127.0.0.1', 0), serve)
    target.start()
    sock = client_sockets.ClientSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.connect(('127.0.0.1', target.server_port))
    sock.settimeout(SETTLE_S)
    with pytest.raises(TimeoutError):
        sock.sendall(b'x' * 100_000_000)
    sock.settimeout(None)
    assert sock.recv(100) == RESPONSE
    assert sock.recv(100) == b''
    sock.close()
    target.stop()
