"""HTTP/1.1 client for targets, with a pool of keep-alive connections.

A connection carries one request at a time. A failure states whether the
target may have run the request. Responses are matched by their request id; a
connection that carried unexpected data is not reused.
"""

from collections.abc import Iterator
import socket as std_socket
from typing import NamedTuple

from cactusmux_base import client_sockets
from cactusmux_base import decimals
from cactusmux_base import failures
from cactusmux_base import http_statuses
from cactusmux_base import timers
from cactusmux_base import turns
import gevent
from gevent import socket
import h11

from . import head_lines
from . import http_server
from . import idle_connections
from . import local_errors
from . import unread_input

CONNECT_TIMEOUT_S = 0.3
RECEIVE_BYTES = 65536
MAX_HEAD_BYTES = 65536
# Larger bodies are long: a target may respond, and go on for any time, before
# it reads them to their end. They are sent in a separate task.
LONG_BODY_BYTES = 32768
# Limit on informational (1xx) responses; a target sends one at most.
MAX_INFORMATIONAL_RESPONSES = 8
# Subtracted from the keep-alive time that a target announces, to allow for
# data in transit.
KEEP_ALIVE_MARGIN_S = 1.0
DEFAULT_KEEP_ALIVE_S = 4.0
# Limits how long connections to removed targets stay open.
MAX_KEEP_ALIVE_S = 30.0
# Bytes unacknowledged for this long mean that the target is unreachable. The
# kernel also counts the time in which a target reads nothing, so that it isn't
# set while a long body is sent; the deadline of the request ends that.
USER_TIMEOUT_MS = 2000
NO_USER_TIMEOUT_MS = 0


class NotSent(failures.CactusmuxError):
    """No connection was established; the target can't have run the request.

    :ivar is_refused: whether the connection failed at once, as by a refusal.
        Otherwise it timed out, possibly because this instance's own link is
        saturated, or ``is_local``.
    :ivar is_local: whether this instance lacked descriptors, ports or a
        route, so that the target wasn't reached at all.
    """

    reason = 'not_sent'

    def __init__(
        self, address: str, is_refused: bool, is_local: bool = False
    ) -> None:
        super().__init__(f'could not connect to target {address}')
        self.address = address
        self.is_refused = is_refused
        self.is_local = is_local


