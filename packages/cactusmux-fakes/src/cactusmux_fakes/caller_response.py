"""Parses the bytes of a response as a caller reads them."""

from typing import NamedTuple

import h11


class CallerResponse(NamedTuple):
    """A response as far as it arrived.

    :ivar head: ``None`` if no head arrived.
    :ivar is_complete: whether it ended as its framing says.
    """

    head: h11.Response | None
    body: bytes
    is_complete: bool


def parse(received: bytes) -> CallerResponse:
    """Parses a response to a request on a connection of its own."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method='GET', target='/', headers=[('host', 'h')])
    )
    connection.send(h11.EndOfMessage())
    connection.receive_data(received)
    connection.receive_data(b'')
    head, body = None, b''
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return CallerResponse(head, body, False)
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            is_complete = isinstance(event, h11.EndOfMessage)
            return CallerResponse(head, body, is_complete)
