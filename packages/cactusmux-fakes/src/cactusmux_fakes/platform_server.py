"""Fake platform services on one HTTP port, with fault injection."""

from collections.abc import Callable, Iterable
import random
import socket
from typing import Any

from cactusmux_base import timers
from cactusmux_platform import http_instances
from cactusmux_platform import http_weights
from cactusmux_platform import instances
from cactusmux_platform import store_calls
from cactusmux_platform import stores
from gevent import pywsgi
import msgspec
from returns import result

from . import faulty_store
from . import fixed_weights
from . import listed_instances
from . import memory_store

FAULTS_PATH = '/faults'
DEFAULT_RATE_MB_PER_S = 1000.0
STOP_TIMEOUT_S = 0.0

_STATUS_LINE_BY_STATUS = {
    200: '200 OK',
    400: '400 Bad Request',
    404: '404 Not Found',
    409: '409 Conflict',
    503: '503 Service Unavailable',
    504: '504 Gateway Timeout',
}

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class PlatformServer:
    """Serves a store, an instance list and a weight store by HTTP.

    ``GET`` and ``PUT /instances`` read and replace the list, ``GET`` and
    ``PUT /weights/rate_mb_per_s`` the rate, and ``PUT /faults`` sets the
    store's :class:`faulty_store.Faults` from an object with the fields that
    differ from the defaults. Code in the same process sets the attributes.
    """

    def __init__(
        self,
        host: str = '127.0.0.1',
        port: int = 0,
        timer: timers.TimerService | None = None,
        seed: int = 0,
    ) -> None:
        """Prepares the server; port 0 selects a free port at the start."""
        timer = timer or timers.GeventTimers()
        self.memory = memory_store.MemoryStore(timer)
        self.store = faulty_store.FaultyStore(
            self.memory, timer, random.Random(seed)
        )
        self.listed = listed_instances.EditableList(timer)
        self.weights = fixed_weights.FixedWeightStore(DEFAULT_RATE_MB_PER_S)
        self._host = host
        self._port = port
        self._server: pywsgi.WSGIServer | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the running server."""
        return f'{self._host}:{self._port}'

    def start(self) -> None:
        """Starts to listen if stopped; a restart reuses the port."""
        if self._server is not None:
            return
        self._server = pywsgi.WSGIServer(
            (self._host, self._port), self._serve, log=None
        )
        self._server.start()
        # pywsgi writes headers and body separately. Without TCP_NODELAY,
        # which accepted sockets inherit, each response waits 40 ms for a
        # delayed ACK.
        self._server.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self._port = self._server.server_port

    def stop(self) -> None:
        """Stops listening and closes all open connections."""
        if self._server is not None:
            self._server.stop(timeout=STOP_TIMEOUT_S)
            self._server = None

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        try:
            status, answer = self._answer(
                environ['REQUEST_METHOD'], path, body
            )
        except (msgspec.MsgspecError, TypeError, ValueError) as error:
            status, answer = 400, msgspec.json.encode(str(error))
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(answer))),
        ]
        start_response(_STATUS_LINE_BY_STATUS[status], headers)
        return [answer]

    def _answer(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        if path.startswith(store_calls.PATH_PREFIX):
            return self._call_store(path, body)
        if method == 'PUT':
            return self._put(path, body)
        if path == http_instances.PATH:
            return _encode(self.listed.fetch())
        if path == http_weights.PATH:
            return _encode(self.weights.rate_mb_per_s())
        return 404, b''

    def _put(self, path: str, body: bytes) -> tuple[int, bytes]:
        if path == http_instances.PATH:
            self.listed.set(
                msgspec.json.decode(
                    body, type=tuple[instances.ListedInstance, ...]
                )
            )
        elif path == http_weights.PATH:
            self.weights.rate = msgspec.json.decode(body, type=float)
        elif path == FAULTS_PATH:
            fields = msgspec.json.decode(body, type=dict[str, Any])
            self.store.faults = faulty_store.Faults(**fields)
        else:
            return 404, b''
        return 200, b'null'

    def _call_store(self, path: str, body: bytes) -> tuple[int, bytes]:
        call = store_calls.Call(path.removeprefix(store_calls.PATH_PREFIX))
        arguments = msgspec.json.decode(
            body, type=store_calls.ARGUMENTS_BY_CALL[call]
        )
        outcome: result.Result[Any, stores.StoreError]
        outcome = getattr(self.store, call.value)(*arguments)
        if isinstance(outcome, result.Failure):
            return store_calls.encode_failure(outcome.failure())
        return 200, msgspec.json.encode(outcome.unwrap())


def _encode(outcome: result.Result[Any, Any]) -> tuple[int, bytes]:
    if isinstance(outcome, result.Failure):
        return 503, b''
    return 200, msgspec.json.encode(outcome.unwrap())
