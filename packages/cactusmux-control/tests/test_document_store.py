"""Tests of document edits: races, lost responses, rejected writes."""

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


class OperatorStore:
    """An operator's store access with injected faults, and a clock."""

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

    def inject_faults(self, **faults: object) -> None:
        self.store.faults = faulty_store.Faults(**faults)

    def recover_and_edit(self, versions: list[str]) -> None:
        """Ends the faults and applies edits of another operator."""
        self.inject_faults()
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
def operator() -> OperatorStore:
    return OperatorStore()


def test_shown_text_equals_the_applied_text(operator: OperatorStore) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    second = operator.apply('v2', first.revision).unwrap()
    shown = document_store.show_document(operator.store, SERVICE).unwrap()
    assert shown.text == sample_documents.document_text('v2')
    assert shown.revision == second.revision
    assert shown.write_id == second.write_id != first.write_id


def test_racing_edit_gets_conflict_that_names_both_revisions(
    operator: OperatorStore,
) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    second = operator.apply('v2', first.revision).unwrap()
    failure = operator.apply('v3', first.revision).failure()
    assert failure == document_store.EditConflict(
        SERVICE, first.revision, second.revision
    )
    assert operator.written() == ['v1', 'v2']


def test_race_lost_between_read_and_write_is_a_conflict(
    operator: OperatorStore,
) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    # Slow calls let the other edit happen between the read and the write.
    operator.inject_faults(slow_s=1.0)
    operator.clock.after(1.5, lambda: operator.recover_and_edit(['v2']))
    failure = operator.apply('v3', first.revision).failure()
    assert isinstance(failure, document_store.EditConflict)
    assert operator.written() == ['v1', 'v2']


def test_invalid_document_makes_no_call(operator: OperatorStore) -> None:
    applied = document_store.apply_document(
        operator.store, operator.clock, b'{}', 0
    )
    assert isinstance(applied.failure(), validation.DocumentInvalid)
    assert operator.store.calls_by_kind == {}


def test_store_that_is_down_writes_nothing(operator: OperatorStore) -> None:
    operator.inject_faults(down=True)
    failure = operator.apply('v1', stores.ABSENT).failure()
    assert isinstance(failure, stores.StoreUnavailable)
    assert operator.written() == []


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_writes'])
@pytest.mark.parametrize('stale_reads', [0.0, 0.5])
def test_unknown_outcome_is_settled_with_one_effect(
    operator: OperatorStore, fault: str, stale_reads: float
) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    operator.inject_faults(**{fault: 1.0})
    operator.clock.after(
        0.1, lambda: operator.inject_faults(stale_reads=stale_reads)
    )
    second = operator.apply('v2', first.revision).unwrap()
    assert second.revision == operator.revision()
    assert operator.written() == ['v1', 'v2']


def test_write_that_arrives_late_is_not_written_twice(
    operator: OperatorStore,
) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    sent: list[bytes] = []
    write = operator.store.compare_and_swap

    def lose(
        key: str, value: bytes, expected: int, lease_id: int = 0
    ) -> result.Result[stores.Entry, stores.StoreError]:
        sent.append(value)
        operator.store.compare_and_swap = write
        return result.Failure(stores.OutcomeUnknown(key))

    operator.store.compare_and_swap = lose
    # The lost write arrives after the read-back has shown no effect.
    operator.inject_faults(stale_reads=0.0, slow_s=0.3)
    operator.clock.after(
        1.0,
        lambda: operator.memory.compare_and_swap(KEY, sent[0], first.revision),
    )
    second = operator.apply('v2', first.revision).unwrap()
    assert second.revision == operator.revision()
    assert operator.written() == ['v1', 'v2']


def test_edit_replaced_while_its_outcome_is_unknown_is_applied(
    operator: OperatorStore,
) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    operator.inject_faults(lost_answers=1.0)
    operator.clock.after(0.1, lambda: operator.recover_and_edit(['v3', 'v4']))
    second = operator.apply('v2', first.revision).unwrap()
    assert second.replaced
    assert second.revision == first.revision + 1
    assert operator.written() == ['v1', 'v2', 'v3', 'v4']


