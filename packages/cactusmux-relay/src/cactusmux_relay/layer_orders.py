"""Interface for the layers of targets: reports, and orders to change them."""

import abc
from typing import NamedTuple

from cactusmux_base import failures
from returns import result

from . import cost_model
from . import targets


class LayerReport(NamedTuple):
    """A target's report on itself.

    :ivar order_number: number of orders that it has begun.
    :ivar is_busy: whether an order is in progress.
    :ivar pace: slowdown factor; 1 is usual, 2 twice as slow.
    :ivar is_leaving: whether it accepts no new work.
    :ivar born_ms: time of its start, 0 if not reported.
    """

    layers: targets.LayerRange
    order_number: int
    is_busy: bool
    pace: float
    is_leaving: bool = False
    born_ms: int = 0


class OrderUnanswered(failures.CactusmuxError):
    """The outcome is unknown: the order may be executed, now or later."""

    reason = 'order_unanswered'

    def __init__(self, target_id: str) -> None:
        super().__init__(f'target {target_id} did not answer an order')
        self.target_id = target_id


class OrderRefused(failures.CactusmuxError):
    """The target rejected the order because of its state."""

    reason = 'order_refused'

    def __init__(self, target_id: str, status: int) -> None:
        super().__init__(f'target {target_id} refused an order: {status}')
        self.target_id = target_id
        self.status = status


class OrderNotSent(failures.CactusmuxError):
    """The order wasn't sent because the target is in backoff."""

    reason = 'order_not_sent'

    def __init__(self, target_id: str) -> None:
        super().__init__(f'target {target_id} is in backoff')
        self.target_id = target_id


class RequestUnknown(failures.CactusmuxError):
    """The target doesn't run the request, or no longer does."""

    reason = 'request_unknown'

    def __init__(self, target_id: str, request_id: str) -> None:
        super().__init__(
            f'target {target_id} does not run request {request_id}'
        )
        self.target_id = target_id
        self.request_id = request_id


class PartNotThere(failures.CactusmuxError):
    """A target of the new path lacks the layers, or memory for the request.

    :ivar address: address of that target, empty if not reported.
    """

    reason = 'part_not_there'

    def __init__(self, target_id: str, address: str) -> None:
        super().__init__(
            f'target {target_id} found layers or memory missing at {address!r}'
        )
        self.target_id = target_id
        self.address = address


OrderFailure = OrderUnanswered | OrderRefused | OrderNotSent
PathFailure = OrderFailure | RequestUnknown | PartNotThere


class LayerOrders(abc.ABC):
    """Sends orders and requests reports; calls block their task."""

    @abc.abstractmethod
    def set_layers(
        self, target: targets.Target, layers: targets.LayerRange, number: int
    ) -> result.Result[None, OrderFailure]:
        """Orders a target to hold exactly ``layers``.

        :param number: number of orders that the target has begun. It refuses
            the order at any other number, so that a late one has no effect.
        """

    @abc.abstractmethod
    def change_path(
        self, first: targets.Target, request_id: str, path: cost_model.Path
    ) -> result.Result[None, PathFailure]:
        """Orders that a running request continues on another path.

        Targets that are new in the path prefill all tokens so far; the
        others keep their KV cache. The time-out of the order is the longest
        silence that a stream allows.

        :param first: first target of the path, which serves the request.
        """

    @abc.abstractmethod
    def report(
        self, target: targets.Target
    ) -> result.Result[LayerReport, OrderFailure]:
        """Requests the report of a target."""
