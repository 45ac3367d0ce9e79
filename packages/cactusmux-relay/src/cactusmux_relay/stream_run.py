"""Runs one stream from its request to its end, in one or more attempts."""

import functools

from . import attempt_sender
from . import context
from . import event_forwarding
from . import outcomes
from . import quarantine_gate
from . import stream_attempt
from . import stream_log
from . import stream_parts
from . import stream_paths
from . import stream_refusal
from . import stream_state

StreamParts = stream_parts.StreamParts


class StreamRun:
    """Makes attempts until the response of one request completes or fails."""

    def __init__(self, parts: StreamParts, exchange: context.Exchange) -> None:
        self._parts = parts
        self._state = stream_state.StreamState(parts, exchange)
        self._paths = stream_paths.StreamPaths(parts, self._state)
        self._gate = quarantine_gate.QuarantineGate(parts, self._state)

    def serve(self) -> None:
        """Streams the response.

        Raises :class:`context.RequestRefused`, or
        :class:`context.PassFailureOn` with a response that is no stream. Once
        the response has begun, a failure raises
        :class:`context.StreamAborted`.
        """
        try:
            self._run_attempts()
        finally:
            self._paths.release()
            self._state.ticket.release(self._state.forwarder.has_begun)

    def _run_attempts(self) -> None:
        while True:
            self._gate.refuse_quarantined()
            found = self._paths.find_next()
            # It may have been quarantined while the request waited.
            self._gate.refuse_quarantined()
            attempt = self._make_attempt(found)
            try:
                attempt.run()
                return
            except attempt_sender.StreamRejected:
                pass
            except event_forwarding.StreamBroken as broken:
                stream_log.log_broken(
                    self._parts, self._state, found.path, attempt.live, broken
                )
            if not self._state.may_resume(self._state.runs):
                stream_refusal.end_with_refusal(
                    self._parts, self._state, outcomes.Refusal.TARGET_FAILED
                )
            if self._state.runs:
                self._gate.await_clearance()

    def _make_attempt(
        self, found: stream_paths.FoundPath
    ) -> stream_attempt.StreamAttempt:
        reserve_next = functools.partial(
            self._paths.reserve_next, self._state.runs
        )
        return stream_attempt.StreamAttempt(
            self._parts, self._state, found, reserve_next
        )
