"""Finds the next path of one stream, and pays for it where it costs."""

from typing import NamedTuple

from returns import result

from . import cost_model
from . import failover_reservation
from . import outcomes
from . import path_choice
from . import stream_parts
from . import stream_refusal
from . import stream_state

# A path is looked for so long.
PATH_WAIT_S = 0.05
# A caller that was refused before is late in any case.
RETURNING_PATH_WAIT_S = 1.0
# A resumed stream waits until shortly before its caller gives it up.
RESUME_PATH_WAIT_S = 1.8
REPEAT_POLL_S = 0.05


class FoundPath(NamedTuple):
    """A path with room, and the pause between events to expect on it."""

    path: cost_model.Path
    pause_ms: float


class StreamPaths:
    """The paths of one stream, one after another."""

    def __init__(
        self,
        parts: stream_parts.StreamParts,
        state: stream_state.StreamState,
    ) -> None:
        self._parts = parts
        self._state = state
        self._service = state.exchange.service.name
        self._hand_over = failover_reservation.FailoverReservation(
            parts.finder,
            parts.ledger,
            parts.budget,
            state.exchange,
            state.demand,
        )

    def find_next(self) -> FoundPath:
        """Returns the next path, or ends the request if there is none."""
        state = self._state
        secured = self._hand_over.release()
        if secured is not None and secured.path is not None:
            if self._parts.finder.is_usable(self._service, secured.path):
                return FoundPath(secured.path, secured.pause_ms)
        if not state.runs and self._parts.finder.has_only_leaving_targets(
            self._service
        ):
            stream_refusal.give_up(
                self._parts, state, outcomes.Refusal.NO_TARGET
            )
        if not state.sends:
            self._enter()
        found = self._choose_next()
        if found is not None and secured is None and state.sends:
            found = self._paid_for(found)
        if found is None:
            stream_refusal.give_up(
                self._parts, state, outcomes.Refusal.NO_ROOM
            )
        return found

    def reserve_next(self, runs_before: int) -> bool:
        """Secures a way on, for when the present attempt is cut.

        :param runs_before: how many runs went before the present one.
        """
        if not self._state.may_resume(runs_before + 1):
            return self._hand_over.note_kept(outcomes.Refusal.TARGET_FAILED)
        return self._hand_over.reserve(self._state.avoided)

    def release(self) -> None:
        """Gives back what was secured and isn't used."""
        self._hand_over.release()

    def _enter(self) -> None:
        """Gets leave to begin, or gives up."""
        state = self._state
        entered = self._parts.gate.enter(
            state.exchange, state.demand, state.caller_key, state.is_returning
        )
        match entered:
            case result.Success(ticket):
                state.ticket = ticket
                self._hand_over.repeats_kept = ticket.repeats_kept
            case result.Failure(retry_s):
                stream_refusal.give_up(
                    self._parts, state, outcomes.Refusal.NO_ROOM, retry_s
                )

    def _choose_next(self) -> FoundPath | None:
        """Returns a path for the first send, or to go on after a failure."""
        state = self._state
        ticket = state.ticket
        if not state.sends:
            wait_s = ticket.path_wait_s(self._room_wait_s())
            return self._choose(wait_s, ticket.demand(state.demand))
        ticket.set_resuming(state.forwarder.has_begun)
        try:
            return self._choose(self._room_wait_s(), state.demand)
        finally:
            ticket.set_resuming(False)

    def _room_wait_s(self) -> float:
        state = self._state
        if state.last_failure is not None and not state.forwarder.has_begun:
            return PATH_WAIT_S
        if state.runs:
            return RESUME_PATH_WAIT_S
        if state.is_returning:
            return RETURNING_PATH_WAIT_S
        return PATH_WAIT_S

    def _paid_for(self, found: FoundPath) -> FoundPath | None:
        """Takes a repeat for a path, or for another one after a wait."""
        asked_at = self._parts.timer.now()
        if not self._take_repeat():
            stream_refusal.give_up(
                self._parts, self._state, outcomes.Refusal.REPEATS_SPENT
            )
        if self._parts.timer.now() <= asked_at:
            return found
        # What was free before the wait may be full or gone by now.
        found_again = self._choose(0.0, self._state.demand)
        if found_again is None:
            self._parts.budget.give_back(self._service)
        return found_again

    def _take_repeat(self) -> bool:
        """Takes a repeat; a stream that has begun waits for one."""
        state = self._state
        timer = self._parts.timer
        wait_s = RESUME_PATH_WAIT_S if state.forwarder.has_begun else 0.0
        until = min(timer.now() + wait_s, state.exchange.ends_at)
        budget = self._parts.budget
        kept = state.ticket.repeats_kept
        while not (
            budget.has_left(self._service, kept) and budget.take(self._service)
        ):
            if timer.now() >= until:
                return False
            timer.sleep(REPEAT_POLL_S)
        return True

    def _choose(
        self, wait_s: float, demand: path_choice.Demand
    ) -> FoundPath | None:
        """Returns a path with room and its expected pause, if any is left."""
        state = self._state
        found = self._ask_finder(wait_s, demand)
        if found is None and state.avoided:
            # A failure is passed on rather than asked for again.
            has_begun = state.forwarder.has_begun
            state.avoided = set() if has_begun else set(state.failed_ids)
            found = self._ask_finder(0.0, demand)
        return found

    def _ask_finder(
        self, wait_s: float, demand: path_choice.Demand
    ) -> FoundPath | None:
        state = self._state
        choice = self._parts.finder.choose(
            state.exchange, demand, state.avoided, wait_s, state.runs > 0
        )
        if choice.path is None:
            return None
        return FoundPath(choice.path, choice.pause_ms)
