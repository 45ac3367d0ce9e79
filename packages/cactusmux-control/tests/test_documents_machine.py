"""State machine: no document reverts under edits, faults and restarts.

The expected state comes from the history of the in-memory store, which is
not subject to the injected faults.
"""

import functools
import json
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import document_store
from cactusmux_control import documents
from cactusmux_control import envelopes
from cactusmux_control import in_force
from cactusmux_control import validation
from cactusmux_fakes import faulty_store
from cactusmux_fakes import linked_documents
from cactusmux_fakes import memory_store
from cactusmux_fakes import sample_documents
from cactusmux_platform import stores
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from returns import result

SERVICES = (sample_documents.SERVICE, sample_documents.OTHER_SERVICE)
ADDRESSES = ('1', '2', '3', '4')
ZONE_BY_ADDRESS = {'1': 'a', '2': 'a', '3': 'a', '4': 'b'}
RECOVERY_S = 30.0
MAX_AHEAD_S = 3.0

FAULTS = (
    {'down': True},
    {'slow_s': 1.0},
    {'lost_answers': 1.0},
    {'lost_answers': 0.5},
    {'lost_writes': 0.5},
    {'stale_reads': 0.7},
    {'reads_hide': 2},
    {'watch_hides': 2},
    {'watch_skips': 0.7},
    {'watch_late_s': 2.0},
    {'watch_broken': True},
    {'watch_compacted': True},
)

check_document = functools.cache(validation.check_document)

services = strategies.sampled_from(SERVICES)
addresses = strategies.sampled_from(ADDRESSES)
# No fault, single faults and pairs.
all_faults = strategies.lists(strategies.sampled_from(FAULTS), max_size=2).map(
    lambda drawn: faulty_store.Faults(
        **{key: value for one in drawn for key, value in one.items()}
    )
)


