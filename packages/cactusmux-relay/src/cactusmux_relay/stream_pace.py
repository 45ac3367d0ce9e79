"""What the events of a stream say of the pace of the targets on its path.

A single long pause says that a target was silent, which may be the network's
doing; that most pauses are long says that it is slow.
"""

from . import context
from . import cost_model
from . import slow_start
from . import target_limits

# Of the cost model's estimate, up to which an answer counts as expected:
# estimates of pauses include a fifth for waiting, and loads are up to 2 s
# old.
NEAR_FACTOR = 1.5
# From here on an answer counts as slow, also where callers would bear it: at
# full use it would be too slow for them.
SLOW_FACTOR = 2.5
# Pauses that are judged together, and how many of them decide.
WINDOW_PAUSES = 4
DECISIVE_PAUSES = 3
# Pauses after a change of the path that tell nothing: the first event may
# come from before the loss, and the next one waits for what is read anew.
CHANGE_PAUSES = 2


class StreamPace:
    """Judges one attempt of a stream by its times."""

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
        self._sent = limits.note_sent([stage.target for stage in path])
        self._first_id = path[0].target.id
        self._pause_s = expected_pause_ms / cost_model.MS_PER_S
        self._first_s = self._pause_s + _read_s(exchange, path)
        self._last_at = now
        self._has_begun = False
        self._may_raise = True
        self._verdicts: list[slow_start.Verdict] = []
        self._window_s = 0.0
        self._pauses_left_out = 0

    def use_path(
        self, path: cost_model.Path, expected_pause_ms: float
    ) -> None:
        """Judges the targets of another path of the stream from now on.

        They have not written the answer from its start, so that it raises no
        limit.
        """
        self._sent = self._limits.note_sent([stage.target for stage in path])
        self._pause_s = expected_pause_ms / cost_model.MS_PER_S
        self._has_begun = True
        self._may_raise = False
        self._verdicts = []
        self._window_s = 0.0
        self._pauses_left_out = CHANGE_PAUSES

    def note_event(self, now: float) -> None:
        """Notes that an event has arrived."""
        passed_s = now - self._last_at
        self._last_at = now
        if self._pauses_left_out:
            self._pauses_left_out -= 1
            return
        if not self._sent.starts:
            return
        if not self._has_begun:
            self._has_begun = True
            self._note_first(passed_s)
            return
        slow_s = min(self._route.gap_s, SLOW_FACTOR * self._pause_s)
        near_s = NEAR_FACTOR * self._pause_s
        self._verdicts.append(slow_start.judged(passed_s, near_s, slow_s))
        self._window_s += passed_s
        if len(self._verdicts) == WINDOW_PAUSES:
            self._close_window()

    def _note_first(self, passed_s: float) -> None:
        slow_s = min(self._route.objective_s, SLOW_FACTOR * self._first_s)
        near_s = NEAR_FACTOR * self._first_s
        verdict = slow_start.judged(passed_s, near_s, slow_s)
        if verdict is not slow_start.Verdict.NEAR:
            # Only an answer that is as expected from its start raises one.
            self._may_raise = False
        if verdict is slow_start.Verdict.SLOW:
            self._tell(verdict, passed_s, self._first_s)

    def _close_window(self) -> None:
        verdicts = self._verdicts
        mean_s = self._window_s / WINDOW_PAUSES
        self._verdicts = []
        self._window_s = 0.0
        slow = slow_start.Verdict.SLOW
        near = slow_start.Verdict.NEAR
        if verdicts.count(slow) >= DECISIVE_PAUSES:
            self._may_raise = False
            self._tell(slow, mean_s, self._pause_s)
        elif verdicts.count(near) >= DECISIVE_PAUSES and self._may_raise:
            self._may_raise = False
            self._tell(near, mean_s, self._pause_s)

    def note_failed(self) -> None:
        """Notes that the first target failed the request."""
        failed = slow_start.Verdict.FAILED
        self._tell(failed, target_id=self._first_id)

    def note_rejected(self, target_id: str | None) -> None:
        """Notes that a target, if known, kept the request from running."""
        if target_id is not None:
            rejected = slow_start.Verdict.REJECTED
            self._tell(rejected, target_id=target_id)

    def _tell(
        self,
        verdict: slow_start.Verdict,
        measured_s: float = 0.0,
        expected_s: float = 0.0,
        target_id: str | None = None,
    ) -> None:
        self._limits.note_answer(
            self._sent,
            target_limits.Answer(verdict, measured_s, expected_s, target_id),
        )


def _read_s(exchange: context.Exchange, path: cost_model.Path) -> float:
    """Returns the time in which an idle path reads a prompt."""
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
