"""Capacity of the known targets for each model, in tokens per second."""

from collections.abc import Iterable

from . import target_table


def model_capacity_tps(
    known: Iterable[target_table.Target],
    model: str,
    version: str,
    layers: int,
) -> float:
    """Returns the capacity of the model's most constrained layer.

    The capacity of a target with several holdings is split equally between
    them. Links are not considered, so that this is an upper bound.
    """
    capacity_by_layer = [0.0] * layers
    for target in known:
        if not target.holdings:
            continue
        part_tps = target.capacity_tps / len(target.holdings)
        for holding in target.holdings:
            if holding.model != model or holding.version != version:
                continue
            for layer in range(holding.first, min(holding.last, layers)):
                capacity_by_layer[layer] += part_tps
    return min(capacity_by_layer, default=0.0)
