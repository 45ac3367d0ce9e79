"""Ends a stream that can't be served or completed."""

from typing import NoReturn

from . import context
from . import outcomes
from . import quarantine
from . import stream_parts
from . import stream_state


def end_with_refusal(
    parts: stream_parts.StreamParts,
    state: stream_state.StreamState,
    refusal: outcomes.Refusal,
    retry_s: float | None = None,
) -> NoReturn:
    """Ends the request with an exception that fits its progress.

    :param retry_s: retry delay in seconds, ``None`` if it isn't known.
    """
    if state.forwarder.has_begun:
        raise context.StreamAborted(refusal)
    if state.last_failure is not None:
        raise context.PassFailureOn(state.last_failure)
    if state.runs > 0:
        raise context.RequestRefused(refusal, True, None)
    if refusal is outcomes.Refusal.QUARANTINED:
        # Not a want of room: the caller doesn't get ahead when it returns.
        raise context.RequestRefused(refusal, False, quarantine.RETRY_AFTER_S)
    retry_after_s = _retry_after_s(parts, state, retry_s)
    if state.is_returning:
        parts.metric.count('relay.refused_again')
    raise context.RequestRefused(refusal, False, retry_after_s)


def _retry_after_s(
    parts: stream_parts.StreamParts,
    state: stream_state.StreamState,
    retry_s: float | None,
) -> float:
    """Records the refusal and returns the retry delay in seconds."""
    service = state.exchange.service
    wait_s = max(
        parts.finder.backoff_wait_s(service),
        parts.finder.first_stages.next_turn_s(service.name),
    )
    usual_s = parts.refused.record_refusal(state.caller_key, wait_s)
    if retry_s is None:
        retry_s = state.ticket.retry_after_s(usual_s)
    # Targets in backoff, or their rate limits, may keep the service
    # unavailable for longer.
    return max(retry_s, wait_s)
