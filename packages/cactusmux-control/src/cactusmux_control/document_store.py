"""Reads and edits service documents in the configuration store."""

from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_base import ids
from cactusmux_base import timers
from cactusmux_platform import stores
from returns import result

from . import documents
from . import envelopes
from . import validation

SETTLE_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2
READ_TRIES = 5


class Applied(NamedTuple):
    """An edit that took effect at store revision ``revision``.

    ``replaced`` is set if a later edit has already replaced it.
    """

    service: str
    revision: int
    revision_in_force: int
    write_id: str
    replaced: bool = False


class Shown(NamedTuple):
    """A stored document and the revision to pass with the next edit."""

    service: str
    revision: int
    revision_in_force: int
    write_id: str
    text: bytes


class EditConflict(failures.CactusmuxError):
    """Another edit was written first; this one was not written."""

    reason = 'document_conflict'

    def __init__(self, service: str, expected: int, found: int) -> None:
        super().__init__(
            f'document {service!r} is at revision {found}, not {expected}'
        )
        self.service = service
        self.expected = expected
        self.found = found


class OutcomeUnsettled(failures.CactusmuxError):
    """The write may have taken effect and could not be read back in time."""

    reason = 'document_outcome_unsettled'

    def __init__(self, service: str, expected: int, write_id: str) -> None:
        super().__init__(
            f'edit {write_id} of document {service!r} at revision '
            f'{expected} may have taken effect'
        )
        self.service = service
        self.expected = expected
        self.write_id = write_id


class DocumentAbsent(failures.CactusmuxError):
    """The store has no document of the service."""

    reason = 'document_absent'

    def __init__(self, service: str) -> None:
        super().__init__(f'document {service!r} does not exist')
        self.service = service


class DocumentUnreadable(failures.CactusmuxError):
    """The stored value is not a document; an edit can replace it."""

    reason = 'document_unreadable'

    def __init__(self, service: str, revision: int, detail: str) -> None:
        super().__init__(
            f'document {service!r} at revision {revision}: {detail}'
        )
        self.service = service
        self.revision = revision
        self.detail = detail


ApplyFailure = (
    validation.DocumentInvalid
    | EditConflict
    | OutcomeUnsettled
    | envelopes.EpochInvalid
    | stores.StoreError
)
ShowFailure = DocumentAbsent | DocumentUnreadable | stores.StoreError

_Verdict = result.Result[Applied, ApplyFailure]


def show_document(
    store: stores.ConfigStore, service: str
) -> result.Result[Shown, ShowFailure]:
    """Returns the stored document, valid or not."""
    read = store.get(documents.document_key(service))
    if isinstance(read, result.Failure):
        return result.Failure(read.failure())
    entry = read.unwrap()
    if entry is None:
        return result.Failure(DocumentAbsent(service))
    decoded = envelopes.decode(entry.value)
    if isinstance(decoded, result.Failure):
        why = str(decoded.failure())
        return result.Failure(DocumentUnreadable(service, entry.revision, why))
    envelope = decoded.unwrap()
    return result.Success(
        Shown(
            service,
            entry.revision,
            envelopes.revision_in_force(envelope, entry.revision),
            envelope.write_id,
            envelope.text,
        )
    )


def apply_document(
    store: stores.ConfigStore,
    timer: timers.TimerService,
    text: bytes,
    expected_revision: int,
    epoch: int | None = None,
    settle_s: float = SETTLE_TIMEOUT_S,
) -> result.Result[Applied, ApplyFailure]:
    """Replaces a service's document if it is at ``expected_revision``.

    Nothing is written unless the text is valid. If the store's response is
    lost, the outcome is determined before this returns; otherwise it fails
    with :class:`OutcomeUnsettled`. It fails with
    :class:`stores.StoreUnavailable` when nothing was written.

    :param expected_revision: the store's revision, ``stores.ABSENT`` to
        create the document
    :param epoch: new epoch, to raise it after the store was restored;
        ``None`` keeps the stored one
    :param settle_s: seconds to spend on determining an unknown outcome
    """
    checked = validation.check_document(text)
    if isinstance(checked, result.Failure):
        return result.Failure(checked.failure())
    service = checked.unwrap().service
    read = _read_expected(store, timer, service, expected_revision)
    if isinstance(read, result.Failure):
        return result.Failure(read.failure())
    followed = envelopes.build_successor(
        read.unwrap(), ids.new_id(), epoch, text
    )
    if isinstance(followed, result.Failure):
        return result.Failure(followed.failure())
    edit = _Edit(store, timer, service, followed.unwrap(), expected_revision)
    return edit.run(settle_s)


