"""HTTP/1.1 towards callers: one task a connection, framing by h11.

The task reads one request, runs the handler and reads the next. While the
handler runs, a second task reads on, so that a caller that leaves is seen at
once: the handler is then ended by :class:`CallerGone`.
"""

import abc
from collections.abc import Callable
import socket as std_socket
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
import gevent
from gevent import select
from gevent import server
from gevent import socket
import h11

from . import desired

RECEIVE_BYTES = 65536
# Callers that send the next request early; more than this isn't read.
MAX_EARLY_BYTES = 262144
# Of each piece of an answer: a slow caller that takes bytes isn't cut.
SEND_TIMEOUT_S = 10.0
SEND_PIECE_BYTES = 65536
# A body that comes in drops ends by then, however small its pauses.
BODY_TIMEOUT_S = 60.0
# How long bytes in flight are read after an answer that ends a connection.
LINGER_S = 0.5
# At a stop, for requests that have arrived and aren't read yet.
LAST_READS_S = 0.2
LAST_READS_POLL_S = 0.01
BACKLOG = 1024

Header = tuple[bytes, bytes]
Headers = list[Header]


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection before its answer was complete."""


class Request(NamedTuple):
    """A whole request; header names are in lower case."""

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    received_at: float

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, ``None`` if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value.decode('latin-1')
        return None


class Answerer(abc.ABC):
    """Where a handler writes its answer."""

    @abc.abstractmethod
    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""

    @abc.abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Sends the head; without a length the body goes in chunks."""

    @abc.abstractmethod
    def send(self, data: bytes) -> None:
        """Sends a part of the body at once."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Completes the body that :meth:`start` began."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Breaks off: the caller sees an answer that isn't complete."""


Handler = Callable[[Request, Answerer], None]