class AnswerBroken(failures.CactusmuxError):
    """The request was sent, but its response is incomplete or invalid."""

    reason = 'answer_broken'

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(f'invalid response from target {address}: {detail}')
        self.address = address
        self.detail = detail


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: tuple[http_server.Header, ...]

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, ``None`` if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value.decode('latin-1')
        return None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks."""
        return (
            self.header(b'content-length') is None
            and self.header(b'transfer-encoding') is None
        )


class OutgoingRequest(NamedTuple):
    """A request as it is sent to a target, with all its headers."""

    method: str
    path: str
    headers: http_server.Headers
    body: bytes

    @property
    def has_long_body(self) -> bool:
        """Whether a target may leave a part of the body unread for long."""
        return len(self.body) > LONG_BODY_BYTES


class TargetCall:
    """One request to a target and its response.

    It must always be closed: :meth:`close` returns the connection to the pool
    if the response was read completely. Otherwise it closes the connection,
    which makes the target stop its work.
    """

    def __init__(
        self,
        owner: 'TargetConnections',
        address: str,
        sock: socket.socket,
        request: OutgoingRequest,
    ) -> None:
        self._owner = owner
        self._address = address
        self._sock = sock
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # Dropped with the end of the response's head.
        self._head_lines: head_lines.HeadLines | None = head_lines.HeadLines()
        self._has_long_body = request.has_long_body
        self._sender: gevent.Greenlet | None = None
        self._is_complete = False
        self._is_aborted = False
        self._is_closed = False
        self._turns = turns.Turns()
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._send(request)

    def _send(self, request: OutgoingRequest) -> None:
        head = h11.Request(
            method=request.method, target=request.path, headers=request.headers
        )
        parts = [self._h11.send(head) or b'']
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)) or b'')
        parts.append(self._h11.send(h11.EndOfMessage()) or b'')
        if request.has_long_body:
            # Joined, they would be a second copy of the body.
            self._sender = gevent.spawn(self._send_all, *parts)
            return
        self._send_all(b''.join(parts))

    def _send_all(self, *parts: bytes) -> None:
        try:
            for part in parts:
                self._sock.sendall(part)
        except OSError:
            # Reading shows whether a response arrived nevertheless.
            return

    def read_head(self) -> ResponseHead:
        """Waits for the response head; raises :class:`AnswerBroken`."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._check_head_lines()
                continue
            if isinstance(event, h11.Response):
                self._check_head_lines()
                self._head_lines = None
                self._check_status(event.status_code)
                head = ResponseHead(event.status_code, tuple(event.headers))
                self._record_keep_alive(head)
                return head
            raise AnswerBroken(self._address, 'closed before a response')
        raise AnswerBroken(
            self._address,
            f'over {MAX_INFORMATIONAL_RESPONSES} informational responses',
        )

    def body_chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives; raises :class:`AnswerBroken`."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                self._is_complete = True
                return
            raise AnswerBroken(self._address, 'closed within the body')

    def read_body(self, max_bytes: int) -> bytes:
        """Returns the whole body; raises :class:`AnswerBroken`."""
        body_chunks = []
        size = 0
        for part in self.body_chunks():
            size += len(part)
            if size > max_bytes:
                raise AnswerBroken(
                    self._address, f'body exceeds {max_bytes} bytes'
                )
            body_chunks.append(part)
        return b''.join(body_chunks)

    def abort(self) -> None:
        """Makes the task that reads the response fail at once.

        Does nothing once the call is closed: its connection may serve another
        call by then.
        """
        if self._is_closed:
            return
        self._is_aborted = True
        try:
            self._sock.shutdown(std_socket.SHUT_RDWR)
        except OSError:
            return

    def has_unread(self) -> bool:
        """Whether bytes have arrived that haven't been read yet."""
        return unread_input.has_input(self._sock)

    def close(self) -> None:
        """Returns the connection to the pool, or closes it."""
        self._is_closed = True
        if self._is_complete and self._is_reusable():
            self._owner.return_idle(
                self._address, self._sock, self._keep_alive_s
            )
            return
        if self._sender is not None:
            self._sender.kill(block=False)
        self._sock.close()

    def _is_reusable(self) -> bool:
        if self._has_long_body:
            # A further request would wait behind what the target hasn't read.
            return False
        if self._h11.trailing_data[0]:
            return False
        done = (h11.DONE, h11.DONE)
        return (self._h11.our_state, self._h11.their_state) == done

    def _next_event(self) -> h11.Event:
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    self._turns.record()
                    return event
                data = self._sock.recv(RECEIVE_BYTES)
                if self._is_aborted:
                    raise AnswerBroken(
                        self._address, 'aborted by this instance'
                    )
                self._turns.record(len(data))
                if self._head_lines is not None:
                    self._head_lines.receive(data)
                self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise AnswerBroken(self._address, str(error)) from error
        except OSError as error:
            detail = (
                'aborted by this instance' if self._is_aborted else 'reset'
            )
            raise AnswerBroken(self._address, detail) from error

    def _check_head_lines(self) -> None:
        if self._head_lines is None:
            return
        if self._head_lines.end_head(len(self._h11.trailing_data[0])):
            raise AnswerBroken(self._address, 'continuation line in a head')

    def _check_status(self, status: int) -> None:
        if not http_statuses.is_final(status):
            raise AnswerBroken(self._address, f'status {status}')

    def _record_keep_alive(self, head: ResponseHead) -> None:
        announced = head.header(b'keep-alive') or ''
        for part in announced.split(','):
            name, _, value = part.strip().partition('=')
            if name.lower() != 'timeout':
                continue
            announced_s = decimals.read(value)
            if announced_s is not None:
                self._keep_alive_s = min(
                    announced_s - KEEP_ALIVE_MARGIN_S, MAX_KEEP_ALIVE_S
                )


class TargetConnections:
    """Opens connections to targets, and reuses idle ones."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._idle = idle_connections.IdleConnections(timer)

    def start(self) -> None:
        """Starts the periodic closing of expired idle connections."""
        self._idle.start()

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return self._idle.count

    def call(
        self, address: str, request: OutgoingRequest, fresh: bool
    ) -> TargetCall:
        """Sends a request; raises :class:`NotSent`.

        :param fresh: whether to open a new connection, so that a failure
            can't come from an idle one that the target has just closed.
        """
        if request.has_long_body:
            sock = self._connect(address)
            _set_user_timeout(sock, NO_USER_TIMEOUT_MS)
            return TargetCall(self, address, sock, request)
        sock = None if fresh else self._idle.take(address)
        if sock is None:
            sock = self._connect(address)
        return TargetCall(self, address, sock, request)

    def return_idle(
        self, address: str, sock: socket.socket, keep_alive_s: float
    ) -> None:
        """Returns a connection without a pending request to the pool."""
        self._idle.put(address, sock, keep_alive_s)

    def _new_socket(self, address: str) -> socket.socket:
        """Creates a socket; closes the idle ones if there is no other way."""
        try:
            return _create_socket(address)
        except NotSent:
            if not self._idle.close_all():
                raise
        return _create_socket(address)

    def _connect(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(':')
        sock = self._new_socket(address)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect((host, int(port)))
        except (OSError, ValueError, OverflowError) as error:
            sock.close()
            is_local = local_errors.is_local(error)
            is_refused = not is_local and not isinstance(error, TimeoutError)
            raise NotSent(address, is_refused, is_local) from error
        sock.settimeout(None)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        _set_user_timeout(sock, USER_TIMEOUT_MS)
        return sock


def _set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    sock.setsockopt(
        std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, timeout_ms
    )


def _create_socket(address: str) -> socket.socket:
    try:
        return client_sockets.ClientSocket(
            std_socket.AF_INET, std_socket.SOCK_STREAM
        )
    except OSError as error:
        raise NotSent(address, is_refused=False, is_local=True) from error
