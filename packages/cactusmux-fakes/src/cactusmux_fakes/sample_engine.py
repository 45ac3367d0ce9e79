"""A realistic engine service: 80 layers over three types of cards."""

from cactusmux_relay import desired_state
from cactusmux_relay import targets

SERVICE = 'drafts'

CARDS = {
    'a100': desired_state.Card('a100', 72000.0, 2.4, 3.2),
    'v100': desired_state.Card('v100', 14400.0, 5.3, 7.9),
    'l4': desired_state.Card('l4', 21600.0, 16.0, 8.2),
}

ENGINE = desired_state.Engine(
    slots=96,
    layers=80,
    layer_mb=1750.0,
    token_mb=1.18,
    step_ms=1.02,
    per_sequence_ms=0.00918,
    per_context_k_ms=0.0123,
    read_tokens_per_s=164000.0,
    usual_prompt=774.0,
    usual_answer=210.0,
    load_s=14.0,
    pipe_tokens_per_s=40254.0,
    event_tokens=4,
    loads_at_once=6,
    card_by_name=CARDS,
)

# Number of cards by zone, in the order a100, v100, l4.
CARDS_BY_ZONE = {'a': (1, 6, 6), 'b': (1, 10, 4), 'c': (2, 4, 4)}


def pool() -> list[targets.Target]:
    """Returns 38 targets in three zones that hold no layers."""
    found: list[targets.Target] = []
    for zone, counts in CARDS_BY_ZONE.items():
        for card, count in zip(CARDS, counts, strict=True):
            for _ in range(count):
                number = len(found) + 1
                found.append(target(f't{number:02}', card, zone))
    return found


def target(
    target_id: str,
    card: str = 'v100',
    zone: str = 'a',
    layers: targets.LayerRange = targets.NO_LAYERS,
    address: str = '',
) -> targets.Target:
    """Returns a target of the sample service."""
    return targets.Target(
        id=target_id,
        service=SERVICE,
        address=address or f'127.0.0.1:{10000 + sum(target_id.encode())}',
        zone=zone,
        slots=96,
        is_leaving=False,
        born_ms=1,
        card=card,
        layers=layers,
    )
