"""Lines and heads that a target never ends don't fill the memory."""

from collections.abc import Callable, Iterator
import contextlib

from cactusmux_platform import http_plain_services
from cactusmux_platform import http_targets
from cactusmux_platform import plain_services
from cactusmux_platform import targets
import gevent
from gevent import server
from gevent import socket
import pytest

MIB = 1_048_576
FLOOD_BYTES = 64 * MIB
MAX_TAKEN_BYTES = 24 * MIB
BLOCK = b'x' * 65_536
TIMEOUT_S = 30.0
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Flood:
    """Answers each request with a beginning, then bytes without an end."""

    def __init__(self, opening: bytes, block: bytes) -> None:
        self.taken = 0
        self._opening = opening
        self._block = block
        self.server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        sock.recv(65_536)
        with sock, contextlib.suppress(OSError):
            sock.sendall(self._opening)
            while self.taken < FLOOD_BYTES:
                sock.sendall(self._block)
                self.taken += len(self._block)
            gevent.sleep(TIMEOUT_S)


Flooding = Callable[[bytes, bytes], Flood]


@pytest.fixture
def flooding() -> Iterator[Flooding]:
    with contextlib.ExitStack() as stack:

        def start(opening: bytes, block: bytes) -> Flood:
            flood = Flood(opening, block)
            stack.callback(flood.server.stop, timeout=0)
            return flood

        yield start


def _request(address: str) -> targets.RoutedRequest:
    stages = (targets.Stage(address, 0, 8),)
    return targets.RoutedRequest(
        'r-1', 1, 'drafter', 'v1', '', 'Hello', 4, stages
    )


def test_line_without_an_end_breaks_the_stream(flooding: Flooding) -> None:
    flood = flooding(HEAD, b'10000\r\n' + BLOCK + b'\r\n')
    client = http_targets.HttpTargetClient()
    with gevent.Timeout(TIMEOUT_S):
        stream = client.open_stream(_request(flood.address), 5.0).unwrap()
        with pytest.raises(targets.StreamBroken):
            next(iter(stream))
        stream.close()
    assert flood.taken < MAX_TAKEN_BYTES


@pytest.mark.parametrize(
    'block', [BLOCK, b'a: ' + BLOCK[:8000] + b'\r\n'], ids=['line', 'lines']
)
def test_head_of_a_stream_without_an_end_is_given_up(
    flooding: Flooding, block: bytes
) -> None:
    flood = flooding(b'HTTP/1.1 200 OK\r\nx: ', block)
    client = http_targets.HttpTargetClient()
    with gevent.Timeout(TIMEOUT_S):
        opened = client.open_stream(_request(flood.address), 5.0)
    assert isinstance(opened.failure(), targets.StreamBroken)
    assert flood.taken < MAX_TAKEN_BYTES


@pytest.mark.parametrize(
    'block', [BLOCK, b'a: ' + BLOCK[:8000] + b'\r\n'], ids=['line', 'lines']
)
def test_head_of_a_plain_answer_without_an_end_is_given_up(
    flooding: Flooding, block: bytes
) -> None:
    flood = flooding(b'HTTP/1.1 200 OK\r\nx: ', block)
    client = http_plain_services.HttpPlainServiceClient()
    call = plain_services.PlainCall('POST', '/', b'{}', '', 'r-1', 'k-1')
    with gevent.Timeout(TIMEOUT_S):
        called = client.call(flood.address, call, 5.0, once=True)
    assert isinstance(called.failure(), plain_services.PlainOutcomeUnknown)
    assert flood.taken < MAX_TAKEN_BYTES
