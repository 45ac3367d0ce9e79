"""Detects leaving targets from their reports."""

from returns import result

from . import cost_model
from . import layer_orders
from . import leaving_targets
from . import target_registry
from . import targets


class LeavingReports(layer_orders.LayerOrders):
    """Forwards all calls and records targets that report leaving."""

    def __init__(
        self,
        orders: layer_orders.LayerOrders,
        registry: target_registry.TargetRegistry,
    ) -> None:
        self._orders = orders
        self._registry = registry

    def set_layers(
        self, target: targets.Target, layers: targets.LayerRange, number: int
    ) -> result.Result[None, layer_orders.OrderFailure]:
        """Orders a target to hold exactly ``layers``."""
        return self._orders.set_layers(target, layers, number)

    def change_path(
        self, first: targets.Target, request_id: str, path: cost_model.Path
    ) -> result.Result[None, layer_orders.PathFailure]:
        """Orders a running request to continue on another path."""
        return self._orders.change_path(first, request_id, path)

    def report(
        self, target: targets.Target
    ) -> result.Result[layer_orders.LayerReport, layer_orders.OrderFailure]:
        """Requests a report of the layers that a target holds."""
        answer = self._orders.report(target)
        match answer:
            case result.Success(report) if report.is_leaving:
                born_ms = report.born_ms or target.born_ms
                self._registry.record_leaving(
                    targets.Start(target.id, born_ms),
                    leaving_targets.Source.REPORT,
                )
        return answer
