"""The HTTP surface: dispatches requests to handlers."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from cactusmux_base import events
from cactusmux_base import ids
from cactusmux_base import metrics
from cactusmux_base import timers

from . import http_input
from . import problems
from . import responses

RETRY_AFTER_BUSY_S = 1.0


class Call(NamedTuple):
    """A request as passed to handlers.

    ``rest`` are the path's segments after the one that selects the handler.
    """

    request_id: str
    method: str
    rest: tuple[str, ...]
    query: str
    header_by_name: dict[str, str]
    body: bytes


Handler = Callable[[Call], responses.Response]


class Limits(NamedTuple):
    """Limits of the surface; times in seconds, sizes in bytes."""

    max_requests: int = 2_000
    max_body_bytes: int = 4_194_304
    body_timeout_s: float = 10.0


class Surface:
    """A WSGI application that dispatches by the first path segment.

    :param serves: returns whether new requests are served.
    """

    def __init__(
        self,
        instance_id: str,
        handler_by_segment: Mapping[str, Handler],
        timer: timers.TimerService,
        sink: metrics.Metrics,
        limits: Limits,
        serves: Callable[[], bool] = lambda: True,
    ) -> None:
        self.in_flight = 0
        self._reading = 0
        self._instance_id = instance_id
        self._handler_by_segment = handler_by_segment
        self._timer = timer
        self._metrics = sink
        self._limits = limits
        self._serves = serves

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        started_at = self._timer.now()
        request_id = f'{self._instance_id}.{ids.new_id()}'
        self.in_flight += 1
        response = self._answer(environ, request_id)
        start_response(_status_line(response.status), list(response.headers))
        return self._write(response, request_id, started_at)

    def _answer(
        self, environ: dict[str, Any], request_id: str
    ) -> responses.Response:
        try:
            return self._handle(environ, request_id)
        except problems.RequestFailed as error:
            return self._refuse(error.problem, request_id)
        except Exception as error:
            # An internal error; the request may have run.
            events.error(
                'handler_failed', request_id=request_id, error=repr(error)
            )
            problem = problems.Problem(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                'internal_error',
                type(error).__name__,
                problems.Outcome.UNKNOWN,
            )
            return self._refuse(problem, request_id)

    def _handle(
        self, environ: dict[str, Any], request_id: str
    ) -> responses.Response:
        segments = http_input.path_segments(environ)
        handler = self._handler_by_segment.get(segments[0])
        if handler is None:
            raise problems.RequestFailed(
                problems.refused(
                    'unknown_path',
                    f'nothing is served at /{segments[0]}',
                    HTTPStatus.NOT_FOUND,
                )
            )
        if not self._serves():
            raise problems.RequestFailed(
                problems.refused(
                    'stopping',
                    f'instance {self._instance_id} is stopping',
                    retry_after_s=RETRY_AFTER_BUSY_S,
                )
            )
        self._check_room()
        body = self._read_body(environ)
        # Others may have taken the room meanwhile.
        self._check_room()
        call = Call(
            request_id,
            environ['REQUEST_METHOD'],
            tuple(segments[1:]),
            environ.get('QUERY_STRING', ''),
            http_input.headers(environ),
            body,
        )
        return handler(call)

    def _check_room(self) -> None:
        if self.in_flight - self._reading > self._limits.max_requests:
            raise problems.RequestFailed(
                problems.refused(
                    'too_many_requests',
                    f'more than {self._limits.max_requests} at a time',
                    retry_after_s=RETRY_AFTER_BUSY_S,
                )
            )

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        """Reads the body; a request counts as running only afterwards."""
        self._reading += 1
        try:
            return http_input.read_body(
                environ,
                self._limits.max_body_bytes,
                self._limits.body_timeout_s,
            )
        finally:
            self._reading -= 1

    def _refuse(
        self, problem: problems.Problem, request_id: str
    ) -> responses.Response:
        self._metrics.count(f'entry.refused.{problem.reason}')
        events.info(
            'refused',
            request_id=request_id,
            reason=problem.reason,
            outcome=problem.outcome,
            detail=problem.detail,
        )
        return responses.from_problem(problem, request_id)

    def _write(
        self,
        response: responses.Response,
        request_id: str,
        started_at: float,
    ) -> Iterator[bytes]:
        """Yields the body, and closes it if the caller disconnects."""
        completed = False
        try:
            yield from response.body
            completed = True
        finally:
            self.in_flight -= 1
            if not completed:
                self._metrics.count('entry.caller_gone')
                events.info('caller_gone', request_id=request_id)
            elapsed_s = self._timer.now() - started_at
            self._metrics.timing('entry.request_s', elapsed_s)


def _status_line(status: int) -> str:
    try:
        return f'{int(status)} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unregistered'
