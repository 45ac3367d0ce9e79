"""HTTP server for callers that may exceed every limit."""

from collections.abc import Callable
import contextlib
import errno
import io
from typing import Any

import gevent
from gevent import pywsgi
from gevent import socket

from . import caller_connections
from . import caller_input
from . import http_input

# A caller that still sends its body gets the refusal if it stops within this
# time and size; else its connection may be reset before it has read it.
LINGER_S = 1.0
LINGER_BYTES = 1_048_576
RECEIVE_BYTES = 65_536
SEND_BYTES = 65_536
# Of each connection; the system would let them grow to some megabytes.
SOCKET_BUFFER_BYTES = 262_144
HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
NO_ROOM = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
CLOSE_HEADER = ('Connection', 'close')


class CallerHandler(pywsgi.WSGIHandler):
    """Serves the requests of one connection."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._connections = self.server.connections
        self._connection = self._connections.open(self._end_input)
        self._input = caller_input.CallerInput(
            self.socket,
            self.server.max_head_bytes,
            self._record_received,
            self._is_dropped,
        )
        self.rfile = io.BufferedReader(self._input)
        self._is_body_whole = False
        self._is_in_head = True

    def handle(self) -> None:
        """Serves the connection, if there is room for it."""
        if self._connection is None:
            self._refuse_connection()
            return
        try:
            super().handle()
        finally:
            self._connections.release(self._connection)

    def read_requestline(self) -> str:
        self._is_in_head = True
        self._input.begin_head()
        line: str = super().read_requestline()
        return line

    def handle_one_request(self) -> Any:
        handled = super().handle_one_request()
        if self._input.is_head_too_large:
            self._refuse_head()
            return None
        if self._is_in_head and self._is_dropped():
            # A tuple would be sent as the answer to a bad request.
            return None
        return handled

    def get_environ(self) -> dict[str, Any]:
        self._is_in_head = False
        self._input.end_head()
        self._is_body_whole = False
        environ: dict[str, Any] = super().get_environ()
        environ[http_input.ON_WHOLE_BODY] = self._record_whole_body
        return environ

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: Any = None,
    ) -> Callable[[bytes], None]:
        """Starts the answer; one that comes before the body is the last."""
        if not self._is_body_whole and self._has_body():
            headers = [*headers, CLOSE_HEADER]
            self.close_connection = True
            self._input.stop()
        write: Callable[[bytes], None] = super().start_response(
            status, headers, exc_info
        )
        return write

    def handle_one_response(self) -> Any:
        handled = super().handle_one_response()
        if self._input.is_stopped and not self._is_dropped():
            self._linger()
        self._connections.end_request(self._connection)
        return handled

    def _refuse_head(self) -> None:
        self._connections.record('head_too_large')
        with contextlib.suppress(OSError):
            self._sendall(HEAD_TOO_LARGE)
        self._linger()

    def _sendall(self, data: bytes) -> None:
        """Sends data, for as long as the caller takes some of it."""
        view = memoryview(data)
        self.socket.settimeout(self.server.send_stall_s)
        try:
            while view:
                view = view[self.socket.send(view[:SEND_BYTES]) :]
        except TimeoutError as error:
            self._connections.record('answer_not_taken')
            # The only errors that the server takes for a caller that left.
            raise ConnectionResetError(
                errno.ECONNRESET, 'caller takes nothing'
            ) from error
        finally:
            self.socket.settimeout(None)

    def _record_whole_body(self) -> None:
        self._is_body_whole = True
        self._connections.begin_run(self._connection)

    def _record_received(self, size: int) -> None:
        self._connections.receive(self._connection, size)

    def _is_dropped(self) -> bool:
        return self._connection.is_dropped

    def _end_input(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def _refuse_connection(self) -> None:
        with contextlib.suppress(OSError), self.socket:
            self.socket.send(NO_ROOM)

    def _has_body(self) -> bool:
        body = self.wsgi_input
        return bool(body.chunked_input or body.content_length)

    def _linger(self) -> None:
        """Discards a little of an unread body, so that no reset is sent."""
        left = LINGER_BYTES
        with (
            contextlib.suppress(OSError),
            gevent.Timeout(LINGER_S, False),
        ):
            self.socket.shutdown(socket.SHUT_WR)
            while left > 0:
                discarded = len(self.socket.recv(RECEIVE_BYTES))
                if not discarded:
                    return
                left -= discarded


class CallerServer(pywsgi.WSGIServer):
    """Listens for callers and runs a WSGI application.

    :param address: ``host:port``
    :param max_head_bytes: longest head of a request.
    :param connections: decides which connections give way.
    :param send_stall_s: seconds for which a caller may take nothing.
    """

    handler_class = CallerHandler

    def __init__(
        self,
        address: str,
        application: Any,
        max_head_bytes: int,
        connections: caller_connections.CallerConnections,
        send_stall_s: float,
    ) -> None:
        self.send_stall_s = send_stall_s
        self.connections = connections
        self.max_head_bytes = max_head_bytes
        host, _, port = address.rpartition(':')
        super().__init__(
            (host, int(port)), application, log=None, error_log=None
        )

    def init_socket(self) -> None:
        super().init_socket()
        # Accepted sockets inherit these.
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            self.socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
