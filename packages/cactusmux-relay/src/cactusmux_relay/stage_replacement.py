"""Chooses replacement targets for the lost stages of a running stream.

It is designed for the loss of a stage of many streams at once, on many
instances. The remaining stages keep their KV cache; only targets that are new
in the path prefill the tokens so far. This prefill delays the next event, so
it determines the cost, together with the prefill that was assigned to the same
target just before. The choice is randomized, so that instances with the same
data choose different targets: if many streams are affected, the probability
of a target is proportional to its speed.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
import heapq
import math
from typing import NamedTuple

from . import cost_model
from . import desired_state
from . import load_tracker
from . import path_choice
from . import pipe_quota
from . import segments
from . import targets

# Returns a random number in [0, 1).
RandomSource = Callable[[], float]
# The next layer to cover, and the zone of the stage before it.
_Position = tuple[int, str]


class StageLoss(NamedTuple):
    """A running stream that has lost stages.

    :ivar lost_ids: ids of the targets of its path that are down.
    :ivar tokens_so_far: tokens of the prompt and of the response, which new
        targets must prefill.
    :ivar tokens_to_come: estimated rest of the response.
    :ivar longest_pause_s: longest allowed interval between events.
    """

    path: cost_model.Path
    lost_ids: frozenset[str]
    tokens_so_far: float
    tokens_to_come: float
    longest_pause_s: float

    @property
    def tokens(self) -> float:
        """Peak use of the KV cache, in tokens."""
        return self.tokens_so_far + self.tokens_to_come


class PoolState(NamedTuple):
    """The targets and their load, as this instance knows them.

    :ivar ready: targets of the service that accept new work.
    :ivar excluded: ids of targets that must not be used.
    :ivar reading_ms_by_target: prefill assigned to targets just before.
    :ivar may_cross: returns whether this instance's quota allows a link now;
        ``None`` if links aren't limited by a quota.
    """

    ready: Sequence[targets.Target]
    load: path_choice.Load
    excluded: frozenset[str]
    reading_ms_by_target: Mapping[str, float]
    may_cross: Callable[[path_choice.Pipe], bool] | None = None


class Replacement(NamedTuple):
    """A path without the lost targets, with the figures that explain it.

    :ivar added: the stages that are new in the path.
    :ivar reading_ms_by_target: prefill time of the new stages, for this
        stream alone.
    :ivar wait_ms: expected time until the next event.
    :ivar pause_ms: expected interval between later events.
    :ivar candidates: number of targets that could run lost layers.
    :ivar streams: estimated number of streams that lose the same stage, on
        all instances.
    :ivar crossings: reservations in this instance's quota of links.
    """

    path: cost_model.Path
    added: tuple[cost_model.Stage, ...]
    reading_ms_by_target: Mapping[str, float]
    wait_ms: float
    pause_ms: float
    candidates: int
    streams: float
    crossings: pipe_quota.Reservations = ()


class _Gap(NamedTuple):
    """A run of consecutive lost stages, by their indexes in the path."""

    start: int
    stop: int


class _Node(NamedTuple):
    """The cheapest stages found so far for the first layers of a gap."""

    cost: float
    stages: tuple[cost_model.Stage, ...]


def find_replacement(
    engine: desired_state.Engine,
    loss: StageLoss,
    pool: PoolState,
    draw: RandomSource,
) -> Replacement | None:
    """Returns the cheapest replacement, ``None`` if there is none.

    The search first crosses only links between zones that the path has
    already crossed at the lost stages. Other links are tried if it fails or
    the next event would be too late.
    """
    if not loss.path or loss.path[0].target.id in loss.lost_ids:
        return None
    search = _Search(engine, loss, pool, draw)
    if not search.gaps:
        return None
    within = search.find_replacement(search.pipes_at_gaps)
    longest_ms = loss.longest_pause_s * cost_model.MS_PER_S
    if within is not None and within.wait_ms <= longest_ms:
        return within
    across = search.find_replacement(None)
    found = [each for each in (within, across) if each is not None]
    return min(found, key=lambda each: each.wait_ms, default=None)


def zone_transfers(
    path: cost_model.Path,
    added: Sequence[cost_model.Stage],
    so_far: float,
    to_come: float,
) -> list[tuple[cost_model.Path, float]]:
    """Returns what a replacement transfers between zones.

    A new stage receives all tokens so far and the later ones; it sends only
    the later ones.

    :returns: pairs of consecutive stages, with the number of tokens.
    """
    new_ids = {stage.target.id for stage in added}
    found: list[tuple[cost_model.Path, float]] = []
    for pair in zip(path, path[1:], strict=False):
        stage, following = pair
        if stage.target.zone == following.target.zone:
            continue
        if following.target.id in new_ids:
            found.append((pair, so_far + to_come))
        elif stage.target.id in new_ids:
            found.append((pair, to_come))
    return found


class _Search:
    """One search, with one random draw for each target and each link."""

    def __init__(
        self,
        engine: desired_state.Engine,
        loss: StageLoss,
        pool: PoolState,
        draw: RandomSource,
    ) -> None:
        self._engine = engine
        self._loss = loss
        self._pool = pool
        self._draw = draw
        self.gaps = _find_gaps(loss)
        requests = pool.load.requests_by_target
        self._streams = max(
            [1.0, *(requests.get(each, 0.0) for each in loss.lost_ids)]
        )
        self._factor_by_id: dict[str, float] = {}
        self._may_use_by_link: dict[tuple[str, str], bool] = {}
        self.pipes_at_gaps = self._find_pipes_at_gaps()
        self._candidates = self._find_candidates()

    def _find_pipes_at_gaps(self) -> frozenset[tuple[str, str]]:
        """Returns the links that the path crossed at the lost stages."""
        path = self._loss.path
        found = set()
        for start, stop in self.gaps:
            part = path[max(0, start - 1) : stop + 1]
            for stage, following in zip(part, part[1:], strict=False):
                zones = (stage.target.zone, following.target.zone)
                found.add(path_choice.pipe_between(*zones))
        return frozenset(found)

    def find_replacement(
        self, pipes: frozenset[tuple[str, str]] | None
    ) -> Replacement | None:
        """Returns a replacement over these links, ``None`` if there is none.

        :param pipes: links that may be crossed; ``None`` allows all.
        """
        # The first gap may take a target that only the second one needs, so
        # the reverse order is tried as well.
        orders = [self.gaps]
        if len(self.gaps) > 1:
            orders.append(self.gaps[::-1])
        for gaps in orders:
            covers = self._covers(gaps, pipes)
            if covers is not None:
                return self._join(covers)
        return None

    def _find_candidates(self) -> list[targets.Target]:
        taken = {stage.target.id for stage in self._loss.path}
        left_out = taken | self._pool.excluded | self._loss.lost_ids
        return [
            each
            for each in self._pool.ready
            if each.id not in left_out
            and each.card in self._engine.card_by_name
            and self._holds_missing_layers(each)
            and self._has_room(each)
        ]

    def _holds_missing_layers(self, target: targets.Target) -> bool:
        held = target.layers
        return any(
            held.first < layers.end and layers.first < held.end
            for layers in (
                _layers(self._loss.path, each) for each in self.gaps
            )
        )

    def _has_room(self, target: targets.Target) -> bool:
        room = self._kv_cache_tokens(target) * path_choice.MAX_CACHE_FILL
        used = self._pool.load.tokens_by_target.get(target.id, 0.0)
        return used + self._loss.tokens <= room

    def _kv_cache_tokens(self, target: targets.Target) -> float:
        card = self._engine.card_by_name[target.card]
        return cost_model.kv_cache_tokens(
            self._engine, card, target.layers.size
        )

    def _covers(
        self,
        gaps: list[_Gap],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> dict[_Gap, tuple[cost_model.Stage, ...]] | None:
        cover_by_gap = {}
        used: set[str] = set()
        for gap in gaps:
            free = [each for each in self._candidates if each.id not in used]
            cover = self._cover(gap, free, pipes)
            if cover is None:
                return None
            cover_by_gap[gap] = cover
            used.update(stage.target.id for stage in cover)
        return cover_by_gap

    def _cover(
        self,
        gap: _Gap,
        free: list[targets.Target],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> tuple[cost_model.Stage, ...] | None:
        """Covers a gap; each target runs all missing layers that it holds."""
        path = self._loss.path
        lost = _layers(path, gap)
        entry_zone = path[gap.start - 1].target.zone
        node_by_position = {(lost.first, entry_zone): _Node(0.0, ())}
        positions = [(lost.first, entry_zone)]
        while positions and positions[0][0] < lost.end:
            position = heapq.heappop(positions)
            before = node_by_position[position]
            for next_position, node in self._next_nodes(
                position, before, lost.end, free, pipes
            ):
                cheapest = node_by_position.get(next_position)
                if cheapest is None:
                    heapq.heappush(positions, next_position)
                if cheapest is None or node.cost < cheapest.cost:
                    node_by_position[next_position] = node
        return self._cheapest_cover(gap, node_by_position, pipes)

    def _next_nodes(
        self,
        position: _Position,
        before: _Node,
        end: int,
        free: list[targets.Target],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> Iterator[tuple[_Position, _Node]]:
        """Yields the next node for each target that holds the next layer."""
        first, zone = position
        for target in free:
            held = target.layers
            if not held.first <= first < held.end:
                continue
            crossing = self._entry_ms(zone, target.zone, pipes)
            if crossing is None:
                continue
            layers = targets.LayerRange(first, min(held.end, end))
            stage = cost_model.Stage(target, layers)
            cost = before.cost + crossing + self._cost(stage)
            node = _Node(cost, (*before.stages, stage))
            yield (layers.end, target.zone), node

    def _cheapest_cover(
        self,
        gap: _Gap,
        node_by_position: Mapping[_Position, _Node],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> tuple[cost_model.Stage, ...] | None:
        """Returns the cheapest full cover, with the link to the next stage."""
        path = self._loss.path
        best: _Node | None = None
        for (end, zone), node in node_by_position.items():
            if end != _layers(path, gap).end:
                continue
            crossing: float | None = 0.0
            if gap.stop < len(path):
                next_zone = path[gap.stop].target.zone
                crossing = self._exit_ms(zone, next_zone, pipes)
            if crossing is None:
                continue
            if best is None or node.cost + crossing < best.cost:
                best = node._replace(cost=node.cost + crossing)
        return best.stages if best else None

    def _cost(self, stage: cost_model.Stage) -> float:
        """Returns the cost of a stage, with a random factor per target."""
        target = stage.target
        factor = self._factor_by_id.get(target.id)
        if factor is None:
            used = self._pool.load.tokens_by_target.get(target.id, 0.0)
            fill = used / self._kv_cache_tokens(target)
            factor = math.exp(
                path_choice.MEMORY_COST_EXPONENT * fill
            ) * _random_factor(self._draw(), self._streams)
            self._factor_by_id[target.id] = factor
        return factor * (self._total_prefill_ms(stage) + self._step_ms(stage))

    def _prefill_ms(self, stage: cost_model.Stage) -> float:
        target = stage.target
        card = self._engine.card_by_name[target.card]
        pace = self._pool.load.pace_by_target.get(target.id, 1.0)
        return pace * cost_model.prefill_ms(
            self._engine, card, stage.layers.size, self._loss.tokens_so_far
        )

    def _total_prefill_ms(self, stage: cost_model.Stage) -> float:
        given = self._pool.reading_ms_by_target.get(stage.target.id, 0.0)
        return given + self._prefill_ms(stage)

    def _step_ms(self, stage: cost_model.Stage) -> float:
        return path_choice.event_interval_ms(
            self._engine, (stage,), self._pool.load
        )

    def _entry_ms(
        self,
        zone: str,
        next_zone: str,
        pipes: frozenset[tuple[str, str]] | None,
    ) -> float | None:
        """Returns the transfer time of all tokens so far to a new stage.

        It is in milliseconds, ``None`` if the link can't be crossed.
        """
        if zone == next_zone:
            return 0.0
        name = path_choice.pipe_between(zone, next_zone)
        if pipes is not None and name not in pipes:
            return None
        if not self._may_use_link(name):
            return None
        capacity = self._engine.pipe_tokens_per_s
        sending_ms = self._loss.tokens_so_far / capacity * cost_model.MS_PER_S
        return path_choice.LINK_LATENCY_MS + sending_ms

    def _exit_ms(
        self,
        zone: str,
        next_zone: str,
        pipes: frozenset[tuple[str, str]] | None,
    ) -> float | None:
        """Returns the cost of the link to the stage after a gap.

        It is in milliseconds, ``None`` if the link can't be crossed.
        """
        if zone == next_zone:
            return 0.0
        name = path_choice.pipe_between(zone, next_zone)
        if name in self.pipes_at_gaps:
            # The stream already uses this link.
            return path_choice.LINK_LATENCY_MS
        if pipes is not None or not self._may_use_link(name):
            return None
        return path_choice.LINK_LATENCY_MS

    def _may_use_link(self, name: tuple[str, str]) -> bool:
        """Returns whether this stream may use a link.

        All streams that lose the same stage see the same free capacity. If
        links are limited by a quota, this instance's share decides.
        Otherwise each stream uses the link with the probability that keeps
        all of them together within the limit.
        """
        may_use = self._may_use_by_link.get(name)
        if may_use is None:
            limit = path_choice.PIPE_LIMIT * self._engine.pipe_tokens_per_s
            in_use = self._pool.load.pipe_tokens.get(name, 0.0)
            free = (limit - in_use) * load_tracker.PIPE_WINDOW_S
            needed = self._loss.tokens
            may_use = needed <= free and self._has_share(name, needed, free)
            self._may_use_by_link[name] = may_use
        return may_use

    def _has_share(
        self, name: tuple[str, str], needed: float, free: float
    ) -> bool:
        may_cross = self._pool.may_cross
        if may_cross is not None:
            return may_cross(name)
        return self._draw() * self._streams * needed < free

    def _join(
        self, cover_by_gap: Mapping[_Gap, tuple[cost_model.Stage, ...]]
    ) -> Replacement | None:
        """Returns the path with the covers.

        :returns: ``None`` if the path is too long or too slow.
        """
        loss = self._loss
        path: list[cost_model.Stage] = []
        cover_by_start = {
            gap.start: cover for gap, cover in cover_by_gap.items()
        }
        for position, stage in enumerate(loss.path):
            path.extend(cover_by_start.get(position, ()))
            if stage.target.id not in loss.lost_ids:
                path.append(stage)
        if len(path) > segments.MAX_STAGES:
            return None
        pause_ms = path_choice.event_interval_ms(
            self._engine, tuple(path), self._pool.load
        )
        if pause_ms > loss.longest_pause_s * cost_model.MS_PER_S:
            return None
        added = [stage for cover in cover_by_gap.values() for stage in cover]
        return Replacement(
            path=tuple(path),
            added=tuple(added),
            reading_ms_by_target={
                stage.target.id: self._prefill_ms(stage) for stage in added
            },
            wait_ms=pause_ms
            + self._transfer_ms(path, added)
            + sum(self._total_prefill_ms(stage) for stage in added),
            pause_ms=pause_ms,
            candidates=len(self._candidates),
            streams=self._streams,
        )

    def _transfer_ms(
        self, path: Sequence[cost_model.Stage], added: list[cost_model.Stage]
    ) -> float:
        sent = zone_transfers(
            tuple(path), added, self._loss.tokens_so_far, 0.0
        )
        capacity = self._engine.pipe_tokens_per_s
        return sum(each for _, each in sent) / capacity * cost_model.MS_PER_S


def _random_factor(drawn: float, streams: float) -> float:
    """Returns the random factor of a cost.

    It is a power of an exponential variate: 1 for a single stream, which
    gets the cheapest target. With many streams, each of them chooses a target
    with a probability inversely proportional to its cost.
    """
    exponent = 1.0 - 1.0 / streams
    return float((-math.log(1.0 - drawn)) ** exponent)


def _find_gaps(loss: StageLoss) -> list[_Gap]:
    """Returns the runs of consecutive stages that are lost."""
    found: list[_Gap] = []
    for position, stage in enumerate(loss.path):
        if stage.target.id not in loss.lost_ids:
            continue
        if found and found[-1].stop == position:
            found[-1] = found[-1]._replace(stop=position + 1)
        else:
            found.append(_Gap(position, position + 1))
    return found


def _layers(path: cost_model.Path, gap: _Gap) -> targets.LayerRange:
    first = path[gap.start].layers.first
    return targets.LayerRange(first, path[gap.stop - 1].layers.end)
