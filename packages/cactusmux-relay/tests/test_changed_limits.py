"""Connections that are kept while a version changes the limits."""

from cactusmux_base import timers
from cactusmux_relay import desired_state
from cactusmux_relay import http_server
import gevent
from gevent import socket
import pytest

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
PAUSE_S = 0.1


class _Limited:
    """A server and one connection on which it has served a request."""

    def __init__(self):
        self.limits = desired_state.Limits(
            header_bytes=2000, header_timeout_s=2.0, idle_timeout_s=0.4
        )
        self.server = http_server.HttpServer(
            '127.0.0.1:0',
            lambda request, answerer: answerer.answer(200, [], b'-'),
            timers.GeventTimers(),
            lambda: self.limits,
        )
        self.server.start()
        self.sock = socket.create_connection(
            ('127.0.0.1', self.server.port), timeout=5.0
        )
        self.sock.sendall(REQUEST)
        self.sock.recv(1000)


@pytest.fixture(name='limited')
def _limited():
    made = _Limited()
    yield made
    made.sock.close()
    made.server.stop()


def test_raised_header_limit_holds_on_kept_connections(limited):
    limited.limits = limited.limits._replace(header_bytes=8000)
    head = REQUEST[:-2] + b'A: ' + b'x' * 4000 + b'\r\n\r\n'
    limited.sock.sendall(head[:3000])
    gevent.sleep(PAUSE_S)
    limited.sock.sendall(head[3000:])
    assert limited.sock.recv(1000).startswith(b'HTTP/1.1 200')


def test_raised_idle_timeout_holds_on_idle_connections(limited):
    idle_s = limited.limits.idle_timeout_s
    limited.limits = limited.limits._replace(idle_timeout_s=10.0 * idle_s)
    gevent.sleep(2.0 * idle_s)
    limited.sock.sendall(REQUEST)
    assert limited.sock.recv(1000).startswith(b'HTTP/1.1 200')
