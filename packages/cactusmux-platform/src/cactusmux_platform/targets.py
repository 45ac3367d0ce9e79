"""Interface of the model engines: reports, routed streams and orders.

A route lists the targets that hold a model's layers. The router sends it
whole to the first stage's target; the engines pass activations on among
themselves.
"""

import abc
from collections.abc import Iterator
from typing import NamedTuple

from cactusmux_base import failures
from returns import result


class Holding(NamedTuple):
    """Layers ``first`` to ``last`` (exclusive) of a version, loaded."""

    model: str
    version: str
    first: int
    last: int
    adapters: tuple[str, ...] = ()


class TargetReport(NamedTuple):
    """What a target says of itself; it lags.

    ``capacity_tps`` is tokens a second that it can compute through the
    layers it holds; ``running`` and ``queued`` count streams. ``ordinal``
    is the fencing number of the last order it took.
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
    """A request with its route, as sent to the first stage's target.

    ``delivered`` are the texts of tokens that an earlier attempt delivered;
    the engine computes on from position ``len(delivered)``. ``deadline_s``
    is the time that is left, in seconds. A lower ``priority`` is served
    later.
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
    """One token of an answer; ``position`` counts from 0."""

    request_id: str
    attempt: int
    position: int
    text: str
    final: bool = False


class Order(NamedTuple):
    """An absolute order: hold exactly these layers, and nothing else.

    ``fencing`` is the revision under which its sender acquired the lease.
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
    """No byte of the request left us: it did not run."""

    reason = 'target_unreachable'


class TargetRefused(TargetError):
    """The target itself said that it did not run the request.

    ``detail`` is its own reason, such as ``wrong_layers`` or ``leaving``.
    """

    reason = 'target_refused'


class OrderFenced(TargetError):
    """The target refused an order that carried an old fencing number."""

    reason = 'order_fenced'


class StreamBroken(TargetError):
    """The connection ended, or sent what it may not, after the request."""

    reason = 'stream_broken'


class StreamStalled(TargetError):
    """No token came within the allowed gap."""

    reason = 'stream_stalled'


class TokenStream(abc.ABC):
    """The tokens of one attempt; close what is abandoned."""

    @abc.abstractmethod
    def __iter__(self) -> Iterator[Token]:
        """Yields tokens; raises a :class:`TargetError` when it breaks."""

    @abc.abstractmethod
    def close(self) -> None:
        """Cancels the stream at the engine if it is not finished."""


class TargetClient(abc.ABC):
    """Calls to targets by address; they block their task."""

    @abc.abstractmethod
    def report(self, address: str) -> result.Result[TargetReport, TargetError]:
        """Returns what the target says of itself."""

    @abc.abstractmethod
    def open_stream(
        self, request: RoutedRequest, accept_s: float
    ) -> result.Result[TokenStream, TargetError]:
        """Starts a routed request at its first stage.

        Fails with :class:`NotSent` or :class:`TargetRefused` when it did
        not run, with :class:`StreamStalled` when the target does not answer
        within ``accept_s`` seconds, else with :class:`StreamBroken`.
        Later silence is the reader's to watch: closing the stream ends it.
        """

    @abc.abstractmethod
    def send_order(
        self, address: str, order: Order
    ) -> result.Result[TargetReport, TargetError]:
        """Gives an order; answers the report after accepting it."""
