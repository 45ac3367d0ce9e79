"""Number of model copies that each service is entitled to.

Shares divide the pool's memory. A floor raises a service's part at the
expense of the others, and no other document can lower it.
"""

from collections.abc import Mapping, Sequence

from . import documents
from . import placement_types


def divide_floors(
    service_documents: Sequence[documents.ServiceDocument],
) -> dict[str, float]:
    """Returns the guaranteed fraction of the pool by service.

    If the floors add up to more than the pool, the highest are reduced
    first, so that a high floor never reduces a low one.
    """
    floor_by_service: dict[str, float] = {}
    left = 1.0
    ordered = sorted(
        service_documents, key=lambda d: (d.pool.floor, d.service)
    )
    for index, document in enumerate(ordered):
        equal_part = left / (len(ordered) - index)
        floor = min(document.pool.floor, equal_part)
        floor_by_service[document.service] = floor
        left -= floor
    return floor_by_service


def divide_pool(
    service_documents: Sequence[documents.ServiceDocument],
) -> dict[str, float]:
    """Returns each service's fraction of the pool, by share and floor."""
    floor_by_service = divide_floors(service_documents)
    at_floor: set[str] = set()
    while True:
        fraction_by_service = _divide(
            service_documents, floor_by_service, at_floor
        )
        below = {
            service
            for service, fraction in fraction_by_service.items()
            if service not in at_floor and fraction < floor_by_service[service]
        }
        if not below:
            return fraction_by_service
        at_floor |= below


def _divide(
    service_documents: Sequence[documents.ServiceDocument],
    floor_by_service: Mapping[str, float],
    at_floor: set[str],
) -> dict[str, float]:
    left = 1.0 - sum(floor_by_service[service] for service in at_floor)
    total = sum(
        document.pool.share
        for document in service_documents
        if document.service not in at_floor
    )
    return {
        document.service: (
            floor_by_service[document.service]
            if document.service in at_floor
            else left * document.pool.share / total
        )
        for document in service_documents
    }


def copy_ranges(
    service_documents: Sequence[documents.ServiceDocument],
    demands: Sequence[placement_types.ModelDemand],
    memory_mb: float,
    limits: placement_types.Limits,
) -> dict[str, placement_types.CopyRange]:
    """Returns the permitted range of copies by model.

    :param memory_mb: memory for weights of the whole pool.
    """
    low_mb = memory_mb * (1.0 - limits.headroom - limits.hysteresis)
    high_mb = memory_mb * (1.0 - limits.headroom + limits.hysteresis)
    low_by_model = _copies(service_documents, demands, low_mb)
    high_by_model = _copies(service_documents, demands, high_mb)
    floor_by_service = divide_floors(service_documents)
    range_by_model = {}
    for demand in demands:
        part = floor_by_service[demand.service] / _models_of(demand, demands)
        floor = max(
            demand.model.min_copies, int(part * low_mb / demand.copy_mb)
        )
        low = low_by_model[demand.name]
        range_by_model[demand.name] = placement_types.CopyRange(
            low=low,
            high=max(low, high_by_model[demand.name]),
            floor=min(floor, low),
        )
    return range_by_model


def _copies(
    service_documents: Sequence[documents.ServiceDocument],
    demands: Sequence[placement_types.ModelDemand],
    memory_mb: float,
) -> dict[str, int]:
    fraction_by_service = divide_pool(service_documents)
    budget_by_model = {
        demand.name: fraction_by_service[demand.service]
        * memory_mb
        / _models_of(demand, demands)
        for demand in demands
    }
    copies_by_model = {
        demand.name: max(
            demand.model.min_copies,
            int(budget_by_model[demand.name] / demand.copy_mb),
        )
        for demand in demands
    }
    unused_by_service = {
        document.service: fraction_by_service[document.service] * memory_mb
        for document in service_documents
    }
    for demand in demands:
        used_mb = copies_by_model[demand.name] * demand.copy_mb
        unused_by_service[demand.service] -= used_mb
    lenders = {d.service for d in service_documents if d.pool.lend}
    _distribute_unused(
        demands, copies_by_model, budget_by_model, unused_by_service, lenders
    )
    return copies_by_model


def _distribute_unused(
    demands: Sequence[placement_types.ModelDemand],
    copies_by_model: dict[str, int],
    budget_by_model: Mapping[str, float],
    unused_by_service: dict[str, float],
    lenders: set[str],
) -> None:
    """Adds copies from unused memory, least supplied model first."""

    def supply_level(demand: placement_types.ModelDemand) -> tuple[float, str]:
        used_mb = copies_by_model[demand.name] * demand.copy_mb
        return used_mb / budget_by_model[demand.name], demand.name

    # In an empty pool all budgets are 0 and can't be compared.
    waiting = [one for one in demands if budget_by_model[one.name] > 0]
    while waiting:
        demand = min(waiting, key=supply_level)
        usable = lenders | {demand.service}
        available = sum(unused_by_service[service] for service in usable)
        if available < demand.copy_mb:
            waiting.remove(demand)
            continue
        copies_by_model[demand.name] += 1
        _deduct_copy(demand, usable, unused_by_service)


def _deduct_copy(
    demand: placement_types.ModelDemand,
    usable: set[str],
    unused_by_service: dict[str, float],
) -> None:
    """Deducts a copy's memory, from the model's own service first."""
    left = float(demand.copy_mb)
    for service in sorted(usable, key=lambda s: (s != demand.service, s)):
        taken = max(0.0, min(left, unused_by_service[service]))
        unused_by_service[service] -= taken
        left -= taken


def _models_of(
    demand: placement_types.ModelDemand,
    demands: Sequence[placement_types.ModelDemand],
) -> int:
    return sum(other.service == demand.service for other in demands)
