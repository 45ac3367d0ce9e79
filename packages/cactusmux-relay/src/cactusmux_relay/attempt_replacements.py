"""Replaces the lost stages of one attempt of a stream.

When a target in the path of a running stream is lost, the stream gets other
targets for the lost layers, without a further run and without a retry from
the budget. The replacement is chosen at once, and a separate task sends the
order. The stream is resumed on another path if there is no replacement, if
the order fails, or if the stream stays silent.
"""

from collections.abc import Callable, Set
import functools

from cactusmux_base import events
import gevent
from returns import result

from . import attempt_load
from . import context
from . import cost_model
from . import layer_orders
from . import live_streams
from . import outcomes
from . import path_choice
from . import stage_replacement
from . import stage_replacer

# A stream that stays silent for this long after the order was accepted is
# resumed on another path. Callers allow no longer pause.
TRIAL_S = 0.25
# Number of events after which a changed path counts as working: the first one
# may have been written before the loss.
TRIAL_EVENT_COUNT = 2
# Timers may fire early by a rounding error: with less time left than this, a
# trial counts as ended.
MIN_REVIEW_DELAY_S = 0.001
# Number of failed orders after which no further one is sent for a stream. For
# a stream that can't be resumed either, one would be sent every 0.2 s.
MAX_FAILED_ORDERS = 2
# Upper bound of the exponential backoff between searches that find nothing: a
# search takes 1.5 ms, and targets change seldom.
MAX_SEARCH_PAUSE_S = 0.8
# Status with which a target that lacks its layers is logged and counted as a
# rejected path.
STATUS_CONFLICT = 409


