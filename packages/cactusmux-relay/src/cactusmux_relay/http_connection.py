"""One connection of a caller: serves one request after another.

While the handler runs, a second task keeps reading, so that a disconnect of
the caller is noticed at once: the handler is then ended by
:class:`http_messages.CallerDisconnected`.
"""

from collections.abc import Callable
import socket as std_socket

from cactusmux_base import events
from cactusmux_base import timers
import gevent
from gevent import socket
import h11

from . import connection_limits
from . import desired_state
from . import held_bytes
from . import http_messages
from . import request_ends
from . import request_reading
from . import room_choice
from . import steady_sending
from . import unread_input

# Limit on the bytes of pipelined requests that are read while a handler runs.
MAX_PIPELINED_BYTES = 65536
# Received bytes that the kernel keeps unread; it would raise this by itself.
RECEIVE_BUFFER_BYTES = 65536
# How long a caller may read nothing of a response that waits to be sent.
SEND_TIMEOUT_S = 10.0
SEND_PIECE_BYTES = 65536
# How long bytes in flight are read after a response that ends a connection.
LINGER_S = 0.5
# How long a response waits for room; a caller that doesn't read one gives way
# within two seconds.
ROOM_WAIT_S = 3.0
ROOM_POLL_S = 0.05
STATUS_NOT_RUN = 503
# By then, bodies in progress are likely to have arrived.
RETRY_AFTER = (b'retry-after', b'1')


