"""A loopback target that answers each request by a script."""

from collections.abc import Callable
from typing import NamedTuple

from gevent import server
from gevent import socket
import h11

RECEIVE_BYTES = 65536


class Received(NamedTuple):
    """A complete request as received; header names are in lower case."""

    method: str
    path: str
    value_by_header: dict[str, str]
    body: bytes


# Writes the response; returns whether to keep the connection open.
Script = Callable[[socket.socket, Received], bool]


class ScriptedTarget:
    """Accepts connections and records all requests."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[Received] = []
        self.connections = 0
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Returns the listen address, as host:port."""
        return f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Closes the listening socket; later connections are refused."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        while True:
            request = _read_request(sock, connection)
            if request is None:
                break
            self.received.append(request)
            if not self.script(sock, request):
                break
            connection.send(h11.Response(status_code=200, headers=[]))
            connection.send(h11.EndOfMessage())
            connection.start_next_cycle()
        sock.close()


def answer(
    body: bytes, status: int = 200, headers: dict[str, str] | None = None
) -> bytes:
    """Returns the bytes of a response with Content-Length."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines.extend(f'{name}: {value}' for name, value in (headers or {}).items())
    return '\r\n'.join([*lines, '', '']).encode() + body


def stream_head(headers: dict[str, str] | None = None) -> bytes:
    """Returns the head of a chunked response."""
    lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
    lines.extend(f'{name}: {value}' for name, value in (headers or {}).items())
    return '\r\n'.join([*lines, '', '']).encode()


def chunk(data: bytes) -> bytes:
    """Returns one chunk; empty data gives the last chunk."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def event(number: int) -> bytes:
    """Returns one event of a stream."""
    return b'id: %d\ndata: token %d\n\n' % (number, number)


def _read_request(
    sock: socket.socket, connection: h11.Connection
) -> Received | None:
    head: h11.Request | None = None
    body = b''
    while True:
        try:
            received_event = connection.next_event()
            if received_event is h11.NEED_DATA:
                connection.receive_data(sock.recv(RECEIVE_BYTES))
                continue
        except (OSError, h11.RemoteProtocolError):
            return None
        if isinstance(received_event, h11.Request):
            head = received_event
        elif isinstance(received_event, h11.Data):
            body += bytes(received_event.data)
        elif isinstance(received_event, h11.EndOfMessage) and head is not None:
            return Received(
                head.method.decode(),
                head.target.decode(),
                {
                    name.decode(): value.decode()
                    for name, value in head.headers
                },
                body,
            )
        else:
            return None
