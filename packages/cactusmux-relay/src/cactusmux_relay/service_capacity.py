"""KV cache capacity of a service, in tokens."""

from collections.abc import Iterable

from . import cost_model
from . import desired_state
from . import path_choice
from . import targets


def capacity_tokens(
    engine: desired_state.Engine, usable: Iterable[targets.Target]
) -> float:
    """Returns the KV cache capacity of the layers that have the least of it.

    A stream needs KV cache for each of its tokens in every layer, so the
    layers with the smallest capacity limit the service. 0 if no usable
    target holds one of the layers.
    """
    change_by_layer = [0.0] * (engine.layers + 1)
    for each in usable:
        if each.card not in engine.card_by_name or each.layers.size <= 0:
            continue
        card = engine.card_by_name[each.card]
        tokens = cost_model.kv_cache_tokens(engine, card, each.layers.size)
        change_by_layer[each.layers.first] += max(0.0, tokens)
        change_by_layer[each.layers.end] -= max(0.0, tokens)
    least = total = change_by_layer[0]
    for change in change_by_layer[1:-1]:
        total += change
        least = min(least, total)
    return max(0.0, least) * path_choice.MAX_CACHE_FILL
