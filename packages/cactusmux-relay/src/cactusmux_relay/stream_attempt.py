"""One attempt of a stream: registers its load and removes it at the end."""

from collections.abc import Callable
import contextlib

from . import attempt_load
from . import attempt_replacements
from . import attempt_sender
from . import failing_targets
from . import live_streams
from . import stream_latency
from . import stream_log
from . import stream_parts
from . import stream_paths
from . import stream_state


class StreamAttempt:
    """One attempt of a stream on one path, whose lost stages are replaced.

    :param reserve_next: reserves another path before the attempt is
        interrupted.
    :ivar live: the state of the attempt.
    """

    def __init__(
        self,
        parts: stream_parts.StreamParts,
        state: stream_state.StreamState,
        found: stream_paths.FoundPath,
        reserve_next: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._state = state
        self._found = found
        self._attempt_load = attempt_load.AttemptLoad(
            parts.ledger, state.demand.tokens
        )
        self.live = live_streams.LiveStream(
            found.path,
            found.pause_ms,
            parts.timer.now(),
            reserve_next,
            self._replace_lost,
        )
        self._replacements = self._make_replacements()
        self._watched = parts.crashes.begin(
            state.requester, state.exchange.facts.request_id, self.live
        )

    def run(self) -> None:
        """Returns when the stream is complete.

        Raises :class:`event_forwarding.StreamBroken` if it isn't.
        """
        self._state.sends += 1
        stream_log.log_path(self._parts, self._state, self._found)
        with contextlib.ExitStack() as cleanup:
            attempt = self._begin(cleanup)
            attempt_sender.AttemptSender(
                self._parts, self._state, attempt
            ).send()

    def _begin(self, cleanup: contextlib.ExitStack) -> attempt_sender.Attempt:
        """Registers the attempt with every component that counts it.

        :param cleanup: receives the callbacks that undo this.
        """
        parts = self._parts
        path = self._found.path
        demand = self._state.demand
        cleanup.callback(self._attempt_load.end)
        cleanup.callback(self._watched.end)
        self._attempt_load.set_targets(stage.target.id for stage in path)
        health_recorder = self._start_health_recorder()
        cleanup.callback(health_recorder.end)
        self.live.subscribe_path(health_recorder.use_path)
        parts.ledger.record_crossings(path, demand.tokens)
        crossings = parts.finder.reserve_crossings(
            self._state.exchange, path, demand
        )
        parts.live.add(self.live)
        cleanup.callback(parts.live.remove, self.live)
        pace = stream_latency.StreamLatency(
            parts.limits,
            self._state.exchange,
            path,
            self._found.pause_ms,
            parts.timer.now(),
        )
        self.live.subscribe_path(pace.use_path)
        return attempt_sender.Attempt(
            path,
            self.live,
            health_recorder,
            pace,
            crossings,
            self._watched,
        )

    def _start_health_recorder(self) -> failing_targets.AttemptHealthRecorder:
        state = self._state
        return self._parts.failing.begin(
            state.exchange.facts.request_id,
            self._found.path,
            state.demand.tokens,
            stream_state.expected_duration_s(
                state.exchange, state.demand, self._found.pause_ms
            ),
            lambda: self._parts.live.lost_ids(self.live),
        )

    def _replace_lost(self, stream: live_streams.LiveStream) -> bool:
        """Replaces lost stages, unless they may be lost by the request."""
        if self._watched.is_suspect:
            return False
        return self._replacements.replace_lost(stream)

    def _make_replacements(self) -> attempt_replacements.AttemptReplacements:
        """Returns the handling of lost stages of this attempt."""
        state = self._state
        return attempt_replacements.AttemptReplacements(
            self._parts.replacer,
            state.exchange,
            state.demand,
            self._attempt_load,
            lambda: state.forwarder.sent_count,
            lambda target_id: state.avoided.add(target_id),
            lambda: state.avoided,
        )
