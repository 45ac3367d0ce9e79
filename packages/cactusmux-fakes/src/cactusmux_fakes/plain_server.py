"""A fake plain service that counts how often each request runs."""

import collections
from collections.abc import Callable, Iterable
import enum
from typing import Any

from cactusmux_base import timers
from cactusmux_platform import plain_services
from gevent import pywsgi
import msgspec

RUNS_PATH = '/runs'
FAULT_PATH = '/fault'
SLOW_S = 5.0

_StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Fault(enum.StrEnum):
    """The fault that the service applies to each following request."""

    NONE = 'none'
    REFUSE = 'refuse'
    CLOSE_BEFORE_READING = 'close_before_reading'
    CLOSE_AFTER_RUNNING = 'close_after_running'
    SLOW = 'slow'
    CUT_ANSWER = 'cut_answer'


class _Handler(pywsgi.WSGIHandler):
    """Closes the connection without a response if the fault says so."""

    def handle_one_response(self) -> None:
        plain_server: PlainServer = self.server.plain_server
        if self.environ['PATH_INFO'] in (RUNS_PATH, FAULT_PATH):
            super().handle_one_response()
            return
        if plain_server.fault is Fault.CLOSE_BEFORE_READING:
            self.close_connection = True
            return
        if plain_server.fault is Fault.CLOSE_AFTER_RUNNING:
            plain_server.run(self.environ)
            self.close_connection = True
            return
        super().handle_one_response()


class _Server(pywsgi.WSGIServer):
    plain_server: 'PlainServer'

    def handle(self, sock: Any, address: Any) -> None:
        self.plain_server.connections += 1
        super().handle(sock, address)


class PlainServer:
    """Echoes each request's body after counting its run.

    Runs are counted by idempotency key, or by request id without one.
    ``GET /runs`` returns the counts, ``POST /fault`` sets the fault named
    by its body.
    """

    def __init__(
        self, timer: timers.TimerService, listen: str = '127.0.0.1:0'
    ) -> None:
        self.fault = Fault.NONE
        self.connections = 0
        self.run_count_by_key: collections.Counter[str] = collections.Counter()
        self._timer = timer
        host, _, port = listen.rpartition(':')
        self._server = _Server(
            (host, int(port)),
            self._application,
            handler_class=_Handler,
            log=None,
            error_log=None,
        )
        self._server.plain_server = self

    @property
    def address(self) -> str:
        """Returns the listen address, as host:port."""
        return f'{self._server.server_host}:{self._server.server_port}'

    def start(self) -> None:
        """Starts to listen; port 0 is replaced by a free port."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening and aborts running requests."""
        self._server.stop(timeout=0)

    def run(self, environ: dict[str, Any]) -> bytes:
        """Runs a request: counts it and returns its body."""
        body: bytes = environ['wsgi.input'].read()
        key = environ.get('HTTP_IDEMPOTENCY_KEY')
        key = key or environ.get('HTTP_X_REQUEST_ID', '')
        self.run_count_by_key[key] += 1
        return body

    def _application(
        self, environ: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        json_type = [('Content-Type', 'application/json')]
        if environ['PATH_INFO'] == RUNS_PATH:
            start_response('200 OK', json_type)
            return [msgspec.json.encode(self.run_count_by_key)]
        if environ['PATH_INFO'] == FAULT_PATH:
            self.fault = Fault(environ['wsgi.input'].read().decode())
            start_response('204 No Content', [])
            return []
        if self.fault is Fault.REFUSE:
            not_run = (plain_services.NOT_RUN_HEADER, 'busy')
            start_response('503 Service Unavailable', [not_run])
            return []
        body = self.run(environ)
        if self.fault is Fault.SLOW:
            self._timer.sleep(SLOW_S)
        headers = [('Content-Type', environ.get('CONTENT_TYPE') or 'text')]
        if self.fault is Fault.CUT_ANSWER:
            headers.append(('Content-Length', str(len(body) + 1)))
            headers.append(('Connection', 'close'))
        start_response('200 OK', headers)
        return [body]