@pytest.mark.parametrize('version', ['v1', ''])
def test_edit_that_never_arrived_is_a_conflict_with_its_successor(
    operator: OperatorStore, version: str
) -> None:
    expected = stores.ABSENT
    if version:
        expected = operator.apply(version, stores.ABSENT).unwrap().revision
    operator.inject_faults(lost_writes=1.0)
    operator.clock.after(0.1, lambda: operator.recover_and_edit(['v3', 'v4']))
    failure = operator.apply('v2', expected).failure()
    assert failure == document_store.EditConflict(
        SERVICE, expected, operator.revision()
    )
    assert 'v2' not in operator.written()


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_writes'])
def test_too_short_history_leaves_the_outcome_unsettled(
    operator: OperatorStore, fault: str
) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    operator.inject_faults(**{fault: 1.0})
    versions = [f'w{n}' for n in range(envelopes.MAX_EARLIER + 1)]
    operator.clock.after(0.1, lambda: operator.recover_and_edit(versions))
    failure = operator.apply('v2', first.revision).failure()
    assert isinstance(failure, document_store.OutcomeUnsettled)


def test_unreadable_outcome_is_reported_in_time(
    operator: OperatorStore,
) -> None:
    operator.inject_faults(lost_answers=1.0)
    operator.clock.after(0.1, lambda: operator.inject_faults(down=True))
    began = operator.clock.now()
    failure = operator.apply('v1', stores.ABSENT).failure()
    assert isinstance(failure, document_store.OutcomeUnsettled)
    assert failure.write_id
    assert (
        operator.clock.now() - began <= document_store.SETTLE_TIMEOUT_S + 1.0
    )


def test_stale_read_makes_no_false_conflict(operator: OperatorStore) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    operator.inject_faults(stale_reads=1.0)
    operator.clock.after(0.3, operator.inject_faults)
    assert operator.apply('v2', first.revision).unwrap()


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_writes'])
def test_stale_read_of_a_deleted_document_proves_no_conflict(
    operator: OperatorStore, fault: str
) -> None:
    first = operator.apply('v1', stores.ABSENT).unwrap()
    operator.memory.delete(KEY, first.revision).unwrap()
    operator.inject_faults(**{fault: 1.0})
    # Reads then return the document as it was before its deletion.
    hidden = 2 if fault == 'lost_answers' else 1
    operator.clock.after(
        0.1, lambda: operator.inject_faults(reads_hide=hidden)
    )
    again = operator.apply('v2', stores.ABSENT).unwrap()
    assert again.revision == operator.revision()
    assert operator.written() == ['v1', 'v2']


def test_value_that_is_not_a_document_can_be_replaced(
    operator: OperatorStore,
) -> None:
    entry = operator.memory.compare_and_swap(
        KEY, b'{}', stores.ABSENT
    ).unwrap()
    failure = document_store.show_document(operator.store, SERVICE).failure()
    assert isinstance(failure, document_store.DocumentUnreadable)
    assert failure.revision == entry.revision
    assert operator.apply('v1', failure.revision).unwrap()


def test_absent_document_is_not_shown(operator: OperatorStore) -> None:
    shown = document_store.show_document(operator.store, SERVICE)
    assert shown.failure() == document_store.DocumentAbsent(SERVICE)


def test_epoch_is_kept_until_it_is_raised(operator: OperatorStore) -> None:
    first = operator.apply('v1', stores.ABSENT, epoch=2).unwrap()
    second = operator.apply('v2', first.revision).unwrap()
    step = envelopes.EPOCH_STEP
    assert second.revision_in_force == 2 * step + second.revision


@pytest.mark.parametrize('epoch', [1, envelopes.MAX_EPOCH + 1])
def test_epoch_cannot_decrease_or_exceed_the_maximum(
    operator: OperatorStore, epoch: int
) -> None:
    first = operator.apply('v1', stores.ABSENT, epoch=2).unwrap()
    failure = operator.apply('v2', first.revision, epoch=epoch).failure()
    assert failure == envelopes.EpochInvalid(epoch, 2)
    assert operator.written() == ['v1']


def test_largest_document_fits_the_store(operator: OperatorStore) -> None:
    text = sample_documents.document_text('v1')
    text = text.ljust(validation.MAX_DOCUMENT_BYTES)
    applied = document_store.apply_document(
        operator.store, operator.clock, text, 0
    )
    assert isinstance(applied, result.Success)
    entry = operator.memory.get(KEY).unwrap()
    assert entry is not None and len(entry.value) < 1_000_000