class DocumentMachine(stateful.RuleBasedStateMachine):
    """Two documents, four instances in two zones, and one store."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = timers.ManualTimers()
        self.memory = memory_store.MemoryStore(self.clock)
        self.store = faulty_store.FaultyStore(
            self.memory, self.clock, random.Random(7)
        )
        self.links = linked_documents.DocumentLinks()
        self.revision_by_service_by_address: dict[str, dict[str, int]] = {}
        self.versions = 0
        for address in ADDRESSES:
            self._start(address)

    def _start(self, address: str) -> None:
        zone = ZONE_BY_ADDRESS[address]
        peers = linked_documents.LinkedPeers(self.links, address, zone)
        started = in_force.DocumentsInForce(
            self.store,
            peers,
            peers,
            self.clock,
            metrics.MemoryMetrics(),
            random.Random(address),
        )
        self.links.documents_by_address[address] = started
        revision_by_service: dict[str, int] = {}
        self.revision_by_service_by_address[address] = revision_by_service

        def note(service: str, now: documents.InForce) -> None:
            assert now.revision > revision_by_service.get(service, 0)
            revision_by_service[service] = now.revision

        started.subscribe(note)
        started.start_timers()

    def _new_text(self, service: str) -> bytes:
        self.versions += 1
        version = f'v{self.versions}'
        return sample_documents.document_text(version, service)

    def _apply(
        self, text: bytes, expected: int
    ) -> result.Result[document_store.Applied, document_store.ApplyFailure]:
        """Applies an edit and compares the result with the stored history."""
        applied = document_store.apply_document(
            self.store, self.clock, text, expected
        )
        revision_by_text = self._revision_by_text()
        if isinstance(applied, result.Success):
            assert revision_by_text[text] == applied.unwrap().revision
        elif not isinstance(
            applied.failure(), document_store.OutcomeUnsettled
        ):
            assert text not in revision_by_text
        return applied

    def _revision_by_text(self) -> dict[bytes, int]:
        revision_by_text: dict[bytes, int] = {}
        for change in self.memory.watch('', 0, 0.0).unwrap().changes:
            if change.entry is None:
                continue
            decoded = envelopes.decode(change.entry.value)
            if isinstance(decoded, result.Success):
                text = decoded.unwrap().text
                # No retry may write an edit a second time.
                assert text not in revision_by_text
                revision_by_text[text] = change.revision
        return revision_by_text

    def _revision(self, service: str) -> int:
        entry = self.memory.get(documents.document_key(service)).unwrap()
        return entry.revision if entry else stores.ABSENT

    @stateful.rule(
        service=services,
        faults=all_faults,
        next_faults=all_faults,
        ahead_s=strategies.floats(0.0, MAX_AHEAD_S),
    )
    def edit(
        self,
        service: str,
        faults: faulty_store.Faults,
        next_faults: faulty_store.Faults,
        ahead_s: float,
    ) -> None:
        """Applies an edit while the faults change."""
        self.store.faults = faults
        self.clock.after(ahead_s, lambda: self.set_faults(next_faults))
        self._apply(self._new_text(service), self._revision(service))

    @stateful.rule(
        service=services,
        faults=all_faults,
        ahead_s=strategies.floats(0.0, MAX_AHEAD_S),
    )
    def race(
        self, service: str, faults: faulty_store.Faults, ahead_s: float
    ) -> None:
        """Applies a concurrent edit of a second operator."""
        self.store.faults = faults
        expected = self._revision(service)
        other = self._new_text(service)
        answers: list[result.Result] = []
        self.clock.after(
            ahead_s, lambda: answers.append(self._apply(other, expected))
        )
        answers.append(self._apply(self._new_text(service), expected))
        self.clock.advance(ahead_s)
        won = [one for one in answers if isinstance(one, result.Success)]
        assert len(won) <= 1

    @stateful.rule(service=services, expected=strategies.integers(0, 20))
    def edit_from_any_revision(self, service: str, expected: int) -> None:
        now = self._revision(service)
        applied = self._apply(self._new_text(service), expected)
        assert isinstance(applied, result.Failure) or expected == now

    @stateful.rule(service=services)
    def write_invalid(self, service: str) -> None:
        """Writes an invalid text, bypassing validation."""
        document = json.loads(self._new_text(service))
        document['pool']['floor'] = 0.9
        found = self.memory.get(documents.document_key(service)).unwrap()
        text = json.dumps(document).encode()
        envelope = envelopes.build_successor(found, 'w', None, text).unwrap()
        self._write_value(service, envelopes.encode(envelope))

    @stateful.rule(service=services)
    def write_rubbish(self, service: str) -> None:
        self._write_value(service, b'rubbish')

    def _write_value(self, service: str, value: bytes) -> None:
        key = documents.document_key(service)
        expected = self._revision(service)
        self.memory.compare_and_swap(key, value, expected).unwrap()

    @stateful.rule(service=services)
    def delete(self, service: str) -> None:
        key = documents.document_key(service)
        self.memory.delete(key, self._revision(service))

    @stateful.rule(faults=all_faults)
    def set_faults(self, faults: faulty_store.Faults) -> None:
        self.store.faults = faults

    @stateful.rule(address=addresses)
    def watch(self, address: str) -> None:
        self.links.documents_by_address[address].watch_once()

    @stateful.rule(address=addresses)
    def poll(self, address: str) -> None:
        self.links.documents_by_address[address].poll_once()

    @stateful.rule(from_address=addresses, to_address=addresses)
    def tell(self, from_address: str, to_address: str) -> None:
        self.links.send_revisions(from_address, to_address)
        self.links.documents_by_address[to_address].pull_once()

    @stateful.rule(address=addresses)
    def tell_too_much(self, address: str) -> None:
        """Announces a revision that the peer does not have."""
        notified = self.links.documents_by_address[address]
        notified.record_peer_revisions('1', {SERVICES[0]: 10_000})

    @stateful.rule(seconds=strategies.sampled_from((0.2, 1.0, 5.0, 20.0)))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @stateful.rule(address=addresses)
    def restart(self, address: str) -> None:
        self.links.documents_by_address[address].stop()
        self._start(address)

    @stateful.rule(address=addresses)
    def cut(self, address: str) -> None:
        self.links.cut.add(address)

    @stateful.rule()
    def heal(self) -> None:
        self.links.cut.clear()

    @stateful.invariant()
    def only_valid_documents_are_in_force_and_none_reverts(self) -> None:
        revision_by_text = self._revision_by_text()
        text_by_revision = {r: text for text, r in revision_by_text.items()}
        for address, one in self.links.documents_by_address.items():
            notified = self.revision_by_service_by_address[address]
            found = one.all_in_force()
            assert {s: now.revision for s, now in found.items()} == notified
            for service, now in found.items():
                text = text_by_revision[now.revision]
                assert check_document(text).unwrap() == now.document
                assert now.document.service == service

    def teardown(self) -> None:
        """Ends all faults; all instances must then converge in time."""
        self.clock.advance(MAX_AHEAD_S)
        self.store.faults = faulty_store.NO_FAULTS
        self.links.cut.clear()
        for _ in range(int(RECOVERY_S)):
            for one in self.links.documents_by_address.values():
                if one.is_watcher():
                    one.watch_once()
            self.links.send_all_revisions()
            self.clock.advance(1.0)
        all_in_force = [
            one.all_in_force()
            for one in self.links.documents_by_address.values()
        ]
        for found in all_in_force:
            assert found == all_in_force[0]
        for service in SERVICES:
            self._check_stored(service, all_in_force[0].get(service))

    def _check_stored(
        self, service: str, found: documents.InForce | None
    ) -> None:
        shown = document_store.show_document(self.store, service)
        if isinstance(shown, result.Failure):
            return
        stored = shown.unwrap()
        if isinstance(validation.check_document(stored.text), result.Success):
            assert found is not None
            assert found.revision == stored.revision_in_force


DocumentMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)
TestDocumentMachine = DocumentMachine.TestCase
