"""Assesses the targets on a stream's path by the times of its events.

A single long pause may be caused by the network; only if most pauses are long
is a target considered slow.
"""

from . import context
from . import cost_model
from . import slow_start
from . import target_limits

# Up to this multiple of the cost model's estimate, a time counts as expected:
# estimates of pauses include a fifth for waiting, and loads are up to 2 s old.
NEAR_FACTOR = 1.5
# Beyond this multiple a time counts as slow even if callers would accept it,
# because it would be too slow for them at full use.
SLOW_FACTOR = 2.5
# Number of pauses that are assessed together, and how many of them decide.
WINDOW_PAUSES = 4
DECISIVE_PAUSES = 3
# Pauses to skip after a change of the path: the first event may have been sent
# before the loss, and the next one waits for the repeated prefill.
SKIPPED_PAUSES = 2


class StreamLatency:
    """Assesses one attempt of a stream by the times of its events."""

    def __init__(
        self,
        limits: target_limits.TargetLimits,
        exchange: context.Exchange,
        path: cost_model.Path,
        expected_pause_ms: float,
        now: float,
    ) -> None:
        self._limits = limits
        self._route = exchange.route
        self._sent = limits.record_sent([stage.target for stage in path])
        self._first_target_id = path[0].target.id
        self._pause_s = expected_pause_ms / cost_model.MS_PER_S
        self._first_s = self._pause_s + _prefill_s(exchange, path)
        self._last_event_at = now
        self._has_first_event = False
        self._may_increase = True
        self._verdicts: list[slow_start.Verdict] = []
        self._window_s = 0.0
        self._pauses_to_skip = 0

    def use_path(
        self, path: cost_model.Path, expected_pause_ms: float
    ) -> None:
        """Assesses the targets of another path from now on.

        They haven't decoded the answer from its start, so the stream can't
        increase any limit.
        """
        self._sent = self._limits.record_sent([stage.target for stage in path])
        self._pause_s = expected_pause_ms / cost_model.MS_PER_S
        self._has_first_event = True
        self._may_increase = False
        self._verdicts = []
        self._window_s = 0.0
        self._pauses_to_skip = SKIPPED_PAUSES

    def record_event(self, now: float) -> None:
        """Records the arrival of an event."""
        elapsed_s = now - self._last_event_at
        self._last_event_at = now
        if self._pauses_to_skip:
            self._pauses_to_skip -= 1
            return
        if not self._sent.starts:
            return
        if not self._has_first_event:
            self._has_first_event = True
            self._record_first(elapsed_s)
            return
        slow_s = min(self._route.gap_s, SLOW_FACTOR * self._pause_s)
        near_s = NEAR_FACTOR * self._pause_s
        self._verdicts.append(
            slow_start.classify_time(elapsed_s, near_s, slow_s)
        )
        self._window_s += elapsed_s
        if len(self._verdicts) == WINDOW_PAUSES:
            self._assess_window()

    def _record_first(self, elapsed_s: float) -> None:
        slow_s = min(self._route.objective_s, SLOW_FACTOR * self._first_s)
        near_s = NEAR_FACTOR * self._first_s
        verdict = slow_start.classify_time(elapsed_s, near_s, slow_s)
        if verdict is not slow_start.Verdict.NEAR:
            # Only a stream that is as expected from its start increases it.
            self._may_increase = False
        if verdict is slow_start.Verdict.SLOW:
            self._report(verdict, elapsed_s, self._first_s)

    def _assess_window(self) -> None:
        verdicts = self._verdicts
        mean_s = self._window_s / WINDOW_PAUSES
        self._verdicts = []
        self._window_s = 0.0
        slow = slow_start.Verdict.SLOW
        near = slow_start.Verdict.NEAR
        if verdicts.count(slow) >= DECISIVE_PAUSES:
            self._may_increase = False
            self._report(slow, mean_s, self._pause_s)
        elif verdicts.count(near) >= DECISIVE_PAUSES and self._may_increase:
            self._may_increase = False
            self._report(near, mean_s, self._pause_s)

    def record_failure(self) -> None:
        """Records that the first target failed the request."""
        failed = slow_start.Verdict.FAILED
        self._report(failed, target_id=self._first_target_id)

    def record_rejection(self, target_id: str | None) -> None:
        """Records that a target, if known, rejected the request."""
        if target_id is not None:
            rejected = slow_start.Verdict.REJECTED
            self._report(rejected, target_id=target_id)

    def _report(
        self,
        verdict: slow_start.Verdict,
        measured_s: float = 0.0,
        expected_s: float = 0.0,
        target_id: str | None = None,
    ) -> None:
        self._limits.record_response(
            self._sent,
            target_limits.Assessment(
                verdict, measured_s, expected_s, target_id
            ),
        )


def _prefill_s(exchange: context.Exchange, path: cost_model.Path) -> float:
    """Returns the prefill time of a prompt on an idle path."""
    engine = exchange.service.engine
    if engine is None:
        return 0.0
    total_ms = sum(
        cost_model.prefill_ms(
            engine,
            engine.card_by_name[stage.target.card],
            stage.layers.size,
            exchange.facts.prompt_tokens,
        )
        for stage in path
    )
    return total_ms / cost_model.MS_PER_S
