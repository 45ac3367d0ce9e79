"""Tests of HTTP calls that are interrupted while their body is sent."""

from cactusmux_platform import http_calls
import gevent
from gevent import server
from gevent import socket
import pytest
from returns import result

CONNECTIONS = 2
LONG_BODY = b'x' * (8 << 20)
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
WAIT_S = 5.0
SOON_S = 0.1


class _LateReader:
    """Server that reads nothing until it is told to respond."""

    def __init__(self):
        self.responds = False
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self._server = server.StreamServer(listener, self._serve)
        self._server.start()

    @property
    def address(self):
        return f'127.0.0.1:{self._server.server_port}'

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _peer):
        if not self.responds:
            gevent.sleep(WAIT_S)
            return
        sock.recv(65536)
        sock.sendall(ANSWER)


def _time_out(caller):
    before_end_s = SOON_S - http_calls.CONNECT_TIMEOUT_S
    caller.call('POST', '/x', LONG_BODY, before_end_s)


def _kill(caller):
    task = gevent.spawn(caller.call, 'POST', '/x', LONG_BODY, WAIT_S)
    gevent.sleep(SOON_S)
    task.kill()


@pytest.mark.parametrize('interrupt', [_time_out, _kill])
def test_interrupted_sends_leave_connections_for_later_calls(interrupt):
    target = _LateReader()
    caller = http_calls.HttpCaller(target.address, CONNECTIONS, WAIT_S)
    for _ in range(CONNECTIONS):
        interrupt(caller)
    target.responds = True
    outcome = caller.call('GET', '/x', b'', WAIT_S)
    caller.close()
    target.stop()
    assert isinstance(outcome, result.Success)