class HttpConnection(http_messages.Answerer, connection_limits.Closable):
    """One caller's connection.

    :param limits: returns the limits in force; called for each request.
    :param is_closing: whether each further response ends its connection.
    :param end_log: gets each end of a request.
    :param account: is asked for room for what the caller makes it hold.
    """

    def __init__(
        self,
        sock: socket.socket,
        handler: http_messages.Handler,
        timer: timers.TimerService,
        limits: Callable[[], desired_state.Limits],
        is_closing: Callable[[], bool],
        end_log: request_ends.EndLog,
        account: held_bytes.HeldBytes,
    ) -> None:
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        sock.setsockopt(
            std_socket.SOL_SOCKET, std_socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._sock = sock
        self._handler = handler
        self._timer = timer
        self._is_closing = is_closing
        self._end_log = end_log
        self._progress = request_ends.RequestProgress()
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes
        )
        self._holding = account.open(self._make_room)
        self._reader = request_reading.RequestReader(
            sock,
            self._h11,
            timer,
            limits,
            self._holding,
            self._record_stage,
        )
        self._seat: connection_limits.Seat | None = None
        self.is_busy = False
        self._pipelined_bytes = 0
        self._request_bytes = 0
        self._is_closed = False
        self._task: gevent.Greenlet | None = None

    def has_unread(self) -> bool:
        """Whether unread bytes of a request have arrived."""
        if self._h11.trailing_data[0]:
            return True
        return unread_input.has_input(self._sock)

    def run(self, seat: connection_limits.Seat) -> None:
        """Serves requests until the connection ends.

        :param seat: its place among the connections of all callers.
        """
        self._seat = seat
        self._task = gevent.getcurrent()
        try:
            while self._serve_one():
                self._h11.start_next_cycle()
        except http_messages.CallerDisconnected:
            return

    def stop(self) -> None:
        """Closes the socket because the server stops."""
        self._progress.record_end(request_ends.Cause.STOPPED)
        self.close()

    def log_unfinished(self) -> None:
        """Logs the present request as ended by the stop of the process."""
        self._progress.record_end(request_ends.Cause.STOPPED)
        self._end_log.record(self._progress)

    def displace(self) -> None:
        """Closes the socket to make room for another connection."""
        self._progress.record_end(request_ends.Cause.DISPLACED)
        self.close()

    def close(self) -> None:
        """Closes the socket at once, and holds nothing any more."""
        self._holding.close()
        try:
            self._sock.close()
        except OSError:
            pass

    def _serve_one(self) -> bool:
        """Serves one request; returns whether to keep the connection."""
        self._progress = request_ends.RequestProgress()
        self._holding.begin()
        try:
            return self._read_and_handle()
        except request_ends.CallerFailure as failure:
            self._progress.record_end(failure.cause, str(failure))
            return False
        except http_messages.CallerDisconnected:
            self._progress.record_end(request_ends.Cause.CALLER_DISCONNECTED)
            raise
        except BaseException as error:
            self._progress.record_failure(error)
            raise
        finally:
            self._end_log.record(self._progress)

    def _read_and_handle(self) -> bool:
        """Serves one request; returns whether to keep the connection."""
        try:
            request = self._reader.read(self._write, self._progress)
        except request_reading.BadRequest as bad:
            self._refuse(bad.status)
            return False
        except held_bytes.NoRoom as failure:
            self._refuse_without_room(failure)
            return False
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
            return False
        if request is None:
            return False
        self.is_busy = True
        self._record_stage(connection_limits.Stage.SERVED)
        self._request_bytes = self._holding.size
        watcher = gevent.spawn(self._watch_caller, gevent.getcurrent())
        # Pipelined bytes of earlier requests are no longer buffered.
        self._pipelined_bytes = len(self._h11.trailing_data[0])
        try:
            self._handle(request)
        finally:
            watcher.kill()
            self.is_busy = False
        if self._is_closed or self._h11.our_state is not h11.DONE:
            return False
        return self._h11.their_state is h11.DONE

    def _record_stage(self, stage: connection_limits.Stage) -> None:
        if self._seat is not None:
            self._seat.enter(stage)

    def _handle(self, request: http_messages.Request) -> None:
        """Runs the handler; responds with 500 to an unexpected exception.

        That includes failures of other connections than the caller's.
        """
        try:
            self._handler(request, self)
        except request_ends.CallerUnreachable:
            raise
        except (Exception, gevent.Timeout) as error:
            self._progress.record_failure(error)
            if self._h11.our_state is h11.SEND_RESPONSE:
                self.answer(500, [], b'')

    def _watch_caller(self, handler_task: gevent.Greenlet) -> None:
        """Keeps reading while the handler runs, to detect a disconnect."""
        while self._pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                self._sock.settimeout(None)
                data = self._sock.recv(request_reading.RECEIVE_BYTES)
            except OSError:
                data = b''
            if not data:
                self._is_closed = True
                gevent.kill(handler_task, http_messages.CallerDisconnected)
                return
            self._pipelined_bytes += len(data)
            if not self._has_room_ahead(len(data)):
                return
            self._h11.receive_data(data)
        # From here on they wait in the kernel.
        self._has_room_ahead(RECEIVE_BUFFER_BYTES)

    def _has_room_ahead(self, size: int) -> bool:
        """Holds bytes sent ahead; without room, ends the connection."""
        try:
            self._holding.read_ahead(size)
        except held_bytes.NoRoom:
            self._holding.record_refused()
            self._make_room()
            return False
        return True

    def _make_room(self) -> None:
        """Ends the request; doesn't block."""
        if self._holding.phase is room_choice.Phase.ARRIVING:
            self._wake_reader()
            return
        self._progress.record_end(request_ends.Cause.MEMORY_LIMIT)
        self._is_closed = True
        self.close()
        if self.is_busy:
            gevent.kill(self._task, http_messages.CallerDisconnected)

    def _wake_reader(self) -> None:
        """Makes the task that reads find that its holding has ended."""
        try:
            self._sock.shutdown(std_socket.SHUT_RD)
        except OSError:
            return

    def _refuse_without_room(self, failure: held_bytes.NoRoom) -> None:
        events.info(
            'request_refused',
            id=self._end_log.request_id(self._progress),
            reason=failure.reason,
            has_run=False,
            status=STATUS_NOT_RUN,
        )
        if not self._holding.is_ended:
            self._holding.record_refused()
        self._answer_and_linger(STATUS_NOT_RUN, [RETRY_AFTER])

    def _refuse(self, status: int) -> None:
        events.info(
            'request_malformed',
            id=self._end_log.request_id(self._progress),
            status=status,
        )
        self._answer_and_linger(status, [])

    def _answer_and_linger(
        self, status: int, headers: http_messages.Headers
    ) -> None:
        """Sends a refusal that ends the connection."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._holding.begin()
        self.answer(status, [*headers, (b'connection', b'close')], b'')
        self._linger()

    def _linger(self) -> None:
        # Closing the socket with unread bytes would send a reset, which may
        # destroy the response before the caller has read it.
        try:
            self._sock.shutdown(std_socket.SHUT_WR)
            deadline = self._timer.now() + LINGER_S
            while self._reader.receive(deadline - self._timer.now()):
                pass
        except OSError:
            return

    def answer(
        self, status: int, headers: http_messages.Headers, body: bytes
    ) -> None:
        length = str(len(body)).encode()
        self.start(status, [*headers, (b'content-length', length)])
        if body:
            self._enter_answering(len(body))
            self._write(h11.Data(data=body))
        self.finish()

    def hold(self, size: int, may_wait: bool) -> None:
        until = self._timer.now() + (ROOM_WAIT_S if may_wait else 0.0)
        while True:
            held = self._held_with(size)
            try:
                self._holding.resize(held)
                return
            except held_bytes.NoRoom:
                is_over = self._timer.now() >= until
                if is_over or not self._holding.can_ever_hold(held):
                    self._holding.record_refused()
                    raise
            self._timer.sleep(ROOM_POLL_S)

    def _held_with(self, size: int) -> int:
        """Returns the bytes held with an answer of this size."""
        return self._request_bytes + self._holding.ahead_bytes + size

    def _enter_answering(self, size: int) -> None:
        """Counts an answer that its caller is to read."""
        held = self._held_with(size)
        if held > self._holding.size:
            self._holding.take(held)
        self._holding.answer()

    def start(self, status: int, headers: http_messages.Headers) -> None:
        if self._is_closing():
            headers = [*headers, (b'connection', b'close')]
        self._write(h11.Response(status_code=status, headers=headers))

    def send(self, data: bytes) -> None:
        self._write(h11.Data(data=data))

    def finish(self) -> None:
        self._write(h11.EndOfMessage())

    def abort(self) -> None:
        self._progress.record_end(request_ends.Cause.ABORTED)
        self._is_closed = True
        self.close()

    def _write(self, event: h11.Event) -> None:
        """Sends an event; raises :class:`request_ends.CallerUnreachable`."""
        try:
            data = memoryview(self._h11.send(event) or b'')
        except h11.LocalProtocolError as error:
            raise request_ends.CallerUnreachable(
                request_ends.Cause.RESPONSE_INVALID, repr(error)
            ) from error
        if isinstance(event, h11.Response):
            self._progress.response_status = event.status_code
        has_body = isinstance(event, h11.Data)
        for start in range(0, len(data), SEND_PIECE_BYTES):
            piece = data[start : start + SEND_PIECE_BYTES]
            self._send_piece(piece)
            if has_body:
                self._progress.response_bytes += len(piece)
                self._holding.record_progress(len(piece))
        if isinstance(event, h11.EndOfMessage):
            self._progress.is_response_whole = True

    def _send_piece(self, piece: memoryview) -> None:
        try:
            steady_sending.send_all(self._sock, piece, SEND_TIMEOUT_S)
        except steady_sending.PeerStalled as stalled:
            raise request_ends.CallerUnreachable(
                request_ends.Cause.CALLER_STALLED, str(stalled)
            ) from stalled
        except OSError as error:
            raise request_ends.CallerUnreachable(
                request_ends.Cause.CALLER_UNREACHABLE, repr(error)
            ) from error
