"""HTTP responses of handlers."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from . import problems

Headers = list[tuple[str, str]]


class Response(NamedTuple):
    """Status, headers and the chunks of a body.

    The status may be an unregistered one that a plain service returned.
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
