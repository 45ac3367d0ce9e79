"""Finds the next path of one stream and charges it to the retry budget."""

from typing import NamedTuple

from returns import result

from . import cost_model
from . import failover_reservation
from . import outcomes
from . import path_choice
from . import path_queue
from . import stream_parts
from . import stream_refusal
from . import stream_state

# How long a request waits that a target has rejected.
PATH_WAIT_S = 0.05
# The same for a caller that was rejected before: it is late in any case.
RETURNING_PATH_WAIT_S = 1.0
# A resumed stream waits until shortly before its caller's time-out.
RESUME_PATH_WAIT_S = 1.8
RETRY_BUDGET_POLL_S = 0.05


class FoundPath(NamedTuple):
    """A path with free capacity.

    :ivar pause_ms: expected interval between events.
    """

    path: cost_model.Path
    pause_ms: float


class StreamPaths:
    """Finds the path of each attempt of one stream."""

    def __init__(
        self,
        parts: stream_parts.StreamParts,
        state: stream_state.StreamState,
    ) -> None:
        self._parts = parts
        self._state = state
        self._service = state.exchange.service.name
        self._no_path_reason = outcomes.Refusal.NO_ROOM
        self._reservation = failover_reservation.FailoverReservation(
            parts.finder,
            parts.ledger,
            parts.budget,
            state.exchange,
            state.demand,
        )

    def find_next(self) -> FoundPath:
        """Returns the next path; rejects the request if there is none."""
        state = self._state
        reserved = self._reservation.release()
        if reserved is not None and reserved.path is not None:
            if self._parts.finder.is_usable(self._service, reserved.path):
                return FoundPath(reserved.path, reserved.pause_ms)
        if not state.runs and self._parts.finder.has_only_leaving_targets(
            self._service
        ):
            stream_refusal.end_with_refusal(
                self._parts, state, outcomes.Refusal.NO_TARGET
            )
        if not state.sends:
            self._admit()
        found = self._choose_next()
        if found is not None and reserved is None and state.sends:
            found = self._charge_retry(found)
        if found is None:
            stream_refusal.end_with_refusal(
                self._parts, state, self._no_path_reason
            )
        return found

    def reserve_next(self, runs_before: int) -> bool:
        """Reserves a path and a retry before the current attempt is cut.

        :param runs_before: number of runs before the current one.
        :returns: whether the attempt may be cut.
        """
        if not self._state.may_resume(runs_before + 1):
            return self._reservation.log_kept(outcomes.Refusal.TARGET_FAILED)
        return self._reservation.reserve(self._state.avoided)

    def release(self) -> None:
        """Releases a reservation that isn't used."""
        self._reservation.release()

    def _admit(self) -> None:
        """Passes admission control, or rejects the request."""
        state = self._state
        admitted = self._parts.gate.admit(
            state.exchange, state.demand, state.caller_key, state.is_returning
        )
        match admitted:
            case result.Success(ticket):
                state.ticket = ticket
                self._reservation.repeats_kept = ticket.reserved_retry_share
            case result.Failure(retry_s):
                stream_refusal.end_with_refusal(
                    self._parts, state, outcomes.Refusal.NO_ROOM, retry_s
                )

    def _choose_next(self) -> FoundPath | None:
        """Returns a path for the first attempt, or one after a failure."""
        state = self._state
        ticket = state.ticket
        if not state.sends:
            wait_s = ticket.path_wait_s(self._path_wait_s())
            return self._choose(wait_s, ticket.restricted_demand(state.demand))
        ticket.set_resuming(state.forwarder.has_begun)
        try:
            return self._choose(self._path_wait_s(), state.demand)
        finally:
            ticket.set_resuming(False)

    def _path_wait_s(self) -> float:
        state = self._state
        if state.last_failure is not None and not state.forwarder.has_begun:
            return PATH_WAIT_S
        if state.runs:
            return RESUME_PATH_WAIT_S
        if state.is_returning:
            return RETURNING_PATH_WAIT_S
        exchange = state.exchange
        passed_s = self._parts.timer.now() - exchange.request.received_at
        return path_queue.new_request_wait_s(
            exchange.route.objective_s, passed_s
        )

    def _rank(self) -> path_queue.Rank:
        if self._state.runs:
            return path_queue.Rank.RESUMED
        if self._state.is_returning:
            return path_queue.Rank.RETURNING
        return path_queue.Rank.NEW

    def _charge_retry(self, found: FoundPath) -> FoundPath | None:
        """Charges a retry for a path; searches again after a wait for it."""
        started_at = self._parts.timer.now()
        if not self._take_retry():
            stream_refusal.end_with_refusal(
                self._parts, self._state, outcomes.Refusal.REPEATS_SPENT
            )
        if self._parts.timer.now() <= started_at:
            return found
        # Targets that were free before the wait may be full or gone now.
        found_again = self._choose(0.0, self._state.demand)
        if found_again is None:
            self._parts.budget.give_back(self._service)
        return found_again

    def _take_retry(self) -> bool:
        """Takes a retry from the budget.

        Only a stream whose caller has received data waits for one.
        """
        state = self._state
        timer = self._parts.timer
        wait_s = RESUME_PATH_WAIT_S if state.forwarder.has_begun else 0.0
        until = min(timer.now() + wait_s, state.exchange.ends_at)
        budget = self._parts.budget
        share_kept = state.ticket.reserved_retry_share
        while not (
            budget.has_left(self._service, share_kept)
            and budget.take(self._service)
        ):
            if timer.now() >= until:
                return False
            timer.sleep(RETRY_BUDGET_POLL_S)
        return True

    def _choose(
        self, wait_s: float, demand: path_choice.Demand
    ) -> FoundPath | None:
        """Returns a path with free capacity, if there is one.

        If there is none without the avoided targets, these are allowed
        again: all of them if the caller has received data, else all but
        those that failed.
        """
        state = self._state
        found = self._query_finder(wait_s, demand)
        if found is None and state.avoided:
            # Before the first event, a failure is reported to the caller
            # instead of sending the request to the same target again.
            has_begun = state.forwarder.has_begun
            state.avoided = set() if has_begun else set(state.failed_ids)
            found = self._query_finder(0.0, demand)
        return found

    def _query_finder(
        self, wait_s: float, demand: path_choice.Demand
    ) -> FoundPath | None:
        state = self._state
        choice = self._parts.finder.choose(
            state.exchange, demand, state.avoided, wait_s, self._rank()
        )
        if choice.path is None:
            self._no_path_reason = outcomes.Refusal.NO_ROOM
            if choice.held:
                self._no_path_reason = outcomes.Refusal.RATE_LIMITED
            return None
        return FoundPath(choice.path, choice.pause_ms)
