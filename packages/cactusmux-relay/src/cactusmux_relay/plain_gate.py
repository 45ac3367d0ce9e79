"""Refuses or delays the sends of plain requests under which targets end."""

from cactusmux_base import timers

from . import context
from . import outcomes
from . import prompt_parts
from . import target_crashes
from . import targets

POLL_S = 0.02


class PlainGate:
    """Decides before each send of one plain request whether it may be sent."""

    def __init__(
        self,
        crashes: target_crashes.TargetCrashes,
        timer: timers.TimerService,
        exchange: context.Exchange,
    ) -> None:
        self._quarantine = crashes.quarantine
        self._crashes = crashes
        self._timer = timer
        self._exchange = exchange
        self._requester = prompt_parts.requester_of(exchange).without_parts

    def is_quarantined(self) -> bool:
        """Whether the request is to be refused, which is logged."""
        key = self._quarantine.find(self._requester)
        if key is None:
            return False
        request_id = self._exchange.facts.request_id
        self._quarantine.record_refusal(request_id, key)
        return True

    def record_outcome(
        self,
        target: targets.Target,
        outcome: outcomes.SendOutcome,
        sent_at: float,
    ) -> None:
        """Records whether the target lived or ended under the request.

        Blocks for some milliseconds if the target broke off.

        :param sent_at: monotonic time at which the request was sent.
        """
        match outcome:
            case outcomes.CompleteResponse(head, _):
                if head.status not in outcomes.FAILURE_STATUSES:
                    self._quarantine.record_served(self._requester)
            case outcomes.MaybeRun(is_broken_off=True):
                self._crashes.check_end(
                    self._requester,
                    self._exchange.facts.request_id,
                    target,
                    sent_at,
                )

    def await_clearance(self) -> bool:
        """Delays the repeat of a request under which a target has ended.

        :returns: whether it may be repeated in time.
        """
        while True:
            if not self._quarantine.may_repeat(self._requester):
                return False
            delay_s = self._crashes.repeat_delay_s(self._requester.keys)
            if delay_s <= 0.0:
                return True
            if self._timer.now() + delay_s >= self._exchange.ends_at:
                return False
            self._timer.sleep(min(delay_s, POLL_S))
