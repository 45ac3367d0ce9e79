"""Estimates the request rate of a set of GPU cards that form one chain.

The layers are divided so that all cards have about the same KV cache capacity
("room"), because the smallest one limits the whole path. If the cards could
hold more layers than the model has, the slowest cards get fewer.
"""

from collections.abc import Mapping
import functools
from typing import NamedTuple

from . import cost_model
from . import desired_state
from . import segments

# Mean utilization of the KV cache that a chain is rated at.
RATED_CACHE_FILL = 0.7
# Longest time per token; an event consists of four tokens.
MAX_TOKEN_MS = 40.0
# Share of a stage's time that prefill may take.
MAX_PREFILL_SHARE = 0.5
# A token into another zone waits behind the prompts on the same link.
CROSSING_DELAY_MS = 5.0
# Further loss of rate by each crossing into another zone.
CROSSING_RATE_FACTOR = 0.8
# Share of a link between zones that the requests of one chain may use.
MAX_LINK_SHARE = 0.5
CAPACITY_SEARCH_STEPS = 18
# Capacity for 4 usual requests, so that one of twice the size always fits.
MIN_CAPACITY_REQUESTS = 4.0


class CardGroup(NamedTuple):
    """A card model and the zone of its cards, which are interchangeable."""

    card: str
    zone: str


class Rating(NamedTuple):
    """Estimated performance of a chain.

    :ivar rate: requests per second, 0 if the layers don't fit.
    :ivar room: smallest KV cache capacity of its cards, in tokens.
    """

    rate: float
    room: float


NO_RATING = Rating(0.0, 0.0)

# Number of cards of each group, in the order of the groups.
Composition = tuple[int, ...]


class ChainRater:
    """Rates compositions of cards, with a cache."""

    def __init__(
        self, engine: desired_state.Engine, groups: tuple[CardGroup, ...]
    ) -> None:
        self._engine = engine
        self._groups = groups
        self._cards = tuple(engine.card_by_name[each.card] for each in groups)
        self.rate = functools.lru_cache(maxsize=20000)(self._request_rate)

    def _request_rate(self, composition: Composition) -> Rating:
        room = self.room(composition)
        if room <= 0:
            return NO_RATING
        layers = self.layers_by_group(composition, room)
        card_sets = [
            _CardSet(self._cards[index], float(count), layers[index])
            for index, count in enumerate(composition)
            if count
        ]
        crossings = self.zone_count(composition) - 1
        rate = _request_rate(self._engine, card_sets, room, crossings)
        return Rating(rate, room)

    def room(self, composition: Composition) -> float:
        """Returns the largest capacity at which all layers fit.

        It is in tokens, 0 if the layers don't fit beside
        :data:`MIN_CAPACITY_REQUESTS` usual requests.
        """
        engine = self._engine
        usual = engine.usual_prompt + engine.usual_answer
        low = usual * MIN_CAPACITY_REQUESTS
        if not self._fits(composition, low):
            return 0.0
        high = low
        while self._fits(composition, high * 2) and high < 1e7:
            high *= 2
        high *= 2
        for _ in range(CAPACITY_SEARCH_STEPS):
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
        """Returns the mean number of layers per card of each group.

        Layers beyond those of the model are taken off the slowest cards.
        """
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
        """Returns the number of zones with cards of a composition."""
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
    """Returns how many usual requests a path serves per second.

    :param pace_by_target: slowdown factors of slow targets; 2 is twice as
        slow.
    """
    card_sets = []
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
        card_sets.append(_CardSet(slowed, 1.0, float(size)))
        if stage.target.zone != zone:
            crossings += 1
            zone = stage.target.zone
    if not card_sets or room <= 0:
        return 0.0
    return _request_rate(engine, card_sets, room, crossings)


class _CardSet(NamedTuple):
    """A number of equal cards with the same number of layers each."""

    card: desired_state.Card
    cards: float
    layers: float


def _request_rate(
    engine: desired_state.Engine,
    card_sets: list[_CardSet],
    room: float,
    crossings: int,
) -> float:
    """Returns requests per second at the KV cache use that is assumed."""
    usual = engine.usual_prompt + engine.usual_answer
    decoding = RATED_CACHE_FILL * room / usual
    token_ms = _token_ms(engine, card_sets, decoding, crossings)
    if token_ms > MAX_TOKEN_MS:
        idle_ms = _token_ms(engine, card_sets, 1.0, crossings)
        if idle_ms >= MAX_TOKEN_MS:
            return 0.0
        share = (MAX_TOKEN_MS - idle_ms) / (token_ms - idle_ms)
        decoding = max(1.0, decoding * share)
        token_ms = MAX_TOKEN_MS
    prefill_ms, longest_stage_ms = _prefill_ms(engine, card_sets)
    duration_ms = token_ms * engine.usual_answer + prefill_ms
    rate = decoding / duration_ms * cost_model.MS_PER_S
    most = MAX_PREFILL_SHARE * cost_model.MS_PER_S / longest_stage_ms
    if crossings:
        # All tokens of a request pass through each link that it crosses.
        most = min(most, MAX_LINK_SHARE * engine.pipe_tokens_per_s / usual)
    return min(rate, most) * CROSSING_RATE_FACTOR**crossings


def _token_ms(
    engine: desired_state.Engine,
    card_sets: list[_CardSet],
    decoding: float,
    crossings: int,
) -> float:
    context = engine.usual_prompt + engine.usual_answer / 2
    whole_ms = (
        engine.step_ms
        + engine.per_sequence_ms * decoding
        + engine.per_context_k_ms * decoding * context / 1000.0
    )
    total = CROSSING_DELAY_MS * crossings
    for card_set in card_sets:
        share = card_set.cards * card_set.layers / engine.layers
        total += whole_ms * card_set.card.step_pace * share
        total += segments.HOP_MS * card_set.cards
    return total


def _prefill_ms(
    engine: desired_state.Engine, card_sets: list[_CardSet]
) -> tuple[float, float]:
    """Returns the prefill time of a usual prompt: total and longest stage."""
    total = 0.0
    longest = 0.0
    for card_set in card_sets:
        stage_ms = (
            engine.usual_prompt
            / engine.read_tokens_per_s
            * cost_model.MS_PER_S
            * card_set.card.read_pace
            * card_set.layers
            / engine.layers
        )
        total += stage_ms * card_set.cards
        longest = max(longest, stage_ms)
    return total, longest
