"""How many requests a second a set of cards serves as one copy of a model.

The cards of a chain share the layers so that each has about the same room
for requests: the least room on a path is the path's room. Layers beyond
those needed are left off the slowest cards.
"""

from collections.abc import Mapping
import functools
from typing import NamedTuple

from . import cost_model
from . import desired_state
from . import segments

# Mean share of a card's room in use at the rate that a chain is rated for.
FILL = 0.7
# Longest time of a token: four of them make an event.
MAX_TOKEN_MS = 40.0
# Time of a stage that reading prompts may take.
MAX_READING_SHARE = 0.5
# Into another zone a token waits behind the prompts in the same pipe.
CROSSING_MS = 5.0
# What a chain loses besides by each crossing.
CROSSING_FACTOR = 0.8
# Share of a pipe between zones that one chain's requests may fill.
PIPE_SHARE = 0.5
ROOM_SEARCH_STEPS = 18
# A request of twice the usual size always fits.
LEAST_ROOM_REQUESTS = 4.0


class Group(NamedTuple):
    """Cards of one kind in one zone."""

    card: str
    zone: str


class Rating(NamedTuple):
    """What a chain serves.

    :ivar rate: requests a second, 0 where the layers don't fit.
    :ivar room: tokens that fit on the card with the least room.
    """

    rate: float
    room: float


NO_RATING = Rating(0.0, 0.0)

# Number of cards by group, in the order of the groups.
Composition = tuple[int, ...]


class ChainRater:
    """Rates compositions of cards; equal ones are computed once."""

    def __init__(
        self, engine: desired_state.Engine, groups: tuple[Group, ...]
    ) -> None:
        self._engine = engine
        self._groups = groups
        self._cards = tuple(engine.card_by_name[each.card] for each in groups)
        self.rate = functools.lru_cache(maxsize=20000)(self._rate)

    def _rate(self, composition: Composition) -> Rating:
        room = self.room(composition)
        if room <= 0:
            return NO_RATING
        layers = self.layers_by_group(composition, room)
        parts = [
            _Part(self._cards[index], float(count), layers[index])
            for index, count in enumerate(composition)
            if count
        ]
        crossings = self.zone_count(composition) - 1
        rate = _rate(self._engine, parts, room, crossings)
        return Rating(rate, room)

    def room(self, composition: Composition) -> float:
        """Returns the largest room at which all layers fit, 0 for none."""
        engine = self._engine
        usual = engine.usual_prompt + engine.usual_answer
        low = usual * LEAST_ROOM_REQUESTS
        if not self._fits(composition, low):
            return 0.0
        high = low
        while self._fits(composition, high * 2) and high < 1e7:
            high *= 2
        high *= 2
        for _ in range(ROOM_SEARCH_STEPS):
            middle = (low + high) / 2
            if self._fits(composition, middle):
                low = middle
            else:
                high = middle
        return low

    def _fits(self, composition: Composition, room: float) -> bool:
        total = 0
        for count, card in zip(composition, self._cards, strict=True):
            if count:
                most = cost_model.max_layers(self._engine, card, room)
                total += count * most
        return total >= self._engine.layers

    def layers_by_group(
        self, composition: Composition, room: float
    ) -> list[float]:
        """Returns the mean layers a card, without those beyond need."""
        layers = [
            float(cost_model.max_layers(self._engine, card, room))
            for card in self._cards
        ]
        total = sum(
            count * each
            for count, each in zip(composition, layers, strict=True)
        )
        surplus = total - self._engine.layers
        slowest_first = sorted(
            range(len(self._cards)),
            key=lambda index: -self._cards[index].step_pace,
        )
        for index in slowest_first:
            count = composition[index]
            if not count or surplus <= 0:
                continue
            taken = min(surplus, count * (layers[index] - 1.0))
            layers[index] -= taken / count
            surplus -= taken
        return layers

    def zone_count(self, composition: Composition) -> int:
        """Returns how many zones a composition has cards in."""
        zones = set()
        for count, group in zip(composition, self._groups, strict=True):
            if count:
                zones.add(group.zone)
        return len(zones)


def path_rate(
    engine: desired_state.Engine,
    path: cost_model.Path,
    pace_by_target: Mapping[str, float],
) -> float:
    """Returns how many usual requests a second a path serves.

    :param pace_by_target: of slow targets, 2 is twice as slow.
    """
    parts = []
    room = float('inf')
    crossings = 0
    zone = path[0].target.zone if path else ''
    for stage in path:
        card = engine.card_by_name[stage.target.card]
        size = stage.layers.size
        room = min(room, cost_model.kv_cache_tokens(engine, card, size))
        pace = pace_by_target.get(stage.target.id, 1.0)
        slowed = card._replace(
            step_pace=card.step_pace * pace, read_pace=card.read_pace * pace
        )
        parts.append(_Part(slowed, 1.0, float(size)))
        if stage.target.zone != zone:
            crossings += 1
            zone = stage.target.zone
    if not parts or room <= 0:
        return 0.0
    return _rate(engine, parts, room, crossings)


class _Part(NamedTuple):
    """``cards`` equal cards with ``layers`` layers each."""

    card: desired_state.Card
    cards: float
    layers: float


def _rate(
    engine: desired_state.Engine,
    parts: list[_Part],
    room: float,
    crossings: int,
) -> float:
    """Returns requests a second at the filling that a chain is rated for."""
    usual = engine.usual_prompt + engine.usual_answer
    writing = FILL * room / usual
    token_ms = _token_ms(engine, parts, writing, crossings)
    if token_ms > MAX_TOKEN_MS:
        idle_ms = _token_ms(engine, parts, 1.0, crossings)
        if idle_ms >= MAX_TOKEN_MS:
            return 0.0
        share = (MAX_TOKEN_MS - idle_ms) / (token_ms - idle_ms)
        writing = max(1.0, writing * share)
        token_ms = MAX_TOKEN_MS
    reading_ms, longest_ms = _reading_ms(engine, parts)
    duration_ms = token_ms * engine.usual_answer + reading_ms
    rate = writing / duration_ms * cost_model.MS_PER_S
    most = MAX_READING_SHARE * cost_model.MS_PER_S / longest_ms
    if crossings:
        # All tokens of a request go through each pipe on its way.
        most = min(most, PIPE_SHARE * engine.pipe_tokens_per_s / usual)
    return min(rate, most) * CROSSING_FACTOR**crossings


def _token_ms(
    engine: desired_state.Engine,
    parts: list[_Part],
    writing: float,
    crossings: int,
) -> float:
    context = engine.usual_prompt + engine.usual_answer / 2
    whole_ms = (
        engine.step_ms
        + engine.per_sequence_ms * writing
        + engine.per_context_k_ms * writing * context / 1000.0
    )
    total = CROSSING_MS * crossings
    for part in parts:
        share = part.cards * part.layers / engine.layers
        total += whole_ms * part.card.step_pace * share
        total += segments.HOP_MS * part.cards
    return total


def _reading_ms(
    engine: desired_state.Engine, parts: list[_Part]
) -> tuple[float, float]:
    """Returns the time of reading a prompt: all stages, longest one."""
    total = 0.0
    longest = 0.0
    for part in parts:
        stage_ms = (
            engine.usual_prompt
            / engine.read_tokens_per_s
            * cost_model.MS_PER_S
            * part.card.read_pace
            * part.layers
            / engine.layers
        )
        total += stage_ms * part.cards
        longest = max(longest, stage_ms)
    return total, longest
