"""One stream from its request to its end, over one path after another."""

from collections.abc import Iterator
import contextlib
from typing import NamedTuple, NoReturn

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from returns import result

from . import admission_ticket
from . import attempt_replacements
from . import context
from . import cost_model
from . import dialect
from . import down_targets
from . import event_stream
from . import failing_targets
from . import hand_over
from . import live_streams
from . import load_ledger
from . import noted_load
from . import outcomes
from . import pace_limits
from . import path_choice
from . import path_finder
from . import pipe_quota
from . import refused_callers
from . import repeat_budget
from . import sending
from . import stage_replacer
from . import stream_gate
from . import stream_pace
from . import target_calls

# Sends after which a request that no path took is refused.
MAX_REJECTIONS = 4
# A path is looked for so long.
ROOM_WAIT_S = 0.05
# A caller that was refused before is late in any case.
RETURNING_ROOM_WAIT_S = 1.0
# A resumed stream waits until shortly before its caller gives it up.
RESUME_ROOM_WAIT_S = 1.8
REPEAT_POLL_S = 0.05


class StreamParts(NamedTuple):
    """What all streams of an instance share."""

    finder: path_finder.PathFinder
    ledger: load_ledger.LoadLedger
    sender: sending.Sender
    spelling: dialect.Dialect
    budget: repeat_budget.RepeatBudget
    down: down_targets.DownTargets
    refused: refused_callers.RefusedCallers
    live: live_streams.LiveStreams
    replacer: stage_replacer.StageReplacer
    timer: timers.TimerService
    metric: metrics.Metrics
    failing: failing_targets.FailingTargets
    limits: pace_limits.PaceLimits = pace_limits.NoPaceLimits()
    gate: stream_gate.Gate = stream_gate.OpenGate()


