"""Tests of versioned records, digests and deltas."""

from cactusmux_base import timers
from cactusmux_peers import levels
from cactusmux_peers import peers_pb2
from cactusmux_peers import records
import hypothesis
from hypothesis import strategies
import pytest


def table(origin: int, clock: timers.ManualTimers) -> records.RecordTable:
    return records.RecordTable(origin, clock, lambda *_: None)


def payloads(
    record_table: records.RecordTable, origin: int
) -> dict[int, bytes]:
    return {
        slot: record.payload
        for slot, record in record_table.records_of(origin).items()
    }


WRITES = strategies.lists(
    strategies.dictionaries(
        strategies.integers(0, 6), strategies.binary(max_size=2), max_size=4
    ),
    max_size=12,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(writes=WRITES, pulls=strategies.sets(strategies.integers()))
def test_pulls_through_replica_give_same_records(
    writes: list[dict[int, bytes]], pulls: set[int]
) -> None:
    clock = timers.ManualTimers()
    writer, replica, reader = (table(origin, clock) for origin in (1, 2, 3))

    def pull(holder: records.RecordTable, asker: records.RecordTable) -> None:
        for delta in holder.deltas_since({1: asker.versions_of([1])[0]}):
            asker.merge(delta)

    for number, payload_by_slot in enumerate(writes):
        writer.publish(payload_by_slot)
        if number in pulls:
            pull(writer, replica)
        else:
            pull(replica, reader)
    pull(writer, replica)
    pull(replica, reader)
    assert payloads(reader, 1) == payloads(writer, 1)
    assert reader.deltas_since({1: writer.versions_of([1])[0]}) == []


def test_record_age_is_kept_through_replicas() -> None:
    clock = timers.ManualTimers()
    writer, replica, reader = (table(origin, clock) for origin in (1, 2, 3))
    writer.publish({0: b'x'})
    clock.advance(2.0)
    replica.merge(writer.deltas_since({1: 0})[0])
    clock.advance(3.0)
    reader.merge(replica.deltas_since({1: 0})[0])
    stamp = reader.records_of(1)[0].stamp
    assert clock.now() - stamp == pytest.approx(5.0, abs=0.2)


def test_delta_that_would_leave_a_gap_is_ignored() -> None:
    clock = timers.ManualTimers()
    writer, reader = table(1, clock), table(2, clock)
    writer.publish({0: b'x', 1: b'y'})
    assert reader.merge(writer.deltas_since({1: 1})[0]) == 0
    assert reader.versions_of([1]) == [0]


def test_delta_for_own_origin_is_ignored() -> None:
    clock = timers.ManualTimers()
    record_table = table(1, clock)
    forged = peers_pb2.OriginDelta(
        origin=1,
        version=9,
        slots=[0],
        versions_back=[0],
        ages_ds=[0],
        payloads=[b'x'],
    )
    assert record_table.merge(forged) == 0
    assert record_table.records_of(1) == {}


def test_delta_with_unequal_lists_is_rejected() -> None:
    clock = timers.ManualTimers()
    record_table = table(1, clock)
    unequal = peers_pb2.OriginDelta(
        origin=2, version=9, slots=[0, 1], payloads=[b'x']
    )
    with pytest.raises(ValueError, match='unequal'):
        record_table.merge(unequal)
    assert record_table.versions_of([2]) == [0]


def test_large_answer_is_split_over_several_pulls() -> None:
    clock = timers.ManualTimers()
    writer, reader = table(1, clock), table(2, clock)
    count = records.MAX_ANSWER_RECORDS + 10
    writer.publish({slot: b'x' for slot in range(count)})
    applied = 0
    for _ in range(2):
        for delta in writer.deltas_since({1: reader.versions_of([1])[0]}):
            assert len(delta.slots) <= records.MAX_ANSWER_RECORDS
            applied += reader.merge(delta)
    assert applied == count
    assert payloads(reader, 1) == payloads(writer, 1)


@pytest.mark.parametrize('count', [0, 1, 2, 3, 5, 10, 20])
def test_levels_of_small_counts_are_exact(count: int) -> None:
    level = levels.to_level(count, levels.COUNT_UNIT)
    assert round(levels.from_level(level, levels.COUNT_UNIT)) == count


@pytest.mark.parametrize('value', [0.05, 1.0, 17.0, 500.0, 2000.0])
def test_level_error_is_small(value: float) -> None:
    level = levels.to_level(value, levels.RATE_UNIT_PER_S)
    found = levels.from_level(level, levels.RATE_UNIT_PER_S)
    assert found == pytest.approx(value, rel=0.03)
