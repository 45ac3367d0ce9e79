"""Reads what callers send, within limits."""

from http import HTTPStatus
from typing import Any
import urllib.parse

import gevent

from . import problems

READ_BYTES = 65_536
HEADER_PREFIX = 'HTTP_'


def path_segments(environ: dict[str, Any]) -> list[str]:
    """Returns the path's segments; a path without any has one, empty."""
    path = environ['PATH_INFO']
    return [urllib.parse.unquote(part) for part in path.strip('/').split('/')]


def headers(environ: dict[str, Any]) -> dict[str, str]:
    """Returns the request's headers by name in lower case."""
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

    :raises problems.RequestFailed: when it is larger, slower or cut short.
    """
    declared = environ.get('CONTENT_LENGTH') or '0'
    if not declared.isdecimal():
        raise _refused(
            'bad_content_length',
            f'Content-Length {declared!r} is not a number',
            HTTPStatus.BAD_REQUEST,
        )
    if int(declared) > max_bytes:
        raise _too_large(max_bytes)
    try:
        with gevent.Timeout(timeout_s, TimeoutError):
            body = _read_at_most(environ['wsgi.input'], max_bytes)
    except TimeoutError as error:
        raise _refused(
            'body_timeout',
            f'body did not arrive within {timeout_s} s',
            HTTPStatus.REQUEST_TIMEOUT,
        ) from error
    except OSError as error:
        raise _refused(
            'body_cut_short', str(error), HTTPStatus.BAD_REQUEST
        ) from error
    if len(body) < int(declared):
        raise _refused(
            'body_cut_short',
            f'body has {len(body)} of {declared} bytes',
            HTTPStatus.BAD_REQUEST,
        )
    return body


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
    return _refused(
        'body_too_large',
        f'body has more than {max_bytes} bytes',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )


def _refused(
    reason: str, detail: str, status: HTTPStatus
) -> problems.RequestFailed:
    return problems.RequestFailed(problems.refused(reason, detail, status))