class _Broken(Exception):
    """The stream broke off; it may be resumed."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class _Rejected(_Broken):
    """No target ran the request; another path may."""


class StreamRun:
    """One request: its attempts, and what the caller has got so far."""

    def __init__(self, parts: StreamParts, exchange: context.Exchange) -> None:
        self._parts = parts
        self._exchange = exchange
        self._demand = demand_of(exchange)
        self._caller = caller_of(exchange)
        self._is_returning = parts.refused.is_returning(self._caller)
        self._ticket: admission_ticket.Ticket = admission_ticket.UNRANKED
        self._avoided: set[str] = set()
        self._failed_ids: set[str] = set()
        self._failed: outcomes.Whole | None = None
        self._runs = 0
        self._runs_before = 0
        self._rejections = 0
        self._sends = 0
        self._last_id = exchange.facts.last_event_id
        self._has_begun = False
        self._first_at = 0.0
        self._passed_at = 0.0
        self._longest_pause_s = 0.0
        self._crossings: pipe_quota.Grant = ()
        self._pace: stream_pace.StreamPace | None = None
        self._hand_over = hand_over.HandOver(
            parts.finder, parts.ledger, parts.budget, exchange, self._demand
        )

    def serve(self) -> None:
        """Streams the answer; raises :class:`context.Refused`.

        Once the answer has begun, a failure breaks it off.
        """
        try:
            self._run_attempts()
        finally:
            self._hand_over.release()
            self._ticket.release(self._has_begun)

    def _run_attempts(self) -> None:
        while True:
            path, expected_pause_ms = self._next_path()
            try:
                self._attempt(path, expected_pause_ms)
                return
            except _Broken as broken:
                self._log_broken(path, broken)
                if not self._may_resume(self._runs):
                    self._give_up(outcomes.Refusal.TARGET_FAILED)

    def _next_path(self) -> tuple[cost_model.Path, float]:
        service = self._exchange.service.name
        secured = self._hand_over.release()
        if secured is not None and secured.path is not None:
            if self._parts.finder.is_usable(service, secured.path):
                return secured.path, secured.pause_ms
        if not self._runs and self._parts.finder.is_closed(service):
            self._give_up(outcomes.Refusal.NO_TARGET)
        if not self._sends:
            self._enter()
        found = self._choose_next()
        if found is not None and secured is None and self._sends:
            found = self._paid_for(found, service)
        if found is None:
            self._give_up(outcomes.Refusal.NO_ROOM)
        return found

    def _enter(self) -> None:
        """Gets leave to begin, or gives up."""
        entered = self._parts.gate.enter(
            self._exchange, self._demand, self._caller, self._is_returning
        )
        match entered:
            case result.Success(ticket):
                self._ticket = ticket
                self._hand_over.repeats_kept = ticket.repeats_kept
            case result.Failure(retry_s):
                self._give_up(outcomes.Refusal.NO_ROOM, retry_s)

    def _choose_next(self) -> tuple[cost_model.Path, float] | None:
        """Returns a path for the first send, or to go on after a failure."""
        if not self._sends:
            wait_s = self._ticket.path_wait_s(self._room_wait_s())
            return self._choose(wait_s, self._ticket.demand(self._demand))
        self._ticket.set_resuming(self._has_begun)
        try:
            return self._choose(self._room_wait_s())
        finally:
            self._ticket.set_resuming(False)

    def _paid_for(
        self, found: tuple[cost_model.Path, float], service: str
    ) -> tuple[cost_model.Path, float] | None:
        """Takes a repeat for a path, or for another one after a wait."""
        asked_at = self._parts.timer.now()
        if not self._take_repeat(service):
            self._give_up(outcomes.Refusal.REPEATS_SPENT)
        if self._parts.timer.now() <= asked_at:
            return found
        # What was free before the wait may be full or gone by now.
        found_again = self._choose(0.0)
        if found_again is None:
            self._parts.budget.give_back(service)
        return found_again

    def _choose(
        self, wait_s: float, demand: path_choice.Demand | None = None
    ) -> tuple[cost_model.Path, float] | None:
        """Returns a path with room and its expected pause, if any is left."""
        finder = self._parts.finder
        demand = demand or self._demand
        choice = finder.choose(
            self._exchange, demand, self._avoided, wait_s, self._runs > 0
        )
        if choice.path is None and self._avoided:
            # A failure is passed on rather than asked for again.
            self._avoided = set()
            if not self._has_begun:
                self._avoided = set(self._failed_ids)
            choice = finder.choose(
                self._exchange, demand, self._avoided, 0.0, self._runs > 0
            )
        if choice.path is None:
            return None
        return choice.path, choice.pause_ms

    def _take_repeat(self, service: str) -> bool:
        """Takes a repeat; a stream that has begun waits for one."""
        wait_s = RESUME_ROOM_WAIT_S if self._has_begun else 0.0
        until = min(self._parts.timer.now() + wait_s, self._exchange.ends_at)
        budget = self._parts.budget
        kept = self._ticket.repeats_kept
        while not (budget.has_left(service, kept) and budget.take(service)):
            if self._parts.timer.now() >= until:
                return False
            self._parts.timer.sleep(REPEAT_POLL_S)
        return True

    def _secure_next(self) -> bool:
        """Secures a way on, for when the present attempt is cut."""
        if not self._may_resume(self._runs_before + 1):
            return self._hand_over.keep(outcomes.Refusal.TARGET_FAILED)
        return self._hand_over.secure(self._avoided)

    def _room_wait_s(self) -> float:
        if self._failed is not None and not self._has_begun:
            return ROOM_WAIT_S
        if self._runs:
            return RESUME_ROOM_WAIT_S
        if self._is_returning:
            return RETURNING_ROOM_WAIT_S
        return ROOM_WAIT_S

    def _attempt(
        self, path: cost_model.Path, expected_pause_ms: float
    ) -> None:
        parts = self._parts
        ids = [stage.target.id for stage in path]
        tokens = self._demand.tokens
        self._runs_before = self._runs
        noted = noted_load.NotedLoad(parts.ledger, tokens)
        live = live_streams.LiveStream(
            path,
            expected_pause_ms,
            parts.timer.now(),
            self._secure_next,
            self._replacements(noted).replace_lost,
        )
        self._sends += 1
        self._log_path(path, expected_pause_ms)
        with contextlib.ExitStack() as ending:
            ending.callback(noted.end)
            noted.move(ids)
            trial = parts.failing.begin(
                self._exchange.facts.request_id,
                path,
                tokens,
                expected_s(self._exchange, self._demand, expected_pause_ms),
                lambda: parts.live.lost_ids(live),
            )
            ending.callback(trial.end)
            live.subscribe_path(trial.use_path)
            parts.ledger.note_crossings(path, tokens)
            self._crossings = parts.finder.reserve_crossings(
                self._exchange, path, self._demand
            )
            parts.live.add(live)
            ending.callback(parts.live.remove, live)
            self._pace = stream_pace.StreamPace(
                parts.limits,
                self._exchange,
                path,
                expected_pause_ms,
                parts.timer.now(),
            )
            live.subscribe_path(self._pace.use_path)
            self._send_on(path, live, trial)

    def _replacements(
        self, noted: noted_load.NotedLoad
    ) -> attempt_replacements.AttemptReplacements:
        """Returns what replaces lost stages of one attempt."""
        return attempt_replacements.AttemptReplacements(
            self._parts.replacer,
            self._exchange,
            self._demand,
            noted,
            lambda: self._last_id,
            lambda target_id: self._avoided.add(target_id),
            lambda: self._avoided,
        )

    def _send_on(
        self,
        path: cost_model.Path,
        live: live_streams.LiveStream,
        trial: failing_targets.StreamTrial,
    ) -> None:
        outcome = self._parts.sender.send(
            self._exchange, path[0].target, path, self._last_id, live
        )
        match outcome:
            case outcomes.NotRun():
                # Nothing went through its pipes.
                self._parts.ledger.note_crossings(path, -self._demand.tokens)
                self._parts.finder.return_crossings(self._crossings)
                self._note_not_run(outcome)
            case outcomes.MaybeRun(_, detail):
                self._runs += 1
                self._draw_conclusions(path, live, trial, detail)
                raise _Broken(detail)
            case outcomes.Whole() as whole:
                self._runs += 1
                self._note_whole(whole, trial)
            case outcomes.Streaming(head, call):
                self._runs += 1
                try:
                    self._pass_on(head, call, live, trial)
                except _Broken as broken:
                    self._draw_conclusions(path, live, trial, broken.detail)
                    raise
                finally:
                    call.close()

    def _note_whole(
        self, whole: outcomes.Whole, trial: failing_targets.StreamTrial
    ) -> None:
        """Passes an answer that is no stream on, unless it is a failure."""
        status = whole.head.status
        if status in outcomes.FAILED_STATUSES:
            self._note_failed()
            named = self._parts.spelling.answer_facts(whole.head).at_fault
            self._failed_ids.add(trial.note_answered(status, named))
            self._avoided |= self._failed_ids
            self._failed = whole
        elif not self._has_begun:
            raise context.Answered(whole)
        raise _Broken(f'status {status}')

    def _draw_conclusions(
        self,
        path: cost_model.Path,
        live: live_streams.LiveStream,
        trial: failing_targets.StreamTrial,
        detail: str,
    ) -> None:
        """Avoids the first target of a stream that broke by itself.

        A first target cuts a stream that has lost a later stage: that isn't
        its own failure.
        """
        if live.was_interrupted:
            return
        lost_ids = self._parts.live.lost_ids(live)
        if lost_ids and path[0].target.id not in lost_ids:
            return
        trial.note_broken(detail)
        self._note_failed()
        self._avoided.add(path[0].target.id)
        self._parts.down.probe(path[0].target)

    def _note_failed(self) -> None:
        if self._pace is not None:
            self._pace.note_failed()

    def _note_not_run(self, outcome: outcomes.NotRun) -> None:
        self._rejections += 1
        if outcome.status == 0 and self._sends > 1:
            self._parts.budget.give_back(self._exchange.service.name)
        at_fault = self._parts.finder.note_not_run(self._exchange, outcome)
        if self._pace is not None:
            self._pace.note_rejected(at_fault)
        if at_fault is not None:
            self._avoided.add(at_fault)
        # The repeats bound what follows once an answer has begun.
        if self._rejections >= MAX_REJECTIONS and not self._has_begun:
            self._give_up(outcomes.Refusal.REJECTED)
        raise _Rejected('not run')

    def _pass_on(
        self,
        head: target_calls.AnswerHead,
        call: target_calls.TargetCall,
        live: live_streams.LiveStream,
        trial: failing_targets.StreamTrial,
    ) -> None:
        """Passes events on as they arrive, each at most once."""
        for event in self._events(call):
            live.note_event(self._parts.timer.now())
            trial.note_event()
            if self._pace is not None:
                self._pace.note_event(live.last_at)
            if not self._is_next(event):
                continue
            self._begin(head)
            self._exchange.answerer.send(event.data)
            self._note_passed()
        self._begin(head)
        self._exchange.answerer.finish()
        self._log_served(live)

    def _note_passed(self) -> None:
        """Notes that the caller has got an event, on whichever path."""
        now = self._parts.timer.now()
        if not self._first_at:
            self._first_at = now
        else:
            pause_s = now - self._passed_at
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._passed_at = now

    def _events(
        self, call: target_calls.TargetCall
    ) -> Iterator[event_stream.Event]:
        splitter = event_stream.EventSplitter()
        try:
            for part in call.parts():
                yield from splitter.feed(part)
        except target_calls.AnswerBroken as broken:
            raise _Broken(broken.detail) from broken
        except event_stream.EventTooLong as endless:
            raise _Broken(str(endless)) from endless
        if splitter.rest:
            raise _Broken('ended within an event')

    def _is_next(self, event: event_stream.Event) -> bool:
        """Whether an event is due; raises on a gap in the ids."""
        if event.id is None:
            return True
        last_id = self._last_id
        if last_id is not None and event.id <= last_id:
            return False
        if last_id is not None and event.id != last_id + 1:
            raise _Broken(f'event {event.id} came after {last_id}')
        self._last_id = event.id
        return True

    def _begin(self, head: target_calls.AnswerHead) -> None:
        if self._has_begun:
            return
        self._has_begun = True
        headers = self._parts.spelling.caller_headers(head)
        kept = [each for each in headers if each[0] != b'content-length']
        self._exchange.answerer.start(head.status, kept)

    def _may_resume(self, runs: int) -> bool:
        """Whether one more run may follow so many."""
        if runs == 0:
            return True
        if not self._exchange.route.is_idempotent:
            return False
        return runs < self._exchange.route.max_attempts

    def _give_up(
        self, refusal: outcomes.Refusal, retry_s: float | None = None
    ) -> NoReturn:
        """Ends the request.

        :param retry_s: when the caller is to return, where that is known.
        """
        if self._has_begun:
            raise context.BrokenOff(refusal)
        if self._failed is not None:
            raise context.Answered(self._failed)
        has_run = self._runs > 0
        retry_after_s = None
        if not has_run:
            wait_s = self._parts.finder.wait_s(self._exchange.service)
            retry_after_s = self._parts.refused.note_refused(
                self._caller, wait_s
            )
            if retry_s is None:
                retry_s = self._ticket.retry_after_s(retry_after_s)
            # Targets that are left alone may keep the service longer.
            retry_after_s = max(retry_s, wait_s)
            if self._is_returning:
                self._parts.metric.count('relay.refused_again')
        raise context.Refused(refusal, has_run, retry_after_s)

    def _log_path(
        self, path: cost_model.Path, expected_pause_ms: float
    ) -> None:
        exchange = self._exchange
        left_s = exchange.ends_at - self._parts.timer.now()
        events.info(
            'path_chosen',
            id=exchange.facts.request_id,
            route=exchange.route.name,
            path=','.join(stage.target.id for stage in path),
            tokens=int(self._demand.tokens),
            expected_pause_ms=int(expected_pause_ms),
            send=self._sends,
            returning=self._is_returning,
            after_event=self._last_id,
            left_ms=_ms(left_s),
        )

    def _log_served(self, live: live_streams.LiveStream) -> None:
        now = self._parts.timer.now()
        received_at = self._exchange.request.received_at
        metric = self._parts.metric
        first_s = max(0.0, self._first_at - received_at)
        metric.timing('relay.stream.first', first_s)
        metric.timing('relay.stream.total', now - received_at)
        metric.timing('relay.stream.longest_pause', self._longest_pause_s)
        events.info(
            'stream_served',
            id=self._exchange.facts.request_id,
            path=','.join(live.target_ids),
            tokens=int(self._demand.tokens),
            first_ms=_ms(first_s),
            total_ms=_ms(now - received_at),
            expected_pause_ms=int(live.expected_pause_ms),
            mean_pause_ms=_ms(live.mean_pause_s),
            longest_pause_ms=_ms(self._longest_pause_s),
            sends=self._sends,
        )

    def _log_broken(self, path: cost_model.Path, broken: _Broken) -> None:
        if isinstance(broken, _Rejected):
            return
        self._parts.metric.count('relay.stream_broken')
        events.info(
            'stream_broken',
            id=self._exchange.facts.request_id,
            path=','.join(stage.target.id for stage in path),
            detail=broken.detail,
            last_event=self._last_id,
            runs=self._runs,
        )


def _ms(seconds: float) -> int:
    return round(seconds * cost_model.MS_PER_S)


def caller_of(exchange: context.Exchange) -> int | None:
    """Returns by what a refused request is recognised when it returns."""
    organisation = exchange.organisation
    name = organisation.name if organisation else ''
    return refused_callers.key_of(name, exchange.facts.prompt_id)


def expected_s(
    exchange: context.Exchange, demand: path_choice.Demand, pause_ms: float
) -> float:
    """Returns for about how long a stream writes its answer."""
    engine = exchange.service.engine
    tokens_an_event = engine.event_tokens if engine else 1
    pauses = demand.answer_tokens / tokens_an_event
    return pauses * pause_ms / cost_model.MS_PER_S


def demand_of(exchange: context.Exchange) -> path_choice.Demand:
    """Returns what a request will need, as far as it is known."""
    facts = exchange.facts
    engine = exchange.service.engine
    answer = facts.hinted_answer_tokens
    if answer is None:
        answer = engine.usual_answer if engine else 0.0
    if facts.most_answer_tokens:
        answer = min(answer, facts.most_answer_tokens)
    return path_choice.Demand(
        facts.prompt_tokens, answer, exchange.route.gap_s
    )
