"""Route selection among the targets that hold a model's layers."""

import abc
import random
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_base import timers
from cactusmux_platform import targets
from returns import result

from . import route_index
from . import routes
from . import target_index
from . import target_table

NO_ADDRESSES: frozenset[str] = frozenset()


class RouteRequest(NamedTuple):
    """The requirements for a route.

    ``adapter`` is empty for the base model. Targets in ``avoid`` must not be
    on the route; ``ejected`` ones are used only if there is no other route.
    ``zone`` is the zone where the request enters. ``prefix_hash`` identifies
    the start of the prompt, 0 for none: routes prefer targets that may have
    this prefix cached.
    """

    model: str
    version: str
    adapter: str
    layers: int
    avoid: frozenset[str] = NO_ADDRESSES
    zone: str = ''
    prefix_hash: int = 0
    ejected: frozenset[str] = NO_ADDRESSES


def index_key(request: RouteRequest) -> target_index.IndexKey:
    """Returns the key of the index used to route a request."""
    return target_index.IndexKey(
        request.model, request.version, request.adapter, request.layers
    )


class NoRoute(failures.CactusmuxError):
    """No route exists; nothing was sent."""

    reason = 'no_route'

    def __init__(
        self, request: RouteRequest, missing: route_index.LayerRange
    ) -> None:
        super().__init__(
            f'{self.reason}: model {request.model!r} version '
            f'{request.version!r} adapter {request.adapter!r}, '
            f'layers {missing.first} to {missing.last}'
        )
        self.model = request.model
        self.version = request.version
        self.adapter = request.adapter
        self.missing = missing


class MissingLayers(NoRoute):
    """No live target holds the layers ``missing``."""

    reason = 'no_route_missing_layers'


class AdapterNotLoaded(NoRoute):
    """The layers are held, but without the adapter."""

    reason = 'no_route_adapter_not_loaded'


class AllAvoided(NoRoute):
    """All targets that hold the layers are ejected or to be avoided."""

    reason = 'no_route_all_avoided'


class RouteChooser(abc.ABC):
    """Chooses routes and maintains an index of targets and their load.

    :param timer: clock for the start and end times of streams.
    :param rng: seeded source of randomness.
    """

    def __init__(self, timer: timers.TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._targets = target_index.TargetIndex(
            self._holders_changed, self._capacity_changed
        )

    @abc.abstractmethod
    def _pick(
        self,
        request: RouteRequest,
        candidates: tuple[route_index.Holder, ...],
    ) -> route_index.Holder:
        """Picks the next stage from one or more candidates."""

    def choose(
        self, request: RouteRequest
    ) -> result.Result[routes.Route, NoRoute]:
        """Chooses a complete route, or returns the layers that prevent it."""
        if request.ejected:
            avoid = request.avoid | request.ejected
            chosen = self._choose(
                request._replace(avoid=avoid, ejected=NO_ADDRESSES)
            )
            if not isinstance(chosen.swap().value_or(None), AllAvoided):
                return chosen
        return self._choose(request)

    def _choose(
        self, request: RouteRequest
    ) -> result.Result[routes.Route, NoRoute]:
        index = self._targets.index(index_key(request))
        if index.missing:
            return result.Failure(self._explain(request, index.missing))
        route = self._choose_preferred(request, index)
        if route is not None:
            return result.Success(route)
        index = _index_without(request, index)
        if index.missing:
            return result.Failure(AllAvoided(request, index.missing))
        return result.Success(self._pick_all(request, index))

    def record_started(self, route: routes.Route) -> None:
        """Adds a stream to the load of each target of a route."""
        self._targets.change_load(route, 1, self._timer.now())

    def record_finished(self, route: routes.Route) -> None:
        """Removes a stream from the load of each target of a route."""
        self._targets.change_load(route, -1, self._timer.now())

    def update(self, table: target_table.TargetTable) -> None:
        """Replaces the whole table; targets not in it are removed."""
        self._targets.update(table)

    def update_target(self, target: target_table.Target) -> None:
        """Adds or updates one target."""
        self._targets.update_target(target)

    def remove(self, address: str) -> None:
        """Removes a target, so that it receives no new requests."""
        self._targets.remove(address)

    def has_routes_without(
        self, lost: frozenset[str], max_fraction: float
    ) -> bool:
        """Returns whether all models keep a route without ``lost``.

        At most ``max_fraction`` of each model's targets may be lost.
        """
        return self._targets.has_routes_without(lost, max_fraction)

    def _holders_changed(self, model: str) -> None:
        """Called when the set of a model's targets has changed."""
        return None

    def _capacity_changed(self, target: target_table.Target) -> None:
        """Called when a known target reports a different capacity."""
        return None

    def _explain(
        self, request: RouteRequest, missing: route_index.LayerRange
    ) -> NoRoute:
        held = self._targets.holders(request.model, request.version)
        without_adapter = route_index.build_index(held, request.layers)
        if without_adapter.missing:
            return MissingLayers(request, without_adapter.missing)
        return AdapterNotLoaded(request, missing)

    def _choose_preferred(
        self, request: RouteRequest, index: route_index.RouteIndex
    ) -> routes.Route | None:
        """Returns a route, or ``None`` if avoided targets prevent it.

        In that case the index is rebuilt without them, which is slower.
        """
        if request.avoid:
            return None
        return self._pick_all(request, index)

    def _pick_all(
        self, request: RouteRequest, index: route_index.RouteIndex
    ) -> routes.Route:
        stages = []
        boundary = 0
        while boundary < index.layers:
            candidates = index.holders_by_first[boundary]
            holder = self._pick(request, candidates)
            address = holder.load.target.address
            stages.append(targets.Stage(address, boundary, holder.last))
            boundary = holder.last
        return routes.Route(
            request.model, request.version, request.adapter, tuple(stages)
        )


def _index_without(
    request: RouteRequest, index: route_index.RouteIndex
) -> route_index.RouteIndex:
    kept = [
        holder
        for held in index.holders_by_first.values()
        for holder in held
        if holder.load.target.address not in request.avoid
    ]
    return route_index.build_index(kept, request.layers)
