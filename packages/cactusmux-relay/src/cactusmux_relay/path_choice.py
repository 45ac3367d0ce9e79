"""Chooses the path of a request by what is known of each stage's load.

It answers a load near what the pool can carry. A stage costs the time that a
request takes there and that it takes from the requests beside it, a pipe
between zones likewise. A path without room for the request, or on which its
events would come too slowly, isn't chosen at all: one request more there
would make all of them late.
"""

from collections.abc import Callable, Iterable, Mapping
import math
from typing import NamedTuple

from . import cost_model
from . import desired_state
from . import segments

# A stage at full memory costs e^3 = 20 times as much as its time alone.
MEMORY_GROWTH = 3.0
# Reports and estimates lag: this share of memory is left free.
MAX_CACHE_FILL = 0.92
# A token waits for the pass in progress at each stage.
WAITING_FACTOR = 1.2
# A crossing on an idle pipe, and behind a prompt's part in a busy one.
CROSSING_MS = 1.5
CROSSING_WAIT_MS = 48.0
# Share of a pipe in use up to which paths cross it.
PIPE_LIMIT = 0.15
# The same for a request that would be refused otherwise.
LAST_RESORT_PIPE_LIMIT = 0.5

# The names of two zones, in order.
Pipe = tuple[str, str]


class Demand(NamedTuple):
    """What a request will need: tokens of its prompt and of its answer.

    :ivar longest_pause_s: between events, for an answer in time.
    """

    prompt_tokens: float
    answer_tokens: float
    longest_pause_s: float

    @property
    def tokens(self) -> float:
        """Returns the memory at its largest, in tokens."""
        return self.prompt_tokens + self.answer_tokens


class Choice(NamedTuple):
    """The outcome of a choice, with what decided it.

    :ivar path: ``None`` where no path has room or all are too slow.
    :ivar pause_ms: expected between events on the cheapest path, 0 where no
        path has room.
    :ivar excluded: how many targets were not to be used.
    :ivar fullest_pipe: share in use of the fullest pipe between zones.
    :ivar withheld_pipes: how many pipes this instance has no share of now.
    """

    path: cost_model.Path | None
    pause_ms: float
    excluded: int
    fullest_pipe: float
    withheld_pipes: int = 0


class Load(NamedTuple):
    """What is under way, of all instances.

    :ivar tokens_by_target: in memory, by target id.
    :ivar requests_by_target: by target id.
    :ivar pipe_tokens: a second, by the names of two zones in order.
    :ivar pace_by_target: of slow targets, 2 is twice as slow.
    """

    tokens_by_target: Mapping[str, float]
    requests_by_target: Mapping[str, float]
    pipe_tokens: Mapping[tuple[str, str], float]
    pace_by_target: Mapping[str, float]


class _Terms(NamedTuple):
    """What a target's load adds to the idle time of its segments."""

    slowing_ms_per_layer: float
    factor: float


_FULL = _Terms(0.0, math.inf)


def _undrawn() -> float:
    return 0.0


def _unlimited(pipe: Pipe) -> bool:
    return True


