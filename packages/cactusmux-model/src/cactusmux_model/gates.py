"""The router's admission by urgency, in simulated time."""

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

# All simulated requests belong to one organisation.
ORGANISATION = 0


class _SimulatedRegistry(target_registry.TargetRegistry):
    """Targets that hold layers in the simulated placement."""

    def __init__(self, sim_pool: simulated_pool.SimulatedPool) -> None:
        super().__init__()
        self._sim_pool = sim_pool

    def ready(self, service: str) -> list[targets.Target]:
        found = {
            each.target.id: each.target
            for each in self._sim_pool.graph.segments
        }
        return list(found.values())


class _SimulatedDownTargets(down_targets.DownTargets):
    """Targets that the router knows to be down."""

    def __init__(
        self,
        sim_pool: simulated_pool.SimulatedPool,
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        super().__init__(timer, rng)
        self._sim_pool = sim_pool

    @property
    def ids(self) -> frozenset[str]:
        return frozenset(self._sim_pool.down)


class Gate:
    """The admission gate of one instance; all instances share the targets."""

    def __init__(
        self,
        env: simpy.Environment,
        deployment: deployments.Deployment,
        sim_pool: simulated_pool.SimulatedPool,
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        self._env = env
        self._rng = rng
        self._engine = sim_pool.engine
        self.service_load = service_load.ServiceLoadTracker(
            timer, lambda: deployment.instances
        )
        self._service = service_admission.ServiceAdmission(
            deployments.SERVICE,
            sim_pool.engine,
            _SimulatedRegistry(sim_pool),
            _SimulatedDownTargets(sim_pool, timer, rng),
            self.service_load,
            timer,
        )
        kinds = deployment.request_by_kind.values()
        ranks = 1 + max(each.rank for each in kinds)
        self._service.configure(sim_pool.engine, ranks)

    def latest_start(
        self, kind: deployments.RequestKind, prompt: float, is_returning: bool
    ) -> float:
        """Returns the latest start of a request that arrives now."""
        if is_returning:
            return float(self._env.now) + stream_gate.RETURNING_WAIT_S
        first_s = service_admission.idle_first_event_s(
            self._engine, prompt, self._engine.event_tokens
        )
        aim_at = float(self._env.now) + kind.aim_s
        return aim_at - stream_gate.BUSY_FACTOR * first_s

    def enter(
        self, candidate: stream_admission.Candidate
    ) -> Generator[simpy.Event, None, admission_queue.Verdict]:
        """Waits for and returns the verdict on a request."""
        number, verdict = self._service.submit(candidate)
        while isinstance(verdict, admission_queue.Waiting):
            yield self._env.timeout(service_admission.REVIEW_PERIOD_S)
            verdict = self._service.verdict(number)
        if isinstance(verdict, admission_queue.Rejected):
            self._service.record_rejection(candidate)
        return verdict

    def end(
        self, candidate: stream_admission.Candidate, started_at: float
    ) -> None:
        """Releases the capacity of an admitted request."""
        self._service.release(candidate)
        self._service.record_hold_time(float(self._env.now) - started_at)

    def retry_after_s(self, expected_s: float, rank: int) -> float:
        """Returns the delay after which a rejected caller retries."""
        return stream_admission.retry_after_s(
            expected_s, self._rng.random(), rank
        )
