"""Sends a request to one target and classifies the outcome."""

from cactusmux_base import timers

from . import backoffs
from . import context
from . import cost_model
from . import dialect
from . import event_ids
from . import held_bytes
from . import leaving_targets
from . import live_streams
from . import outcomes
from . import rate_limiter
from . import response_body
from . import target_calls
from . import target_registry
from . import targets

MAX_BUFFERED_BYTES = 16 << 20
STATUS_OK = 200
STATUS_MISDIRECTED = 421
# Lower bound of the remaining time in requests to targets: with less, a target
# couldn't respond in time.
MIN_TIME_LEFT_S = 0.01


class Sender:
    """Sends requests that name their target, and checks the responses."""

    def __init__(
        self,
        connections: target_calls.TargetConnections,
        header_dialect: dialect.Dialect,
        timer: timers.TimerService,
        target_backoffs: backoffs.Backoffs,
        registry: target_registry.TargetRegistry,
        rates: rate_limiter.RateLimiter,
    ) -> None:
        self._connections = connections
        self._header_dialect = header_dialect
        self._timer = timer
        self._backoffs = target_backoffs
        self._registry = registry
        self._rates = rates

    def send(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        path: cost_model.Path = (),
        last_event_id: event_ids.EventId | None = None,
        live: live_streams.LiveStream | None = None,
        *,
        has_run: bool = False,
    ) -> outcomes.SendOutcome:
        """Sends once; leaves the events of a stream unread.

        :param last_event_id: id of the event after which a stream resumes;
            the one of the caller's request if ``None``.
        :param live: gets the call, so that the stream can be interrupted.
        :param has_run: whether an earlier send may have run. A target may
            close a kept connection as it is used, which costs an attempt: a
            further one gets a new connection.
        """
        if not self._rates.take(target):
            return outcomes.NotRun(target.address, 0, is_held=True)
        request = self._outgoing(exchange, target, path, last_event_id)
        new_connection = has_run or not exchange.route.is_idempotent
        sent_at = self._timer.now()
        try:
            call = self._connections.call(
                target.address, request, new_connection
            )
        except target_calls.NotSent as failed:
            return outcomes.NotRun(
                target.address,
                0,
                is_refused=failed.is_refused,
                is_local=failed.is_local,
            )
        streaming = False
        if live is not None:
            live.call = call
        try:
            outcome = self._read(exchange, target, call, sent_at)
            streaming = isinstance(outcome, outcomes.StreamingResponse)
            return outcome
        except target_calls.AnswerBroken as broken:
            return outcomes.MaybeRun(
                target.address, broken.detail, is_broken_off=True
            )
        finally:
            if not streaming:
                call.close()

    def _outgoing(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        path: cost_model.Path,
        last_event_id: event_ids.EventId | None,
    ) -> target_calls.OutgoingRequest:
        facts = exchange.facts
        if last_event_id is None:
            last_event_id = facts.last_event_id
        organisation = exchange.organisation
        headers = self._header_dialect.target_headers(
            facts,
            dialect.TargetRequestFacts(
                target_id=target.id,
                organisation=organisation.name if organisation else None,
                left_s=max(
                    exchange.ends_at - self._timer.now(), MIN_TIME_LEFT_S
                ),
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
        sent_at: float,
    ) -> outcomes.SendOutcome:
        head = call.read_head()
        facts = self._header_dialect.response_facts(head)
        if facts.retry_after_s is not None:
            self._backoffs.record_retry_after(
                target, facts.retry_after_s, facts.at_fault
            )
        if facts.request_id not in (None, exchange.facts.request_id):
            return outcomes.MaybeRun(
                target.address, 'response to another request id'
            )
        self._rates.record_response(target, facts.rate_limit, sent_at)
        if facts.is_leaving:
            source = leaving_targets.Source.ANSWER
            self._registry.record_leaving(target.start, source)
        if facts.not_run or head.status == STATUS_MISDIRECTED:
            call.read_body(MAX_BUFFERED_BYTES)
            at_fault = facts.at_fault or target.address
            return outcomes.NotRun(at_fault, head.status)
        if facts.is_encoded:
            return outcomes.MaybeRun(
                target.address, 'response body is encoded'
            )
        if head.status < 300 and not facts.is_signed:
            return outcomes.MaybeRun(
                target.address, 'response has no signature'
            )
        is_stream = exchange.route.kind.value == 'stream'
        # A version may move a route of streams to a service that has none.
        has_engine = exchange.service.engine is not None
        if is_stream and has_engine and head.status == STATUS_OK:
            return outcomes.StreamingResponse(head, call)
        return outcomes.CompleteResponse(
            head, self._read_body(exchange, target, call, head)
        )

    def _read_body(
        self,
        exchange: context.Exchange,
        target: targets.Target,
        call: target_calls.TargetCall,
        head: target_calls.ResponseHead,
    ) -> bytes:
        """Reads a whole response; refuses the request if it has no room.

        That is no failure of the target.
        """
        body = response_body.ResponseBody(
            head, exchange.answerer, MAX_BUFFERED_BYTES
        )
        try:
            return body.read(call, target.address)
        except held_bytes.NoRoom as failure:
            raise context.RequestRefused(
                outcomes.Refusal.MEMORY_LIMIT, True
            ) from failure
