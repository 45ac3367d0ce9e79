"""HTTP calls whose failures say whether the request was sent."""

import socket
from typing import Any, NamedTuple

from cactusmux_base import failures
from cactusmux_base import http_statuses
import gevent
from geventhttpclient import client
from geventhttpclient import response
from returns import result

from . import yielding_socket

CONNECT_TIMEOUT_S = 1.0
# Limit of head and body together; a faulty server may send endlessly.
MAX_RESPONSE_BYTES = 32 << 20


class CallNotSent(failures.CactusmuxError):
    """No connection was made in time; the server cannot have run the call."""

    reason = 'call_not_sent'

    def __init__(self, address: str, path: str) -> None:
        super().__init__(f'{address}{path} was not called: no connection')
        self.address = address
        self.path = path


class AnswerLost(failures.CactusmuxError):
    """The call was sent at least in part; no complete response arrived."""

    reason = 'answer_lost'

    def __init__(self, address: str, path: str) -> None:
        super().__init__(f'{address}{path} was called and did not answer')
        self.address = address
        self.path = path


CallFailure = CallNotSent | AnswerLost


class Response(NamedTuple):
    """A complete HTTP response; header names are in lower case."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, ``None`` if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class HttpCaller:
    """Calls one server over a bounded pool of persistent connections.

    A call is never sent twice, whatever its method.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        longest_call_s: float,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Creates the client; the first call connects.

        :param address: ``host:port``
        :param connections: maximum number of concurrent calls
        :param longest_call_s: largest ``deadline_s`` of any call
        :param max_response_bytes: a longer response counts as lost
        """
        host, _, port = address.rpartition(':')
        self._address = address
        self._client = _Client(
            host,
            int(port),
            concurrency=connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=longest_call_s,
            max_response_bytes=max_response_bytes,
        )

    def call(
        self, method: str, path: str, body: bytes, deadline_s: float
    ) -> result.Result[Response, CallFailure]:
        """Sends a request and reads the complete response.

        :param deadline_s: seconds for the response, after connecting
        """
        timeout = gevent.Timeout(CONNECT_TIMEOUT_S + deadline_s)
        try:
            with timeout:
                http_response = self._client.request(method, path, body)
                # A response not read to its end blocks its connection.
                body = bytes(http_response.read())
                headers = tuple(
                    (name.lower(), value)
                    for name, value in http_response.headers
                )
                status = http_response.status_code
        except _NoConnection:
            return result.Failure(CallNotSent(self._address, path))
        except (OSError, response.HTTPParseError):
            return result.Failure(AnswerLost(self._address, path))
        except gevent.Timeout as raised:
            if raised is not timeout:
                raise
            return result.Failure(AnswerLost(self._address, path))
        if not http_statuses.is_final(status):
            return result.Failure(AnswerLost(self._address, path))
        return result.Success(Response(status, body, headers))

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


class _NoConnection(Exception):
    """No connection was made within the connect timeout."""


class _Pool(yielding_socket.YieldingPool):
    def __init__(
        self, *args: Any, max_response_bytes: int, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._max_response_bytes = max_response_bytes
        self._taken_by_task: dict[object, gevent.socket.socket] = {}

    def after_connect(self, sock: gevent.socket.socket) -> None:
        # With Nagle's algorithm, the end of a large request would wait
        # 40 ms for a delayed ACK.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_socket(self) -> gevent.socket.socket:
        timeout = gevent.Timeout(self.connection_timeout)
        try:
            with timeout:
                sock = super().get_socket()
                sock.remaining_bytes = self._max_response_bytes
                self._taken_by_task[gevent.getcurrent()] = sock
                return sock
        except (OSError, RuntimeError) as error:
            raise _NoConnection from error
        except gevent.Timeout as raised:
            if raised is not timeout:
                raise
            raise _NoConnection from raised

    def return_socket(self, sock: gevent.socket.socket) -> None:
        self._forget(sock)
        super().return_socket(sock)

    def release_socket(self, sock: gevent.socket.socket) -> None:
        self._forget(sock)
        super().release_socket(sock)

    def release_taken(self) -> None:
        """Closes the connection that the calling task has, if any."""
        sock = self._taken_by_task.get(gevent.getcurrent())
        if sock is not None:
            self.release_socket(sock)

    def _forget(self, sock: gevent.socket.socket) -> None:
        for task, taken in list(self._taken_by_task.items()):
            if taken is sock:
                del self._taken_by_task[task]


class _Client(client.HTTPClient):
    def __init__(
        self,
        host: str,
        port: int,
        concurrency: int,
        connection_timeout: float,
        network_timeout: float,
        max_response_bytes: int,
    ) -> None:
        super().__init__(host, port)
        self._connection_pool = _Pool(
            host,
            port,
            host,
            port,
            size=concurrency,
            connection_timeout=connection_timeout,
            network_timeout=network_timeout,
            max_response_bytes=max_response_bytes,
        )

    def request(self, *args: Any, **kwargs: Any) -> Any:
        """Sends a request; frees its connection if that is interrupted.

        The library only does so for a failure of the connection.
        """
        try:
            return super().request(*args, **kwargs)
        except (gevent.Timeout, gevent.GreenletExit):
            self._connection_pool.release_taken()
            raise
