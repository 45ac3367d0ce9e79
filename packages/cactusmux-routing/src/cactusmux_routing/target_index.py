"""Known targets with their estimated loads, indexed by model."""

from collections.abc import Callable
from typing import NamedTuple

from . import route_index
from . import routes
from . import target_loads
from . import target_table


class IndexKey(NamedTuple):
    """The properties shared by requests that use the same index."""

    model: str
    version: str
    adapter: str
    layers: int


class TargetIndex:
    """All targets that may receive requests.

    The index of a model is rebuilt on first use after the holdings of its
    targets have changed; a load report alone invalidates no index.

    :param on_holders: called with a model whose holders have changed.
    :param on_capacity: called with a target whose capacity has changed.
    """

    def __init__(
        self,
        on_holders: Callable[[str], None],
        on_capacity: Callable[[target_table.Target], None],
    ) -> None:
        self._on_holders = on_holders
        self._on_capacity = on_capacity
        self._load_by_address: dict[str, target_loads.TargetLoad] = {}
        self._addresses_by_model: dict[str, set[str]] = {}
        self._index_by_key: dict[IndexKey, route_index.RouteIndex] = {}
        self._holders_by_version: dict[
            tuple[str, str], tuple[route_index.Holder, ...]
        ] = {}

    def update(self, table: target_table.TargetTable) -> None:
        """Replaces the whole table; targets not in it are removed."""
        removed = self._load_by_address.keys() - table.target_by_address.keys()
        for address in removed:
            self.remove(address)
        for target in table.target_by_address.values():
            self.update_target(target)

    def update_target(self, target: target_table.Target) -> None:
        """Adds or updates one target."""
        load = self._load_by_address.get(target.address)
        if load is None:
            load = target_loads.TargetLoad(target)
            self._load_by_address[target.address] = load
            self._add_to_index(target)
            return
        before = load.target
        load.apply_report(target)
        if load.target is not target:
            return
        if not _is_same_holder(before, target):
            self._remove_from_index(before)
            self._add_to_index(target)
        elif before.capacity_tps != target.capacity_tps:
            self._on_capacity(target)

    def remove(self, address: str) -> None:
        """Removes a target, so that it receives no new requests."""
        load = self._load_by_address.pop(address, None)
        if load is not None:
            self._remove_from_index(load.target)

    def index(self, key: IndexKey) -> route_index.RouteIndex:
        """Returns the index of a model, optionally with an adapter."""
        index = self._index_by_key.get(key)
        if index is None:
            index = self._build(key)
            self._index_by_key[key] = index
        return index

    def _build(self, key: IndexKey) -> route_index.RouteIndex:
        held = self.holders(key.model, key.version)
        if key.adapter:
            held = tuple(h for h in held if key.adapter in h.adapters)
        return route_index.build_index(held, key.layers)

    def holders(
        self, model: str, version: str
    ) -> tuple[route_index.Holder, ...]:
        """Returns all targets that hold layers of a model's version."""
        held = self._holders_by_version.get((model, version))
        if held is None:
            held = self._find_holders(model, version)
            self._holders_by_version[model, version] = held
        return held

    def _find_holders(
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

    def has_routes_without(
        self, lost: frozenset[str], max_fraction: float
    ) -> bool:
        """Returns whether all models keep a route without ``lost``.

        At most ``max_fraction`` of each model's targets may be lost.
        """
        models = {
            (holding.model, holding.version)
            for address in lost
            if address in self._load_by_address
            for holding in self._load_by_address[address].target.holdings
        }
        return all(
            self._has_route_without(lost, model, version, max_fraction)
            for model, version in models
        )

    def _has_route_without(
        self,
        lost: frozenset[str],
        model: str,
        version: str,
        max_fraction: float,
    ) -> bool:
        held = self.holders(model, version)
        remaining = [h for h in held if h.load.target.address not in lost]
        if len(held) - len(remaining) > max_fraction * len(held):
            return False
        layers = max(holder.last for holder in held)
        return route_index.build_index(remaining, layers).missing is None

    def change_load(
        self, route: routes.Route, amount: int, now: float
    ) -> None:
        """Records streams that this instance started or ended on a route."""
        for stage in route.stages:
            load = self._load_by_address.get(stage.address)
            if load is not None:
                load.add_streams(amount, now)

    def _add_to_index(self, target: target_table.Target) -> None:
        for holding in target.holdings:
            addresses = self._addresses_by_model.setdefault(
                holding.model, set()
            )
            addresses.add(target.address)
            self._invalidate(holding.model)

    def _remove_from_index(self, target: target_table.Target) -> None:
        for holding in target.holdings:
            self._addresses_by_model[holding.model].discard(target.address)
            self._invalidate(holding.model)

    def _invalidate(self, model: str) -> None:
        stale = [key for key in self._index_by_key if key.model == model]
        for key in stale:
            del self._index_by_key[key]
        outdated = [x for x in self._holders_by_version if x[0] == model]
        for version in outdated:
            del self._holders_by_version[version]
        self._on_holders(model)


def _is_same_holder(
    before: target_table.Target, after: target_table.Target
) -> bool:
    return before.holdings == after.holdings and before.zone == after.zone
