"""HTTP client of model engines."""

from collections.abc import Iterator
import socket

from cactusmux_base import decoding
from cactusmux_base import http_statuses
from cactusmux_base import turns
import gevent
from geventhttpclient import client as http_client
from geventhttpclient import response as http_response
import msgspec
from returns import result

from . import targets
from . import yielding_socket

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 1_048_576
# Far above the heads and the lines of any engine.
MAX_HEAD_BYTES = 262_144
MAX_LINE_BYTES = 1_048_576
HTTP_OK = 200
# An engine sends an empty line at once to accept a request.
EMPTY_LINE = b'\n'
# More of them in a row aren't an answer.
MAX_EMPTY_LINES = 1024
FENCED = 'fenced'

NETWORK_ERRORS = (
    OSError,
    http_response.HTTPParseError,
    http_response.HTTPConnectionClosed,
)
# Raised only while connecting, before any byte of the request is sent.
NOT_CONNECTED_ERRORS = (ConnectionRefusedError, socket.gaierror)


class StreamFailed(msgspec.Struct):
    """The line in which an engine names the address of a failed stage."""

    failed: str
    reason: str


class RefusalBody(msgspec.Struct):
    """The body of a refusal.

    With ``not_run`` the target states that it did not run the request.
    """

    not_run: bool = False
    reason: str = ''


_token_decoder = decoding.json_decoder(targets.Token)
_report_decoder = decoding.json_decoder(targets.TargetReport)
_failed_decoder = decoding.json_decoder(StreamFailed)
_refusal_decoder = decoding.json_decoder(RefusalBody)


class HttpTokenStream(targets.TokenStream):
    """Reads one token per line until the final token."""

    def __init__(self, exchange: '_Exchange') -> None:
        self._exchange = exchange

    def __iter__(self) -> Iterator[targets.Token]:
        decode = _token_decoder.decode
        own_turns = turns.Turns()
        empty_lines = 0
        while True:
            line = self._read_line()
            own_turns.record()
            if line == EMPTY_LINE:
                empty_lines += 1
                if empty_lines > MAX_EMPTY_LINES:
                    raise targets.StreamBroken(
                        self._exchange.address, 'only_empty_lines'
                    )
                continue
            empty_lines = 0
            try:
                token = decode(line)
            except decoding.Unreadable:
                raise self._line_failure(line) from None
            yield token
            if token.final:
                return

    def close(self) -> None:
        self._exchange.close()

    def _read_line(self) -> bytes:
        try:
            line = self._exchange.read_line()
        except NETWORK_ERRORS as error:
            raise self._exchange.network_failure(error) from error
        if not line:
            raise targets.StreamBroken(
                self._exchange.address, 'connection_closed'
            )
        return line

    def _line_failure(self, line: bytes) -> targets.TargetError:
        """Returns the failure for a line that is not a token.

        It names the failed stage if the engine reported one.
        """
        try:
            failed = _failed_decoder.decode(line)
        except decoding.Unreadable:
            return targets.StreamBroken(
                self._exchange.address, 'unreadable_line'
            )
        return targets.StreamBroken(failed.failed, failed.reason)


