"""Admission state of a service whose callers compete for capacity."""

import math

from cactusmux_base import timers

from . import admission_queue
from . import cost_model
from . import desired_state
from . import down_targets
from . import service_capacity
from . import service_load
from . import stream_admission
from . import target_registry

# Interval at which queued requests are reviewed.
REVIEW_PERIOD_S = 0.02
# The capacity is cached for this time, as targets rarely change.
CAPACITY_CACHE_S = 0.1
# Smoothing factor of the mean time for which streams hold their KV cache.
HOLD_SMOOTHING = 0.05


class ServiceAdmission:
    """Admission to one service at one instance.

    Combines the queue, the fleet-wide load and the state of this instance's
    streams.
    """

    def __init__(
        self,
        name: str,
        engine: desired_state.Engine,
        registry: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        load_tracker: service_load.ServiceLoadTracker,
        timer: timers.TimerService,
    ) -> None:
        self.name = name
        self.ranks = 1
        self.queue = admission_queue.AdmissionQueue(self._add_held)
        self._engine = engine
        self._registry = registry
        self._down = down
        self._load_tracker = load_tracker
        self._timer = timer
        # Initial estimate until streams have ended: the slowest card's time.
        self._mean_hold_s = idle_first_event_s(
            engine, 0.0, engine.usual_answer
        )
        self._resuming_by_rank: dict[int, int] = {}
        self._capacity_tokens = 0.0
        self._capacity_at = -math.inf
        self._reviewed_at = -math.inf

    def configure(self, engine: desired_state.Engine, ranks: int) -> None:
        """Sets the engine in force, and at least this number of ranks.

        Ranks are never taken back: requests that arrived before a version
        with fewer of them keep their own until they end.
        """
        if engine is not self._engine:
            self._capacity_at = -math.inf
        self._engine = engine
        self.ranks = max(self.ranks, ranks)

    @property
    def load(self) -> service_load.ServiceLoad:
        """Returns the estimated load of the service."""
        now = self._timer.now()
        if now - self._capacity_at >= CAPACITY_CACHE_S:
            down = self._down.ids
            ready = self._registry.ready(self.name)
            self._capacity_at = now
            self._capacity_tokens = service_capacity.capacity_tokens(
                self._engine, [each for each in ready if each.id not in down]
            )
        return self._load_tracker.load(
            self.name, self.ranks, self._capacity_tokens
        )

    @property
    def activity(self) -> stream_admission.Activity:
        """Returns the state of this instance's admitted streams."""
        resuming = [
            rank for rank, count in self._resuming_by_rank.items() if count
        ]
        return stream_admission.Activity(
            self._mean_hold_s, min(resuming, default=None)
        )

    def submit(
        self, candidate: stream_admission.Candidate
    ) -> tuple[int, admission_queue.Verdict]:
        """Decides a new request; see :mod:`admission_queue`."""
        self._load_tracker.record_request(
            self.name, candidate.rank, candidate.organisation, candidate.tokens
        )
        return self.queue.submit(
            candidate, self.load, self.activity, self._timer.now()
        )

    def verdict(self, number: int) -> admission_queue.Verdict:
        """Returns the present verdict on a queued request."""
        self._review()
        return self.queue.verdict(number)

    def withdraw(
        self, number: int, candidate: stream_admission.Candidate
    ) -> None:
        """Removes a request whose caller disconnected while it waited."""
        if self.queue.withdraw(number):
            self.release(candidate)

    def release(self, candidate: stream_admission.Candidate) -> None:
        """Releases the capacity of an admitted request."""
        self._load_tracker.add_held_tokens(
            self.name,
            candidate.rank,
            candidate.organisation,
            -candidate.tokens,
        )

    def record_rejection(self, candidate: stream_admission.Candidate) -> None:
        """Counts a request that was rejected for lack of capacity."""
        self._load_tracker.record_rejection(
            self.name, candidate.rank, candidate.tokens
        )

    def _add_held(self, candidate: stream_admission.Candidate) -> None:
        self._load_tracker.add_held_tokens(
            self.name, candidate.rank, candidate.organisation, candidate.tokens
        )

    def _review(self) -> None:
        """Reviews the queue, at most once per half review period."""
        now = self._timer.now()
        if now - self._reviewed_at < REVIEW_PERIOD_S / 2.0:
            return
        self._reviewed_at = now
        self.queue.review(self.load, self.activity, now)

    def record_hold_time(self, hold_s: float) -> None:
        """Records for how many seconds a stream held its KV cache."""
        self._mean_hold_s += HOLD_SMOOTHING * (hold_s - self._mean_hold_s)

    def count_resuming(self, rank: int, change: int) -> None:
        """Counts running streams that search for another path."""
        count = self._resuming_by_rank.get(rank, 0) + change
        self._resuming_by_rank[rank] = max(0, count)


def idle_first_event_s(
    engine: desired_state.Engine, prompt_tokens: float, event_tokens: float
) -> float:
    """Returns the time to the first event on an idle path of slowest cards.

    :param event_tokens: answer tokens that are decoded by then.
    """
    cards = engine.card_by_name.values()
    layers = engine.layers
    total_ms = max(
        cost_model.prefill_ms(engine, card, layers, prompt_tokens)
        + event_tokens
        * cost_model.decode_step_ms(engine, card, layers, 1.0, 0.0)
        for card in cards
    )
    return total_ms / cost_model.MS_PER_S
