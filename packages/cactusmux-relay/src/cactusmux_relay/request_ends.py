"""How far requests have come, and the log line of each abnormal end.

A response that its caller received whole is logged by its handler. Any other
end of a request whose head was read is logged here, exactly once.
"""

from collections.abc import Callable
import enum
import pathlib
import traceback

from cactusmux_base import events
from cactusmux_base import failures
from cactusmux_base import metrics

from . import http_messages

# Limits what a failure adds to a log line.
MAX_DETAIL_CHARACTERS = 500

Identify = Callable[[tuple[http_messages.Header, ...]], str]


class Cause(enum.StrEnum):
    """What ended a request abnormally; written to logs and metrics."""

    ABORTED = 'aborted'
    BODY_CUT = 'body_cut'
    BODY_TIMEOUT = 'body_timeout'
    CALLER_DISCONNECTED = 'caller_disconnected'
    CALLER_STALLED = 'caller_stalled'
    CALLER_UNREACHABLE = 'caller_unreachable'
    DISPLACED = 'displaced'
    HANDLER_FAILED = 'handler_failed'
    MEMORY_LIMIT = 'memory_limit'
    RESPONSE_INVALID = 'response_invalid'
    RESPONSE_UNFINISHED = 'response_unfinished'
    STOPPED = 'stopped'


# Failures of this instance rather than of a caller.
_INTERNAL = frozenset(
    (
        Cause.HANDLER_FAILED,
        Cause.RESPONSE_INVALID,
        Cause.RESPONSE_UNFINISHED,
    )
)
# Ends by a decision of this instance.
_DECIDED = frozenset((Cause.ABORTED, Cause.STOPPED))


class CallerFailure(failures.CactusmuxError):
    """An exchange of bytes with the caller failed.

    It is no :class:`OSError`, so that it differs from a failure of any other
    connection.

    :ivar cause: how the request ends.
    """

    reason = 'caller_failure'

    def __init__(self, cause: Cause, detail: str) -> None:
        super().__init__(detail)
        self.cause = cause


class RequestIncomplete(CallerFailure):
    """The body of a request didn't arrive whole."""

    reason = 'request_incomplete'


class CallerUnreachable(CallerFailure):
    """A part of a response couldn't be written to the caller."""

    reason = 'caller_unreachable'


class RequestProgress:
    """How far one request and its response have come.

    :ivar headers: of the request, ``None`` until its head was read.
    :ivar request_bytes: bytes of the request's body that were read.
    :ivar response_status: status that was begun to be sent, 0 before.
    :ivar response_bytes: bytes of the response's body that were sent, with
        the framing of its chunks.
    :ivar cause: what ended the request, ``None`` while nothing did.
    :ivar is_logged: whether its abnormal end has been logged.
    """

    def __init__(self) -> None:
        self.headers: tuple[http_messages.Header, ...] | None = None
        self.request_bytes = 0
        self.is_request_whole = False
        self.response_status = 0
        self.response_bytes = 0
        self.is_response_whole = False
        self.cause: Cause | None = None
        self.is_logged = False
        self.detail = ''

    def record_end(self, cause: Cause, detail: str = '') -> None:
        """Records a cause; the first one counts, except for a failure."""
        if self.cause is None or cause is Cause.HANDLER_FAILED:
            self.cause = cause
            self.detail = detail[:MAX_DETAIL_CHARACTERS]

    def record_failure(self, error: BaseException) -> None:
        """Records an exception that the handler shouldn't have raised."""
        self.record_end(Cause.HANDLER_FAILED, _describe(error))

    @property
    def abnormal_cause(self) -> Cause | None:
        """What ended the request if it ended abnormally, else ``None``."""
        if self.headers is None:
            return None
        if self.is_response_whole and self.cause is not Cause.HANDLER_FAILED:
            return None
        return self.cause or Cause.RESPONSE_UNFINISHED


class EndLog:
    """Logs and counts the abnormal ends of requests.

    :param identify: returns the id of a request from its headers, empty
        without one; doesn't raise.
    """

    def __init__(self, identify: Identify, metric: metrics.Metrics) -> None:
        self._identify = identify
        self._metric = metric

    def request_id(self, progress: RequestProgress) -> str:
        """Returns the id of a request for log lines."""
        if progress.headers is None:
            return 'unknown'
        return self._identify(progress.headers) or 'unknown'

    def record(self, progress: RequestProgress) -> None:
        """Records that a request has ended, normally or not."""
        cause = progress.abnormal_cause
        if cause is None or progress.is_logged:
            return
        progress.is_logged = True
        self._metric.count(f'relay.ended.{cause}')
        log = _log_of(cause)
        log(
            'request_ended',
            id=self.request_id(progress),
            cause=cause,
            request_bytes=progress.request_bytes,
            request_whole=progress.is_request_whole,
            response_status=progress.response_status,
            response_bytes=progress.response_bytes,
            response_whole=progress.is_response_whole,
            detail=progress.detail,
        )


def without_ids(metric: metrics.Metrics | None = None) -> EndLog:
    """Returns a log for servers whose requests have no ids."""
    return EndLog(lambda headers: '', metric or metrics.MemoryMetrics())


def _log_of(cause: Cause) -> Callable[..., None]:
    """Returns the function that logs at the level of a cause."""
    if cause in _INTERNAL:
        return events.error
    return events.warning if cause in _DECIDED else events.info


def _describe(error: BaseException) -> str:
    """Returns an exception and the place where it was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return repr(error)
    last = frames[-1]
    return f'{pathlib.PurePath(last.filename).name}:{last.lineno}: {error!r}'
