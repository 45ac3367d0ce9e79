"""Decides which target holds which layers, adapters and versions.

The decision is a pure function of its arguments. Existing copies stay where
they are: a plan only adds missing copies and drops surplus ones.
"""

from collections.abc import Callable, Mapping, Sequence

from cactusmux_base import failures

from . import copies
from . import copy_placer
from . import documents
from . import entitlements
from . import packing
from . import placement_types

DEFAULT_LIMITS = placement_types.Limits()
SURGE_FRACTION = 0.25


def plan(
    situation: placement_types.Situation,
    limits: placement_types.Limits = DEFAULT_LIMITS,
    between_copies: Callable[[], None] = lambda: None,
) -> placement_types.Plan:
    """Returns the holdings planned for each target of the pool.

    :param between_copies: called after each copy, to yield to other tasks.
    """
    return _Planner(situation, limits, between_copies).run()


def list_demands(
    service_documents: Sequence[documents.ServiceDocument],
) -> tuple[list[placement_types.ModelDemand], list[failures.CactusmuxError]]:
    """Returns the requested models; the first service owns a name."""
    demand_by_model: dict[str, placement_types.ModelDemand] = {}
    taken: list[failures.CactusmuxError] = []
    for document in sorted(service_documents, key=lambda d: d.service):
        for name, model in sorted(document.model_by_name.items()):
            owner = demand_by_model.get(name)
            if owner is not None:
                taken.append(
                    placement_types.NameTaken(
                        name, document.service, owner.service
                    )
                )
                continue
            demand_by_model[name] = placement_types.ModelDemand(
                document.service, name, model
            )
    return list(demand_by_model.values()), taken


class _Planner:
    def __init__(
        self,
        situation: placement_types.Situation,
        limits: placement_types.Limits,
        between_copies: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._between_copies = between_copies
        self._reported_by_address = situation.reported_by_address
        pool = sorted(situation.pool)
        demands, self._shortfalls = list_demands(situation.service_documents)
        demand_by_model = {demand.name: demand for demand in demands}
        before = {
            target.address: situation.intended_by_address.get(
                target.address,
                situation.reported_by_address.get(target.address, ()),
            )
            for target in pool
        }
        self._allocation = packing.MemoryAllocation(
            pool, before, demand_by_model, limits, situation.pinned
        )
        self._drop_unwanted(set(demand_by_model))
        memory_mb = limits.usable_memory * sum(t.memory_mb for t in pool)
        self._range_by_model = entitlements.copy_ranges(
            situation.service_documents, demands, memory_mb, limits
        )
        self._copies_by_model = {
            demand.name: copies.ModelCopies(
                demand, self._allocation, situation.reported_by_address
            )
            for demand in demands
        }
        self._placer = copy_placer.CopyPlacer(
            pool, self._allocation, self._copies_by_model, self._range_by_model
        )

    def run(self) -> placement_types.Plan:
        for model in self._copies_by_model.values():
            self._drop_old(model)
            self._drop_surplus(model)
        # Computed before old copies are dropped, as dropping them would raise
        # the wanted numbers.
        wanted_by_model = {
            name: self._wanted(model)
            for name, model in self._copies_by_model.items()
        }
        self._place_missing(wanted_by_model)
        for name, model in self._copies_by_model.items():
            if len(model.current) >= wanted_by_model[name]:
                model.drop_spare()
            self._note_shortfall(model)
        return placement_types.Plan(
            self._allocation.holdings(),
            self._urgent(),
            tuple(self._shortfalls),
        )

    def _drop_unwanted(self, models: set[str]) -> None:
        for address in self._allocation.target_by_address:
            for holding in tuple(self._allocation.held_by(address)):
                if holding.model not in models:
                    self._allocation.drop(address, holding)

    def _drop_old(self, model: copies.ModelCopies) -> None:
        """Drops old copies as copies of the new variant are loaded."""
        low = self._range(model).low
        while len(model.old) > max(0, low - model.reported):
            choice = model.list_droppable_old()
            if not choice:
                return
            model.drop(choice[0])

    def _drop_surplus(self, model: copies.ModelCopies) -> None:
        while len(model.current) > self._range(model).high:
            copy = model.find_droppable()
            if copy is None or self._is_change_limit_reached():
                return
            model.drop(copy)

    def _place_missing(self, wanted_by_model: Mapping[str, int]) -> None:
        """Adds copies one by one, each to the least supplied model."""
        waiting = {
            name
            for name, model in self._copies_by_model.items()
            if len(model.current) < wanted_by_model[name]
        }
        while waiting:
            name = min(waiting, key=self._placer.supply_rank)
            model = self._copies_by_model[name]
            if not self._place_one(model):
                waiting.remove(name)
            elif len(model.current) >= wanted_by_model[name]:
                waiting.remove(name)
            self._between_copies()

    def _place_one(self, model: copies.ModelCopies) -> bool:
        served = len(model.current) + len(model.old)
        is_needed = served < model.demand.model.min_copies
        if not is_needed and self._is_change_limit_reached():
            return False
        return self._placer.place(model)

    def _wanted(self, model: copies.ModelCopies) -> int:
        """Returns the wanted number of copies, given the old copies."""
        low = self._range(model).low
        surge = max(1, int(low * SURGE_FRACTION))
        return min(low, low + surge - len(model.old))

    def _range(self, model: copies.ModelCopies) -> placement_types.CopyRange:
        return self._range_by_model[model.demand.name]

    def _is_change_limit_reached(self) -> bool:
        return len(self._allocation.changed) >= self._limits.max_changes

    def _note_shortfall(self, model: copies.ModelCopies) -> None:
        demand = model.demand
        minimum = demand.model.min_copies
        if model.old and not model.current:
            self._shortfalls.append(
                placement_types.VersionWithoutRoom(
                    demand.name, demand.model.version
                )
            )
        elif not model.old and len(model.current) < minimum:
            self._shortfalls.append(
                placement_types.CopiesMissing(
                    demand.name, len(model.current), minimum
                )
            )

    def _urgent(self) -> frozenset[str]:
        """Returns targets whose loads bring a model to its minimum."""
        urgent: set[str] = set()
        for model in self._copies_by_model.values():
            old = sum(copy.reported for copy in model.old)
            if model.reported + old >= model.demand.model.min_copies:
                continue
            for copy in model.current:
                if not copy.reported:
                    urgent.update(piece.address for piece in copy.tiling)
        return frozenset(urgent)
