"""The simulated pool: placement, losses, repair and weight loading."""

from collections.abc import Callable, Generator
import functools
import itertools
import random

from cactusmux_base import ordered_set
from cactusmux_relay import chain_pool
from cactusmux_relay import desired_state
from cactusmux_relay import placement_repair
from cactusmux_relay import placement_search
from cactusmux_relay import segments
from cactusmux_relay import targets
import simpy

from . import deployments
from . import runs
from . import stages

# Time from a loss until the router detects it.
DETECTION_S = 0.15
# Time from detection until the order that repairs the placement.
REPAIR_S = 0.1
PLACING_SEED = 1


def initial_placement(
    deployment: deployments.Deployment,
) -> placement_search.Placement:
    """Returns the router's placement of the model before the first request."""
    return placement_search.place(
        deployments.make_engine(deployment),
        deployments.initial_targets(deployment),
        random.Random(PLACING_SEED),
    )


class SimulatedPool:
    """Targets, their stages, and the placement maintained by the router."""

    def __init__(
        self,
        env: simpy.Environment,
        deployment: deployments.Deployment,
        placement: placement_search.Placement,
        rng: random.Random,
    ) -> None:
        self._env = env
        self._deployment = deployment
        self._rng = rng
        self.engine: desired_state.Engine = deployments.make_engine(deployment)
        self.stage_by_id: dict[str, stages.Stage] = {}
        self.down: set[str] = set()
        self.pace_by_target: dict[str, float] = {}
        self.active_runs = ordered_set.OrderedSet[runs.Run]()
        self._loads = simpy.Resource(env, deployment.engine.loads_at_once)
        self._loading: set[str] = set()
        self._added = 0
        for target in deployments.initial_targets(deployment):
            self._add(target)
        self.pool = runs.Pool(env, self.stage_by_id, self._pipes())
        self.placement = placement
        for target_id, layers in self.placement.layers_by_target().items():
            self._set_layers(target_id, layers)
        self.graph = self._make_graph()

    def lose(self, each: deployments.Disturbance) -> None:
        """Removes cards permanently; the router detects it later."""
        for target_id in self._pick_cards(each):
            self.stage_by_id[target_id].is_lost = True
            self._schedule(
                DETECTION_S, functools.partial(self._detect_loss, target_id)
            )
        self._schedule(DETECTION_S + REPAIR_S, self._repair)

    def slow(self, each: deployments.Disturbance) -> None:
        """Slows cards down for a time."""
        for target_id in self._pick_cards(each):
            self.stage_by_id[target_id].pace = each.times
            self._schedule(
                2.0 * DETECTION_S,
                functools.partial(self._detect_pace, target_id, each.times),
            )
            self._schedule(
                each.for_s, functools.partial(self._restore_pace, target_id)
            )
        self._schedule(2.0 * DETECTION_S + REPAIR_S, self._repair)

    def add(self, each: deployments.Disturbance) -> None:
        """Adds empty cards."""
        for _ in range(each.count):
            self._added += 1
            target_id = f'{each.card}-added-{self._added}'
            zone = each.zone or self._rng.choice(sorted(self._zones()))
            self._add(
                deployments.new_target(
                    self._deployment, target_id, each.card, zone
                )
            )
        self._schedule(REPAIR_S, self._repair)

    def _zones(self) -> set[str]:
        return {
            zone
            for kind in self._deployment.card_by_kind.values()
            for zone in kind.count_by_zone
        }

    def _pipes(self) -> dict[tuple[str, str], stages.Pipe]:
        costs = self._deployment.engine
        return {
            (zone, other): stages.Pipe(
                self._env,
                costs.pipe_tokens_per_s,
                costs.crossing_ms * stages.S_PER_MS,
            )
            for zone, other in itertools.permutations(self._zones(), 2)
        }

    def _add(self, target: targets.Target) -> None:
        self.stage_by_id[target.id] = stages.Stage(
            self._env,
            self.engine,
            self._deployment.engine.chunk_tokens,
            target,
        )

    def _pick_cards(self, each: deployments.Disturbance) -> list[str]:
        """Picks random cards of a kind, preferring those that hold layers."""
        known = [
            target_id
            for target_id, stage in self.stage_by_id.items()
            if not stage.is_lost
            and stage.target.card == each.card
            and each.zone in ('', stage.target.zone)
        ]
        self._rng.shuffle(known)
        known.sort(
            key=lambda found: self.stage_by_id[found].target.layers.size == 0
        )
        return known[: each.count]

    def _schedule(self, after_s: float, act: Callable[[], None]) -> None:
        stages.call_after(self._env, self._env.now + after_s, act)

    def _detect_loss(self, target_id: str) -> None:
        self.down.add(target_id)
        for run in list(self.active_runs):
            if run.uses_target(target_id):
                run.abort()

    def _detect_pace(self, target_id: str, pace: float) -> None:
        if self.stage_by_id[target_id].pace == pace:
            self.pace_by_target[target_id] = pace

    def _restore_pace(self, target_id: str) -> None:
        self.stage_by_id[target_id].pace = 1.0
        self.pace_by_target.pop(target_id, None)

    def _repair(self) -> None:
        usable = {
            target_id: stage.target
            for target_id, stage in self.stage_by_id.items()
            if not stage.is_lost
        }
        pool = chain_pool.Pool(
            self.engine, usable, frozenset(), self.pace_by_target
        )
        self.placement = placement_repair.repair(pool, self.placement)
        for target_id, layers in self.placement.layers_by_target().items():
            stage = self.stage_by_id[target_id]
            if stage.target.layers != layers and (
                target_id not in self._loading
            ):
                self._loading.add(target_id)
                self._env.process(self._load(target_id, layers))

    def _load(
        self, target_id: str, layers: targets.LayerRange
    ) -> Generator[simpy.Event, None, None]:
        with self._loads.request() as slot:
            yield slot
            share = layers.size / self.engine.layers
            yield self._env.timeout(self.engine.load_s * share)
        self._loading.discard(target_id)
        self._set_layers(target_id, layers)
        self.graph = self._make_graph()

    def _set_layers(self, target_id: str, layers: targets.LayerRange) -> None:
        stage = self.stage_by_id[target_id]
        stage.target = stage.target._replace(layers=layers)

    def _make_graph(self) -> segments.SegmentGraph:
        members = [
            stage.target
            for stage in self.stage_by_id.values()
            if stage.target.id not in self.down
        ]
        return segments.SegmentGraph(self.engine, members)
