"""HTTP servers of the fake engines."""

from collections.abc import Iterable, Iterator
import functools
from typing import Any

from cactusmux_base import timers
from cactusmux_platform import targets
from gevent import pywsgi
import msgspec

from . import engines

StartResponse = Any
# Sent first, so that the response headers go out before the first token.
EMPTY_LINE = b'\n'
JSON_HEADERS = [('Content-Type', 'application/json')]


class EngineServer:
    """Serves one engine at its own address."""

    def __init__(
        self,
        fabric: engines.Fabric,
        config: engines.EngineConfig,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self._server = pywsgi.WSGIServer(
            (host, port), self._serve, log=None, error_log=None
        )
        self._server.init_socket()
        self.address = f'{host}:{self._server.server_port}'
        self.engine = engines.Engine(fabric, self.address, config)

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Closes the listener and ends all streams of the engine."""
        self.engine.dead = True
        self.engine.thaw()
        self._server.stop(timeout=0.2)

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        self.engine.thawed.wait()
        body = environ['wsgi.input'].read()
        path = environ['PATH_INFO']
        answer = functools.partial(_answer_json, start_response)
        try:
            if path == '/v1/report':
                return answer('200 OK', self.engine.report())
            if path == '/v1/orders':
                order = msgspec.json.decode(body, type=targets.Order)
                return answer('200 OK', self.engine.take_order(order))
            if path == '/v1/streams':
                request = msgspec.json.decode(body, type=targets.RoutedRequest)
                tokens = self.engine.start(request)
                start_response(
                    '200 OK', [('Content-Type', 'application/x-ndjson')]
                )
                return _encode_tokens(tokens)
        except engines.Refusal as refusal:
            return answer(
                '409 Conflict', {'not_run': True, 'reason': refusal.reason}
            )
        return answer('404 Not Found', {'not_run': True, 'reason': 'path'})


def _encode_tokens(tokens: Iterator[targets.Token]) -> Iterator[bytes]:
    """Yields one JSON line per token; a failed stage is named in the last."""
    try:
        yield EMPTY_LINE
        for token in tokens:
            yield msgspec.json.encode(token) + b'\n'
    except engines.StageError as error:
        failed = {'failed': error.address, 'reason': error.reason}
        yield msgspec.json.encode(failed) + b'\n'
    finally:
        tokens.close()  # type: ignore[attr-defined]


def _answer_json(
    start_response: StartResponse, status: str, content: object
) -> list[bytes]:
    start_response(status, JSON_HEADERS)
    return [msgspec.json.encode(content)]


def start_engines(
    timer: timers.TimerService,
    configs: Iterable[engines.EngineConfig],
) -> tuple[engines.Fabric, list[EngineServer]]:
    """Starts one engine per configuration on free loopback ports."""
    fabric = engines.Fabric(timer)
    servers = [EngineServer(fabric, config) for config in configs]
    for server in servers:
        server.start()
    return fabric, servers
