"""Handlers for reading and editing service documents."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any
import urllib.parse

from cactusmux_base import decimals
from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_control import document_store
from cactusmux_control import envelopes
from cactusmux_control import in_force
from cactusmux_control import validation
from cactusmux_platform import stores
import msgspec
from returns import result

from . import problems
from . import responses
from . import surface

RETRY_AFTER_S = 2.0
RevisionsByInstance = Callable[[], dict[str, dict[str, int]]]


class DocumentHandlers:
    """Answers ``/documents`` and ``/documents/SERVICE``.

    :param revisions_by_instance: returns the known revisions in force at
        each live instance.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        documents_in_force: in_force.DocumentsInForce,
        revisions_by_instance: RevisionsByInstance,
    ) -> None:
        self._store = store
        self._timer = timer
        self._documents = documents_in_force
        self._revisions_by_instance = revisions_by_instance

    def handle(self, call: surface.Call) -> responses.Response:
        """Returns the status, or returns or replaces a document.

        :raises problems.RequestFailed: for an unknown path, or when the
            document store reports a failure.
        """
        if call.method == 'GET' and not call.rest:
            return self._status()
        if call.method == 'GET' and len(call.rest) == 1:
            return self._show(call.rest[0])
        if call.method == 'PUT' and len(call.rest) == 1:
            return self._apply(call)
        raise problems.RequestFailed(
            problems.refused(
                'unknown_path',
                f'{call.method} of documents/{"/".join(call.rest)}',
                HTTPStatus.NOT_FOUND,
            )
        )

    def _status(self) -> responses.Response:
        here = {
            service: state._asdict()
            for service, state in self._documents.state_by_service().items()
        }
        return responses.from_json(
            {
                'here': here,
                'revision_by_instance': self._revisions_by_instance(),
            }
        )

    def _show(self, service: str) -> responses.Response:
        shown = document_store.show_document(self._store, service)
        if isinstance(shown, result.Failure):
            raise _to_request_failed(shown.failure())
        content = shown.unwrap()._asdict()
        content['document'] = msgspec.Raw(content.pop('text'))
        return responses.from_json(content)

    def _apply(self, call: surface.Call) -> responses.Response:
        service = call.rest[0]
        checked = validation.check_document(call.body)
        if isinstance(checked, result.Failure):
            raise _to_request_failed(checked.failure())
        if checked.unwrap().service != service:
            raise problems.RequestFailed(
                problems.bad_request(
                    'document_of_another_service',
                    f'the document is of {checked.unwrap().service!r}',
                )
            )
        expected = self._expected_revision(call, service)
        applied = document_store.apply_document(
            self._store, self._timer, call.body, expected, _epoch(call)
        )
        if isinstance(applied, result.Failure):
            raise _to_request_failed(applied.failure())
        outcome = applied.unwrap()
        events.info(
            'document_applied',
            service=service,
            revision=outcome.revision_in_force,
            request_id=call.request_id,
        )
        return responses.from_json(outcome._asdict())

    def _expected_revision(self, call: surface.Call, service: str) -> int:
        """Returns the revision of the query, or the current stored one."""
        given = _parse_number(call, 'expect')
        if given is not None:
            return given
        shown = document_store.show_document(self._store, service)
        if isinstance(shown, result.Success):
            return shown.unwrap().revision
        failure = shown.failure()
        if isinstance(failure, document_store.DocumentAbsent):
            return stores.ABSENT
        raise _to_request_failed(failure)


def _epoch(call: surface.Call) -> int | None:
    """Returns the new epoch, given after a restore of the store."""
    return _parse_number(call, 'epoch')


def _parse_number(call: surface.Call, name: str) -> int | None:
    given = urllib.parse.parse_qs(call.query).get(name, [''])[0]
    if not given:
        return None
    number = decimals.read(given)
    if number is None:
        raise problems.RequestFailed(
            problems.bad_request(
                f'bad_{name}', f'{name} {given!r} is not a number'
            )
        )
    return number


def _to_request_failed(failure: Any) -> problems.RequestFailed:
    """Converts a failure of the document store into a problem."""
    detail = str(failure)
    if isinstance(failure, validation.DocumentInvalid):
        return problems.RequestFailed(
            problems.bad_request(failure.reason, detail)
        )
    if isinstance(failure, document_store.DocumentAbsent):
        return problems.RequestFailed(
            problems.refused(failure.reason, detail, HTTPStatus.NOT_FOUND)
        )
    if isinstance(
        failure,
        document_store.EditConflict
        | document_store.DocumentUnreadable
        | envelopes.EpochInvalid,
    ):
        return problems.RequestFailed(
            problems.refused(failure.reason, detail, HTTPStatus.CONFLICT)
        )
    if isinstance(
        failure, document_store.OutcomeUnsettled | stores.OutcomeUnknown
    ):
        return problems.RequestFailed(
            problems.Problem(
                HTTPStatus.BAD_GATEWAY,
                failure.reason,
                detail,
                problems.Outcome.UNKNOWN,
            )
        )
    return problems.RequestFailed(
        problems.refused(failure.reason, detail, retry_after_s=RETRY_AFTER_S)
    )
