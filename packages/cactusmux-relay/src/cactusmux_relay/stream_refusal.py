"""Ends a stream that can't be served, or not to its end."""

from typing import NoReturn

from . import context
from . import outcomes
from . import stream_parts
from . import stream_state


def give_up(
    parts: stream_parts.StreamParts,
    state: stream_state.StreamState,
    refusal: outcomes.Refusal,
    retry_s: float | None = None,
) -> NoReturn:
    """Ends the request.

    :param retry_s: when the caller is to return, where that is known.
    """
    if state.forwarder.has_begun:
        raise context.StreamAborted(refusal)
    if state.last_failure is not None:
        raise context.PassFailureOn(state.last_failure)
    if state.runs > 0:
        raise context.RequestRefused(refusal, True, None)
    retry_after_s = _retry_after_s(parts, state, retry_s)
    if state.is_returning:
        parts.metric.count('relay.refused_again')
    raise context.RequestRefused(refusal, False, retry_after_s)


def _retry_after_s(
    parts: stream_parts.StreamParts,
    state: stream_state.StreamState,
    retry_s: float | None,
) -> float:
    """Notes the refusal and returns when the caller is to return."""
    wait_s = parts.finder.backoff_wait_s(state.exchange.service)
    usual_s = parts.refused.note_refused(state.caller_key, wait_s)
    if retry_s is None:
        retry_s = state.ticket.retry_after_s(usual_s)
    # Targets that are left alone may keep the service longer.
    return max(retry_s, wait_s)
