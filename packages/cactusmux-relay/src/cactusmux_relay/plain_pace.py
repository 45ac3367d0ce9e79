"""What the answer to a plain request says of its target's pace.

No cost model covers plain requests: what callers expect stands in for it.
"""

from cactusmux_base import timers

from . import outcomes
from . import slow_start
from . import target_limits
from . import targets

# Of the objective: up to here a target has something in hand, beyond the
# whole of it callers are served late.
NEAR_OBJECTIVE = 0.75


class PlainPace:
    """Judges one attempt of a plain request by its time and outcome."""

    def __init__(
        self,
        limits: target_limits.TargetLimits,
        target: targets.Target,
        timer: timers.TimerService,
    ) -> None:
        self._limits = limits
        self._timer = timer
        self._sent = limits.note_sent((target,))
        self._begun_at = timer.now()

    def note(
        self, outcome: outcomes.SendOutcome, objective_s: float, wait_s: float
    ) -> None:
        """Notes how the attempt has ended.

        :param objective_s: in which callers expect the answer.
        :param wait_s: after which the attempt was to end unanswered.
        """
        if not self._sent.starts:
            return
        passed_s = self._timer.now() - self._begun_at
        verdict = _verdict(outcome, passed_s, objective_s, wait_s)
        near_s = NEAR_OBJECTIVE * objective_s
        self._limits.note_answer(
            self._sent, target_limits.Answer(verdict, passed_s, near_s)
        )


def _verdict(
    outcome: outcomes.SendOutcome,
    passed_s: float,
    objective_s: float,
    wait_s: float,
) -> slow_start.Verdict:
    match outcome:
        case outcomes.CompleteResponse(head, _):
            if head.status in outcomes.FAILURE_STATUSES:
                return slow_start.Verdict.FAILED
            near_s = NEAR_OBJECTIVE * objective_s
            return slow_start.judged(passed_s, near_s, objective_s)
        case outcomes.NotRun():
            return slow_start.Verdict.REJECTED
        case _ if passed_s >= wait_s:
            # A silent target may be cut off from us and work all the same.
            return slow_start.Verdict.SILENT
        case _:
            return slow_start.Verdict.FAILED