class AttemptReplacements:
    """The replacements of lost stages of one attempt of a stream.

    :param sent_count: returns the number of events sent to the caller, over
        all attempts.
    :param avoid: makes later attempts of the request avoid a target.
    :param avoided: returns the ids of all targets that the request avoids.
    """

    def __init__(
        self,
        replacer: stage_replacer.StageReplacer,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        load: attempt_load.AttemptLoad,
        sent_count: Callable[[], int],
        avoid: Callable[[str], None],
        avoided: Callable[[], Set[str]],
    ) -> None:
        self._replacer = replacer
        self._parts = replacer.parts
        self._exchange = exchange
        self._demand = demand
        self._attempt_load = load
        self._sent_count = sent_count
        self._avoid = avoid
        self._avoided_by_request = avoided
        self._avoided: set[str] = set()
        self._search_pause_s = live_streams.RECOVERY_PERIOD_S
        self._last_reason = ''
        self._failures = 0
        self._added_ids: set[str] = set()

    def replace_lost(self, stream: live_streams.LiveStream) -> bool:
        """Begins to replace the lost stages of a stream.

        Returns whether an order is in progress; must not block. If the first
        target of the path is lost, also as its only one, nothing is replaced:
        that target holds the stream.
        """
        if stream.target_ids[0] in self._parts.live.lost_ids(stream):
            return False
        if self._failures >= MAX_FAILED_ORDERS:
            return False
        found = self._find_replacement(stream, frozenset())
        if found is None:
            self._log_failure(stream, 'no_replacement')
            self._delay_search(stream)
            return False
        self._search_pause_s = live_streams.RECOVERY_PERIOD_S
        stream.is_replacing = True
        gevent.spawn(self._send_order, stream, *found)
        return True

    def _delay_search(self, stream: live_streams.LiveStream) -> None:
        now = self._parts.timer.now()
        stream.next_replacement_at = now + self._search_pause_s
        self._search_pause_s = min(
            2.0 * self._search_pause_s, MAX_SEARCH_PAUSE_S
        )

    def _find_replacement(
        self, stream: live_streams.LiveStream, missing: frozenset[str]
    ) -> (
        tuple[stage_replacement.StageLoss, stage_replacement.Replacement]
        | None
    ):
        """Returns the loss and its replacement, ``None`` without one.

        :param missing: ids of targets that lack their layers.
        """
        loss = self._describe_loss(stream, missing)
        found = self._replacer.find(
            self._exchange,
            loss,
            self._avoided | self._avoided_by_request() | missing,
        )
        if found is None:
            return None
        added = [stage.target.id for stage in found.added]
        self._attempt_load.set_targets({*stream.target_ids, *added})
        self._log_ordered(stream, loss, found)
        for stage in found.added:
            # Targets often fail together: the probe finds one that refuses
            # connections before the stream has waited for it.
            self._parts.down.probe(stage.target)
        return loss, found

    def _describe_loss(
        self, stream: live_streams.LiveStream, missing: frozenset[str]
    ) -> stage_replacement.StageLoss:
        engine = self._exchange.service.engine
        event_tokens = engine.event_tokens if engine else 0
        written = event_tokens * max(self._sent_count(), stream.event_count)
        in_path = set(stream.target_ids)
        lost_ids = self._parts.live.lost_ids(stream)
        return stage_replacement.StageLoss(
            path=stream.path,
            lost_ids=frozenset(in_path & (lost_ids | missing)),
            tokens_so_far=self._demand.prompt_tokens + written,
            tokens_to_come=max(0.0, self._demand.answer_tokens - written),
            longest_pause_s=self._demand.longest_pause_s,
        )

    def _send_order(
        self,
        stream: live_streams.LiveStream,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> None:
        """Sends the order; if it fails, resumes the stream elsewhere."""
        try:
            reason = self._order(stream, loss, replacement)
        finally:
            stream.is_replacing = False
        if self._attempt_load.has_ended:
            return
        if reason:
            self._failures += 1
            self._log_failure(stream, reason)
            self._parts.live.resume_on_other_path(stream)
            return
        self._parts.live.look_again(stream)

    def _order(
        self,
        stream: live_streams.LiveStream,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
        is_second: bool = False,
    ) -> str:
        """Returns the reason of a failure, empty if an order was carried out.

        An order that fails as a target lacks its layers is sent once more
        without that target.

        :param is_second: whether this is the second order, and so the last.
        """
        if self._attempt_load.has_ended:
            self._undo(stream, loss, replacement)
            return layer_orders.RequestUnknown.reason
        begun_at = self._parts.timer.now()
        first = stream.path[0].target
        answer = self._parts.orders.change_path(
            first, self._exchange.facts.request_id, replacement.path
        )
        if self._attempt_load.has_ended:
            return layer_orders.RequestUnknown.reason
        if isinstance(answer, result.Success):
            self._adopt(stream, replacement, begun_at)
            return ''
        failure = answer.failure()
        if isinstance(failure, layer_orders.OrderUnanswered):
            # The order may still be carried out later: the load stays
            # recorded, and the request avoids the target with the order.
            self._avoid(first.id)
            self._parts.down.probe(first)
            return failure.reason
        self._undo(stream, loss, replacement)
        second = None
        if not is_second:
            second = self._find_without_missing(stream, failure)
        if second is None:
            return failure.reason
        return self._order(stream, *second, is_second=True)

    def _find_without_missing(
        self,
        stream: live_streams.LiveStream,
        failure: layer_orders.PathFailure,
    ) -> (
        tuple[stage_replacement.StageLoss, stage_replacement.Replacement]
        | None
    ):
        if not isinstance(failure, layer_orders.PartNotThere):
            return None
        # Makes all requests of this instance avoid the target for a moment.
        missing_id = self._parts.finder.record_rejection(
            self._exchange, outcomes.NotRun(failure.address, STATUS_CONFLICT)
        )
        if missing_id is None:
            return None
        self._avoided.add(missing_id)
        return self._find_replacement(stream, frozenset((missing_id,)))

    def _undo(
        self,
        stream: live_streams.LiveStream,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> None:
        self._attempt_load.set_targets(stream.target_ids)
        self._replacer.cancel(loss, replacement)

    def _adopt(
        self,
        stream: live_streams.LiveStream,
        replacement: stage_replacement.Replacement,
        begun_at: float,
    ) -> None:
        """Switches the stream to the new path and starts its trial."""
        now = self._parts.timer.now()
        stream.use_path(replacement.path, replacement.pause_ms, now)
        self._attempt_load.set_targets(stream.target_ids)
        self._last_reason = ''
        self._added_ids = {each.target.id for each in replacement.added}
        self._parts.metric.count('relay.stage_replaced')
        events.info(
            'stage_replaced',
            id=self._exchange.facts.request_id,
            path=','.join(stream.target_ids),
            after_ms=round((now - begun_at) * cost_model.MS_PER_S),
            silent_ms=_silent_ms(stream, now),
        )
        self._review_in(TRIAL_S, stream, stream.event_count, now)

    def _review_in(
        self,
        seconds: float,
        stream: live_streams.LiveStream,
        events_before: int,
        adopted_at: float,
    ) -> None:
        self._parts.timer.after(
            seconds,
            functools.partial(
                self._review, stream, stream.path, events_before, adopted_at
            ),
        )

    def _review(
        self,
        stream: live_streams.LiveStream,
        path: cost_model.Path,
        events_before: int,
        adopted_at: float,
    ) -> None:
        """Resumes a stream elsewhere if it stays silent on its new path."""
        if self._attempt_load.has_ended or stream.was_interrupted:
            return
        if stream.path is not path:
            # A later replacement has a review of its own.
            return
        if stream.is_replacing:
            # If the order in progress fails, the stream stays on this path.
            self._review_in(
                live_streams.RECOVERY_PERIOD_S,
                stream,
                events_before,
                adopted_at,
            )
            return
        if stream.event_count - events_before >= TRIAL_EVENT_COUNT:
            return
        ends_at = self._trial_ends_at(stream, adopted_at)
        left_s = ends_at - self._parts.timer.now()
        if left_s < MIN_REVIEW_DELAY_S:
            self._log_failure(stream, 'silent')
            for target_id in self._added_ids:
                self._avoid(target_id)
            self._parts.live.resume_on_other_path(stream)
            left_s = live_streams.RECOVERY_PERIOD_S
        self._review_in(left_s, stream, events_before, adopted_at)

    def _trial_ends_at(
        self, stream: live_streams.LiveStream, adopted_at: float
    ) -> float:
        """Returns until when a stream may stay silent.

        Before the first event this is at least until the route's objective:
        prompts queue after a loss, and a move would only prefill them again.
        """
        ends_at = max(stream.last_event_at, adopted_at) + TRIAL_S
        if stream.has_started:
            return ends_at
        received_at = self._exchange.request.received_at
        return max(ends_at, received_at + self._exchange.route.objective_s)

    def _log_failure(
        self, stream: live_streams.LiveStream, reason: str
    ) -> None:
        """Logs and counts a failure, but not one with the reason before."""
        if self._last_reason == reason:
            return
        self._last_reason = reason
        self._parts.metric.count(f'relay.stage_not_replaced.{reason}')
        now = self._parts.timer.now()
        events.info(
            'stage_not_replaced',
            id=self._exchange.facts.request_id,
            reason=reason,
            path=','.join(stream.target_ids),
            silent_ms=_silent_ms(stream, now),
            load_age_ms=self._load_age_ms(),
        )

    def _log_ordered(
        self,
        stream: live_streams.LiveStream,
        loss: stage_replacement.StageLoss,
        found: stage_replacement.Replacement,
    ) -> None:
        now = self._parts.timer.now()
        events.info(
            'stage_replacement_ordered',
            id=self._exchange.facts.request_id,
            lost=','.join(sorted(loss.lost_ids)),
            added=','.join(stage.target.id for stage in found.added),
            tokens_so_far=int(loss.tokens_so_far),
            tokens_to_come=int(loss.tokens_to_come),
            candidates=found.candidates,
            streams=round(found.streams, 1),
            wait_ms=int(found.wait_ms),
            expected_pause_ms=int(found.pause_ms),
            silent_ms=_silent_ms(stream, now),
            load_age_ms=self._load_age_ms(),
        )

    def _load_age_ms(self) -> int:
        age_s = self._parts.ledger.oldest_report_age_s
        return round(age_s * cost_model.MS_PER_S)


def _silent_ms(stream: live_streams.LiveStream, now: float) -> int:
    return round((now - stream.last_event_at) * cost_model.MS_PER_S)
