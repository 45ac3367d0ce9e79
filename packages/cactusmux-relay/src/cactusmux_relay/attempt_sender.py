"""Sends a stream's request on one path and evaluates the outcome."""

from typing import NamedTuple

from . import context
from . import cost_model
from . import event_forwarding
from . import failing_targets
from . import live_streams
from . import outcomes
from . import pipe_quota
from . import stream_latency
from . import stream_log
from . import stream_parts
from . import stream_refusal
from . import stream_state
from . import target_crashes

# Number of rejected sends after which a request is refused.
MAX_REJECTIONS = 4


class StreamRejected(event_forwarding.StreamBroken):
    """No target ran the request; it may be sent on another path."""


class Attempt(NamedTuple):
    """An attempt in progress.

    :ivar crossings: reserved capacity of links between zones.
    """

    path: cost_model.Path
    live: live_streams.LiveStream
    health_recorder: failing_targets.AttemptHealthRecorder
    pace: stream_latency.StreamLatency
    crossings: pipe_quota.Reservations
    watched: target_crashes.WatchedAttempt


class AttemptSender:
    """Sends one attempt and forwards its events."""

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

        Raises :class:`event_forwarding.StreamBroken` if it isn't.
        """
        state = self._state
        path = self._attempt.path
        outcome = self._parts.sender.send(
            state.exchange,
            path[0].target,
            path,
            state.forwarder.last_id,
            self._attempt.live,
            has_run=state.runs > 0,
        )
        if isinstance(outcome, outcomes.NotRun):
            self._record_rejection(outcome)
            raise StreamRejected('not run')
        state.runs += 1
        match outcome:
            case outcomes.MaybeRun(_, detail):
                self._record_broken_stream(detail)
                raise event_forwarding.StreamBroken(detail)
            case outcomes.CompleteResponse() as response:
                self._handle_complete_response(response)
                raise event_forwarding.StreamBroken(
                    f'status {response.head.status}'
                )
            case outcomes.StreamingResponse() as streaming:
                self._forward(streaming)

    def _record_rejection(self, outcome: outcomes.NotRun) -> None:
        parts = self._parts
        state = self._state
        # Nothing was sent over the links between zones.
        parts.ledger.record_crossings(self._attempt.path, -state.demand.tokens)
        parts.finder.release_crossings(self._attempt.crossings)
        state.rejections += 1
        if outcome.status == 0 and state.sends > 1:
            parts.budget.give_back(state.exchange.service.name)
        at_fault = parts.finder.record_rejection(state.exchange, outcome)
        self._attempt.pace.record_rejection(at_fault)
        if at_fault is not None:
            state.avoided.add(at_fault)
        # Once the response has begun, the retry budget bounds further sends.
        is_last = state.rejections >= MAX_REJECTIONS
        if is_last and not state.forwarder.has_begun:
            stream_refusal.end_with_refusal(
                parts, state, outcomes.Refusal.REJECTED
            )

    def _handle_complete_response(
        self, response: outcomes.CompleteResponse
    ) -> None:
        """Records a failure; passes on any other response but a stream."""
        state = self._state
        status = response.head.status
        if status in outcomes.FAILURE_STATUSES:
            self._attempt.pace.record_failure()
            at_fault = self._parts.header_dialect.response_facts(
                response.head
            ).at_fault
            failed_id = self._attempt.health_recorder.record_error_response(
                status, at_fault
            )
            state.failed_ids.add(failed_id)
            state.avoided |= state.failed_ids
            state.last_failure = response
        elif not state.forwarder.has_begun:
            raise context.PassFailureOn(response)

    def _forward(self, streaming: outcomes.StreamingResponse) -> None:
        head, call = streaming
        self._attempt.live.response_at = self._parts.timer.now()
        try:
            self._state.forwarder.forward(head, call, self._record_event)
            self._attempt.watched.record_complete()
            stream_log.log_served(self._parts, self._state, self._attempt.live)
        except event_forwarding.StreamBroken as broken:
            self._record_broken_stream(broken.detail)
            raise
        finally:
            call.close()

    def _record_event(self) -> None:
        live = self._attempt.live
        live.record_event(self._parts.timer.now())
        self._attempt.health_recorder.record_event()
        self._attempt.pace.record_event(live.last_event_at)
        self._attempt.watched.record_event(live.last_event_at)

    def _record_broken_stream(self, detail: str) -> None:
        """Avoids the first target of a stream that wasn't interrupted.

        A first target also closes a stream that has lost a later stage; that
        isn't a failure of its own.
        """
        live = self._attempt.live
        first = self._attempt.path[0].target
        if live.was_interrupted:
            return
        self._attempt.watched.record_broken()
        lost_ids = self._parts.live.lost_ids(live)
        if lost_ids and first.id not in lost_ids:
            return
        self._attempt.health_recorder.record_broken_response(detail)
        self._attempt.pace.record_failure()
        self._state.avoided.add(first.id)
        self._parts.down.probe(first)
