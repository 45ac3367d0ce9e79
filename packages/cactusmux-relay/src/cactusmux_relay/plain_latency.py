"""Assesses a target by the outcome and the latency of a plain request.

No cost model covers plain requests, so the objective of the route is used as
the expected latency.
"""

from cactusmux_base import timers

from . import outcomes
from . import slow_start
from . import target_limits
from . import targets

# Up to this fraction of the objective a target has capacity to spare; beyond
# the whole objective callers are served late.
NEAR_OBJECTIVE = 0.75


class PlainLatency:
    """Assesses one attempt of a plain request."""

    def __init__(
        self,
        limits: target_limits.TargetLimits,
        target: targets.Target,
        timer: timers.TimerService,
    ) -> None:
        self._limits = limits
        self._timer = timer
        self._sent = limits.record_sent((target,))
        self._started_at = timer.now()

    def record_outcome(
        self, outcome: outcomes.SendOutcome, objective_s: float, wait_s: float
    ) -> None:
        """Records how the attempt has ended.

        :param objective_s: time in which callers expect the response.
        :param wait_s: timeout of the attempt.
        """
        if not self._sent.starts:
            return
        elapsed_s = self._timer.now() - self._started_at
        verdict = _verdict(outcome, elapsed_s, objective_s, wait_s)
        near_s = NEAR_OBJECTIVE * objective_s
        self._limits.record_response(
            self._sent, target_limits.Assessment(verdict, elapsed_s, near_s)
        )


def _verdict(
    outcome: outcomes.SendOutcome,
    elapsed_s: float,
    objective_s: float,
    wait_s: float,
) -> slow_start.Verdict:
    match outcome:
        case outcomes.CompleteResponse(head, _):
            if head.status in outcomes.FAILURE_STATUSES:
                return slow_start.Verdict.FAILED
            near_s = NEAR_OBJECTIVE * objective_s
            return slow_start.classify_time(elapsed_s, near_s, objective_s)
        case outcomes.NotRun(is_local=True):
            # No evidence about the target.
            return slow_start.Verdict.SILENT
        case outcomes.NotRun():
            return slow_start.Verdict.REJECTED
        case _ if elapsed_s >= wait_s:
            # A silent target may be working but be cut off by the network.
            return slow_start.Verdict.SILENT
        case _:
            return slow_start.Verdict.FAILED
