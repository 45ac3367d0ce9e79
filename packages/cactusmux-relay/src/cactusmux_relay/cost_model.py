"""Estimates times and KV cache capacity of stages from the engine's costs."""

from collections.abc import Iterable
from typing import NamedTuple

from . import desired_state
from . import targets

MS_PER_S = 1000.0


class Stage(NamedTuple):
    """A pipeline stage: a target and the layers that it runs."""

    target: targets.Target
    layers: targets.LayerRange


Path = tuple[Stage, ...]


def kv_cache_tokens(
    engine: desired_state.Engine, card: desired_state.Card, layer_count: int
) -> float:
    """Returns the KV cache capacity of a card that holds some layers.

    It is in tokens, negative if the layers themselves don't fit.
    """
    free_mb = card.memory_mb - layer_count * engine.layer_mb
    if layer_count <= 0:
        return 0.0 if free_mb >= 0 else -1.0
    return free_mb * engine.layers / (layer_count * engine.token_mb)


def max_layers(
    engine: desired_state.Engine, card: desired_state.Card, tokens: float
) -> int:
    """Returns how many layers fit on a card beside ``tokens`` tokens."""
    token_layer_mb = engine.token_mb / engine.layers
    layer_mb = engine.layer_mb + tokens * token_layer_mb
    return min(engine.layers, int(card.memory_mb / layer_mb))


def decode_step_ms(
    engine: desired_state.Engine,
    card: desired_state.Card,
    layer_count: int,
    batch_size: float,
    context_tokens: float,
) -> float:
    """Returns the time of one decode step of a stage, in milliseconds.

    :param batch_size: number of requests in the batch.
    :param context_tokens: total length of their contexts.
    """
    whole = (
        engine.step_ms
        + engine.per_sequence_ms * batch_size
        + engine.per_context_k_ms * context_tokens / 1000.0
    )
    return whole * card.step_pace * layer_count / engine.layers


def prefill_ms(
    engine: desired_state.Engine,
    card: desired_state.Card,
    layer_count: int,
    prompt_tokens: float,
) -> float:
    """Returns the prefill time of a prompt in a stage, in milliseconds."""
    whole = prompt_tokens / engine.read_tokens_per_s * MS_PER_S
    return whole * card.read_pace * layer_count / engine.layers


def path_decode_step_ms(
    engine: desired_state.Engine, path: Iterable[Stage]
) -> float:
    """Returns the time of a decode step through an idle path, in ms."""
    total = 0.0
    for stage in path:
        card = engine.card_by_name[stage.target.card]
        total += decode_step_ms(engine, card, stage.layers.size, 1.0, 0.0)
    return total
