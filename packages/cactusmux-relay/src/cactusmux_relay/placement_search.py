"""Searches for a placement: chains of targets, and the layers of each target.

Each chain holds one copy of the model, divided among its targets. The search
assumes a steady load of usual requests on mixed GPU cards, any of which may
fail. Chains are rated by their request rate, and a local search moves cards
between chains. The worst loss of a single chain counts against a placement.
A few cards stay without layers as spares that replace failed ones.
"""

from collections.abc import Callable, Iterable
import random
from typing import NamedTuple

from . import chains
from . import cost_model
from . import desired_state
from . import segments
from . import targets

# A larger pool is split into cells of about 42 cards.
CARDS_PER_CELL = 42
ZONES_PER_CELL = 3
# Largest number of chains in a cell.
MAX_CHAINS = 6
RESTARTS = 3
# Share of the best chain's rate that is subtracted for its possible loss.
CHAIN_LOSS_WEIGHT = 0.5
# Requests per second that each further card must add, as it may fail.
STAGE_COST = 0.15
SPARE_SHARE = 0.1
SEARCH_ROUNDS = 60


class PlacedStage(NamedTuple):
    """A stage of a chain: the id of a target and its layers."""

    target_id: str
    layers: targets.LayerRange


Chain = tuple[PlacedStage, ...]


class Placement(NamedTuple):
    """The chains of a model; each runs all layers in order.

    :ivar spares: ids of targets without layers, which replace failed ones.
    """

    chains: tuple[Chain, ...]
    spares: tuple[str, ...]

    def layers_by_target(self) -> dict[str, targets.LayerRange]:
        """Returns the layers of each target in a chain, by target id."""
        return {
            placed.target_id: placed.layers
            for chain in self.chains
            for placed in chain
        }


EMPTY = Placement((), ())


def place(
    engine: desired_state.Engine,
    members: Iterable[targets.Target],
    rng: random.Random,
    pause: Callable[[], None] = lambda: None,
) -> Placement:
    """Returns a placement of a model on the members.

    :param pause: called often during the search; lets other tasks run.
    """
    known = [each for each in members if each.card in engine.card_by_name]
    cells = split_into_cells(known)
    search = _Search(engine, rng, pause)
    placed: list[Chain] = []
    for cell in cells:
        placed.extend(search.place(cell, len(cells) == 1))
    used = {each.target_id for chain in placed for each in chain}
    spares = sorted(each.id for each in known if each.id not in used)
    return Placement(tuple(placed), tuple(spares))


def split_into_cells(
    members: list[targets.Target],
) -> list[list[targets.Target]]:
    """Splits a large pool into equal cells, for which one search is enough.

    Targets that can't be divided evenly are in no cell and become spares.
    """
    zones = sorted({each.zone for each in members})
    cells: list[list[targets.Target]] = []
    for start in range(0, len(zones), ZONES_PER_CELL):
        near = zones[start : start + ZONES_PER_CELL]
        of_zones = [each for each in members if each.zone in near]
        cells.extend(_equal_cells(of_zones))
    return cells


def _equal_cells(
    members: list[targets.Target],
) -> list[list[targets.Target]]:
    count = max(1, round(len(members) / CARDS_PER_CELL))
    if count == 1:
        return [members]
    cells: list[list[targets.Target]] = [[] for _ in range(count)]
    for group in _by_group(members).values():
        share = len(group) // count
        for index, cell in enumerate(cells):
            cell.extend(group[index * share : (index + 1) * share])
    return cells


def _by_group(
    members: list[targets.Target],
) -> dict[chains.CardGroup, list[targets.Target]]:
    targets_by_group: dict[chains.CardGroup, list[targets.Target]] = {}
    for target in sorted(members, key=lambda each: each.id):
        group = chains.CardGroup(target.card, target.zone)
        targets_by_group.setdefault(group, []).append(target)
    return targets_by_group


