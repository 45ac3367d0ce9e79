"""Refuses or delays the sends of streams with suspect parts of a prompt."""

from . import outcomes
from . import stream_parts
from . import stream_refusal
from . import stream_state

POLL_S = 0.02


class QuarantineGate:
    """Decides before each send of one stream whether it may be sent."""

    def __init__(
        self, parts: stream_parts.StreamParts, state: stream_state.StreamState
    ) -> None:
        self._parts = parts
        self._state = state

    def refuse_quarantined(self) -> None:
        """Ends the request if a part of its prompt is quarantined."""
        key = self._parts.quarantine.find(self._state.requester)
        if key is None:
            return
        self._parts.quarantine.record_refusal(
            self._state.exchange.facts.request_id, key
        )
        stream_refusal.end_with_refusal(
            self._parts, self._state, outcomes.Refusal.QUARANTINED
        )

    def await_clearance(self) -> None:
        """Delays the repeat of a request under which a target has ended.

        Peers then have the time to say that its parts are sound or fatal. It
        isn't repeated if other targets have ended under them, too.
        """
        requester = self._state.requester
        crashes = self._parts.crashes
        while True:
            if not self._parts.quarantine.may_repeat(requester):
                self.refuse_quarantined()
                stream_refusal.end_with_refusal(
                    self._parts, self._state, outcomes.Refusal.TARGET_FAILED
                )
            delay_s = crashes.repeat_delay_s(requester.parts)
            if delay_s <= 0.0:
                return
            self._parts.timer.sleep(min(delay_s, POLL_S))
