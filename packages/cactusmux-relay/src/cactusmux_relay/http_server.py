"""HTTP/1.1 server with one task for each connection; h11 does the framing.

The task reads one request, runs the handler and reads the next.
"""

from collections.abc import Callable

from cactusmux_base import ordered_set
from cactusmux_base import timers
from gevent import server
from gevent import socket

from . import connection_limits
from . import desired_state
from . import held_bytes
from . import http_connection
from . import http_messages
from . import request_ends

# How long a stop waits for requests that have arrived and aren't read yet.
FINAL_READ_TIMEOUT_S = 0.2
FINAL_READ_POLL_S = 0.01
BACKLOG = 1024
# Bounds the descriptors of connections that aren't admitted yet.
MAX_ACCEPTED_AT_ONCE = 8

Header = http_messages.Header
Headers = http_messages.Headers
CallerDisconnected = http_messages.CallerDisconnected
Request = http_messages.Request
Answerer = http_messages.Answerer
Handler = http_messages.Handler
first_value = http_messages.first_value


class HttpServer:
    """Serves one listening address.

    :param limits: returns the limits in force; called for each connection and
        each request.
    :param end_log: gets each end of a request; by default one that knows no
        ids of requests.
    :param listener: counts its connections; without a limit by default.
    :param account: memory that callers hold, shared by the servers of a
        process; by default one of its own.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        timer: timers.TimerService,
        limits: Callable[[], desired_state.Limits] = desired_state.Limits,
        end_log: request_ends.EndLog | None = None,
        listener: connection_limits.Listener | None = None,
        account: held_bytes.HeldBytes | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._handler = handler
        self._timer = timer
        self._limits = limits
        self._end_log = end_log or request_ends.without_ids()
        self._listener = listener or connection_limits.unlimited()
        self._account = account or held_bytes.unshared(timer)
        self._connections = ordered_set.OrderedSet[
            http_connection.HttpConnection
        ]()
        self._server = server.StreamServer(
            (host, int(port)), self._serve, backlog=BACKLOG
        )
        self._server.max_accept = MAX_ACCEPTED_AT_ONCE
        self.is_closing = False

    def start(self) -> None:
        """Begins to accept connections."""
        self._server.start()

    @property
    def port(self) -> int:
        """The port it listens on, once started."""
        return self._server.server_port

    @property
    def busy_count(self) -> int:
        """Number of requests in progress."""
        return sum(1 for each in self._connections if each.is_busy)

    def close_after_answers(self) -> None:
        """Makes each further response close its connection."""
        self.is_closing = True

    def stop(self) -> None:
        """Accepts no more connections and closes the idle ones.

        Requests that have already arrived are still served.
        """
        self._server.stop(timeout=0)
        until = self._timer.now() + FINAL_READ_TIMEOUT_S
        while self._timer.now() < until and any(
            each.is_busy or each.has_unread()
            for each in list(self._connections)
        ):
            self._timer.sleep(FINAL_READ_POLL_S)
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.stop()

    def log_unfinished(self) -> None:
        """Logs the requests in progress, which the process ends with it."""
        for connection in list(self._connections):
            connection.log_unfinished()

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        connection = http_connection.HttpConnection(
            sock,
            self._handler,
            self._timer,
            self._limits,
            lambda: self.is_closing,
            self._end_log,
            self._account,
        )
        seat = self._listener.admit(connection, peer[0])
        if seat is None:
            connection.close()
            return
        self._connections.add(connection)
        try:
            connection.run(seat)
        finally:
            seat.leave()
            self._connections.discard(connection)
            connection.close()
