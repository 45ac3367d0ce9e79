"""Interface to a target's layers: what it holds, and orders to change that."""

import abc
from typing import NamedTuple

from cactusmux_base import failures
from returns import result

from . import cost_model
from . import targets


class LayerReport(NamedTuple):
    """What a target says of itself.

    :ivar is_busy: an order is in progress.
    :ivar pace: 1 is usual, 2 twice as slow.
    :ivar is_leaving: it gets no new work.
    :ivar born_ms: time of its start, 0 if unsaid.
    """

    layers: targets.LayerRange
    order_number: int
    is_busy: bool
    pace: float
    is_leaving: bool = False
    born_ms: int = 0


class OrderUnanswered(failures.CactusmuxError):
    """The order may be carried out, at once or later."""

    reason = 'order_unanswered'

    def __init__(self, target_id: str) -> None:
        super().__init__(f'target {target_id} did not answer an order')
        self.target_id = target_id


class OrderRefused(failures.CactusmuxError):
    """The order doesn't fit the target's state."""

    reason = 'order_refused'

    def __init__(self, target_id: str, status: int) -> None:
        super().__init__(f'target {target_id} refused an order: {status}')
        self.target_id = target_id
        self.status = status


class OrderNotSent(failures.CactusmuxError):
    """The target is to be left alone for now; it got nothing."""

    reason = 'order_not_sent'

    def __init__(self, target_id: str) -> None:
        super().__init__(f'target {target_id} is to be left alone')
        self.target_id = target_id


class RequestUnknown(failures.CactusmuxError):
    """The target runs no such request, or no longer."""

    reason = 'request_unknown'

    def __init__(self, target_id: str, request_id: str) -> None:
        super().__init__(f'target {target_id} runs no request {request_id}')
        self.target_id = target_id
        self.request_id = request_id


class PartNotThere(failures.CactusmuxError):
    """A target of the new path lacks its layers, or room for the request.

    :ivar address: of that target, empty if unsaid.
    """

    reason = 'part_not_there'

    def __init__(self, target_id: str, address: str) -> None:
        super().__init__(f'target {target_id} found no part at {address!r}')
        self.target_id = target_id
        self.address = address


OrderFailure = OrderUnanswered | OrderRefused | OrderNotSent
PathFailure = OrderFailure | RequestUnknown | PartNotThere


class LayerOrders(abc.ABC):
    """Sends orders and asks for reports; calls block their task."""

    @abc.abstractmethod
    def set_layers(
        self, target: targets.Target, layers: targets.LayerRange, number: int
    ) -> result.Result[None, OrderFailure]:
        """Orders a target to hold exactly ``layers``.

        :param number: of orders that the target has begun; at any other
            number it refuses, so that an order carried out late does
            nothing.
        """

    @abc.abstractmethod
    def change_path(
        self, first: targets.Target, request_id: str, path: cost_model.Path
    ) -> result.Result[None, PathFailure]:
        """Orders that a running request goes on over another path.

        Targets that are new in the path read all tokens so far; the others
        keep their token memory. It waits for an answer for no longer than a
        stream may stay silent.

        :param first: target of the request and of the path.
        """

    @abc.abstractmethod
    def report(
        self, target: targets.Target
    ) -> result.Result[LayerReport, OrderFailure]:
        """Asks a target what it holds."""