class HttpServer:
    """Serves one listening address.

    :param limits: asked for at each connection and request.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        timer: timers.TimerService,
        limits: Callable[[], desired.Limits] = desired.Limits,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._handler = handler
        self._timer = timer
        self._limits = limits
        self._connections: set[_Connection] = set()
        self._server = server.StreamServer(
            (host, int(port)), self._serve, backlog=BACKLOG
        )
        self.is_closing = False

    def start(self) -> None:
        """Begins to accept connections."""
        self._server.start()

    @property
    def port(self) -> int:
        """The port that is listened on, once started."""
        return self._server.server_port

    @property
    def busy_count(self) -> int:
        """Requests under way."""
        return sum(1 for each in self._connections if each.is_busy)

    def close_after_answers(self) -> None:
        """Makes each further answer end its connection."""
        self.is_closing = True

    def stop(self) -> None:
        """Accepts no more connections and closes the idle ones.

        Requests that have arrived by then are still answered.
        """
        self._server.stop(timeout=0)
        until = self._timer.now() + LAST_READS_S
        while self._timer.now() < until and any(
            each.is_busy or each.has_unread() for each in self._connections
        ):
            self._timer.sleep(LAST_READS_POLL_S)
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close()

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        connection = _Connection(
            sock, self._handler, self._timer, self._limits, self
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
            connection.close()


class _BadRequest(Exception):
    """A request that breaks the protocol or a limit."""

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}')
        self.status = status


class _Connection(Answerer):
    def __init__(
        self,
        sock: socket.socket,
        handler: Handler,
        timer: timers.TimerService,
        limits: Callable[[], desired.Limits],
        owner: HttpServer,
    ) -> None:
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        self._sock = sock
        self._handler = handler
        self._timer = timer
        self._limits = limits
        self._owner = owner
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes
        )
        self.is_busy = False
        self._early_bytes = 0
        self._caller_left = False

    def has_unread(self) -> bool:
        """Whether bytes of a request have arrived and aren't read yet."""
        if self._h11.trailing_data[0]:
            return True
        try:
            readable, _, _ = select.select([self._sock], [], [], 0)
        except (OSError, ValueError):
            return False
        return bool(readable)

    def run(self) -> None:
        try:
            while self._serve_one():
                self._h11.start_next_cycle()
        except (OSError, h11.LocalProtocolError):
            return
        except CallerGone:
            return

    def close(self) -> None:
        try:
            self._sock.close()
        except OSError:
            pass

    def _serve_one(self) -> bool:
        """Serves one request; tells whether the connection goes on."""
        try:
            request = self._read_request()
        except _BadRequest as bad:
            self._refuse(bad.status)
            return False
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
            return False
        if request is None:
            return False
        self.is_busy = True
        watcher = gevent.spawn(self._watch_caller, gevent.getcurrent())
        # What was read early for past requests is no longer waiting.
        self._early_bytes = len(self._h11.trailing_data[0])
        try:
            self._handle(request)
        finally:
            watcher.kill()
            self.is_busy = False
        if self._caller_left or self._h11.our_state is not h11.DONE:
            return False
        return self._h11.their_state is h11.DONE

    def _handle(self, request: Request) -> None:
        """Runs the handler; one that fails unforeseen is still answered."""
        try:
            self._handler(request, self)
        except (OSError, h11.LocalProtocolError):
            raise
        except Exception as error:
            events.error('handler_failed', cause=repr(error))
            if self._h11.our_state is h11.SEND_RESPONSE:
                self.answer(500, [], b'')

    def _read_request(self) -> Request | None:
        head = self._read_head()
        if head is None:
            return None
        received_at = self._timer.now()
        headers = tuple(head.headers)
        _check_framing(headers)
        _check_size(head, self._limits().header_bytes)
        if self._h11.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body()
        if body is None:
            return None
        return Request(
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
            data = self._receive(left_s)
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
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise _BadRequest(413)
                parts.append(bytes(event.data))
                continue
            if event is not h11.NEED_DATA:
                return None
            left_s = deadline - self._timer.now()
            data = self._receive(min(limits.idle_timeout_s, left_s))
            if not data:
                return None
            self._h11.receive_data(data)

    def _receive(self, timeout_s: float) -> bytes:
        """Returns received bytes, none at the end or after the time."""
        if timeout_s <= 0:
            return b''
        self._sock.settimeout(timeout_s)
        try:
            return self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return b''

    def _watch_caller(self, handler_task: gevent.Greenlet) -> None:
        """Reads on while the handler runs, to see the caller leave."""
        while self._early_bytes < MAX_EARLY_BYTES:
            try:
                self._sock.settimeout(None)
                data = self._sock.recv(RECEIVE_BYTES)
            except OSError:
                data = b''
            if not data:
                self._caller_left = True
                gevent.kill(handler_task, CallerGone)
                return
            self._early_bytes += len(data)
            self._h11.receive_data(data)

    def _refuse(self, status: int) -> None:
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        events.info('request_malformed', status=status)
        self.answer(status, [(b'connection', b'close')], b'')
        self._linger()

    def _linger(self) -> None:
        # Closing with unread bytes would reset the answer away.
        try:
            self._sock.shutdown(std_socket.SHUT_WR)
            deadline = self._timer.now() + LINGER_S
            while self._receive(deadline - self._timer.now()):
                pass
        except OSError:
            return

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        length = str(len(body)).encode()
        self.start(status, [*headers, (b'content-length', length)])
        if body:
            self._write(h11.Data(data=body))
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        if self._owner.is_closing:
            headers = [*headers, (b'connection', b'close')]
        self._write(h11.Response(status_code=status, headers=headers))

    def send(self, data: bytes) -> None:
        self._write(h11.Data(data=data))

    def finish(self) -> None:
        self._write(h11.EndOfMessage())

    def abort(self) -> None:
        self._caller_left = True
        self.close()

    def _write(self, event: h11.Event) -> None:
        data = memoryview(self._h11.send(event) or b'')
        for start in range(0, len(data), SEND_PIECE_BYTES):
            with gevent.Timeout(SEND_TIMEOUT_S, TimeoutError):
                self._sock.sendall(data[start : start + SEND_PIECE_BYTES])


def _check_size(head: h11.Request, most_bytes: int) -> None:
    """Refuses a head that came whole but is over the limit."""
    size = len(head.method) + len(head.target)
    for name, value in head.headers:
        # A colon, a space and the end of the line.
        size += len(name) + len(value) + 4
    if size > most_bytes:
        raise _BadRequest(431)


def _check_framing(headers: tuple[Header, ...]) -> None:
    """Refuses what two readers could frame differently."""
    names = [name for name, _ in headers]
    lengths = names.count(b'content-length')
    encodings = names.count(b'transfer-encoding')
    if lengths > 1 or encodings > 1 or (lengths and encodings):
        raise _BadRequest(400)
    if names.count(b'host') != 1:
        raise _BadRequest(400)
