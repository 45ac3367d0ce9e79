"""Handlers for the paths of a service: completions and models."""

from collections.abc import Callable, Iterator
from http import HTTPStatus

from cactusmux_control import documents
from cactusmux_routing import admission
from cactusmux_routing import retries
from cactusmux_routing import tickets
from returns import result

from . import completions
from . import explain
from . import generations
from . import plain_handlers
from . import problems
from . import responses
from . import surface

FindDocument = Callable[[str], documents.InForce | None]
RETRY_AFTER_NO_DOCUMENT_S = 2.0


class ServiceHandlers:
    """Answers requests below ``/services/SERVICE``."""

    def __init__(
        self,
        services: generations.GenerationServices,
        find_document: FindDocument,
        plain: plain_handlers.PlainHandlers,
        controller: admission.AdmissionController,
        explain_log: explain.ExplainLog,
    ) -> None:
        self._services = services
        self._find_document = find_document
        self._plain = plain
        self._admission = controller
        self._explain_log = explain_log

    def handle(self, call: surface.Call) -> responses.Response:
        """Dispatches a request by its method and path.

        :raises problems.RequestFailed: for an unknown path, or when the
            request fails.
        """
        if not call.rest:
            raise _unknown_path_error(call)
        service, *path = call.rest
        document = self._require_document(service)
        if path == ['v1', 'completions'] and call.method == 'POST':
            return self._complete(call, document)
        if path == ['v1', 'models'] and call.method == 'GET':
            return _list_models(document)
        if path[:1] == ['plain']:
            return self._plain.handle(call, document, path[1:])
        raise _unknown_path_error(call)

    def _require_document(self, service: str) -> documents.ServiceDocument:
        in_force = self._find_document(service)
        if in_force is None:
            raise problems.RequestFailed(
                problems.refused(
                    'no_document',
                    f'no document of service {service!r} is known',
                    retry_after_s=RETRY_AFTER_NO_DOCUMENT_S,
                )
            )
        return in_force.document

    def _complete(
        self, call: surface.Call, document: documents.ServiceDocument
    ) -> responses.Response:
        timer = self._services.timer
        body = completions.parse_body(call.body)
        completion = completions.check_completion(
            body, document, call.request_id, timer
        )
        trace = self._explain_log.start(call.request_id)
        ticket = self._admit(completion, trace)
        prioritised = completion.draft._replace(priority=ticket.priority)
        draft = generations.Generation(self._services, prioritised, trace)
        texts = self._release_after(ticket, draft.texts())
        created = int(timer.wall())
        return completions.to_response(completion, texts, created)

    def _admit(
        self, completion: completions.Completion, trace: explain.Trace
    ) -> tickets.Ticket:
        """Waits for admission.

        :raises problems.RequestFailed: if it isn't admitted; it did not run.
        """
        draft = completion.draft
        admitted = self._admission.admit(
            tickets.RequestClass(
                draft.service,
                draft.organisation,
                draft.kind,
                draft.model,
                completion.worth,
                float(draft.max_tokens),
                retries.Deadline(draft.deadline_at),
            )
        )
        if isinstance(admitted, result.Failure):
            refusal = admitted.failure()
            trace.add('not_admitted', reason=refusal.reason)
            raise problems.RequestFailed(
                problems.refused(
                    refusal.reason,
                    str(refusal),
                    HTTPStatus.TOO_MANY_REQUESTS,
                    refusal.retry_after_s,
                )
            )
        ticket = admitted.unwrap()
        trace.add(
            'admitted', priority=ticket.priority, waited_s=ticket.waited_s
        )
        return ticket

    def _release_after(
        self, ticket: tickets.Ticket, texts: Iterator[str]
    ) -> Iterator[str]:
        """Yields texts, and releases the ticket after the last one."""
        tokens = 0
        try:
            for text in texts:
                tokens += 1
                yield text
        finally:
            self._admission.release(ticket, float(tokens))
            texts.close()  # type: ignore[attr-defined]


def _list_models(
    document: documents.ServiceDocument,
) -> responses.Response:
    names = []
    for name, model in document.model_by_name.items():
        names.append(name)
        names.extend(f'{name}:{adapter}' for adapter in model.adapters)
    models = [
        {'id': name, 'object': 'model', 'owned_by': document.service}
        for name in names
    ]
    return responses.from_json({'object': 'list', 'data': models})


def _unknown_path_error(call: surface.Call) -> problems.RequestFailed:
    path = '/'.join(call.rest)
    return problems.RequestFailed(
        problems.refused(
            'unknown_path',
            f'nothing is served by {call.method} at services/{path}',
            HTTPStatus.NOT_FOUND,
        )
    )