class HttpTargetClient(targets.TargetClient):
    """Opens a new connection per call, so that none is stale."""

    def report(
        self, address: str
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        return self._call(address, 'GET', '/v1/report', b'')

    def send_order(
        self, address: str, order: targets.Order
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        body = msgspec.json.encode(order)
        return self._call(address, 'POST', '/v1/orders', body)

    def open_stream(
        self, request: targets.RoutedRequest, accept_s: float
    ) -> result.Result[targets.TokenStream, targets.TargetError]:
        address = request.stages[0].address
        body = msgspec.json.encode(request)
        exchange = _Exchange(address, accept_s)
        sent = exchange.send('POST', '/v1/streams', body)
        return sent.map(lambda _: HttpTokenStream(exchange))

    def _call(
        self, address: str, method: str, path: str, body: bytes
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        exchange = _Exchange(address, CALL_TIMEOUT_S)
        try:
            sent = exchange.send(method, path, body)
            return sent.bind(lambda _: exchange.read_report())
        finally:
            exchange.close()


class _OneSocketPool(yielding_socket.YieldingPool):
    """Limits the bytes that its only socket receives."""

    _remaining_bytes: int | None = None
    _socket: yielding_socket.BoundedSocket | None = None

    def limit(self, remaining_bytes: int) -> None:
        """Sets how many more bytes may arrive."""
        self._remaining_bytes = remaining_bytes
        if self._socket is not None:
            self._socket.remaining_bytes = remaining_bytes

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> yielding_socket.BoundedSocket:
        sock = super()._create_tcp_socket(family, socktype, protocol)
        sock.remaining_bytes = self._remaining_bytes
        self._socket = sock
        return sock


class _Exchange:
    """One request and its response on a dedicated connection."""

    def __init__(self, address: str, timeout_s: float) -> None:
        host, _, port = address.rpartition(':')
        self.address = address
        self._client = http_client.HTTPClient(host, int(port))
        self._pool = _OneSocketPool(
            host,
            int(port),
            host,
            int(port),
            size=1,
            connection_timeout=CONNECT_TIMEOUT_S,
            # A socket timeout would start a timer for each token.
            network_timeout=None,
        )
        self._client._connection_pool = self._pool
        self._timeout_s = timeout_s
        self._response: http_response.HTTPSocketPoolResponse | None = None

    def send(
        self, method: str, path: str, body: bytes
    ) -> result.Result[None, targets.TargetError]:
        """Sends the request and reads the response head."""
        self._pool.limit(MAX_HEAD_BYTES)
        try:
            with gevent.Timeout(self._timeout_s, TimeoutError):
                response = self._client.request(method, path, body)
        except NOT_CONNECTED_ERRORS as error:
            return result.Failure(
                targets.NotSent(self.address, type(error).__name__)
            )
        except NETWORK_ERRORS as error:
            return result.Failure(self.network_failure(error))
        self._response = response
        if response.get_code() == HTTP_OK:
            return result.Success(None)
        if not http_statuses.is_final(response.get_code()):
            return result.Failure(
                targets.StreamBroken(self.address, _status_reason(response))
            )
        return result.Failure(self._refusal(response))

    def read_line(self) -> bytes:
        """Returns the next line; empty at the end of the response."""
        if self._response is None:
            return b''
        self._pool.limit(MAX_LINE_BYTES)
        return bytes(self._response.readline(b'\n'))

    def read_report(
        self,
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        """Reads the response body as a report."""
        try:
            with gevent.Timeout(self._timeout_s, TimeoutError):
                body = self._read_body()
            return result.Success(_report_decoder.decode(body))
        except NETWORK_ERRORS as error:
            return result.Failure(self.network_failure(error))
        except decoding.Unreadable as error:
            return result.Failure(
                targets.StreamBroken(self.address, str(error))
            )

    def network_failure(self, error: Exception) -> targets.TargetError:
        """Returns the failure for a timeout or a broken connection."""
        if isinstance(error, TimeoutError):
            return targets.StreamStalled(self.address)
        return targets.StreamBroken(self.address, type(error).__name__)

    def close(self) -> None:
        """Closes the connection, which cancels an unfinished stream."""
        # Once closed, the client closes connections returned to its pool.
        self._client.close()
        if self._response is not None:
            self._response.release()

    def _read_body(self) -> bytes:
        if self._response is None:
            return b''
        self._pool.limit(yielding_socket.MAX_BYTES_PER_BYTE * MAX_BODY_BYTES)
        return bytes(self._response.read(MAX_BODY_BYTES))

    def _refusal(
        self, response: http_response.HTTPSocketPoolResponse
    ) -> targets.TargetError:
        try:
            with gevent.Timeout(self._timeout_s, TimeoutError):
                body = _refusal_decoder.decode(self._read_body())
        except (decoding.Unreadable, *NETWORK_ERRORS):
            body = RefusalBody()
        if body.reason == FENCED:
            return targets.OrderFenced(self.address, body.reason)
        if body.not_run:
            return targets.TargetRefused(self.address, body.reason)
        reason = body.reason or _status_reason(response)
        return targets.StreamBroken(self.address, reason)


def _status_reason(response: http_response.HTTPSocketPoolResponse) -> str:
    return f'status_{response.get_code()}'
