"""Chooses targets that take over the lost stages of a running stream.

It answers the loss of a stage by many streams at once, on many instances.
The stages that are left keep their token memory; only the targets that are
new in the path read the tokens so far. What delays the next event is this
reading, so it decides the price, with the reading that was given to the same
target just before. Instances that know the same draw different targets: with
many streams concerned, a target is drawn in proportion to its speed.
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

# Returns a random number from 0 up to, but without, 1.
Draw = Callable[[], float]
# The next layer to be covered, and the zone of the stage before it.
_Place = tuple[int, str]


class StageLoss(NamedTuple):
    """A running stream that has lost stages.

    :ivar lost_ids: of targets in the path that are down.
    :ivar tokens_so_far: of the prompt and of the answer, to be read anew.
    :ivar tokens_to_come: of the answer, estimated.
    """

    path: cost_model.Path
    lost_ids: frozenset[str]
    tokens_so_far: float
    tokens_to_come: float
    longest_pause_s: float

    @property
    def tokens(self) -> float:
        """Returns the memory at its largest, in tokens."""
        return self.tokens_so_far + self.tokens_to_come


class Known(NamedTuple):
    """What is known of targets and their load.

    :ivar ready: targets of the service that may get new work.
    :ivar excluded: ids of targets that are not to be used.
    :ivar reading_ms_by_target: given to targets just before.
    :ivar may_cross: whether this instance has a share of a pipe now; ``None``
        where pipes aren't divided among instances.
    """

    ready: Sequence[targets.Target]
    load: path_choice.Load
    excluded: frozenset[str]
    reading_ms_by_target: Mapping[str, float]
    may_cross: Callable[[path_choice.Pipe], bool] | None = None


class Replacement(NamedTuple):
    """A path without the lost targets, with what decided it.

    :ivar added: the stages that are new in the path.
    :ivar reading_ms_by_target: of the new stages, for this stream alone.
    :ivar wait_ms: expected until the next event.
    :ivar pause_ms: expected between later events.
    :ivar candidates: targets that could take part of the lost layers.
    :ivar streams: estimate of those that lose the same stage, on all
        instances.
    :ivar crossings: taken of this instance's share of the pipes.
    """

    path: cost_model.Path
    added: tuple[cost_model.Stage, ...]
    reading_ms_by_target: Mapping[str, float]
    wait_ms: float
    pause_ms: float
    candidates: int
    streams: float
    crossings: pipe_quota.Reservations = ()


class _Hole(NamedTuple):
    """Neighbouring lost stages, by their places in the path."""

    start: int
    stop: int


class _Node(NamedTuple):
    """A cover of the first layers of a hole."""

    cost: float
    stages: tuple[cost_model.Stage, ...]


def find(
    engine: desired_state.Engine, loss: StageLoss, known: Known, draw: Draw
) -> Replacement | None:
    """Returns the cheapest replacement, ``None`` if there is none.

    Targets are first looked for where no further link between zones is
    crossed; other links only if that fails or takes too long.
    """
    if not loss.path or loss.path[0].target.id in loss.lost_ids:
        return None
    search = _Search(engine, loss, known, draw)
    if not search.holes:
        return None
    within = search.find(search.pipes_at_holes)
    longest_ms = loss.longest_pause_s * cost_model.MS_PER_S
    if within is not None and within.wait_ms <= longest_ms:
        return within
    across = search.find(None)
    found = [each for each in (within, across) if each is not None]
    return min(found, key=lambda each: each.wait_ms, default=None)


def sendings(
    path: cost_model.Path,
    added: Sequence[cost_model.Stage],
    so_far: float,
    to_come: float,
) -> list[tuple[cost_model.Path, float]]:
    """Returns what a replacement sends from a zone to another one.

    Into a new stage go all tokens so far, out of it only later ones.

    :returns: pairs of neighbouring stages, with the tokens sent.
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
    """One search; draws once for each target and each link."""

    def __init__(
        self,
        engine: desired_state.Engine,
        loss: StageLoss,
        known: Known,
        draw: Draw,
    ) -> None:
        self._engine = engine
        self._loss = loss
        self._known = known
        self._draw = draw
        self.holes = _holes(loss)
        requests = known.load.requests_by_target
        self._streams = max(
            [1.0, *(requests.get(each, 0.0) for each in loss.lost_ids)]
        )
        self._factor_by_id: dict[str, float] = {}
        self._may_fill_by_pipe: dict[tuple[str, str], bool] = {}
        self.pipes_at_holes = self._pipes_at_holes()
        self._candidates = self._usable()

    def _pipes_at_holes(self) -> frozenset[tuple[str, str]]:
        """Returns the links that the path crossed where stages are lost."""
        path = self._loss.path
        found = set()
        for start, stop in self.holes:
            part = path[max(0, start - 1) : stop + 1]
            for stage, following in zip(part, part[1:], strict=False):
                zones = (stage.target.zone, following.target.zone)
                found.add(path_choice.pipe_between(*zones))
        return frozenset(found)

    def find(
        self, pipes: frozenset[tuple[str, str]] | None
    ) -> Replacement | None:
        """Returns a replacement over these links, ``None`` if there is none.

        :param pipes: that may be crossed; ``None`` allows all.
        """
        # A target that two holes need may be taken by the one looked at
        # first: the other order is tried too.
        orders = [self.holes]
        if len(self.holes) > 1:
            orders.append(self.holes[::-1])
        for holes in orders:
            covers = self._covers(holes, pipes)
            if covers is not None:
                return self._joined(covers)
        return None

    def _usable(self) -> list[targets.Target]:
        taken = {stage.target.id for stage in self._loss.path}
        left_out = taken | self._known.excluded | self._loss.lost_ids
        return [
            each
            for each in self._known.ready
            if each.id not in left_out
            and each.card in self._engine.card_by_name
            and self._touches_a_hole(each)
            and self._has_room(each)
        ]

    def _touches_a_hole(self, target: targets.Target) -> bool:
        held = target.layers
        return any(
            held.first < layers.end and layers.first < held.end
            for layers in (
                _layers(self._loss.path, each) for each in self.holes
            )
        )

    def _has_room(self, target: targets.Target) -> bool:
        room = self._room(target) * path_choice.MAX_CACHE_FILL
        used = self._known.load.tokens_by_target.get(target.id, 0.0)
        return used + self._loss.tokens <= room

    def _room(self, target: targets.Target) -> float:
        card = self._engine.card_by_name[target.card]
        return cost_model.kv_cache_tokens(
            self._engine, card, target.layers.size
        )

    def _covers(
        self,
        holes: list[_Hole],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> dict[_Hole, tuple[cost_model.Stage, ...]] | None:
        cover_by_hole = {}
        used: set[str] = set()
        for hole in holes:
            free = [each for each in self._candidates if each.id not in used]
            cover = self._cover(hole, free, pipes)
            if cover is None:
                return None
            cover_by_hole[hole] = cover
            used.update(stage.target.id for stage in cover)
        return cover_by_hole

    def _cover(
        self,
        hole: _Hole,
        free: list[targets.Target],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> tuple[cost_model.Stage, ...] | None:
        """Covers a hole; each target takes as many layers as it holds."""
        path = self._loss.path
        lost = _layers(path, hole)
        entry_zone = path[hole.start - 1].target.zone
        node_by_place = {(lost.first, entry_zone): _Node(0.0, ())}
        places = [(lost.first, entry_zone)]
        while places and places[0][0] < lost.end:
            place = heapq.heappop(places)
            before = node_by_place[place]
            for next_place, node in self._steps(
                place, before, lost.end, free, pipes
            ):
                known = node_by_place.get(next_place)
                if known is None:
                    heapq.heappush(places, next_place)
                if known is None or node.cost < known.cost:
                    node_by_place[next_place] = node
        return self._best_end(hole, node_by_place, pipes)

    def _steps(
        self,
        place: _Place,
        before: _Node,
        end: int,
        free: list[targets.Target],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> Iterator[tuple[_Place, _Node]]:
        """Yields what each target that holds the next layer leads to."""
        first, zone = place
        for target in free:
            held = target.layers
            if not held.first <= first < held.end:
                continue
            crossing = self._entry_ms(zone, target.zone, pipes)
            if crossing is None:
                continue
            layers = targets.LayerRange(first, min(held.end, end))
            stage = cost_model.Stage(target, layers)
            cost = before.cost + crossing + self._price(stage)
            node = _Node(cost, (*before.stages, stage))
            yield (layers.end, target.zone), node

    def _best_end(
        self,
        hole: _Hole,
        node_by_place: Mapping[_Place, _Node],
        pipes: frozenset[tuple[str, str]] | None,
    ) -> tuple[cost_model.Stage, ...] | None:
        """Returns the cheapest whole cover, with the way to what follows."""
        path = self._loss.path
        best: _Node | None = None
        for (end, zone), node in node_by_place.items():
            if end != _layers(path, hole).end:
                continue
            crossing: float | None = 0.0
            if hole.stop < len(path):
                next_zone = path[hole.stop].target.zone
                crossing = self._exit_ms(zone, next_zone, pipes)
            if crossing is None:
                continue
            if best is None or node.cost + crossing < best.cost:
                best = node._replace(cost=node.cost + crossing)
        return best.stages if best else None

    def _price(self, stage: cost_model.Stage) -> float:
        """Returns what a stage costs, changed at random for each target."""
        target = stage.target
        factor = self._factor_by_id.get(target.id)
        if factor is None:
            used = self._known.load.tokens_by_target.get(target.id, 0.0)
            fill = used / self._room(target)
            factor = math.exp(path_choice.MEMORY_GROWTH * fill) * _spread(
                self._draw(), self._streams
            )
            self._factor_by_id[target.id] = factor
        return factor * (self._catch_up_ms(stage) + self._step_ms(stage))

    def _reading_ms(self, stage: cost_model.Stage) -> float:
        target = stage.target
        card = self._engine.card_by_name[target.card]
        pace = self._known.load.pace_by_target.get(target.id, 1.0)
        return pace * cost_model.prefill_ms(
            self._engine, card, stage.layers.size, self._loss.tokens_so_far
        )

    def _catch_up_ms(self, stage: cost_model.Stage) -> float:
        given = self._known.reading_ms_by_target.get(stage.target.id, 0.0)
        return given + self._reading_ms(stage)

    def _step_ms(self, stage: cost_model.Stage) -> float:
        return path_choice.event_ms(self._engine, (stage,), self._known.load)

    def _entry_ms(
        self,
        zone: str,
        next_zone: str,
        pipes: frozenset[tuple[str, str]] | None,
    ) -> float | None:
        """Returns how long all tokens so far take into a new stage."""
        if zone == next_zone:
            return 0.0
        name = path_choice.pipe_between(zone, next_zone)
        if pipes is not None and name not in pipes:
            return None
        if not self._may_fill(name):
            return None
        capacity = self._engine.pipe_tokens_per_s
        sending_ms = self._loss.tokens_so_far / capacity * cost_model.MS_PER_S
        return path_choice.CROSSING_MS + sending_ms

    def _exit_ms(
        self,
        zone: str,
        next_zone: str,
        pipes: frozenset[tuple[str, str]] | None,
    ) -> float | None:
        """Returns what the way to the stage after a hole costs."""
        if zone == next_zone:
            return 0.0
        name = path_choice.pipe_between(zone, next_zone)
        if name in self.pipes_at_holes:
            # The stream has used this link before.
            return path_choice.CROSSING_MS
        if pipes is not None or not self._may_fill(name):
            return None
        return path_choice.CROSSING_MS

    def _may_fill(self, name: tuple[str, str]) -> bool:
        """Whether this stream may use a link.

        All streams that lose the same stage find the link as free as this
        one does. Where links are divided among instances, the share of this
        one decides; elsewhere each stream uses the link with the probability
        at which they stay within the limit together.
        """
        may_fill = self._may_fill_by_pipe.get(name)
        if may_fill is None:
            limit = path_choice.PIPE_LIMIT * self._engine.pipe_tokens_per_s
            in_use = self._known.load.pipe_tokens.get(name, 0.0)
            free = (limit - in_use) * load_tracker.PIPE_WINDOW_S
            needed = self._loss.tokens
            may_fill = needed <= free and self._has_share(name, needed, free)
            self._may_fill_by_pipe[name] = may_fill
        return may_fill

    def _has_share(
        self, name: tuple[str, str], needed: float, free: float
    ) -> bool:
        may_cross = self._known.may_cross
        if may_cross is not None:
            return may_cross(name)
        return self._draw() * self._streams * needed < free

    def _joined(
        self, cover_by_hole: Mapping[_Hole, tuple[cost_model.Stage, ...]]
    ) -> Replacement | None:
        """Puts covers into the path; ``None`` if that would be too slow."""
        loss = self._loss
        path: list[cost_model.Stage] = []
        cover_by_start = {
            hole.start: cover for hole, cover in cover_by_hole.items()
        }
        for place, stage in enumerate(loss.path):
            path.extend(cover_by_start.get(place, ()))
            if stage.target.id not in loss.lost_ids:
                path.append(stage)
        if len(path) > segments.MAX_STAGES:
            return None
        pause_ms = path_choice.event_ms(
            self._engine, tuple(path), self._known.load
        )
        if pause_ms > loss.longest_pause_s * cost_model.MS_PER_S:
            return None
        added = [stage for cover in cover_by_hole.values() for stage in cover]
        return Replacement(
            path=tuple(path),
            added=tuple(added),
            reading_ms_by_target={
                stage.target.id: self._reading_ms(stage) for stage in added
            },
            wait_ms=pause_ms
            + self._sending_ms(path, added)
            + sum(self._catch_up_ms(stage) for stage in added),
            pause_ms=pause_ms,
            candidates=len(self._candidates),
            streams=self._streams,
        )

    def _sending_ms(
        self, path: Sequence[cost_model.Stage], added: list[cost_model.Stage]
    ) -> float:
        sent = sendings(tuple(path), added, self._loss.tokens_so_far, 0.0)
        capacity = self._engine.pipe_tokens_per_s
        return sum(each for _, each in sent) / capacity * cost_model.MS_PER_S


def _spread(drawn: float, streams: float) -> float:
    """Returns by what a price is multiplied.

    A power of an exponential variate: 1 for a single stream, which gets the
    cheapest target. Of many streams each draws a target with a probability
    in inverse proportion to its price.
    """
    exponent = 1.0 - 1.0 / streams
    return float((-math.log(1.0 - drawn)) ** exponent)


def _holes(loss: StageLoss) -> list[_Hole]:
    """Returns the runs of neighbouring stages that are lost."""
    found: list[_Hole] = []
    for place, stage in enumerate(loss.path):
        if stage.target.id not in loss.lost_ids:
            continue
        if found and found[-1].stop == place:
            found[-1] = found[-1]._replace(stop=place + 1)
        else:
            found.append(_Hole(place, place + 1))
    return found


def _layers(path: cost_model.Path, hole: _Hole) -> targets.LayerRange:
    first = path[hole.start].layers.first
    return targets.LayerRange(first, path[hole.stop - 1].layers.end)
