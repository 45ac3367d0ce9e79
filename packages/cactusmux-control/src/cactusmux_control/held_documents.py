"""The documents in force on an instance and the rule for replacing them.

The highest revision wins, whether it comes from the store or a peer; nothing
else replaces a document. An invalid document leaves the last valid one in
force.
"""

from collections.abc import Mapping
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import failures
from cactusmux_base import metrics
from returns import result

from . import document_sources
from . import documents
from . import envelopes
from . import validation


class WrongService(failures.CactusmuxError):
    """A document names a different service than its store key."""

    reason = 'document_wrong_service'

    def __init__(self, service: str, named: str) -> None:
        super().__init__(f'document of {service!r} names {named!r}')
        self.service = service
        self.named = named


class HeldDocument(NamedTuple):
    """A document in force, its body, and whether the store returned it."""

    in_force: documents.InForce
    body: document_sources.DocumentBody
    seen_in_store: bool


class Refused(NamedTuple):
    """A rejected body and the reason."""

    revision: int
    body: document_sources.DocumentBody
    failure: failures.CactusmuxError


class DocumentState(NamedTuple):
    """Status of one document on this instance, for operators.

    A revision of 0 means none. A ``store_revision`` that stays below the one
    in force indicates that the store was restored from an older backup.
    """

    revision: int
    source: str
    store_revision: int
    refused_revision: int
    refused_because: str


class HeldDocuments:
    """Decides which received bodies come into force.

    Counters: ``documents.adopted.<source>``, ``documents.refused.<reason>``,
    ``documents.ignored.older_from_<source>`` and ``documents.mismatch`` for
    two bodies of one revision.
    """

    def __init__(self, metric: metrics.Metrics) -> None:
        self.held_by_service: dict[str, HeldDocument] = {}
        self.refused_by_service: dict[str, Refused] = {}
        self._metric = metric

    def revision(self, service: str) -> int:
        """Returns the revision in force, 0 for none."""
        held = self.held_by_service.get(service)
        return held.in_force.revision if held else 0

    def is_wanted(self, service: str, revision: int) -> bool:
        """Returns whether a revision should be fetched.

        A revision below a refused one is wanted as well: it may be the last
        valid one, which an instance that has just started lacks.
        """
        if revision <= self.revision(service):
            return False
        refused = self.refused_by_service.get(service)
        return refused is None or refused.revision != revision

    def state_by_service(
        self, store_revision_by_service: Mapping[str, int]
    ) -> dict[str, DocumentState]:
        """Returns the status of all documents, refused ones included."""
        services = {*self.held_by_service, *self.refused_by_service}
        services.update(store_revision_by_service)
        return {
            service: self._state(
                service, store_revision_by_service.get(service, 0)
            )
            for service in sorted(services)
        }

    def _state(self, service: str, store_revision: int) -> DocumentState:
        held = self.held_by_service.get(service)
        refused = self.refused_by_service.get(service)
        source = document_sources.Source.PEER
        if held is not None and held.seen_in_store:
            source = document_sources.Source.STORE
        return DocumentState(
            revision=self.revision(service),
            source=source if held else '',
            store_revision=store_revision,
            refused_revision=refused.revision if refused else 0,
            refused_because=str(refused.failure) if refused else '',
        )

    def offer(
        self,
        body: document_sources.DocumentBody,
        source: document_sources.Source,
    ) -> documents.InForce | None:
        """Returns the document if this body put it in force."""
        decoded = envelopes.decode(body.value)
        if isinstance(decoded, result.Failure):
            if body.store_revision > self._store_revision(body.service):
                self._refuse(body, body.store_revision, decoded.failure())
            return None
        envelope = decoded.unwrap()
        revision = envelopes.revision_in_force(envelope, body.store_revision)
        if not self._is_newer(body, revision, source):
            return None
        checked = _check(body.service, envelope)
        if isinstance(checked, result.Failure):
            self._refuse(body, revision, checked.failure())
            return None
        in_force = documents.InForce(revision, checked.unwrap())
        self._adopt(body, in_force, source)
        return in_force

    def _store_revision(self, service: str) -> int:
        held = self.held_by_service.get(service)
        return held.body.store_revision if held else 0

    def _is_newer(
        self,
        body: document_sources.DocumentBody,
        revision: int,
        source: document_sources.Source,
    ) -> bool:
        """Returns whether a body, if valid, should replace the held one."""
        refused = self.refused_by_service.get(body.service)
        if refused is not None and refused.body == body:
            return False
        held = self.held_by_service.get(body.service)
        if held is None or revision > held.in_force.revision:
            return True
        if revision < held.in_force.revision:
            self._metric.count(f'documents.ignored.older_from_{source}')
            return False
        from_store = source == document_sources.Source.STORE
        if body == held.body:
            if from_store:
                seen = held._replace(seen_in_store=True)
                self.held_by_service[body.service] = seen
            return False
        self._metric.count('documents.mismatch')
        events.warning(
            'document_mismatch', service=body.service, revision=revision
        )
        # A peer sent a different body of this revision; the store's wins.
        return from_store and not held.seen_in_store

    def _adopt(
        self,
        body: document_sources.DocumentBody,
        in_force: documents.InForce,
        source: document_sources.Source,
    ) -> None:
        from_store = source == document_sources.Source.STORE
        held = HeldDocument(in_force, body, from_store)
        self.held_by_service[body.service] = held
        refused = self.refused_by_service.get(body.service)
        if refused is not None and refused.revision <= in_force.revision:
            del self.refused_by_service[body.service]
        self._metric.count(f'documents.adopted.{source}')
        self._metric.gauge(
            f'documents.revision.{body.service}', in_force.revision
        )
        events.info(
            'document_in_force',
            service=body.service,
            revision=in_force.revision,
            source=source,
        )

    def _refuse(
        self,
        body: document_sources.DocumentBody,
        revision: int,
        failure: failures.CactusmuxError,
    ) -> None:
        before = self.refused_by_service.get(body.service)
        if before is not None and before.revision >= revision:
            return
        self.refused_by_service[body.service] = Refused(
            revision, body, failure
        )
        self._metric.count(f'documents.refused.{failure.reason}')
        events.error(
            'document_refused',
            service=body.service,
            revision=revision,
            reason=failure.reason,
            detail=failure,
        )


def _check(
    service: str, envelope: envelopes.Envelope
) -> result.Result[
    documents.ServiceDocument, WrongService | validation.DocumentInvalid
]:
    checked = validation.check_document(envelope.text)
    if isinstance(checked, result.Failure):
        return result.Failure(checked.failure())
    document = checked.unwrap()
    if document.service != service:
        return result.Failure(WrongService(service, document.service))
    return result.Success(document)
