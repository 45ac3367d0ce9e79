"""Handlers of a service's own paths: completions and models."""

from collections.abc import Callable
from http import HTTPStatus

from cactusmux_control import documents

from . import completions
from . import drafts
from . import explain
from . import plain_handlers
from . import problems
from . import responses
from . import surface

FindDocument = Callable[[str], documents.InForce | None]
RETRY_AFTER_NO_DOCUMENT_S = 2.0


class ServiceHandlers:
    """Answers below ``/services/SERVICE``."""

    def __init__(
        self,
        services: drafts.DraftServices,
        find_document: FindDocument,
        plain: plain_handlers.PlainHandlers,
        explain_log: explain.ExplainLog,
    ) -> None:
        self._services = services
        self._find_document = find_document
        self._plain = plain
        self._explain_log = explain_log

    def handle(self, call: surface.Call) -> responses.Response:
        """Finds the operation by method and path.

        :raises problems.RequestFailed: when there is none.
        """
        if not call.rest:
            raise _unknown_path(call)
        service, *path = call.rest
        document = self._document(service)
        if path == ['v1', 'completions'] and call.method == 'POST':
            return self._complete(call, document)
        if path == ['v1', 'models'] and call.method == 'GET':
            return _list_models(document)
        if path[:1] == ['plain']:
            return self._plain.handle(call, document, path[1:])
        raise _unknown_path(call)

    def _document(self, service: str) -> documents.ServiceDocument:
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
        draft = drafts.Draft(self._services, completion.draft, trace)
        created = int(timer.wall())
        return completions.to_response(completion, draft.texts(), created)


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


def _unknown_path(call: surface.Call) -> problems.RequestFailed:
    path = '/'.join(call.rest)
    return problems.RequestFailed(
        problems.refused(
            'unknown_path',
            f'nothing is served by {call.method} at services/{path}',
            HTTPStatus.NOT_FOUND,
        )
    )
