"""Reads complete requests from one connection."""

from collections.abc import Callable

from cactusmux_base import timers
from cactusmux_base import turns
from gevent import socket
import h11

from . import connection_limits
from . import desired_state
from . import held_bytes
from . import http_messages
from . import request_body
from . import request_ends
from . import room_choice

RECEIVE_BYTES = 65536
# Limit on reading a whole body. The idle timeout alone would let a client that
# sends a byte now and then hold its connection without end.
BODY_TIMEOUT_S = 60.0

BadRequest = http_messages.BadRequest


class RequestReader:
    """Reads the requests of one connection.

    :param limits: returns the limits in force; called for each request.
    :param holding: is asked for room for what is kept.
    :param record_stage: told what the connection does from now on.
    """

    def __init__(
        self,
        sock: socket.socket,
        framing: h11.Connection,
        timer: timers.TimerService,
        limits: Callable[[], desired_state.Limits],
        holding: held_bytes.Holding,
        record_stage: Callable[[connection_limits.Stage], None] = (
            lambda stage: None
        ),
    ) -> None:
        self._sock = sock
        self._h11 = framing
        self._timer = timer
        self._limits = limits
        self._holding = holding
        self._record_stage = record_stage
        self._turns = turns.Turns()

    def read(
        self,
        write: Callable[[h11.Event], None],
        progress: request_ends.RequestProgress,
    ) -> http_messages.Request | None:
        """Returns the next complete request, ``None`` if there is none.

        Raises :class:`BadRequest`, :class:`h11.RemoteProtocolError`,
        :class:`held_bytes.NoRoom` and
        :class:`request_ends.RequestIncomplete`.

        :param write: sends an interim response.
        :param progress: records what was read.
        """
        head = self._read_head()
        if head is None:
            return None
        self._record_stage(connection_limits.Stage.BODY)
        received_at = self._timer.now()
        headers = tuple(head.headers)
        progress.headers = headers
        _check_framing(headers)
        limits = self._limits()
        _check_size(head, limits.header_bytes)
        length = _announced_bytes(headers)
        if length > limits.body_bytes:
            raise BadRequest(413)
        self._holding.expect(length)
        if self._h11.they_are_waiting_for_100_continue:
            write(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body(progress)
        return http_messages.Request(
            method=head.method.decode('ascii'),
            path=head.target.decode('latin-1'),
            headers=headers,
            body=body,
            received_at=received_at,
        )

    def _read_head(self) -> h11.Request | None:
        idle = not self._h11.trailing_data[0]
        self._record_stage(
            connection_limits.Stage.IDLE
            if idle
            else connection_limits.Stage.HEAD
        )
        began_at = self._timer.now()
        size = 0
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            ends_at = began_at + self._head_timeout_s(idle)
            left_s = ends_at - self._timer.now()
            if left_s <= 0:
                return None
            try:
                received_bytes = self._receive_head(left_s)
            except TimeoutError:
                # A version may have raised the limit meanwhile.
                continue
            if not received_bytes:
                return None
            size += received_bytes
            self._holding.resize(size)
            if idle:
                idle = False
                self._record_stage(connection_limits.Stage.HEAD)
                began_at = self._timer.now()

    def _head_timeout_s(self, is_idle: bool) -> float:
        """Returns how long a head is waited for at present."""
        limits = self._limits()
        return limits.idle_timeout_s if is_idle else limits.header_timeout_s

    def _receive_head(self, timeout_s: float) -> int:
        """Passes on received bytes; returns how many there were.

        Raises :class:`TimeoutError`.
        """
        try:
            data = self._receive_unless_ended(timeout_s)
        except TimeoutError:
            raise
        except OSError:
            return 0
        if data:
            self._h11.receive_data(data)
        return len(data)

    def _read_body(self, progress: request_ends.RequestProgress) -> bytes:
        body = request_body.RequestBody(
            self._limits().body_bytes, self._holding.resize
        )
        try:
            self._fill(body, progress)
            self._holding.enter(room_choice.Phase.IN_SERVICE)
            return body.take()
        finally:
            # An exception keeps this frame, and with it the body.
            body.clear()

    def _fill(
        self,
        body: request_body.RequestBody,
        progress: request_ends.RequestProgress,
    ) -> None:
        """Reads a body to its end."""
        idle_timeout_s = self._limits().idle_timeout_s
        deadline = self._timer.now() + BODY_TIMEOUT_S
        while True:
            event = self._h11.next_event()
            self._turns.record()
            if isinstance(event, h11.EndOfMessage):
                progress.is_request_whole = True
                return
            if isinstance(event, h11.Data):
                body.append(event.data)
                progress.request_bytes = body.size
                continue
            left_s = deadline - self._timer.now()
            self._receive_body(body, min(idle_timeout_s, left_s))

    def _receive_body(
        self, body: request_body.RequestBody, timeout_s: float
    ) -> None:
        """Passes on received bytes; raises ``RequestIncomplete``."""
        try:
            data = self._receive_unless_ended(timeout_s)
        except TimeoutError as error:
            raise request_ends.RequestIncomplete(
                request_ends.Cause.BODY_TIMEOUT, ''
            ) from error
        except OSError as error:
            raise request_ends.RequestIncomplete(
                request_ends.Cause.BODY_CUT, repr(error)
            ) from error
        if not data:
            raise request_ends.RequestIncomplete(
                request_ends.Cause.BODY_CUT, ''
            )
        body.record_received(len(data))
        self._h11.receive_data(data)

    def receive(self, timeout_s: float) -> bytes:
        """Returns received bytes, empty if the connection brings none.

        It has ended or failed, or nothing came within the timeout.
        """
        try:
            return self._receive(timeout_s)
        except OSError:
            return b''

    def _receive_unless_ended(self, timeout_s: float) -> bytes:
        """Returns received bytes; also raises :class:`held_bytes.NoRoom`."""
        try:
            return self._receive(timeout_s)
        finally:
            self._holding.check()

    def _receive(self, timeout_s: float) -> bytes:
        """Returns received bytes, empty at the end; raises ``OSError``."""
        if timeout_s <= 0:
            raise TimeoutError
        self._sock.settimeout(timeout_s)
        data = self._sock.recv(RECEIVE_BYTES)
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


def _announced_bytes(headers: tuple[http_messages.Header, ...]) -> int:
    """Returns the length of the body, 0 if none is announced."""
    return int(http_messages.first_value(headers, b'content-length') or 0)


def _check_framing(headers: tuple[http_messages.Header, ...]) -> None:
    """Rejects ambiguous framing, which allows request smuggling."""
    names = [name for name, _ in headers]
    lengths = names.count(b'content-length')
    encodings = names.count(b'transfer-encoding')
    if lengths > 1 or encodings > 1 or (lengths and encodings):
        raise BadRequest(400)
    if names.count(b'host') != 1:
        raise BadRequest(400)
