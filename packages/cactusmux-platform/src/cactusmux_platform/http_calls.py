"""JSON calls by HTTP that tell whether a failed call was sent."""

import errno
import socket
from typing import Any, NamedTuple

from cactusmux_base import failures
import gevent
from geventhttpclient import client
from geventhttpclient import connectionpool
from geventhttpclient import response
from returns import result

CONNECT_TIMEOUT_S = 1.0
# Of a head and a body together; a server in trouble may send without end.
MAX_RESPONSE_BYTES = 32 << 20
# A server that sends without a pause leaves the loop to others after so much.
YIELD_BYTES = 262_144


class CallNotSent(failures.CactusmuxError):
    """No connection was had in time: the server cannot have run the call."""

    reason = 'call_not_sent'

    def __init__(self, address: str, path: str) -> None:
        super().__init__(f'{address}{path} was not called: no connection')
        self.address = address
        self.path = path


class AnswerLost(failures.CactusmuxError):
    """The call was sent, at least in part, and no whole answer came."""

    reason = 'answer_lost'

    def __init__(self, address: str, path: str) -> None:
        super().__init__(f'{address}{path} was called and did not answer')
        self.address = address
        self.path = path


CallFailure = CallNotSent | AnswerLost


class Response(NamedTuple):
    """A whole HTTP answer; names of headers are in lower case."""

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
    """Calls one server over a bounded number of kept connections.

    A call is never sent twice, whatever its method.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        longest_call_s: float,
        max_answer_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Prepares calls; connects at the first one.

        :param address: ``host:port``
        :param connections: calls that may be under way together
        :param longest_call_s: largest ``deadline_s`` of any call
        :param max_answer_bytes: a longer answer counts as lost
        """
        host, _, port = address.rpartition(':')
        self._address = address
        self._client = _Client(
            host,
            int(port),
            concurrency=connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=longest_call_s,
            max_answer_bytes=max_answer_bytes,
        )

    def call(
        self, method: str, path: str, body: bytes, deadline_s: float
    ) -> result.Result[Response, CallFailure]:
        """Sends a request and reads its whole answer.

        :param deadline_s: seconds for the answer, after connecting
        """
        timeout = gevent.Timeout(CONNECT_TIMEOUT_S + deadline_s)
        try:
            with timeout:
                answer = self._client.request(method, path, body)
                # A response not read to its end keeps its connection.
                body = bytes(answer.read())
                headers = tuple(
                    (name.lower(), value) for name, value in answer.headers
                )
                return result.Success(
                    Response(answer.status_code, body, headers)
                )
        except _NoConnection:
            return result.Failure(CallNotSent(self._address, path))
        except (OSError, response.HTTPParseError):
            return result.Failure(AnswerLost(self._address, path))
        except gevent.Timeout as raised:
            if raised is not timeout:
                raise
            return result.Failure(AnswerLost(self._address, path))

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


class _NoConnection(Exception):
    """No connection was had before the connect timeout."""


class _BoundedSocket(gevent.socket.socket):
    """Receives an answer of bounded length."""

    left_bytes = MAX_RESPONSE_BYTES
    unyielded_bytes = 0

    def recv(self, *args: Any) -> bytes:
        """Receives; raises :class:`OSError` beyond the bound."""
        data: bytes = super().recv(*args)
        self.left_bytes -= len(data)
        if self.left_bytes < 0:
            raise OSError(errno.EMSGSIZE, 'answer is too long')
        self.unyielded_bytes += len(data)
        if self.unyielded_bytes >= YIELD_BYTES:
            self.unyielded_bytes = 0
            gevent.sleep(0)
        return data


class _Pool(connectionpool.ConnectionPool):
    def __init__(
        self, *args: Any, max_answer_bytes: int, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._max_answer_bytes = max_answer_bytes

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> _BoundedSocket:
        return _BoundedSocket(family, socktype, protocol)

    def after_connect(self, sock: gevent.socket.socket) -> None:
        # The end of a large request would wait 40 ms for a delayed ACK.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_socket(self) -> gevent.socket.socket:
        timeout = gevent.Timeout(self.connection_timeout)
        try:
            with timeout:
                sock = super().get_socket()
                sock.left_bytes = self._max_answer_bytes
                return sock
        except (OSError, RuntimeError) as error:
            raise _NoConnection from error
        except gevent.Timeout as raised:
            if raised is not timeout:
                raise
            raise _NoConnection from raised


class _Client(client.HTTPClient):
    def __init__(
        self,
        host: str,
        port: int,
        concurrency: int,
        connection_timeout: float,
        network_timeout: float,
        max_answer_bytes: int,
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
            max_answer_bytes=max_answer_bytes,
        )
