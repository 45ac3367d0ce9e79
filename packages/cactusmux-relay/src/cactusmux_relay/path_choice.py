"""Chooses the cheapest path of a request from the load of targets and links.

It is designed for a load close to the capacity of the pool. The cost of a
stage is the time that the request spends there plus the delay that it causes
to the other requests there; the same holds for a link between zones (a
"pipe"). A path without enough KV cache capacity, or on which events would be
too far apart, is never chosen: one more request would delay all of them.
"""

from collections.abc import Callable, Container, Iterable, Mapping
import math
from typing import NamedTuple

from . import cost_model
from . import desired_state
from . import segments

# Cost grows exponentially with memory use: e^3 = 20 times at full memory.
MEMORY_COST_EXPONENT = 3.0
# Usable share of the KV cache. The rest covers the delay of load reports and
# the error of estimates.
MAX_CACHE_FILL = 0.92
# At each stage a token waits for the batch in progress.
BATCH_WAIT_FACTOR = 1.2
# Latency of an idle link, and the wait behind prompt chunks at full load.
LINK_LATENCY_MS = 1.5
LINK_QUEUEING_MS = 48.0
# Utilization up to which paths may cross a link.
PIPE_LIMIT = 0.15
# The same for a request that would be rejected otherwise.
LAST_RESORT_PIPE_LIMIT = 0.5

# A link between zones: the names of the two zones, sorted.
Pipe = tuple[str, str]


class Demand(NamedTuple):
    """Estimated needs of a request.

    :ivar prompt_tokens: tokens of the prompt.
    :ivar answer_tokens: tokens of the response.
    :ivar longest_pause_s: longest allowed interval between events.
    """

    prompt_tokens: float
    answer_tokens: float
    longest_pause_s: float

    @property
    def tokens(self) -> float:
        """Peak use of the KV cache, in tokens."""
        return self.prompt_tokens + self.answer_tokens


class Choice(NamedTuple):
    """The result of a search, with the figures that explain it.

    :ivar path: ``None`` if no path has enough capacity or all are too slow.
    :ivar pause_ms: expected interval between events on the cheapest path, 0
        if no path has enough capacity.
    :ivar excluded: number of excluded targets.
    :ivar fullest_pipe: utilization of the most loaded link between zones.
    :ivar withheld_pipes: number of links that this instance's quota forbids
        now.
    :ivar held: ids of the targets whose rate limit forbids to begin a path
        there, if there would be a path otherwise.
    """

    path: cost_model.Path | None
    pause_ms: float
    excluded: int
    fullest_pipe: float
    withheld_pipes: int = 0
    held: frozenset[str] = frozenset()


class Load(NamedTuple):
    """Current load caused by all instances.

    :ivar tokens_by_target: tokens in the KV cache, by target id.
    :ivar requests_by_target: running requests, by target id.
    :ivar pipe_tokens: tokens per second, by link (sorted zone names).
    :ivar pace_by_target: slowdown factors of slow targets; 2 is twice as
        slow.
    """

    tokens_by_target: Mapping[str, float]
    requests_by_target: Mapping[str, float]
    pipe_tokens: Mapping[tuple[str, str], float]
    pace_by_target: Mapping[str, float]


class _CostTerms(NamedTuple):
    """Load-dependent cost of a target, shared by all of its segments.

    :ivar slowing_ms_per_layer: added to the idle time of each layer.
    :ivar factor: multiplies the sum; infinite for an unusable target.
    """

    slowing_ms_per_layer: float
    factor: float


_UNUSABLE = _CostTerms(0.0, math.inf)


def _no_jitter() -> float:
    return 0.0


def _no_quota(pipe: Pipe) -> bool:
    return True


