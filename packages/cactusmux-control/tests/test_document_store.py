"""Edits of documents: races, lost answers and what is never written."""

import random

from cactusmux_base import timers
from cactusmux_control import document_store
from cactusmux_control import documents
from cactusmux_control import envelopes
from cactusmux_control import validation
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_fakes import sample_documents
from cactusmux_platform import stores
import pytest
from returns import result

SERVICE = sample_documents.SERVICE
KEY = documents.document_key(SERVICE)


class Desk:
    """An operator's desk: a store that fails and a clock."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.clock)
        self.store = faulty_store.FaultyStore(
            self.memory, self.clock, random.Random(1)
        )

    def apply(
        self, version: str, expected: int, epoch: int | None = None
    ) -> result.Result[document_store.Applied, document_store.ApplyFailure]:
        text = sample_documents.document_text(version)
        return document_store.apply_document(
            self.store, self.clock, text, expected, epoch
        )

    def fail(self, **faults: object) -> None:
        self.store.faults = faulty_store.Faults(**faults)

    def mend_and_edit(self, versions: list[str]) -> None:
        """Has another operator edit while an outcome is being settled."""
        self.fail()
        for version in versions:
            self.apply(version, self.revision()).unwrap()

    def revision(self) -> int:
        entry = self.memory.get(KEY).unwrap()
        return entry.revision if entry else stores.ABSENT

    def written(self) -> list[str]:
        """Returns the versions of all writes that took effect."""
        changes = self.memory.watch(KEY, 0, 0.0).unwrap().changes
        texts = [
            envelopes.decode(change.entry.value).unwrap().text
            for change in changes
            if change.entry
        ]
        checked = [validation.check_document(text).unwrap() for text in texts]
        return [one.model_by_name['drafter'].version for one in checked]


@pytest.fixture
def desk() -> Desk:
    return Desk()


def test_edit_is_shown_as_it_was_given(desk: Desk) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    second = desk.apply('v2', first.revision).unwrap()
    shown = document_store.show_document(desk.store, SERVICE).unwrap()
    assert shown.text == sample_documents.document_text('v2')
    assert shown.revision == second.revision
    assert shown.write_id == second.write_id != first.write_id


def test_racing_edit_gets_conflict_that_names_both_revisions(
    desk: Desk,
) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    second = desk.apply('v2', first.revision).unwrap()
    failure = desk.apply('v3', first.revision).failure()
    assert failure == document_store.EditConflict(
        SERVICE, first.revision, second.revision
    )
    assert desk.written() == ['v1', 'v2']


def test_race_lost_between_read_and_write_is_a_conflict(desk: Desk) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    # Slow calls let the other edit in between the two of this one.
    desk.fail(slow_s=1.0)
    desk.clock.after(1.5, lambda: desk.mend_and_edit(['v2']))
    failure = desk.apply('v3', first.revision).failure()
    assert isinstance(failure, document_store.EditConflict)
    assert desk.written() == ['v1', 'v2']


def test_invalid_document_makes_no_call(desk: Desk) -> None:
    applied = document_store.apply_document(desk.store, desk.clock, b'{}', 0)
    assert isinstance(applied.failure(), validation.DocumentInvalid)
    assert desk.store.calls_by_kind == {}


def test_store_that_is_down_writes_nothing(desk: Desk) -> None:
    desk.fail(down=True)
    failure = desk.apply('v1', stores.ABSENT).failure()
    assert isinstance(failure, stores.StoreUnavailable)
    assert desk.written() == []


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_writes'])
@pytest.mark.parametrize('stale_reads', [0.0, 0.5])
def test_unknown_outcome_is_settled_with_one_effect(
    desk: Desk, fault: str, stale_reads: float
) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    desk.fail(**{fault: 1.0})
    desk.clock.after(0.1, lambda: desk.fail(stale_reads=stale_reads))
    second = desk.apply('v2', first.revision).unwrap()
    assert second.revision == desk.revision()
    assert desk.written() == ['v1', 'v2']


def test_write_that_arrives_late_is_not_written_twice(desk: Desk) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    sent: list[bytes] = []
    write = desk.store.compare_and_swap

    def lose(
        key: str, value: bytes, expected: int, lease_id: int = 0
    ) -> result.Result[stores.Entry, stores.StoreError]:
        sent.append(value)
        desk.store.compare_and_swap = write
        return result.Failure(stores.OutcomeUnknown(key))

    desk.store.compare_and_swap = lose
    # The lost write arrives after the read-back has shown no effect.
    desk.fail(stale_reads=0.0, slow_s=0.3)
    desk.clock.after(
        1.0,
        lambda: desk.memory.compare_and_swap(KEY, sent[0], first.revision),
    )
    second = desk.apply('v2', first.revision).unwrap()
    assert second.revision == desk.revision()
    assert desk.written() == ['v1', 'v2']


def test_edit_that_was_replaced_while_it_was_settled_is_applied(
    desk: Desk,
) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    desk.fail(lost_answers=1.0)
    desk.clock.after(0.1, lambda: desk.mend_and_edit(['v3', 'v4']))
    second = desk.apply('v2', first.revision).unwrap()
    assert second.replaced
    assert second.revision == first.revision + 1
    assert desk.written() == ['v1', 'v2', 'v3', 'v4']


@pytest.mark.parametrize('version', ['v1', ''])
def test_edit_that_never_arrived_is_a_conflict_with_its_successor(
    desk: Desk, version: str
) -> None:
    expected = stores.ABSENT
    if version:
        expected = desk.apply(version, stores.ABSENT).unwrap().revision
    desk.fail(lost_writes=1.0)
    desk.clock.after(0.1, lambda: desk.mend_and_edit(['v3', 'v4']))
    failure = desk.apply('v2', expected).failure()
    assert failure == document_store.EditConflict(
        SERVICE, expected, desk.revision()
    )
    assert 'v2' not in desk.written()


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_writes'])
def test_history_that_is_too_short_leaves_the_outcome_unsettled(
    desk: Desk, fault: str
) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    desk.fail(**{fault: 1.0})
    versions = [f'w{n}' for n in range(envelopes.MAX_EARLIER + 1)]
    desk.clock.after(0.1, lambda: desk.mend_and_edit(versions))
    failure = desk.apply('v2', first.revision).failure()
    assert isinstance(failure, document_store.OutcomeUnsettled)


def test_outcome_that_cannot_be_read_back_is_said_in_time(desk: Desk) -> None:
    desk.fail(lost_answers=1.0)
    desk.clock.after(0.1, lambda: desk.fail(down=True))
    began = desk.clock.now()
    failure = desk.apply('v1', stores.ABSENT).failure()
    assert isinstance(failure, document_store.OutcomeUnsettled)
    assert failure.write_id
    assert desk.clock.now() - began <= document_store.SETTLE_TIMEOUT_S + 1.0


def test_stale_read_makes_no_false_conflict(desk: Desk) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    desk.fail(stale_reads=1.0)
    desk.clock.after(0.3, desk.fail)
    assert desk.apply('v2', first.revision).unwrap()


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_writes'])
def test_stale_read_of_a_deleted_document_proves_no_conflict(
    desk: Desk, fault: str
) -> None:
    first = desk.apply('v1', stores.ABSENT).unwrap()
    desk.memory.delete(KEY, first.revision).unwrap()
    desk.fail(**{fault: 1.0})
    # Reads then show the document as it was before it was deleted.
    hidden = 2 if fault == 'lost_answers' else 1
    desk.clock.after(0.1, lambda: desk.fail(reads_hide=hidden))
    again = desk.apply('v2', stores.ABSENT).unwrap()
    assert again.revision == desk.revision()
    assert desk.written() == ['v1', 'v2']


def test_value_that_is_no_document_can_be_replaced(desk: Desk) -> None:
    entry = desk.memory.compare_and_swap(KEY, b'{}', stores.ABSENT).unwrap()
    failure = document_store.show_document(desk.store, SERVICE).failure()
    assert isinstance(failure, document_store.DocumentUnreadable)
    assert failure.revision == entry.revision
    assert desk.apply('v1', failure.revision).unwrap()


def test_absent_document_is_not_shown(desk: Desk) -> None:
    shown = document_store.show_document(desk.store, SERVICE)
    assert shown.failure() == document_store.DocumentAbsent(SERVICE)


def test_epoch_is_kept_until_it_is_raised(desk: Desk) -> None:
    first = desk.apply('v1', stores.ABSENT, epoch=2).unwrap()
    second = desk.apply('v2', first.revision).unwrap()
    step = envelopes.EPOCH_STEP
    assert second.revision_in_force == 2 * step + second.revision


@pytest.mark.parametrize('epoch', [1, envelopes.MAX_EPOCH + 1])
def test_epoch_cannot_fall_or_grow_without_end(desk: Desk, epoch: int) -> None:
    first = desk.apply('v1', stores.ABSENT, epoch=2).unwrap()
    failure = desk.apply('v2', first.revision, epoch=epoch).failure()
    assert failure == envelopes.EpochInvalid(epoch, 2)
    assert desk.written() == ['v1']


def test_largest_document_fits_the_store(desk: Desk) -> None:
    text = sample_documents.document_text('v1')
    text = text.ljust(validation.MAX_DOCUMENT_BYTES)
    applied = document_store.apply_document(desk.store, desk.clock, text, 0)
    assert isinstance(applied, result.Success)
    entry = desk.memory.get(KEY).unwrap()
    assert entry is not None and len(entry.value) < 1_000_000
