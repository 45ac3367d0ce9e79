"""Choice of a route among the targets that hold a model's layers."""

import abc
import random
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_base import timers
from cactusmux_platform import targets
from returns import result

from . import route_index
from . import routes
from . import target_loads
from . import target_table

NOTHING_AVOIDED: frozenset[str] = frozenset()


class RouteRequest(NamedTuple):
    """What a route is asked for.

    ``adapter`` is empty for the bare model. ``avoid`` are addresses that
    may not be on the route. ``zone`` is where the request enters.
    ``prefix_hash`` marks the prompt's start, 0 for none: routes prefer
    targets that may have it cached.
    """

    model: str
    version: str
    adapter: str
    layers: int
    avoid: frozenset[str] = NOTHING_AVOIDED
    zone: str = ''
    prefix_hash: int = 0


class IndexKey(NamedTuple):
    """What requests that share an index have in common."""

    model: str
    version: str
    adapter: str
    layers: int


def index_key(request: RouteRequest) -> IndexKey:
    """Returns the key of the index that a request is routed by."""
    return IndexKey(
        request.model, request.version, request.adapter, request.layers
    )


class NoRoute(failures.CactusmuxError):
    """No route can be made; nothing was sent."""

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
    """The layers are held, but not with the adapter."""

    reason = 'no_route_adapter_not_loaded'


class AllAvoided(NoRoute):
    """All targets that hold the layers are ejected or to be avoided."""

    reason = 'no_route_all_avoided'


class RouteChooser(abc.ABC):
    """Chooses routes; keeps an index of targets and their load.

    The index of a model is built when it is first asked for after a
    change of what targets hold; a new report alone changes no index.

    :param timer: tells the time at which streams start and end.
    :param rng: seeded source of randomness.
    """

    def __init__(self, timer: timers.TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._load_by_address: dict[str, target_loads.TargetLoad] = {}
        self._addresses_by_model: dict[str, set[str]] = {}
        self._index_by_key: dict[IndexKey, route_index.RouteIndex] = {}

    @abc.abstractmethod
    def _pick(
        self,
        request: RouteRequest,
        candidates: tuple[route_index.Holder, ...],
        before: route_index.Holder | None,
    ) -> route_index.Holder:
        """Picks the next stage from one or more candidates."""

    def choose(
        self, request: RouteRequest
    ) -> result.Result[routes.Route, NoRoute]:
        """Chooses a whole route, or tells which layers stand in its way."""
        index = self._index(request)
        if index.missing:
            return result.Failure(self._explain(request, index.missing))
        route = self._walk(request, index)
        if route is not None:
            return result.Success(route)
        index = _index_without(request, index)
        if index.missing:
            return result.Failure(AllAvoided(request, index.missing))
        return result.Success(self._pick_all(request, index))

    def note_started(self, route: routes.Route) -> None:
        """Adds a stream to the load of each target of a route."""
        self._change_load(route, 1)

    def note_finished(self, route: routes.Route) -> None:
        """Takes a stream off the load of each target of a route."""
        self._change_load(route, -1)

    def update(self, table: target_table.TargetTable) -> None:
        """Takes in a whole table; targets that it lacks are removed."""
        gone = self._load_by_address.keys() - table.target_by_address.keys()
        for address in gone:
            self.remove(address)
        for target in table.target_by_address.values():
            self.update_target(target)

    def update_target(self, target: target_table.Target) -> None:
        """Takes in one target, new or known."""
        load = self._load_by_address.get(target.address)
        if load is None:
            load = target_loads.TargetLoad(target)
            self._load_by_address[target.address] = load
            self._add_to_index(target)
            return
        before = load.target
        load.report(target)
        if load.target is not target:
            return
        if not _same_place(before, target):
            self._drop_from_index(before)
            self._add_to_index(target)
        elif before.capacity_tps != target.capacity_tps:
            self._capacity_changed(target)

    def remove(self, address: str) -> None:
        """Forgets a target: it gets no new work."""
        load = self._load_by_address.pop(address, None)
        if load is not None:
            self._drop_from_index(load.target)

    def _index(self, request: RouteRequest) -> route_index.RouteIndex:
        key = index_key(request)
        index = self._index_by_key.get(key)
        if index is None:
            index = self._build(request)
            self._index_by_key[key] = index
        return index

    def _build(self, request: RouteRequest) -> route_index.RouteIndex:
        held = self._holders_of(request.model, request.version)
        if request.adapter:
            held = tuple(h for h in held if request.adapter in h.adapters)
        return route_index.build_index(held, request.layers)

    def _holders_of(
        self, model: str, version: str
    ) -> tuple[route_index.Holder, ...]:
        return tuple(
            route_index.Holder(
                self._load_by_address[address],
                holding.first,
                holding.last,
                frozenset(holding.adapters),
            )
            for address in sorted(self._addresses_by_model.get(model, ()))
            for holding in self._load_by_address[address].target.holdings
            if holding.model == model and holding.version == version
        )

    def _explain(
        self, request: RouteRequest, missing: route_index.LayerRange
    ) -> NoRoute:
        held = self._holders_of(request.model, request.version)
        bare = route_index.build_index(held, request.layers)
        if bare.missing:
            return MissingLayers(request, bare.missing)
        return AdapterNotLoaded(request, missing)

    def _walk(
        self, request: RouteRequest, index: route_index.RouteIndex
    ) -> routes.Route | None:
        """Returns a route, or ``None`` when avoided targets prevent it.

        The index is then built again without them, which is slower.
        """
        if request.avoid:
            return None
        return self._pick_all(request, index)

    def _pick_all(
        self, request: RouteRequest, index: route_index.RouteIndex
    ) -> routes.Route:
        stages = []
        boundary = 0
        holder = None
        while boundary < index.layers:
            candidates = index.holders_by_first[boundary]
            holder = self._pick(request, candidates, holder)
            address = holder.load.target.address
            stages.append(targets.Stage(address, boundary, holder.last))
            boundary = holder.last
        return routes.Route(
            request.model, request.version, request.adapter, tuple(stages)
        )

    def _change_load(self, route: routes.Route, amount: int) -> None:
        now = self._timer.now()
        for stage in route.stages:
            load = self._load_by_address.get(stage.address)
            if load is not None:
                load.change(amount, now)

    def _capacity_changed(self, target: target_table.Target) -> None:
        """Called when a known target reports another capacity."""
        return None

    def _add_to_index(self, target: target_table.Target) -> None:
        for holding in target.holdings:
            addresses = self._addresses_by_model.setdefault(
                holding.model, set()
            )
            addresses.add(target.address)
            self._forget_index(holding.model)

    def _drop_from_index(self, target: target_table.Target) -> None:
        for holding in target.holdings:
            self._addresses_by_model[holding.model].discard(target.address)
            self._forget_index(holding.model)

    def _forget_index(self, model: str) -> None:
        stale = [key for key in self._index_by_key if key.model == model]
        for key in stale:
            del self._index_by_key[key]


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


def _same_place(
    before: target_table.Target, after: target_table.Target
) -> bool:
    return before.holdings == after.holdings and before.zone == after.zone
