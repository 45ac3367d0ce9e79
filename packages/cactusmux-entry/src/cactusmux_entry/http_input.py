"""Reads requests within limits of size and time."""

from http import HTTPStatus
from typing import Any
import urllib.parse

from cactusmux_base import decimals
import gevent

from . import caller_input
from . import problems

RETRY_AFTER_NO_ROOM_S = 1.0
READ_BYTES = 65_536
HEADER_PREFIX = 'HTTP_'
# Key of a function that is called when a body has been read to its end.
ON_WHOLE_BODY = 'cactusmux.on_whole_body'


def path_segments(environ: dict[str, Any]) -> list[str]:
    """Returns the path's segments; the root path has one empty segment."""
    path = environ['PATH_INFO']
    return [urllib.parse.unquote(part) for part in path.strip('/').split('/')]


def headers(environ: dict[str, Any]) -> dict[str, str]:
    """Returns the request's headers by lower-case name."""
    header_by_name = {
        name[len(HEADER_PREFIX) :].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith(HEADER_PREFIX)
    }
    header_by_name['content-type'] = environ.get('CONTENT_TYPE', '')
    return header_by_name


def read_body(
    environ: dict[str, Any], max_bytes: int, timeout_s: float
) -> bytes:
    """Reads a body of at most ``max_bytes`` within ``timeout_s`` seconds.

    :raises problems.RequestFailed: when the body is too large, too slow or
        incomplete.
    """
    content_length = environ.get('CONTENT_LENGTH') or '0'
    length = decimals.read(content_length)
    if length is None:
        raise _request_failed(
            'bad_content_length',
            f'Content-Length {content_length!r} is not a number',
            HTTPStatus.BAD_REQUEST,
        )
    if length > max_bytes:
        raise _too_large(max_bytes)
    try:
        with gevent.Timeout(timeout_s, TimeoutError):
            body = _read_at_most(environ['wsgi.input'], max_bytes)
    except TimeoutError as error:
        raise _request_failed(
            'body_timeout',
            f'body did not arrive within {timeout_s} s',
            HTTPStatus.REQUEST_TIMEOUT,
        ) from error
    except caller_input.InputDropped as error:
        raise problems.RequestFailed(
            problems.refused(
                'no_room',
                'its body made the least progress',
                retry_after_s=RETRY_AFTER_NO_ROOM_S,
            )
        ) from error
    except OSError as error:
        raise _request_failed(
            'body_cut_short', str(error), HTTPStatus.BAD_REQUEST
        ) from error
    if len(body) < length:
        raise _request_failed(
            'body_cut_short',
            f'body has {len(body)} of {length} bytes',
            HTTPStatus.BAD_REQUEST,
        )
    environ.get(ON_WHOLE_BODY, _ignore)()
    return body


def _ignore() -> None:
    """Stands in where nobody asks for the end of the body."""


def _read_at_most(stream: Any, max_bytes: int) -> bytes:
    parts = []
    size = 0
    while part := stream.read(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            raise _too_large(max_bytes)
    return b''.join(parts)


def _too_large(max_bytes: int) -> problems.RequestFailed:
    return _request_failed(
        'body_too_large',
        f'body has more than {max_bytes} bytes',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )


def _request_failed(
    reason: str, detail: str, status: HTTPStatus
) -> problems.RequestFailed:
    return problems.RequestFailed(problems.refused(reason, detail, status))
