"""One attempt of a stream: what is noted for it, and taken back after it."""

from collections.abc import Callable
import contextlib

from . import attempt_load
from . import attempt_replacements
from . import attempt_sending
from . import failing_targets
from . import live_streams
from . import stream_log
from . import stream_pace
from . import stream_parts
from . import stream_paths
from . import stream_state


class StreamAttempt:
    """One attempt of a stream by one path, which may change meanwhile.

    :param secure_next: secures a way on, for when the attempt is cut.
    """

    def __init__(
        self,
        parts: stream_parts.StreamParts,
        state: stream_state.StreamState,
        found: stream_paths.FoundPath,
        secure_next: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._state = state
        self._found = found
        self._noted = attempt_load.AttemptLoad(
            parts.ledger, state.demand.tokens
        )
        self._live = live_streams.LiveStream(
            found.path,
            found.pause_ms,
            parts.timer.now(),
            secure_next,
            self._replacements().replace_lost,
        )

    def run(self) -> None:
        """Returns when the stream is complete.

        Raises :class:`event_passing.StreamBroken` if it isn't.
        """
        self._state.sends += 1
        stream_log.log_path(self._parts, self._state, self._found)
        with contextlib.ExitStack() as ending:
            attempt = self._begin(ending)
            attempt_sending.AttemptSending(
                self._parts, self._state, attempt
            ).send()

    def _begin(self, ending: contextlib.ExitStack) -> attempt_sending.Attempt:
        """Notes the attempt wherever it counts.

        :param ending: gets what takes this back.
        """
        parts = self._parts
        path = self._found.path
        demand = self._state.demand
        ending.callback(self._noted.end)
        self._noted.set_targets(stage.target.id for stage in path)
        trial = self._begin_trial()
        ending.callback(trial.end)
        self._live.subscribe_path(trial.use_path)
        parts.ledger.note_crossings(path, demand.tokens)
        crossings = parts.finder.reserve_crossings(
            self._state.exchange, path, demand
        )
        parts.live.add(self._live)
        ending.callback(parts.live.remove, self._live)
        pace = stream_pace.StreamPace(
            parts.limits,
            self._state.exchange,
            path,
            self._found.pause_ms,
            parts.timer.now(),
        )
        self._live.subscribe_path(pace.use_path)
        return attempt_sending.Attempt(
            path, self._live, trial, pace, crossings
        )

    def _begin_trial(self) -> failing_targets.AttemptHealthRecorder:
        state = self._state
        return self._parts.failing.begin(
            state.exchange.facts.request_id,
            self._found.path,
            state.demand.tokens,
            stream_state.expected_s(
                state.exchange, state.demand, self._found.pause_ms
            ),
            lambda: self._parts.live.lost_ids(self._live),
        )

    def _replacements(self) -> attempt_replacements.AttemptReplacements:
        """Returns what replaces lost stages of this attempt."""
        state = self._state
        return attempt_replacements.AttemptReplacements(
            self._parts.replacer,
            state.exchange,
            state.demand,
            self._noted,
            lambda: state.forwarder.last_id,
            lambda target_id: state.avoided.add(target_id),
            lambda: state.avoided,
        )