def choose(
    engine: desired_state.Engine,
    graph: segments.SegmentGraph,
    demand: Demand,
    load: Load,
    excluded: Iterable[str] = (),
    pipe_limit: float = PIPE_LIMIT,
    draw: Callable[[], float] = _no_jitter,
    may_cross: Callable[[Pipe], bool] = _no_quota,
    not_first: Container[str] = frozenset(),
) -> Choice:
    """Returns the cheapest path with enough capacity that is fast enough.

    :param excluded: ids of targets that must not be used.
    :param pipe_limit: utilization up to which a link may be crossed.
    :param draw: returns the exponent by which a target's cost is changed, so
        that instances with the same data don't all choose the same path.
    :param may_cross: whether this instance's quota allows a link now.
    :param not_first: ids of targets that must not be the first stage.
    """
    without = frozenset(excluded)
    # The load-dependent terms are the same for all segments of a target.
    cost_terms_by_target: dict[str, _CostTerms] = {}
    cost_by_zones: dict[tuple[str, str], float | None] = {}
    withheld: set[Pipe] = set()

    def segment_cost(segment: segments.Segment) -> float | None:
        target = segment.target
        terms = cost_terms_by_target.get(target.id)
        if terms is None:
            terms = _UNUSABLE
            if target.id not in without:
                terms = _cost_terms(engine, segment, demand.tokens, load)
                if terms is not _UNUSABLE:
                    factor = terms.factor * math.exp(draw())
                    terms = terms._replace(factor=factor)
            cost_terms_by_target[target.id] = terms
        if terms is _UNUSABLE:
            return None
        first, end = segment.layers
        if first == 0 and target.id in not_first:
            return None
        slowing_ms = terms.slowing_ms_per_layer * (end - first)
        return (segment.idle_ms + slowing_ms) * terms.factor

    def crossing_cost(zone: str, next_zone: str) -> float | None:
        zones = (zone, next_zone)
        if zones not in cost_by_zones:
            share = _link_utilization(engine, load, zone, next_zone)
            if share > pipe_limit:
                cost_by_zones[zones] = None
            elif not may_cross(pipe_between(zone, next_zone)):
                cost_by_zones[zones] = None
                withheld.add(pipe_between(zone, next_zone))
            else:
                waiting_ms = LINK_QUEUEING_MS * share / (1.0 - share)
                cost_by_zones[zones] = LINK_LATENCY_MS + waiting_ms
        return cost_by_zones[zones]

    path = graph.cheapest(segment_cost, crossing_cost)
    pause_ms = event_interval_ms(engine, path, load) if path else 0.0
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


def event_interval_ms(
    engine: desired_state.Engine, path: cost_model.Path, load: Load
) -> float:
    """Returns the expected time between two events, in milliseconds."""
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
            share = _link_utilization(engine, load, zone, target.zone)
            total += LINK_LATENCY_MS + LINK_QUEUEING_MS * share
            zone = target.zone
    return total * engine.event_tokens * BATCH_WAIT_FACTOR


def _cost_terms(
    engine: desired_state.Engine,
    segment: segments.Segment,
    tokens: float,
    load: Load,
) -> _CostTerms:
    """Returns the load-dependent cost terms of a target.

    Requests in one batch slow each other's decode steps. This is counted
    twice: for the delay of the new request and for the delay that it causes
    to the others.
    """
    target = segment.target
    if target.card not in engine.card_by_name:
        # The request came before the version that names this card.
        return _UNUSABLE
    used = load.tokens_by_target.get(target.id, 0.0)
    if used + tokens > segment.room * MAX_CACHE_FILL:
        return _UNUSABLE
    writing = load.requests_by_target.get(target.id, 0)
    whole_ms = (
        engine.per_sequence_ms * writing
        + engine.per_context_k_ms * used / 1000.0
    )
    slowing_ms = 2.0 * whole_ms * engine.card_by_name[target.card].step_pace
    pace = load.pace_by_target.get(target.id, 1.0)
    return _CostTerms(
        slowing_ms / engine.layers,
        pace * math.exp(MEMORY_COST_EXPONENT * used / segment.room),
    )


def pipe_between(zone: str, other: str) -> Pipe:
    """Returns the key of the link between two zones."""
    return (zone, other) if zone < other else (other, zone)


def crossed_pipes(path: cost_model.Path) -> list[Pipe]:
    """Returns the links that a path crosses, with repetitions."""
    zones = [stage.target.zone for stage in path]
    return [
        pipe_between(zone, following)
        for zone, following in zip(zones, zones[1:], strict=False)
        if zone != following
    ]


def _link_utilization(
    engine: desired_state.Engine, load: Load, zone: str, next_zone: str
) -> float:
    tokens = load.pipe_tokens.get(pipe_between(zone, next_zone), 0.0)
    return min(tokens / engine.pipe_tokens_per_s, 0.99)