def _read_expected(
    store: stores.ConfigStore,
    timer: timers.TimerService,
    service: str,
    expected_revision: int,
) -> result.Result[stores.Entry | None, ApplyFailure]:
    """Returns the entry to replace.

    A revision below the expected one is a stale read and is retried.
    """
    found = stores.ABSENT
    for _ in range(READ_TRIES):
        read = store.get(documents.document_key(service))
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        entry = read.unwrap()
        found = entry.revision if entry else stores.ABSENT
        if found == expected_revision:
            return result.Success(entry)
        if found > expected_revision:
            break
        timer.sleep(RETRY_DELAY_S)
    return result.Failure(EditConflict(service, expected_revision, found))


class _Edit:
    """One write of an envelope and the determination of its outcome."""

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        service: str,
        envelope: envelopes.Envelope,
        expected: int,
    ) -> None:
        self._store = store
        self._timer = timer
        self._service = service
        self._envelope = envelope
        self._write_id = envelope.write_id
        self._expected = expected
        self._key = documents.document_key(service)

    def run(self, settle_s: float) -> _Verdict:
        """Writes once; determines the outcome if it is unknown."""
        written = self._write()
        if isinstance(written, result.Success):
            return result.Success(self._applied(written.unwrap().revision))
        failure = written.failure()
        if isinstance(failure, stores.Conflict):
            found = failure.found.revision if failure.found else stores.ABSENT
            return self._conflict(found)
        if isinstance(failure, stores.OutcomeUnknown):
            return self._settle(settle_s)
        return result.Failure(failure)

    def _settle(self, settle_s: float) -> _Verdict:
        """Determines whether the write took effect.

        A read that contains the write proves that it did. No read proves
        that it did not, because the read may be stale and the write may
        still arrive. The same envelope is therefore written again:
        compare-and-swap lets only one of the two take effect, and the
        conflict of the other contains the newest entry.
        """
        deadline = self._timer.now() + settle_s
        while self._timer.now() < deadline:
            self._timer.sleep(RETRY_DELAY_S)
            verdict = self._read_back() or self._write_again()
            if verdict is not None:
                return verdict
        return result.Failure(
            OutcomeUnsettled(self._service, self._expected, self._write_id)
        )

    def _read_back(self) -> _Verdict | None:
        entry = self._store.get(self._key).value_or(None)
        return self._find_in(entry) if entry else None

    def _write_again(self) -> _Verdict | None:
        written = self._write()
        if isinstance(written, result.Success):
            return result.Success(self._applied(written.unwrap().revision))
        failure = written.failure()
        if not isinstance(failure, stores.Conflict) or failure.found is None:
            return None
        return self._find_in(failure.found) or self._rule_out(failure.found)

    def _find_in(self, entry: stores.Entry) -> _Verdict | None:
        """Returns the applied edit if an entry or its history contains it."""
        decoded = envelopes.decode(entry.value)
        if isinstance(decoded, result.Failure):
            return None
        envelope = decoded.unwrap()
        if envelope.write_id == self._write_id:
            return result.Success(self._applied(entry.revision))
        for write in envelope.earlier:
            if write.write_id == self._write_id:
                applied = self._applied(write.revision)
                return result.Success(applied._replace(replaced=True))
        return None

    def _rule_out(self, newest: stores.Entry) -> _Verdict | None:
        """Returns a conflict if the newest entry's history excludes the edit.

        That requires a history that reaches back to the expected revision.
        """
        decoded = envelopes.decode(newest.value)
        if isinstance(decoded, result.Failure):
            return None
        earlier = decoded.unwrap().earlier
        if any(write.revision == self._expected for write in earlier):
            return self._conflict(newest.revision)
        return None

    def _write(self) -> result.Result[stores.Entry, stores.StoreError]:
        return self._store.compare_and_swap(
            self._key, envelopes.encode(self._envelope), self._expected
        )

    def _applied(self, revision: int) -> Applied:
        return Applied(
            self._service,
            revision,
            envelopes.revision_in_force(self._envelope, revision),
            self._write_id,
        )

    def _conflict(self, found: int) -> _Verdict:
        return result.Failure(
            EditConflict(self._service, self._expected, found)
        )
