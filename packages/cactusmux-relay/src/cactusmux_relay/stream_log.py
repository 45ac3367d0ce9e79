"""Log events and metrics of single streams."""

from cactusmux_base import events

from . import cost_model
from . import event_forwarding
from . import event_ids
from . import live_streams
from . import stream_parts
from . import stream_paths
from . import stream_state


def log_path(
    parts: stream_parts.StreamParts,
    state: stream_state.StreamState,
    found: stream_paths.FoundPath,
) -> None:
    """Logs the path on which a request is sent next."""
    exchange = state.exchange
    left_s = exchange.ends_at - parts.timer.now()
    events.info(
        'path_chosen',
        id=exchange.facts.request_id,
        route=exchange.route.name,
        path=_ids(found.path),
        tokens=int(state.demand.tokens),
        expected_pause_ms=int(found.pause_ms),
        send=state.sends,
        returning=state.is_returning,
        after_event=event_ids.logged(state.forwarder.last_id),
        left_ms=_ms(left_s),
        parts=_shared_parts(state),
    )


def log_served(
    parts: stream_parts.StreamParts,
    state: stream_state.StreamState,
    live: live_streams.LiveStream,
) -> None:
    """Logs a stream that was forwarded to its end; records its metrics."""
    now = parts.timer.now()
    forwarder = state.forwarder
    received_at = state.exchange.request.received_at
    first_s = max(0.0, forwarder.first_at - received_at)
    parts.metric.timing('relay.stream.first', first_s)
    parts.metric.timing('relay.stream.total', now - received_at)
    parts.metric.timing(
        'relay.stream.longest_pause', forwarder.longest_pause_s
    )
    events.info(
        'stream_served',
        id=state.exchange.facts.request_id,
        path=','.join(live.target_ids),
        tokens=int(state.demand.tokens),
        first_ms=_ms(first_s),
        total_ms=_ms(now - received_at),
        expected_pause_ms=int(live.expected_pause_ms),
        mean_pause_ms=_ms(live.mean_pause_s),
        longest_pause_ms=_ms(forwarder.longest_pause_s),
        sends=state.sends,
    )


def log_broken(
    parts: stream_parts.StreamParts,
    state: stream_state.StreamState,
    path: cost_model.Path,
    live: live_streams.LiveStream,
    broken: event_forwarding.StreamBroken,
) -> None:
    """Logs and counts a stream that broke off after it was sent.

    How far the target had got tells requests that waited or were being
    written from those that it had just begun to write.
    """
    parts.metric.count('relay.stream_broken')
    written_ms = None
    if live.response_at is not None:
        written_ms = _ms(parts.timer.now() - live.response_at)
        if not live.event_count:
            parts.metric.count('relay.stream_broken_before_first_event')
    events.info(
        'stream_broken',
        id=state.exchange.facts.request_id,
        path=_ids(path),
        detail=broken.detail,
        last_event=event_ids.logged(state.forwarder.last_id),
        runs=state.runs,
        written_ms=written_ms,
        events=live.event_count,
        parts=_shared_parts(state),
    )


def _shared_parts(state: stream_state.StreamState) -> str:
    return ','.join(state.exchange.facts.shared_parts)


def _ids(path: cost_model.Path) -> str:
    return ','.join(stage.target.id for stage in path)


def _ms(seconds: float) -> int:
    return round(seconds * cost_model.MS_PER_S)
