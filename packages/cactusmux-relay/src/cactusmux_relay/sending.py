"""Sends a request to one target and tells how that ended."""

from cactusmux_base import timers

from . import backoffs
from . import context
from . import cost_model
from . import dialect
from . import leaving_targets
from . import live_streams
from . import outcomes
from . import target_calls
from . import target_registry
from . import targets

MAX_BUFFERED_BYTES = 16 << 20
STATUS_OK = 200
STATUS_MISDIRECTED = 421
# With less than this left, a target couldn't answer in time.
LEAST_LEFT_S = 0.01


class Sender:
    """Sends requests with the identity of their target and checks answers."""

    def __init__(
        self,
        connections: target_calls.TargetConnections,
        spelling: dialect.Dialect,
        timer: timers.TimerService,
        held: backoffs.Backoffs,
        book: target_registry.TargetRegistry,
    ) -> None:
        self._connections = connections
        self._spelling = spelling
        self._timer = timer
        self._held = held
        self._book = book

    def send(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        path: cost_model.Path = (),
        last_event_id: int | None = None,
        live: live_streams.LiveStream | None = None,
    ) -> outcomes.SendOutcome:
        """Sends once; a stream's events are left to the caller.

        :param last_event_id: after which a stream goes on; the caller's
            own if ``None``.
        :param live: gets the call, by which it can be cut.
        """
        request = self._outgoing(exchange, target, path, last_event_id)
        fresh = not exchange.route.is_idempotent
        try:
            call = self._connections.call(target.address, request, fresh)
        except target_calls.NotSent as failed:
            return outcomes.NotRun(
                target.address, 0, is_refused=failed.is_refused
            )
        streaming = False
        if live is not None:
            live.call = call
        try:
            outcome = self._read(exchange, target, call)
            streaming = isinstance(outcome, outcomes.StreamingResponse)
            return outcome
        except target_calls.AnswerBroken as broken:
            return outcomes.MaybeRun(target.address, broken.detail)
        finally:
            if not streaming:
                call.close()

    def _outgoing(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        path: cost_model.Path,
        last_event_id: int | None,
    ) -> target_calls.OutgoingRequest:
        facts = exchange.facts
        if last_event_id is None:
            last_event_id = facts.last_event_id
        organisation = exchange.organisation
        headers = self._spelling.target_headers(
            facts,
            dialect.TargetRequestFacts(
                target_id=target.id,
                organisation=organisation.name if organisation else None,
                left_s=max(exchange.ends_at - self._timer.now(), LEAST_LEFT_S),
                path=path,
                urgency=exchange.sent_urgency,
                last_event_id=last_event_id,
            ),
        )
        body = exchange.request.body
        if body or exchange.request.method not in ('GET', 'HEAD', 'DELETE'):
            headers.append((b'content-length', str(len(body)).encode()))
        return target_calls.OutgoingRequest(
            exchange.request.method, exchange.request.path, headers, body
        )

    def _read(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        call: target_calls.TargetCall,
    ) -> outcomes.SendOutcome:
        head = call.read_head()
        facts = self._spelling.response_facts(head)
        if facts.retry_after_s is not None:
            self._held.note_retry_after(
                target, facts.retry_after_s, facts.at_fault
            )
        if facts.request_id not in (None, exchange.facts.request_id):
            return outcomes.MaybeRun(target.address, 'answer to another id')
        if facts.is_leaving:
            said = leaving_targets.Source.ANSWER
            self._book.note_leaving(target.start, said)
        if facts.not_run or head.status == STATUS_MISDIRECTED:
            call.read_body(MAX_BUFFERED_BYTES)
            at_fault = facts.at_fault or target.address
            return outcomes.NotRun(at_fault, head.status)
        if facts.is_encoded:
            return outcomes.MaybeRun(target.address, 'body is encoded')
        if head.status < 300 and not facts.is_signed:
            return outcomes.MaybeRun(target.address, 'no signature')
        is_stream = exchange.route.kind.value == 'stream'
        if is_stream and head.status == STATUS_OK:
            return outcomes.StreamingResponse(head, call)
        return outcomes.CompleteResponse(
            head, call.read_body(MAX_BUFFERED_BYTES)
        )
