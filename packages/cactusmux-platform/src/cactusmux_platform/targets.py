"""Interface of the model engines: reports, routed streams and orders.

A route lists the targets that hold the layers of a model. The router sends
the complete route to the target of the first stage; the engines pass
activations along the route themselves.
"""

import abc
from collections.abc import Iterator
from typing import NamedTuple

from cactusmux_base import failures
from returns import result


class Holding(NamedTuple):
    """Loaded layers ``first`` to ``last`` (exclusive) of a version."""

    model: str
    version: str
    first: int
    last: int
    adapters: tuple[str, ...] = ()


class TargetReport(NamedTuple):
    """The state of a target as reported by itself; it lags.

    ``capacity_tps`` is its throughput in tokens per second through the
    layers it holds; ``running`` and ``queued`` count streams. ``fencing``
    is the fencing number of the last order it accepted.
    """

    address: str
    holdings: tuple[Holding, ...]
    capacity_tps: float
    running: int
    queued: int
    leaving: bool = False
    loading: bool = False
    checks_fencing: bool = True
    fencing: int = 0


class Stage(NamedTuple):
    """One hop of a route: a target computes layers ``first`` to ``last``.

    ``last`` is exclusive.
    """

    address: str
    first: int
    last: int


class RoutedRequest(NamedTuple):
    """A request with its route, as sent to the target of the first stage.

    ``delivered`` holds the texts of tokens delivered by earlier attempts;
    the engine continues at position ``len(delivered)``. ``deadline_s`` is
    the remaining time in seconds. A lower ``priority`` is served later.
    """

    request_id: str
    attempt: int
    model: str
    version: str
    adapter: str
    prompt: str
    max_tokens: int
    stages: tuple[Stage, ...]
    delivered: tuple[str, ...] = ()
    priority: int = 0
    deadline_s: float = 60.0


class Token(NamedTuple):
    """One token of a response; ``position`` counts from 0."""

    request_id: str
    attempt: int
    position: int
    text: str
    final: bool = False


class Order(NamedTuple):
    """An order to hold exactly these layers, and no others.

    ``fencing`` is the revision at which the sender acquired the lease.
    """

    order_id: str
    fencing: int
    holdings: tuple[Holding, ...]


class TargetError(failures.CactusmuxError):
    """A call to a target that failed."""

    reason = 'target_error'

    def __init__(self, address: str, detail: str = '') -> None:
        super().__init__(f'target {address}: {detail or self.reason}')
        self.address = address
        self.detail = detail


class NotSent(TargetError):
    """No byte of the request was sent; it did not run."""

    reason = 'target_unreachable'


class TargetRefused(TargetError):
    """The target stated that it did not run the request.

    ``detail`` is the reason it gave, such as ``wrong_layers`` or
    ``leaving``.
    """

    reason = 'target_refused'


class OrderFenced(TargetError):
    """The target refused an order with an outdated fencing number."""

    reason = 'order_fenced'


class StreamBroken(TargetError):
    """The connection closed, or sent invalid data, after the request."""

    reason = 'stream_broken'


class StreamStalled(TargetError):
    """No data arrived within the allowed time."""

    reason = 'stream_stalled'


class TokenStream(abc.ABC):
    """The tokens of one attempt; an abandoned stream must be closed."""

    @abc.abstractmethod
    def __iter__(self) -> Iterator[Token]:
        """Yields tokens; raises a :class:`TargetError` on failure."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the stream; cancels it at the engine if unfinished."""


class TargetClient(abc.ABC):
    """Calls targets by address; a call blocks the calling task."""

    @abc.abstractmethod
    def report(self, address: str) -> result.Result[TargetReport, TargetError]:
        """Returns the report of the target at ``address``."""

    @abc.abstractmethod
    def open_stream(
        self, request: RoutedRequest, accept_s: float
    ) -> result.Result[TokenStream, TargetError]:
        """Starts a routed request at its first stage.

        Fails with :class:`NotSent` or :class:`TargetRefused` if it did not
        run, with :class:`StreamStalled` if the target does not respond
        within ``accept_s`` seconds, else with :class:`StreamBroken`.
        There is no timeout between tokens: the reader has to detect a
        stalled stream and close it.
        """

    @abc.abstractmethod
    def send_order(
        self, address: str, order: Order
    ) -> result.Result[TargetReport, TargetError]:
        """Sends an order; returns the report after its acceptance."""