def choose(
    engine: desired_state.Engine,
    graph: segments.SegmentGraph,
    demand: Demand,
    load: Load,
    excluded: Iterable[str] = (),
    pipe_limit: float = PIPE_LIMIT,
    draw: Callable[[], float] = _undrawn,
    may_cross: Callable[[Pipe], bool] = _unlimited,
) -> Choice:
    """Returns the cheapest path that has room and is fast enough.

    :param excluded: ids of targets that are not to be used.
    :param pipe_limit: share of a pipe in use up to which paths cross it.
    :param draw: gives the exponent by which a target's price is changed, so
        that instances that know the same don't all choose the same path.
    :param may_cross: whether this instance has a share of a pipe now.
    """
    without = frozenset(excluded)
    # A target's segments differ only by their layers.
    terms_by_target: dict[str, _Terms] = {}
    price_by_zones: dict[tuple[str, str], float | None] = {}
    withheld: set[Pipe] = set()

    def price(segment: segments.Segment) -> float | None:
        target = segment.target
        terms = terms_by_target.get(target.id)
        if terms is None:
            terms = _FULL
            if target.id not in without:
                terms = _terms(engine, segment, demand.tokens, load)
                if terms is not _FULL:
                    factor = terms.factor * math.exp(draw())
                    terms = terms._replace(factor=factor)
            terms_by_target[target.id] = terms
        if terms is _FULL:
            return None
        first, end = segment.layers
        slowing_ms = terms.slowing_ms_per_layer * (end - first)
        return (segment.idle_ms + slowing_ms) * terms.factor

    def crossing_price(zone: str, next_zone: str) -> float | None:
        zones = (zone, next_zone)
        if zones not in price_by_zones:
            share = _pipe_share(engine, load, zone, next_zone)
            if share > pipe_limit:
                price_by_zones[zones] = None
            elif not may_cross(pipe_between(zone, next_zone)):
                price_by_zones[zones] = None
                withheld.add(pipe_between(zone, next_zone))
            else:
                waiting_ms = CROSSING_WAIT_MS * share / (1.0 - share)
                price_by_zones[zones] = CROSSING_MS + waiting_ms
        return price_by_zones[zones]

    path = graph.cheapest(price, crossing_price)
    pause_ms = event_ms(engine, path, load) if path else 0.0
    if pause_ms > demand.longest_pause_s * cost_model.MS_PER_S:
        path = None
    fullest = max(load.pipe_tokens.values(), default=0.0)
    return Choice(
        path,
        pause_ms,
        len(without),
        fullest / engine.pipe_tokens_per_s,
        len(withheld),
    )


def event_ms(
    engine: desired_state.Engine, path: cost_model.Path, load: Load
) -> float:
    """Returns the expected time between two events on a path."""
    total = 0.0
    zone = path[0].target.zone
    for stage in path:
        target = stage.target
        card = engine.card_by_name[target.card]
        pace = load.pace_by_target.get(target.id, 1.0)
        total += segments.HOP_MS + pace * cost_model.decode_step_ms(
            engine,
            card,
            stage.layers.size,
            load.requests_by_target.get(target.id, 0) + 1.0,
            load.tokens_by_target.get(target.id, 0.0),
        )
        if target.zone != zone:
            share = _pipe_share(engine, load, zone, target.zone)
            total += CROSSING_MS + CROSSING_WAIT_MS * share
            zone = target.zone
    return total * engine.event_tokens * WAITING_FACTOR


def _terms(
    engine: desired_state.Engine,
    segment: segments.Segment,
    tokens: float,
    load: Load,
) -> _Terms:
    """Returns what goes into the price of any segment of a target.

    The requests there slow each other's steps: counted twice, for what the
    request takes and for what it takes from them.
    """
    target = segment.target
    used = load.tokens_by_target.get(target.id, 0.0)
    if used + tokens > segment.room * MAX_CACHE_FILL:
        return _FULL
    writing = load.requests_by_target.get(target.id, 0)
    whole_ms = (
        engine.per_sequence_ms * writing
        + engine.per_context_k_ms * used / 1000.0
    )
    slowing_ms = 2.0 * whole_ms * engine.card_by_name[target.card].step_pace
    pace = load.pace_by_target.get(target.id, 1.0)
    return _Terms(
        slowing_ms / engine.layers,
        pace * math.exp(MEMORY_GROWTH * used / segment.room),
    )


def pipe_between(zone: str, other: str) -> Pipe:
    """Returns the name of the pipe between two zones."""
    return (zone, other) if zone < other else (other, zone)


def crossed_pipes(path: cost_model.Path) -> list[Pipe]:
    """Returns the pipes of a path, one as often as it is crossed."""
    zones = [stage.target.zone for stage in path]
    return [
        pipe_between(zone, following)
        for zone, following in zip(zones, zones[1:], strict=False)
        if zone != following
    ]


def _pipe_share(
    engine: desired_state.Engine, load: Load, zone: str, next_zone: str
) -> float:
    tokens = load.pipe_tokens.get(pipe_between(zone, next_zone), 0.0)
    return min(tokens / engine.pipe_tokens_per_s, 0.99)
