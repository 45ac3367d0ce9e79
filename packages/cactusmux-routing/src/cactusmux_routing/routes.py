"""Routes: ordered stages that compute every layer of a model once."""

from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_platform import targets
from returns import result


class Route(NamedTuple):
    """Stages in order, all with the same version and adapter."""

    model: str
    version: str
    adapter: str
    stages: tuple[targets.Stage, ...]


class RouteInvalid(failures.CactusmuxError):
    """The stages of a route do not compute each layer once, in order.

    ``layer`` is the first invalid one.
    """

    reason = 'route_invalid'

    def __init__(self, model: str, layer: int, detail: str) -> None:
        super().__init__(f'route of model {model!r}, layer {layer}: {detail}')
        self.model = model
        self.layer = layer
        self.detail = detail


def check_route(
    route: Route, layers: int
) -> result.Result[Route, RouteInvalid]:
    """Checks that the stages cover layers 0 to ``layers`` exactly once."""
    expected = 0
    for stage in route.stages:
        if stage.first > expected:
            return _invalid(route, expected, 'no stage computes it')
        if stage.first < expected:
            return _invalid(route, stage.first, 'computed twice')
        if stage.last <= stage.first:
            return _invalid(route, stage.first, 'its stage is empty')
        expected = stage.last
    if expected < layers:
        return _invalid(route, expected, 'no stage computes it')
    if expected > layers:
        return _invalid(route, layers, 'the model has no such layer')
    return result.Success(route)


def _invalid(
    route: Route, layer: int, detail: str
) -> result.Result[Route, RouteInvalid]:
    return result.Failure(RouteInvalid(route.model, layer, detail))
