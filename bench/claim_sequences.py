"""Random fault sequences for claims, reproducible by seed."""

import random

from cactusmux_fakes import scripted_store

from . import claim_fleet

INSTANCES = 3
KEYS = 3
STEPS = 16
PAUSES_S = (0.0, 0.0, 0.0, 1.0, 6.0, 30.0)


def run_sequence(seed: int, batched: bool = False) -> claim_fleet.Fleet:
    """Runs one sequence of requests and faults, then ends all faults."""
    rng = random.Random(seed)
    factory = claim_fleet.BatchedFactory() if batched else None
    fleet = claim_fleet.Fleet(INSTANCES, factory or claim_fleet.direct)
    fault_rate = rng.choice((0.05, 0.2, 0.4))
    for _ in range(STEPS):
        fleet.request(_draw_step(rng, fault_rate, nesting=2))
        if rng.random() < fault_rate:
            _disturb(rng, fleet)
        if factory is not None and rng.random() < 2 * fault_rate:
            _disturb_network(rng, factory.network)
    if factory is not None:
        factory.network.lose_calls = factory.network.lose_answers = 0
    fleet.heal(KEYS)
    return fleet


def _disturb(rng: random.Random, fleet: claim_fleet.Fleet) -> None:
    rng.choice(
        (
            lambda: fleet.crash(rng.randrange(INSTANCES)),
            lambda: fleet.clock.advance(rng.choice((1.0, 10.0, 100.0))),
            fleet.deliver_late,
            fleet.retry_pending,
        )
    )()


def _disturb_network(
    rng: random.Random, network: claim_fleet.ClaimNetwork
) -> None:
    """Moves ownership, even to crashed instances, and drops calls."""
    network.owner_number = rng.randrange(len(network.owners))
    network.lose_calls = rng.choice((0, 0, 1, 3))
    network.lose_answers = rng.choice((0, 0, 1, 3))


def _draw_step(
    rng: random.Random, fault_rate: float, nesting: int
) -> claim_fleet.Step:
    nested: tuple[claim_fleet.Step, ...] = ()
    if nesting and rng.random() < 0.4:
        nested = tuple(
            _draw_step(rng, fault_rate, nesting - 1)
            for _ in range(rng.randrange(1, 3))
        )
    return claim_fleet.Step(
        rng.randrange(INSTANCES),
        rng.randrange(KEYS),
        scripts=tuple(_draw_script(rng, fault_rate) for _ in range(4)),
        send=_draw_send(rng, fault_rate),
        resume=rng.random() < 0.5,
        nested=nested,
    )


def _draw_script(
    rng: random.Random, fault_rate: float
) -> scripted_store.Script:
    return scripted_store.Script(
        before_s=rng.choice(PAUSES_S),
        after_s=rng.choice(PAUSES_S),
        dropped=rng.random() < fault_rate,
        unanswered=rng.random() < fault_rate,
        late=rng.random() < fault_rate,
    )


def _draw_send(rng: random.Random, fault_rate: float) -> claim_fleet.Send:
    return claim_fleet.Send(
        pause_s=rng.choice(PAUSES_S),
        not_sent=rng.random() < fault_rate,
        refused=rng.random() < fault_rate,
        lost_before=rng.random() < fault_rate / 2,
        lost_after=rng.random() < fault_rate / 2,
        late=rng.random() < fault_rate / 2,
        crash_before=rng.random() < fault_rate / 4,
        crash_after=rng.random() < fault_rate / 4,
    )
