"""The router's admission by urgency, on the model's time."""

from collections.abc import Generator
import random

from cactusmux_base import timers
from cactusmux_relay import admission_queue
from cactusmux_relay import down_targets
from cactusmux_relay import service_admission
from cactusmux_relay import service_load
from cactusmux_relay import stream_admission
from cactusmux_relay import stream_gate
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import simpy

from . import deployments
from . import simulated_pool

# The model knows no organisations.
ORGANISATION = 0


class _WorldBook(target_registry.TargetRegistry):
    """Targets that hold layers in the model's placement."""

    def __init__(self, world: simulated_pool.SimulatedPool) -> None:
        super().__init__()
        self._world = world

    def ready(self, service: str) -> list[targets.Target]:
        found = {
            each.target.id: each.target for each in self._world.graph.segments
        }
        return list(found.values())


class _WorldDown(down_targets.DownTargets):
    """Targets that the router knows to be down."""

    def __init__(
        self,
        world: simulated_pool.SimulatedPool,
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        super().__init__(timer, rng)
        self._world = world

    @property
    def ids(self) -> frozenset[str]:
        return frozenset(self._world.down)


class Gate:
    """One instance's gate; all of them have the same targets."""

    def __init__(
        self,
        env: simpy.Environment,
        deployment: deployments.Deployment,
        world: simulated_pool.SimulatedPool,
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        self._env = env
        self._rng = rng
        self._engine = world.engine
        self.service_load = service_load.ServiceLoadTracker(
            timer, lambda: deployment.instances
        )
        self._service = service_admission.ServiceAdmission(
            deployments.SERVICE,
            world.engine,
            _WorldBook(world),
            _WorldDown(world, timer, rng),
            self.service_load,
            timer,
        )
        kinds = deployment.request_by_kind.values()
        ranks = 1 + max(each.rank for each in kinds)
        self._service.configure(world.engine, ranks)

    def latest_start(
        self, kind: deployments.RequestKind, prompt: float, is_returning: bool
    ) -> float:
        """Returns until when a request that comes now may begin."""
        if is_returning:
            return float(self._env.now) + stream_gate.RETURNING_WAIT_S
        first_s = service_admission.first_event_s(
            self._engine, prompt, self._engine.event_tokens
        )
        aim_at = float(self._env.now) + kind.aim_s
        return aim_at - stream_gate.BUSY_FACTOR * first_s

    def enter(
        self, candidate: stream_admission.Candidate
    ) -> Generator[simpy.Event, None, admission_queue.Verdict]:
        """Returns what is decided of a request, after its wait."""
        number, verdict = self._service.submit(candidate)
        while isinstance(verdict, admission_queue.Waiting):
            yield self._env.timeout(service_admission.REVIEW_S)
            verdict = self._service.verdict(number)
        if isinstance(verdict, admission_queue.Rejected):
            self._service.note_rejected(candidate)
        return verdict

    def end(
        self, candidate: stream_admission.Candidate, begun_at: float
    ) -> None:
        """Gives back the room of an admitted request."""
        self._service.end(candidate)
        self._service.note_held(float(self._env.now) - begun_at)

    def retry_after_s(self, expected_s: float, rank: int) -> float:
        """Returns when a rejected caller comes again."""
        return stream_admission.retry_after_s(
            expected_s, self._rng.random(), rank
        )
