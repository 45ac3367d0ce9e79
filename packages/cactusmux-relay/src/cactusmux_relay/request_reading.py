"""Reads complete requests from one connection."""

from collections.abc import Callable

from cactusmux_base import timers
from cactusmux_base import turns
from gevent import socket
import h11

from . import desired_state
from . import http_messages

RECEIVE_BYTES = 65536
# Limit on reading a whole body. The idle timeout alone would let a client that
# sends a byte now and then hold its connection without end.
BODY_TIMEOUT_S = 60.0


class BadRequest(Exception):
    """A request that violates the protocol or exceeds a limit.

    :ivar status: HTTP status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}')
        self.status = status


class RequestReader:
    """Reads the requests of one connection.

    :param limits: returns the limits in force; called for each request.
    """

    def __init__(
        self,
        sock: socket.socket,
        framing: h11.Connection,
        timer: timers.TimerService,
        limits: Callable[[], desired_state.Limits],
    ) -> None:
        self._sock = sock
        self._h11 = framing
        self._timer = timer
        self._limits = limits
        self._turns = turns.Turns()

    def read(
        self, write: Callable[[h11.Event], None]
    ) -> http_messages.Request | None:
        """Returns the next complete request, ``None`` if there is none.

        Raises :class:`BadRequest` and :class:`h11.RemoteProtocolError`.

        :param write: sends an interim response.
        """
        head = self._read_head()
        if head is None:
            return None
        received_at = self._timer.now()
        headers = tuple(head.headers)
        _check_framing(headers)
        _check_size(head, self._limits().header_bytes)
        if self._h11.they_are_waiting_for_100_continue:
            write(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body()
        if body is None:
            return None
        return http_messages.Request(
            method=head.method.decode('ascii'),
            path=head.target.decode('latin-1'),
            headers=headers,
            body=body,
            received_at=received_at,
        )

    def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        idle = not self._h11.trailing_data[0]
        timeout_s = limits.idle_timeout_s if idle else limits.header_timeout_s
        deadline = self._timer.now() + timeout_s
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            left_s = deadline - self._timer.now()
            data = self.receive(left_s)
            if not data:
                return None
            if idle:
                idle = False
                deadline = self._timer.now() + limits.header_timeout_s
            self._h11.receive_data(data)

    def _read_body(self) -> bytes | None:
        limits = self._limits()
        deadline = self._timer.now() + BODY_TIMEOUT_S
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._h11.next_event()
            self._turns.record()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise BadRequest(413)
                parts.append(bytes(event.data))
                continue
            if event is not h11.NEED_DATA:
                return None
            left_s = deadline - self._timer.now()
            data = self.receive(min(limits.idle_timeout_s, left_s))
            if not data:
                return None
            self._h11.receive_data(data)

    def receive(self, timeout_s: float) -> bytes:
        """Returns received bytes, empty at the end or after the timeout."""
        if timeout_s <= 0:
            return b''
        self._sock.settimeout(timeout_s)
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return b''
        self._turns.record(len(data))
        return data


def _check_size(head: h11.Request, max_bytes: int) -> None:
    """Rejects a head over the limit; h11 checks only incomplete ones."""
    size = len(head.method) + len(head.target)
    for name, value in head.headers:
        # 4 bytes for the colon, the space and the line end.
        size += len(name) + len(value) + 4
    if size > max_bytes:
        raise BadRequest(431)


def _check_framing(headers: tuple[http_messages.Header, ...]) -> None:
    """Rejects ambiguous framing, which allows request smuggling."""
    names = [name for name, _ in headers]
    lengths = names.count(b'content-length')
    encodings = names.count(b'transfer-encoding')
    if lengths > 1 or encodings > 1 or (lengths and encodings):
        raise BadRequest(400)
    if names.count(b'host') != 1:
        raise BadRequest(400)
