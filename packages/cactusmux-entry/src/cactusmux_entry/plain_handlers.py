"""Handler for requests to plain services."""

from http import HTTPStatus
import urllib.parse

from cactusmux_control import claims
from cactusmux_control import documents
from cactusmux_platform import plain_services
from returns import result

from . import explain
from . import plain_calls
from . import plain_results
from . import problems
from . import responses
from . import surface

ORGANISATION_HEADER = 'x-organisation'
KEY_HEADER = 'idempotency-key'
RESUME_HEADER = 'x-resume-id'
MAX_KEY_CHARS = 128


class PlainHandlers:
    """Answers ``/services/SERVICE/plain/KIND[/PATH]``."""

    def __init__(
        self, calls: plain_calls.PlainCalls, explain_log: explain.ExplainLog
    ) -> None:
        self._calls = calls
        self._explain_log = explain_log

    def handle(
        self,
        call: surface.Call,
        document: documents.ServiceDocument,
        path: list[str],
    ) -> responses.Response:
        """Runs a request of the kind given in the path.

        :raises problems.RequestFailed: when there is no complete response.
        """
        request = _check_request(call, document, path)
        trace = self._explain_log.start(call.request_id)
        run_result = self._calls.run(request, trace)
        if isinstance(run_result, result.Success):
            return _to_response(run_result.unwrap(), call.request_id)
        raise problems.RequestFailed(_to_problem(run_result.failure()))


def _check_request(
    call: surface.Call,
    document: documents.ServiceDocument,
    path: list[str],
) -> plain_results.PlainRequest:
    kind = document.kind_by_name.get(path[0]) if path else None
    if kind is None or not kind.plain_service:
        raise problems.RequestFailed(
            problems.refused(
                'unknown_kind',
                f'no kind {"/".join(path)!r} of a plain service',
                HTTPStatus.NOT_FOUND,
            )
        )
    organisation = call.header_by_name.get(ORGANISATION_HEADER, '')
    if organisation not in document.organisation_by_name:
        raise problems.RequestFailed(
            problems.bad_request(
                'unknown_organisation',
                f'{ORGANISATION_HEADER} {organisation!r} is not listed',
            )
        )
    key = call.header_by_name.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARS:
        raise problems.RequestFailed(
            problems.bad_request(
                'idempotency_key_too_long',
                f'{KEY_HEADER} has more than {MAX_KEY_CHARS} characters',
            )
        )
    plain_service = document.plain_service_by_name[kind.plain_service]
    return plain_results.PlainRequest(
        service=document.service,
        organisation=organisation,
        plain_service=kind.plain_service,
        repeatable=kind.repeatable,
        call=plain_services.PlainCall(
            call.method,
            '/' + '/'.join(urllib.parse.quote(part) for part in path),
            call.body,
            call.header_by_name.get('content-type', ''),
            call.request_id,
            key,
        ),
        deadline_s=kind.deadline_s,
        concurrency=plain_service.concurrency,
        resume_ids=_split_list(call.header_by_name.get(RESUME_HEADER, '')),
    )


def _split_list(header: str) -> tuple[str, ...]:
    parts = (part.strip() for part in header.split(','))
    return tuple(part for part in parts if part)


def _to_response(
    complete: plain_results.PlainComplete, request_id: str
) -> responses.Response:
    answer = complete.answer
    headers = [
        ('Content-Type', answer.content_type),
        ('X-Request-Id', request_id),
    ]
    if complete.repeated:
        headers.append(('Idempotent-Replayed', 'true'))
    if not complete.body_kept:
        headers.append(('X-Body-Kept', 'false'))
    return responses.Response(answer.status, headers, [answer.body])


def _to_problem(failure: plain_results.PlainCallError) -> problems.Problem:
    if not isinstance(failure, plain_results.PlainNotRun):
        status = HTTPStatus.BAD_GATEWAY
        if failure.reason == claims.ClaimInProgress.reason:
            status = HTTPStatus.CONFLICT
        return problems.Problem(
            status,
            failure.reason,
            failure.detail,
            problems.Outcome.UNKNOWN,
            failure.retry_after_s,
        )
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if failure.retry_after_s == 0.0:
        status = HTTPStatus.CONFLICT
    refused = problems.refused(
        failure.reason, failure.detail, status, failure.retry_after_s
    )
    return refused._replace(
        resume_ids=failure.resume_ids, earlier_known=failure.earlier_known
    )
