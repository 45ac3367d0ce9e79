"""HTTP client of plain services that sends each request at most once."""

from collections.abc import Callable

from cactusmux_base import http_statuses
import gevent
from geventhttpclient import client as http_client
from geventhttpclient import response as http_response
from returns import result

from . import plain_services
from . import yielding_socket

MAX_RESPONSE_BYTES = 1024 * 1024
# Far above the head of any answer.
MAX_HEAD_BYTES = 262_144
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
MAX_POOLED_ADDRESSES = 256
# geventhttpclient retries requests with idempotent methods up to the size
# of its pool; this size leaves no attempt after the first.
NO_RETRIES_POOL_SIZE = -1


class _ConnectFailed(Exception):
    """The request was not sent, as no connection could be used."""


class _Pool(yielding_socket.YieldingPool):
    """Connection pool that tells failures to connect from later ones."""

    def __init__(
        self,
        host: str,
        port: int,
        may_send: Callable[[], bool],
        max_received_bytes: int,
    ) -> None:
        super().__init__(
            host,
            port,
            host,
            port,
            size=MAX_IDLE_CONNECTIONS,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=None,
        )
        self.size = NO_RETRIES_POOL_SIZE
        self.checked_out = 0
        self._may_send = may_send
        self._max_received_bytes = max_received_bytes

    def get_socket(self) -> gevent.socket.socket:
        try:
            sock = super().get_socket()
        except (OSError, RuntimeError) as error:
            raise _ConnectFailed(f'connect: {error}') from error
        if not self._may_send():
            self.release_socket(sock)
            raise _ConnectFailed('authority to send has ended')
        self.checked_out += 1
        sock.remaining_bytes = self._max_received_bytes
        return sock


class _Client(http_client.HTTPClient):
    def __init__(
        self,
        address: str,
        may_send: Callable[[], bool],
        max_response_bytes: int,
    ) -> None:
        host, _, port = address.rpartition(':')
        super().__init__(host, int(port))
        framed_bytes = yielding_socket.MAX_BYTES_PER_BYTE * max_response_bytes
        self.pool = _Pool(
            host, int(port), may_send, MAX_HEAD_BYTES + framed_bytes
        )
        self._connection_pool = self.pool


class HttpPlainServiceClient(plain_services.PlainServiceClient):
    """Reuses connections only for requests that may be retried."""

    def __init__(self, max_response_bytes: int = MAX_RESPONSE_BYTES) -> None:
        self._max_response_bytes = max_response_bytes
        self._client_by_address: dict[str, _Client] = {}

    def call(
        self,
        address: str,
        call: plain_services.PlainCall,
        timeout_s: float,
        once: bool,
        may_send: Callable[[], bool] = plain_services.always,
    ) -> result.Result[
        plain_services.PlainResponse, plain_services.PlainError
    ]:
        if not call.path.isascii():
            # The library would fail after taking a connection from the
            # pool, and not return it.
            detail = f'path {call.path!r} is not in ASCII'
            return result.Failure(plain_services.NotSent(address, detail))
        if once:
            client = _Client(address, may_send, self._max_response_bytes)
        elif not may_send():
            detail = 'authority to send has ended'
            return result.Failure(plain_services.NotSent(address, detail))
        else:
            client = self._pooled_client(address)
        try:
            return self._send(client, address, call, timeout_s)
        finally:
            if once:
                client.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for client in self._client_by_address.values():
            client.close()
        self._client_by_address.clear()

    def _pooled_client(self, address: str) -> _Client:
        client = self._client_by_address.get(address)
        if client is None:
            client = _Client(
                address, plain_services.always, self._max_response_bytes
            )
            self._client_by_address[address] = client
        if len(self._client_by_address) > MAX_POOLED_ADDRESSES:
            # Instances are replaced every day, so entries of old addresses
            # would accumulate; the oldest entry is dropped.
            oldest = next(iter(self._client_by_address))
            self._client_by_address.pop(oldest).close()
        return client

    def _send(
        self,
        client: _Client,
        address: str,
        call: plain_services.PlainCall,
        timeout_s: float,
    ) -> result.Result[
        plain_services.PlainResponse, plain_services.PlainError
    ]:
        checked_out = client.pool.checked_out
        timeout = gevent.Timeout(timeout_s)
        try:
            with timeout:
                return self._exchange(client, address, call)
        except (_ConnectFailed, ValueError) as error:
            # The library raises ValueError for an invalid request.
            return result.Failure(plain_services.NotSent(address, str(error)))
        except gevent.Timeout as raised:
            self._discard(address, client)
            if raised is not timeout:
                raise
            if client.pool.checked_out == checked_out:
                return result.Failure(
                    plain_services.NotSent(address, 'connect timed out')
                )
            detail = f'no whole answer within {timeout_s} s'
        except (OSError, http_response.HTTPParseError) as error:
            detail = f'connection failed: {error}'
        return result.Failure(
            plain_services.PlainOutcomeUnknown(address, detail)
        )

    def _exchange(
        self, client: _Client, address: str, call: plain_services.PlainCall
    ) -> result.Result[
        plain_services.PlainResponse, plain_services.PlainError
    ]:
        headers = {plain_services.REQUEST_ID_HEADER: call.request_id}
        if call.content_type:
            headers['Content-Type'] = call.content_type
        if call.idempotency_key:
            key_header = plain_services.IDEMPOTENCY_KEY_HEADER
            headers[key_header] = call.idempotency_key
        response = client.request(
            call.method, call.path, body=call.body, headers=headers
        )
        try:
            return self._read(response, address)
        finally:
            response.release()

    def _read(
        self, response: http_response.HTTPSocketResponse, address: str
    ) -> result.Result[
        plain_services.PlainResponse, plain_services.PlainError
    ]:
        body = response.read(self._max_response_bytes + 1)
        if len(body) > self._max_response_bytes:
            detail = f'answer exceeds {self._max_response_bytes} bytes'
            return result.Failure(
                plain_services.AnswerTooLarge(address, detail)
            )
        if not response.message_complete:
            return result.Failure(
                plain_services.PlainOutcomeUnknown(address, 'answer cut off')
            )
        if not http_statuses.is_final(response.status_code):
            detail = f'status {response.status_code}'
            return result.Failure(
                plain_services.PlainOutcomeUnknown(address, detail)
            )
        not_run = response.get(plain_services.NOT_RUN_HEADER)
        if not_run is not None:
            return result.Failure(
                plain_services.ServiceRefused(address, str(not_run))
            )
        content_type = str(response.get('content-type') or '')
        return result.Success(
            plain_services.PlainResponse(
                response.status_code, content_type, body
            )
        )

    def _discard(self, address: str, client: _Client) -> None:
        # A timeout while sending leaks a connection of the library's pool.
        if self._client_by_address.get(address) is client:
            del self._client_by_address[address]
            client.close()
