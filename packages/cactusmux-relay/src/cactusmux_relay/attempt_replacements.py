"""Replaces the lost stages of one attempt of a stream.

It handles the loss of a target in the paths of running streams: each is
given other targets for the lost layers, without a further run and without a
repeat from the budget. The decision is made at once, and the order is sent
by a task of its own. The stream is resumed on another path if there is no
replacement, if the order fails, or if the stream stays silent.
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

# A stream is resumed on another path if it stays silent for this time after
# the order was accepted. It is the longest pause that callers allow.
TRIAL_S = 0.25
# Events after which a changed path counts as working: the first one may have
# been written before the loss.
TRIAL_EVENTS = 2
# A review this close to the end of a trial counts as being at its end, as
# timers may fire early by a rounding error.
LEAST_REVIEW_S = 0.001
# After this many failed orders no further one is sent for the stream. One
# that can't be resumed either would otherwise be ordered anew every 0.2 s.
MAX_FAILURES = 2
# The pause before the next search doubles after each one without a result,
# up to this: a search takes 1.5 ms, and targets change seldom.
MAX_SEARCH_PAUSE_S = 0.8
# A missing part is logged and counted as a path rejected with this status.
STATUS_CONFLICT = 409


class AttemptReplacements:
    """The replacements of lost stages of one attempt of a stream.

    :param last_id: returns the id of the last event that the caller has.
    :param avoid: makes later attempts avoid a target.
    :param avoided: returns the ids of all targets that the request avoids.
    """

    def __init__(
        self,
        replacer: stage_replacer.StageReplacer,
        exchange: context.Exchange,
        demand: path_choice.Demand,
        noted: attempt_load.AttemptLoad,
        last_id: Callable[[], int | None],
        avoid: Callable[[str], None],
        avoided: Callable[[], Set[str]],
    ) -> None:
        self._replacer = replacer
        self._parts = replacer.parts
        self._exchange = exchange
        self._demand = demand
        self._noted = noted
        self._last_id = last_id
        self._avoid = avoid
        self._run_avoided = avoided
        self._avoided: set[str] = set()
        self._search_pause_s = live_streams.RECOVERY_PERIOD_S
        self._last_reason = ''
        self._failures = 0
        self._added_ids: set[str] = set()

    def replace_lost(self, stream: live_streams.LiveStream) -> bool:
        """Begins to replace the stages of a stream that are down.

        Returns whether an order is under way; must not block. A path of one
        stage, or one whose first target is lost, has nothing to keep.
        """
        if stream.target_ids[0] in self._parts.live.lost_ids(stream):
            return False
        if self._failures >= MAX_FAILURES:
            return False
        found = self._decide(stream, frozenset())
        if found is None:
            self._note_failed(stream, 'no_replacement')
            self._delay_search(stream)
            return False
        self._search_pause_s = live_streams.RECOVERY_PERIOD_S
        stream.is_replacing = True
        gevent.spawn(self._run, stream, *found)
        return True

    def _delay_search(self, stream: live_streams.LiveStream) -> None:
        now = self._parts.timer.now()
        stream.next_replacement_at = now + self._search_pause_s
        self._search_pause_s = min(
            2.0 * self._search_pause_s, MAX_SEARCH_PAUSE_S
        )

    def _decide(
        self, stream: live_streams.LiveStream, missing: frozenset[str]
    ) -> (
        tuple[stage_replacement.StageLoss, stage_replacement.Replacement]
        | None
    ):
        """Returns what is lost and what replaces it, ``None`` if nothing can.

        :param missing: ids of targets that lack their part.
        """
        loss = self._loss(stream, missing)
        found = self._replacer.find(
            self._exchange, loss, self._avoided | self._run_avoided() | missing
        )
        if found is None:
            return None
        added = [stage.target.id for stage in found.added]
        self._noted.set_targets({*stream.target_ids, *added})
        self._log_ordered(stream, loss, found)
        for stage in found.added:
            # Targets often fail together: one that refuses is known before
            # the stream has waited for it.
            self._parts.down.probe(stage.target)
        return loss, found

    def _loss(
        self, stream: live_streams.LiveStream, missing: frozenset[str]
    ) -> stage_replacement.StageLoss:
        engine = self._exchange.service.engine
        event_tokens = engine.event_tokens if engine else 0
        written = event_tokens * max(self._last_id() or 0, stream.events)
        in_path = set(stream.target_ids)
        lost_ids = self._parts.live.lost_ids(stream)
        return stage_replacement.StageLoss(
            path=stream.path,
            lost_ids=frozenset(in_path & (lost_ids | missing)),
            tokens_so_far=self._demand.prompt_tokens + written,
            tokens_to_come=max(0.0, self._demand.answer_tokens - written),
            longest_pause_s=self._demand.longest_pause_s,
        )

    def _run(
        self,
        stream: live_streams.LiveStream,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> None:
        """Sends the order, and once more without a part that is missing."""
        try:
            reason = self._order(stream, loss, replacement)
        finally:
            stream.is_replacing = False
        if self._noted.has_ended:
            return
        if reason:
            self._failures += 1
            self._note_failed(stream, reason)
            self._parts.live.resume_elsewhere(stream)
            return
        self._parts.live.look_again(stream)

    def _order(
        self,
        stream: live_streams.LiveStream,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
        is_again: bool = False,
    ) -> str:
        """Returns why no order was carried out, empty if one was.

        :param is_again: an order was refused before; this is the last one.
        """
        if self._noted.has_ended:
            self._take_back(stream, loss, replacement)
            return layer_orders.RequestUnknown.reason
        begun_at = self._parts.timer.now()
        first = stream.path[0].target
        answer = self._parts.orders.change_path(
            first, self._exchange.facts.request_id, replacement.path
        )
        if self._noted.has_ended:
            return layer_orders.RequestUnknown.reason
        if isinstance(answer, result.Success):
            self._adopt(stream, replacement, begun_at)
            return ''
        failure = answer.failure()
        if isinstance(failure, layer_orders.OrderUnanswered):
            # It may be carried out later: the load stays noted, and the
            # request doesn't come back to where the order would apply.
            self._avoid(first.id)
            self._parts.down.probe(first)
            return failure.reason
        self._take_back(stream, loss, replacement)
        again = None
        if not is_again:
            again = self._without_missing(stream, failure)
        if again is None:
            return failure.reason
        return self._order(stream, *again, is_again=True)

    def _without_missing(
        self,
        stream: live_streams.LiveStream,
        failure: layer_orders.PathFailure,
    ) -> (
        tuple[stage_replacement.StageLoss, stage_replacement.Replacement]
        | None
    ):
        if not isinstance(failure, layer_orders.PartNotThere):
            return None
        # All requests leave this target out for a moment.
        missing_id = self._parts.finder.record_rejection(
            self._exchange, outcomes.NotRun(failure.address, STATUS_CONFLICT)
        )
        if missing_id is None:
            return None
        self._avoided.add(missing_id)
        return self._decide(stream, frozenset((missing_id,)))

    def _take_back(
        self,
        stream: live_streams.LiveStream,
        loss: stage_replacement.StageLoss,
        replacement: stage_replacement.Replacement,
    ) -> None:
        self._noted.set_targets(stream.target_ids)
        self._replacer.cancel(loss, replacement)

    def _adopt(
        self,
        stream: live_streams.LiveStream,
        replacement: stage_replacement.Replacement,
        begun_at: float,
    ) -> None:
        """Switches the stream to the new path and schedules its review."""
        now = self._parts.timer.now()
        stream.use_path(replacement.path, replacement.pause_ms, now)
        self._noted.set_targets(stream.target_ids)
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
        self._review_in(TRIAL_S, stream, stream.events, now)

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
        """Resumes a stream that stays silent on its changed path."""
        if self._noted.has_ended or stream.was_interrupted:
            return
        if stream.path is not path:
            # A later replacement is reviewed by itself.
            return
        if stream.is_replacing:
            # If this order fails, the stream stays on the path.
            self._review_in(
                live_streams.RECOVERY_PERIOD_S,
                stream,
                events_before,
                adopted_at,
            )
            return
        if stream.events - events_before >= TRIAL_EVENTS:
            return
        ends_at = self._trial_ends_at(stream, adopted_at)
        left_s = ends_at - self._parts.timer.now()
        if left_s < LEAST_REVIEW_S:
            self._note_failed(stream, 'silent')
            for target_id in self._added_ids:
                self._avoid(target_id)
            self._parts.live.resume_elsewhere(stream)
            left_s = live_streams.RECOVERY_PERIOD_S
        self._review_in(left_s, stream, events_before, adopted_at)

    def _trial_ends_at(
        self, stream: live_streams.LiveStream, adopted_at: float
    ) -> float:
        """Returns until when a stream may stay silent.

        Before its first event a request has until its objective: prompts
        that queue after a loss would only be read once more elsewhere.
        """
        ends_at = max(stream.last_at, adopted_at) + TRIAL_S
        if stream.has_started:
            return ends_at
        received_at = self._exchange.request.received_at
        return max(ends_at, received_at + self._exchange.route.objective_s)

    def _note_failed(
        self, stream: live_streams.LiveStream, reason: str
    ) -> None:
        """Logs and counts a reason once while it stays the same."""
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
    return round((now - stream.last_at) * cost_model.MS_PER_S)
