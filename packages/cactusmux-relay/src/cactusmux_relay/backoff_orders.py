"""Layer orders that respect the backoff that targets asked for."""

from returns import result

from . import backoffs
from . import cost_model
from . import layer_orders
from . import targets


class BackoffLayerOrders(layer_orders.LayerOrders):
    """Forwards calls, except those to a target in backoff."""

    def __init__(
        self, orders: layer_orders.LayerOrders, backoff: backoffs.Backoffs
    ) -> None:
        self._orders = orders
        self._backoff = backoff

    def set_layers(
        self, target: targets.Target, layers: targets.LayerRange, number: int
    ) -> result.Result[None, layer_orders.OrderFailure]:
        """Orders a target to hold exactly ``layers``."""
        if self._backoff.left_s(target):
            return result.Failure(layer_orders.OrderNotSent(target.id))
        return self._orders.set_layers(target, layers, number)

    def change_path(
        self, first: targets.Target, request_id: str, path: cost_model.Path
    ) -> result.Result[None, layer_orders.PathFailure]:
        """Orders that a running request continues on another path."""
        if self._backoff.left_s(first):
            return result.Failure(layer_orders.OrderNotSent(first.id))
        return self._orders.change_path(first, request_id, path)

    def report(
        self, target: targets.Target
    ) -> result.Result[layer_orders.LayerReport, layer_orders.OrderFailure]:
        """Requests the report of a target."""
        if self._backoff.left_s(target):
            return result.Failure(layer_orders.OrderNotSent(target.id))
        return self._orders.report(target)