class _Search:
    """Searches the chains of cells; results of equal cells are reused."""

    def __init__(
        self,
        engine: desired_state.Engine,
        rng: random.Random,
        pause: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._rng = rng
        self._pause = pause
        self._found: dict[object, list[chains.Composition]] = {}

    def place(
        self, cell: list[targets.Target], keeps_spares: bool
    ) -> list[Chain]:
        """Returns the chains of a cell.

        :param keeps_spares: whether to reserve spares first.
        """
        targets_by_group = _by_group(cell)
        groups = tuple(sorted(targets_by_group))
        if not groups:
            return []
        rater = chains.ChainRater(self._engine, groups)
        counts = [len(targets_by_group[group]) for group in groups]
        if keeps_spares:
            reserve_spares(self._engine, groups, counts)
        key = (groups, tuple(counts))
        if key not in self._found:
            self._found[key] = self._search_compositions(rater, groups, counts)
        return _assign(
            self._engine, rater, groups, targets_by_group, self._found[key]
        )

    def _search_compositions(
        self,
        rater: chains.ChainRater,
        groups: tuple[chains.CardGroup, ...],
        counts: list[int],
    ) -> list[chains.Composition]:
        best: list[chains.Composition] = []
        best_value = 0.0
        for chain_count in range(1, MAX_CHAINS + 1):
            starts = [_start_with_zones(groups, counts, chain_count)]
            for _ in range(RESTARTS):
                starts.append(_random_start(counts, chain_count, self._rng))
            for start in starts:
                found = _hill_climb(rater, start, self._pause)
                value = _value(rater, found)
                if value > best_value * 1.001:
                    best, best_value = found, value
        return best


def reserve_spares(
    engine: desired_state.Engine,
    groups: tuple[chains.CardGroup, ...],
    counts: list[int],
) -> None:
    """Removes the cards with the least memory, evenly across the zones."""
    taken_by_zone = {group.zone: 0 for group in groups}
    for _ in range(int(sum(counts) * SPARE_SHARE)):
        index = min(
            (each for each in range(len(groups)) if counts[each]),
            key=lambda each: (
                taken_by_zone[groups[each].zone],
                engine.card_by_name[groups[each].card].memory_mb,
                -counts[each],
            ),
        )
        counts[index] -= 1
        taken_by_zone[groups[index].zone] += 1


def _value(
    rater: chains.ChainRater, compositions: list[chains.Composition]
) -> float:
    rates = [rater.rate(each).rate for each in compositions]
    stages = sum(sum(each) for each in compositions)
    lost = CHAIN_LOSS_WEIGHT * max(rates, default=0.0) + STAGE_COST * stages
    return sum(rates) - lost


def _start_with_zones(
    groups: tuple[chains.CardGroup, ...], counts: list[int], chain_count: int
) -> list[chains.Composition]:
    """Assigns zones to chains, in turn if there are fewer chains."""
    zones = sorted({group.zone for group in groups})
    pools = [[0] * len(counts) for _ in range(chain_count)]
    for index, group in enumerate(groups):
        pool = pools[zones.index(group.zone) % chain_count]
        pool[index] = counts[index]
    return [tuple(pool) for pool in pools]


def _random_start(
    counts: list[int], chain_count: int, rng: random.Random
) -> list[chains.Composition]:
    pools = [[0] * len(counts) for _ in range(chain_count)]
    for index, count in enumerate(counts):
        for _ in range(count):
            pools[rng.randrange(chain_count)][index] += 1
    return [tuple(pool) for pool in pools]


def _hill_climb(
    rater: chains.ChainRater,
    start: list[chains.Composition],
    pause: Callable[[], None],
) -> list[chains.Composition]:
    """Hill climbing: moves cards between chains while the value rises."""
    current = start
    value = _value(rater, current)
    for _ in range(SEARCH_ROUNDS):
        pause()
        step = _best_step(rater, current, value)
        if step is None:
            return current
        current, value = step
    return current


def _best_step(
    rater: chains.ChainRater,
    current: list[chains.Composition],
    value: float,
) -> tuple[list[chains.Composition], float] | None:
    """Returns the best neighbour and its value, ``None`` if none is better."""
    best: tuple[list[chains.Composition], float] | None = None
    best_value = value * 1.0005 + 1e-9
    for changed in _neighbours(current):
        changed_value = _value(rater, changed)
        if changed_value > best_value:
            best_value = changed_value
            best = (changed, changed_value)
    return best


def _neighbours(
    current: list[chains.Composition],
) -> Iterable[list[chains.Composition]]:
    groups = range(len(current[0]))
    for source in range(len(current)):
        for destination in range(len(current)):
            if source == destination:
                continue
            for index in groups:
                if not current[source][index]:
                    continue
                moved = _move(current, source, destination, index, 1)
                yield moved
                if source > destination:
                    continue
                for other in groups:
                    if other != index and current[destination][other]:
                        yield _move(moved, destination, source, other, 1)
                if current[source][index] > 1:
                    yield _move(current, source, destination, index, 2)


def _move(
    current: list[chains.Composition],
    source: int,
    destination: int,
    index: int,
    count: int,
) -> list[chains.Composition]:
    changed = list(current)
    reduced = list(changed[source])
    reduced[index] -= count
    changed[source] = tuple(reduced)
    extended = list(changed[destination])
    extended[index] += count
    changed[destination] = tuple(extended)
    return changed


def _assign(
    engine: desired_state.Engine,
    rater: chains.ChainRater,
    groups: tuple[chains.CardGroup, ...],
    targets_by_group: dict[chains.CardGroup, list[targets.Target]],
    compositions: list[chains.Composition],
) -> list[Chain]:
    """Assigns targets and layers to the chains."""
    free = {group: list(each) for group, each in targets_by_group.items()}
    placed: list[Chain] = []
    for composition in compositions:
        room = rater.room(composition)
        if room <= 0:
            continue
        members: list[targets.Target] = []
        for count, group in zip(composition, groups, strict=True):
            members.extend(free[group][:count])
            del free[group][:count]
        if len(members) > segments.MAX_STAGES:
            members = _with_most_memory(engine, members, room)
        placed.append(assign_layers(engine, members, room))
    return placed


def best_subset(
    rater: chains.ChainRater, composition: chains.Composition
) -> chains.Composition:
    """Removes cards one by one while the value of the chain rises."""
    best = composition
    best_value = _value(rater, [best])
    while True:
        smaller = [
            best[:index] + (count - 1,) + best[index + 1 :]
            for index, count in enumerate(best)
            if count
        ]
        values = [_value(rater, [each]) for each in smaller]
        if not values or max(values) <= best_value:
            return best
        best_value = max(values)
        best = smaller[values.index(best_value)]


def _with_most_memory(
    engine: desired_state.Engine, members: list[targets.Target], room: float
) -> list[targets.Target]:
    """Returns the members that hold most layers, at most a whole path."""

    def most(target: targets.Target) -> int:
        card = engine.card_by_name[target.card]
        return cost_model.max_layers(engine, card, room)

    return sorted(members, key=most)[-segments.MAX_STAGES :]


def assign_layers(
    engine: desired_state.Engine, members: list[targets.Target], room: float
) -> Chain:
    """Divides all layers so that the members have about equal KV caches.

    :param room: tokens that fit beside the layers of each member.
    """
    ordered = sorted(members, key=lambda each: (each.zone, each.card, each.id))
    counts = []
    for member in ordered:
        card = engine.card_by_name[member.card]
        counts.append(cost_model.max_layers(engine, card, room))
    _remove_surplus(engine, ordered, counts)
    chain = []
    first = 0
    for member, count in zip(ordered, counts, strict=True):
        if count <= 0:
            continue
        layers = targets.LayerRange(first, first + count)
        chain.append(PlacedStage(member.id, layers))
        first += count
    return tuple(chain)


def _remove_surplus(
    engine: desired_state.Engine,
    members: list[targets.Target],
    counts: list[int],
) -> None:
    """Removes surplus layers from the slowest cards, the fullest first."""
    surplus = sum(counts) - engine.layers
    while surplus > 0:
        index = max(
            range(len(counts)),
            key=lambda each: (
                engine.card_by_name[members[each].card].step_pace
                if counts[each] > 1
                else 0.0,
                counts[each],
            ),
        )
        counts[index] -= 1
        surplus -= 1
