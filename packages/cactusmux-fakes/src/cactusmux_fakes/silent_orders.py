"""Fake orders to targets that never answer."""

from cactusmux_relay import cost_model
from cactusmux_relay import layer_orders
from cactusmux_relay import targets
from returns import result


class SilentOrders(layer_orders.LayerOrders):
    """Fails every call as unanswered."""

    def set_layers(
        self, target: targets.Target, layers: targets.LayerRange, number: int
    ) -> result.Result[None, layer_orders.OrderFailure]:
        return result.Failure(layer_orders.OrderUnanswered(target.id))

    def change_path(
        self, first: targets.Target, request_id: str, path: cost_model.Path
    ) -> result.Result[None, layer_orders.PathFailure]:
        return result.Failure(layer_orders.OrderUnanswered(first.id))

    def report(
        self, target: targets.Target
    ) -> result.Result[layer_orders.LayerReport, layer_orders.OrderFailure]:
        return result.Failure(layer_orders.OrderUnanswered(target.id))
