"""What one instance knows of a service whose callers compete for room."""

import math

from cactusmux_base import timers

from . import admission_queue
from . import cost_model
from . import desired_state
from . import down_targets
from . import service_load
from . import service_room
from . import stream_admission
from . import target_registry

# Requests that wait are looked at this often.
REVIEW_S = 0.02
# The room is computed anew after this time, as targets change seldom.
ROOM_AGE_S = 0.1
# Weight of one more stream in the mean time that streams hold their memory.
HOLD_SMOOTHING = 0.05


class ServiceAdmission:
    """Admission to one service at one instance.

    Joins the queue, the fleet-wide pressure and what this instance's streams
    do.
    """

    def __init__(
        self,
        name: str,
        engine: desired_state.Engine,
        book: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        pressures: service_load.ServiceLoadTracker,
        timer: timers.TimerService,
    ) -> None:
        self.name = name
        self.ranks = 1
        self.queue = admission_queue.AdmissionQueue(self._hold)
        self._engine = engine
        self._book = book
        self._down = down
        self._pressures = pressures
        self._timer = timer
        # First estimate, until streams have ended: the slowest card's pace.
        self._hold_s = first_event_s(engine, 0.0, engine.usual_answer)
        self._resuming_by_rank: dict[int, int] = {}
        self._room_tokens = 0.0
        self._room_at = -math.inf
        self._reviewed_at = -math.inf

    def configure(self, engine: desired_state.Engine, ranks: int) -> None:
        """Takes the engine and the number of ranks in force."""
        if engine is not self._engine:
            self._room_at = -math.inf
        self._engine = engine
        self.ranks = ranks

    @property
    def pressure(self) -> service_load.Pressure:
        """Returns what is believed of the service now."""
        now = self._timer.now()
        if now - self._room_at >= ROOM_AGE_S:
            down = self._down.ids
            ready = self._book.ready(self.name)
            self._room_at = now
            self._room_tokens = service_room.room_tokens(
                self._engine, [each for each in ready if each.id not in down]
            )
        return self._pressures.load(self.name, self.ranks, self._room_tokens)

    @property
    def activity(self) -> stream_admission.Activity:
        """Returns what the admitted streams of this instance do."""
        resuming = [
            rank for rank, count in self._resuming_by_rank.items() if count
        ]
        return stream_admission.Activity(
            self._hold_s, min(resuming, default=None)
        )

    def submit(
        self, candidate: stream_admission.Candidate
    ) -> tuple[int, admission_queue.Verdict]:
        """Decides a new request; see :class:`admission_queue`."""
        self._pressures.note_asked(
            self.name, candidate.rank, candidate.organisation, candidate.tokens
        )
        return self.queue.submit(
            candidate, self.pressure, self.activity, self._timer.now()
        )

    def verdict(self, number: int) -> admission_queue.Verdict:
        """Returns what is now decided of a request that waits."""
        self._review()
        return self.queue.verdict(number)

    def withdraw(
        self, number: int, candidate: stream_admission.Candidate
    ) -> None:
        """Forgets a request whose caller has gone while it waited."""
        if self.queue.withdraw(number):
            self.end(candidate)

    def end(self, candidate: stream_admission.Candidate) -> None:
        """Gives back the room of an admitted request."""
        self._pressures.hold(
            self.name,
            candidate.rank,
            candidate.organisation,
            -candidate.tokens,
        )

    def note_rejected(self, candidate: stream_admission.Candidate) -> None:
        """Counts a request that was rejected for want of room."""
        self._pressures.note_rejected(
            self.name, candidate.rank, candidate.tokens
        )

    def _hold(self, candidate: stream_admission.Candidate) -> None:
        self._pressures.hold(
            self.name, candidate.rank, candidate.organisation, candidate.tokens
        )

    def _review(self) -> None:
        """Reviews the queue, at most once in half a review period."""
        now = self._timer.now()
        if now - self._reviewed_at < REVIEW_S / 2.0:
            return
        self._reviewed_at = now
        self.queue.review(self.pressure, self.activity, now)

    def note_held(self, held_s: float) -> None:
        """Notes for how long a stream held its memory."""
        self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)

    def count_resuming(self, rank: int, change: int) -> None:
        """Counts streams that have begun and look for another path."""
        count = self._resuming_by_rank.get(rank, 0) + change
        self._resuming_by_rank[rank] = max(0, count)


def first_event_s(
    engine: desired_state.Engine, prompt_tokens: float, event_tokens: float
) -> float:
    """Returns the time to the first event on an idle path of slowest cards.

    :param event_tokens: tokens of the answer to be written by then.
    """
    cards = engine.card_by_name.values()
    layers = engine.layers
    whole_ms = max(
        cost_model.prefill_ms(engine, card, layers, prompt_tokens)
        + event_tokens
        * cost_model.decode_step_ms(engine, card, layers, 1.0, 0.0)
        for card in cards
    )
    return whole_ms / cost_model.MS_PER_S
