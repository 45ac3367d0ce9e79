"""Responses of the HTTP surface, before they are written."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from . import problems

Headers = list[tuple[str, str]]


class Response(NamedTuple):
    """A status, headers and the parts of a body.

    The status may be one that is not registered, as a service answered it.
    """

    status: int
    headers: Headers
    body: Iterable[bytes]


def from_json(content: object, status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Returns a response with a JSON body."""
    body = msgspec.json.encode(content) + b'\n'
    return Response(status, [('Content-Type', 'application/json')], [body])


def from_problem(problem: problems.Problem, request_id: str) -> Response:
    """Returns a response with problem details."""
    return Response(
        problem.status,
        problems.headers(problem, request_id),
        [problems.encode(problem, request_id)],
    )
