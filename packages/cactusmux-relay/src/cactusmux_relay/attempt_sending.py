"""Sends a stream's request by one path, and judges how that ends."""

from typing import NamedTuple

from . import context
from . import cost_model
from . import event_passing
from . import failing_targets
from . import live_streams
from . import outcomes
from . import pipe_quota
from . import stream_log
from . import stream_pace
from . import stream_parts
from . import stream_refusal
from . import stream_state

# Sends after which a request that no path took is refused.
MAX_REJECTIONS = 4


class StreamRejected(event_passing.StreamBroken):
    """No target ran the request; another path may."""


class Attempt(NamedTuple):
    """One attempt under way.

    :ivar crossings: the room in pipes that is reserved for it.
    """

    path: cost_model.Path
    live: live_streams.LiveStream
    trial: failing_targets.AttemptHealthRecorder
    pace: stream_pace.StreamPace
    crossings: pipe_quota.Reservations


class AttemptSending:
    """Sends one attempt and passes its events on."""

    def __init__(
        self,
        parts: stream_parts.StreamParts,
        state: stream_state.StreamState,
        attempt: Attempt,
    ) -> None:
        self._parts = parts
        self._state = state
        self._attempt = attempt

    def send(self) -> None:
        """Returns when the stream is complete.

        Raises :class:`event_passing.StreamBroken` if it isn't.
        """
        state = self._state
        path = self._attempt.path
        outcome = self._parts.sender.send(
            state.exchange,
            path[0].target,
            path,
            state.forwarder.last_id,
            self._attempt.live,
        )
        if isinstance(outcome, outcomes.NotRun):
            self._note_not_run(outcome)
            raise StreamRejected('not run')
        state.runs += 1
        match outcome:
            case outcomes.MaybeRun(_, detail):
                self._draw_conclusions(detail)
                raise event_passing.StreamBroken(detail)
            case outcomes.CompleteResponse() as whole:
                self._note_whole(whole)
                raise event_passing.StreamBroken(f'status {whole.head.status}')
            case outcomes.StreamingResponse() as streaming:
                self._pass_on(streaming)

    def _note_not_run(self, outcome: outcomes.NotRun) -> None:
        parts = self._parts
        state = self._state
        # Nothing went through its pipes.
        parts.ledger.note_crossings(self._attempt.path, -state.demand.tokens)
        parts.finder.release_crossings(self._attempt.crossings)
        state.rejections += 1
        if outcome.status == 0 and state.sends > 1:
            parts.budget.give_back(state.exchange.service.name)
        at_fault = parts.finder.record_rejection(state.exchange, outcome)
        self._attempt.pace.note_rejected(at_fault)
        if at_fault is not None:
            state.avoided.add(at_fault)
        # The repeats bound what follows once an answer has begun.
        is_last = state.rejections >= MAX_REJECTIONS
        if is_last and not state.forwarder.has_begun:
            stream_refusal.give_up(parts, state, outcomes.Refusal.REJECTED)

    def _note_whole(self, whole: outcomes.CompleteResponse) -> None:
        """Passes an answer that is no stream on, unless it is a failure."""
        state = self._state
        status = whole.head.status
        if status in outcomes.FAILURE_STATUSES:
            self._attempt.pace.note_failed()
            named = self._parts.header_dialect.response_facts(
                whole.head
            ).at_fault
            failed_id = self._attempt.trial.note_error_response(status, named)
            state.failed_ids.add(failed_id)
            state.avoided |= state.failed_ids
            state.last_failure = whole
        elif not state.forwarder.has_begun:
            raise context.PassFailureOn(whole)

    def _pass_on(self, streaming: outcomes.StreamingResponse) -> None:
        head, call = streaming
        try:
            self._state.forwarder.pass_on(head, call, self._note_event)
            stream_log.log_served(self._parts, self._state, self._attempt.live)
        except event_passing.StreamBroken as broken:
            self._draw_conclusions(broken.detail)
            raise
        finally:
            call.close()

    def _note_event(self) -> None:
        live = self._attempt.live
        live.note_event(self._parts.timer.now())
        self._attempt.trial.note_event()
        self._attempt.pace.note_event(live.last_at)

    def _draw_conclusions(self, detail: str) -> None:
        """Avoids the first target of a stream that broke by itself.

        A first target cuts a stream that has lost a later stage: that isn't
        its own failure.
        """
        live = self._attempt.live
        first = self._attempt.path[0].target
        if live.was_interrupted:
            return
        lost_ids = self._parts.live.lost_ids(live)
        if lost_ids and first.id not in lost_ids:
            return
        self._attempt.trial.note_broken_response(detail)
        self._attempt.pace.note_failed()
        self._state.avoided.add(first.id)
        self._parts.down.probe(first)
