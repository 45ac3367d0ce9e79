"""Tests of HTTP calls with endless and duplicate responses."""

from cactusmux_platform import http_calls
import gevent
from gevent import server
import pytest
from returns import result

WAIT_S = 10.0
BLOCK = b'x' * 65536
LIMIT_BYTES = 1_000_000


class _EndlessServer:
    """Server that sends a prefix, then bytes until the client closes."""

    def __init__(self, beginning, block=BLOCK):
        self.beginning = beginning
        self.block = block
        self.sent = 0
        self.is_closed_by_client = False
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f'127.0.0.1:{self._server.server_port}'

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _peer):
        sock.recv(65536)
        try:
            sock.sendall(self.beginning)
            while True:
                sock.sendall(self.block)
                self.sent += len(self.block)
        except OSError:
            self.is_closed_by_client = True


@pytest.mark.parametrize(
    ('beginning', 'block'),
    [
        (b'', BLOCK),
        (b'HTTP/1.1 200 OK\r\nX-A: ', BLOCK),
        (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 8000),
        (b'HTTP/1.1 200 OK\r\n\r\n', BLOCK),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n', BLOCK),
        (b'', b'HTTP/1.1 103 Early\r\n\r\n' * 3000),
    ],
)
def test_answer_without_end_is_given_up(beginning, block):
    """Reading without a size limit filled memory until the call timed out."""
    target = _EndlessServer(beginning, block)
    caller = http_calls.HttpCaller(target.address, 1, WAIT_S, LIMIT_BYTES)
    with gevent.Timeout(WAIT_S / 2):
        outcome = caller.call('GET', '/report', b'', WAIT_S)
    caller.close()
    assert isinstance(outcome, result.Failure)
    with gevent.Timeout(WAIT_S / 2):
        while not target.is_closed_by_client:
            gevent.sleep(0.01)
    # Data in the socket buffers of both sides adds to the limit.
    assert target.sent < LIMIT_BYTES + 8_000_000
    target.stop()


def test_second_copy_of_an_answer_is_not_the_next_callers():
    """A duplicate that arrives on the idle connection must be dropped."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
    requests = []

    def serve(sock, _peer):
        while sock.recv(65536):
            requests.append(sock)
            body = str(len(requests)).encode()
            sock.sendall(head + body)
            gevent.sleep(0.01)
            try:
                sock.sendall(head + body)
            except OSError:
                return

    http_server = server.StreamServer(('127.0.0.1', 0), serve)
    http_server.start()
    address = f'127.0.0.1:{http_server.server_port}'
    caller = http_calls.HttpCaller(address, 1, WAIT_S)
    bodies = []
    for _ in range(3):
        response = caller.call('GET', '/', b'', WAIT_S).unwrap()
        bodies.append(response.body)
        gevent.sleep(0.05)
    assert bodies == [b'1', b'2', b'3']
    caller.close()
    http_server.stop(timeout=0)


def test_size_limit_applies_to_each_response():
    def serve(sock, _peer):
        while sock.recv(65536):
            body = b'x' * 600
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
            sock.sendall(head % len(body) + body)

    http_server = server.StreamServer(('127.0.0.1', 0), serve)
    http_server.start()
    address = f'127.0.0.1:{http_server.server_port}'
    caller = http_calls.HttpCaller(address, 1, WAIT_S, 1000)
    for _ in range(5):
        assert caller.call('GET', '/', b'', WAIT_S).unwrap().status == 200
    caller.close()
    http_server.stop(timeout=0)
