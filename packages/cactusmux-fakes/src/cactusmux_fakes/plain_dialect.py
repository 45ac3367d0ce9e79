"""A header dialect with neutral names, for tests of the relay."""

from cactusmux_relay import dialect
from cactusmux_relay import event_ids
from cactusmux_relay import http_server
from cactusmux_relay import target_calls

FRAMING_HEADERS = (b'connection', b'content-length', b'transfer-encoding')
REQUEST_FACT_HEADERS = (
    b'key',
    b'wait-s',
    b'last-event',
    b'prompt',
    b'answer',
    b'prompt-id',
    b'shared-parts',
)


class PlainDialect(dialect.Dialect):
    """Uses headers such as ``request-id``, ``key``, ``wait-s``, ``path``."""

    def request_id(self, headers: tuple[http_server.Header, ...]) -> str:
        return http_server.first_value(headers, b'request-id') or ''

    def request_facts(
        self, request: http_server.Request
    ) -> dialect.RequestFacts:
        last_event = request.header(b'last-event')
        wait_s = request.header(b'wait-s')
        return dialect.RequestFacts(
            request_id=self.request_id(request.headers),
            host=request.header(b'host') or '',
            wait_s=float(wait_s) if wait_s else None,
            key=request.header(b'key'),
            prompt_id=request.header(b'prompt-id') or '',
            prompt_tokens=float(request.header(b'prompt') or 0),
            most_answer_tokens=float(request.header(b'answer') or 0),
            hinted_answer_tokens=None,
            last_event_id=event_ids.EventId(last_event)
            if last_event
            else None,
            passed_headers=[
                each
                for each in request.headers
                if each[0] not in FRAMING_HEADERS + REQUEST_FACT_HEADERS
            ],
            shared_parts=tuple(
                each
                for each in (request.header(b'shared-parts') or '').split(',')
                if each
            ),
        )

    def target_headers(
        self, facts: dialect.RequestFacts, sending: dialect.TargetRequestFacts
    ) -> http_server.Headers:
        path = ','.join(
            f'{stage.target.id}={stage.layers.first}-{stage.layers.end}'
            for stage in sending.path
        )
        headers = list(facts.passed_headers)
        headers.append((b'expected', sending.target_id.encode()))
        headers.append((b'path', path.encode()))
        if sending.organisation:
            headers.append((b'organisation', sending.organisation.encode()))
        if sending.urgency is not None:
            headers.append((b'urgency', str(sending.urgency).encode()))
        if sending.last_event_id is not None:
            last = sending.last_event_id.text.encode('latin-1')
            headers.append((b'last-event', last))
        return headers

    def response_facts(
        self, head: target_calls.ResponseHead
    ) -> dialect.ResponseFacts:
        retry_after = head.header(b'retry-after')
        rate_limit = head.header(b'rate-limit')
        return dialect.ResponseFacts(
            request_id=head.header(b'request-id'),
            is_signed=head.header(b'signature') is not None,
            not_run=head.header(b'not-run') is not None,
            at_fault=head.header(b'at-fault'),
            is_encoded=head.header(b'content-encoding') is not None,
            retry_after_s=float(retry_after) if retry_after else None,
            is_leaving=head.header(b'leaving') is not None,
            rate_limit=dialect.RateLimitReading(
                float(rate_limit) if rate_limit else None
            ),
        )

    def caller_headers(
        self, head: target_calls.ResponseHead
    ) -> http_server.Headers:
        return [
            each for each in head.headers if each[0] not in FRAMING_HEADERS
        ]

    def refusal_headers(
        self,
        facts: dialect.RequestFacts | None,
        retry_after_s: float | None,
    ) -> http_server.Headers:
        if retry_after_s is None:
            return []
        return [(b'retry-after', str(retry_after_s).encode())]
