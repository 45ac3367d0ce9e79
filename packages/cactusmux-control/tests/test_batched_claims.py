"""Failure tests of claims that an owner writes in batches."""

from cactusmux_base import ids
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import claim_owner
from cactusmux_control import claim_ranges
from cactusmux_control import claim_writes
from cactusmux_control import claims
from cactusmux_fakes import memory_store
from cactusmux_fakes import scripted_store
import gevent
import pytest

Script = scripted_store.Script
Verdict = claim_writes.Verdict
SETTINGS = claims.ClaimSettings()
RETENTION_S = SETTINGS.retention_s + SETTINGS.slot_s
DROPPED = (Script(dropped=True),) * 9


class YieldingTimers(timers.ManualTimers):
    """Lets other tasks run before the clock advances."""

    def sleep(self, seconds: float) -> None:
        for _ in range(3):
            gevent.sleep(0)
        super().sleep(seconds)


class Owners:
    """Two owners of one range with a shared store."""

    def __init__(self) -> None:
        self.clock = YieldingTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.metric = metrics.MemoryMetrics()
        self.store_clients = [
            scripted_store.ScriptedStore(self.store, self.clock)
            for _ in range(2)
        ]
        self.owners = [
            claim_owner.ClaimOwner(
                store_client, self.clock, self.metric, SETTINGS
            )
            for store_client in self.store_clients
        ]

    def new_write(self, key: str, body: str = '') -> claim_writes.ClaimWrite:
        request = claims.ClaimRequest('s', 'o', key, body, 10.0)
        grant = claims.new_grant(request, self.clock, 'i-1', SETTINGS)
        return claim_writes.ClaimWrite(request, grant.record)

    def submit(
        self, number: int, *writes: claim_writes.ClaimWrite
    ) -> list[Verdict]:
        replies = self.owners[number].submit(0, writes)
        return [reply.verdict for reply in replies]

    def entries(self) -> int:
        return len(self.store.get_prefix('claim-log/').unwrap())


@pytest.fixture
def owners() -> Owners:
    return Owners()


def finished(
    write: claim_writes.ClaimWrite, body: bytes = b'ok'
) -> claim_writes.ClaimWrite:
    outcome = claims.Outcome(201, 'text/plain', body)
    state = claims.ClaimState.FINISHED
    return write._replace(
        record=write.record._replace(state=state, outcome=outcome)
    )


def test_concurrent_writes_share_one_store_write(owners) -> None:
    tasks = [
        gevent.spawn(owners.submit, 0, owners.new_write(f'k-{number}'))
        for number in range(20)
    ]
    gevent.joinall(tasks, timeout=10, raise_error=True)
    assert [task.value for task in tasks] == [[Verdict.WON]] * 20
    # The first write is stored at once, all others after the interval.
    assert owners.entries() == 2


def test_writes_for_one_key_in_one_batch_have_one_winner(owners) -> None:
    owners.submit(0, owners.new_write('warm'))
    tasks = [
        gevent.spawn(owners.submit, 0, owners.new_write('k')) for _ in range(5)
    ]
    gevent.joinall(tasks, timeout=10, raise_error=True)
    verdicts = sorted(task.value[0] for task in tasks)
    assert verdicts == [Verdict.IN_PROGRESS] * 4 + [Verdict.WON]


def test_repeated_write_wins_again_and_outcome_is_kept(owners) -> None:
    write = owners.new_write('k')
    assert owners.submit(0, write) == [Verdict.WON]
    assert owners.submit(0, write) == [Verdict.WON]
    assert owners.submit(0, finished(write)) == [Verdict.WRITTEN]
    (reply,) = owners.owners[0].submit(0, [owners.new_write('k')])
    assert reply.outcome == finished(write).record.outcome
    assert owners.submit(0, owners.new_write('k', 'x')) == [Verdict.KEY_REUSED]


def test_new_owner_reads_all_claims_and_fences_off_old_owner(owners) -> None:
    write = owners.new_write('k')
    assert owners.submit(0, write) == [Verdict.WON]
    assert owners.submit(1, owners.new_write('k')) == [Verdict.IN_PROGRESS]
    assert owners.submit(1, owners.new_write('other')) == [Verdict.WON]
    # The old owner has not read this claim, so its write has to fail.
    late = owners.new_write('other')
    assert owners.submit(0, late) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, late) == [Verdict.IN_PROGRESS]


def test_stale_read_at_opening_causes_a_retry_but_no_second_win(
    owners, monkeypatch
) -> None:
    stale = owners.store.get_prefix('claim-log/0/')
    assert owners.submit(0, owners.new_write('k')) == [Verdict.WON]
    write = owners.new_write('k')
    with monkeypatch.context() as context:
        context.setattr(owners.store_clients[1], 'get_prefix', lambda _: stale)
        assert owners.submit(1, write) == [Verdict.NOT_WRITTEN]
    assert owners.submit(1, write) == [Verdict.IN_PROGRESS]


def test_old_owner_does_not_reply_from_stale_state(owners) -> None:
    write = owners.new_write('k')
    owners.submit(0, write)
    owners.submit(1, write._replace(record=claims.released(write.record)))
    again = owners.new_write('k')
    assert owners.submit(0, again) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, again) == [Verdict.WON]


def test_batch_checked_before_reopening_is_not_written(owners) -> None:
    # The first task opens a batch and sleeps. Meanwhile another owner wins
    # its key and this owner reopens the log for a second write.
    owners.submit(0, owners.new_write('warm'))
    first = gevent.spawn(owners.submit, 0, owners.new_write('k'))
    gevent.sleep(0)
    assert owners.submit(1, owners.new_write('k')) == [Verdict.WON]
    assert owners.submit(0, owners.new_write('warm')) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, owners.new_write('other')) == [Verdict.WON]
    first.join(10)
    assert first.value == [Verdict.NOT_WRITTEN]


def test_write_added_during_a_read_is_stored_once(owners) -> None:
    # Regression test: the task that had read the store wrote the batch again.
    owners.submit(0, owners.new_write('k'))
    owners.clock.advance(1.0)
    store_client = owners.store_clients[0]
    store_client.scripts = [Script(before_s=0.1)]
    nested: list[list[Verdict]] = []

    def meanwhile() -> None:
        store_client.meanwhile = lambda: None
        nested.append(owners.submit(0, owners.new_write('other')))

    store_client.meanwhile = meanwhile
    entries = owners.entries()
    # The nested write makes the first state stale, which causes a retry.
    assert owners.submit(0, owners.new_write('k')) == [Verdict.NOT_WRITTEN]
    assert nested == [[Verdict.WON]]
    assert owners.entries() == entries + 1


LOST = [
    ((Script(unanswered=True),), [Verdict.WON]),
    ((Script(unanswered=True), *DROPPED), [Verdict.UNSETTLED]),
    ((Script(late=True), *DROPPED), [Verdict.UNSETTLED]),
    (DROPPED, [Verdict.NOT_WRITTEN]),
]


@pytest.mark.parametrize('scripts, verdicts', LOST)
def test_lost_response_of_a_store_write(owners, scripts, verdicts) -> None:
    owners.submit(0, owners.new_write('warm'))
    owners.store_clients[0].scripts = list(scripts)
    write = owners.new_write('k')
    assert owners.submit(0, write) == verdicts
    owners.store_clients[0].scripts = []
    owners.store_clients[0].deliver_late()
    if verdicts != [Verdict.UNSETTLED]:
        return
    # No instance holds the claim: the next write releases it, the one after
    # that wins.
    assert owners.submit(0, owners.new_write('k')) == [Verdict.IN_PROGRESS]
    assert owners.submit(0, owners.new_write('k')) == [Verdict.WON]


def test_killed_batch_writer_releases_waiting_tasks(owners) -> None:
    owners.submit(0, owners.new_write('warm'))
    batch_writer = gevent.spawn(owners.submit, 0, owners.new_write('a'))
    waiting_task = gevent.spawn(owners.submit, 0, owners.new_write('b'))
    gevent.sleep(0)
    batch_writer.kill()
    waiting_task.join(10)
    assert waiting_task.value == [Verdict.UNSETTLED]
    assert owners.submit(0, owners.new_write('c')) == [Verdict.WON]


def test_owner_reopens_a_log_that_expired_while_idle(owners) -> None:
    owners.submit(0, owners.new_write('k'))
    owners.clock.advance(RETENTION_S + 1.0)
    assert owners.entries() == 0
    assert owners.submit(1, owners.new_write('k')) == [Verdict.WON]
    late = owners.new_write('k')
    assert owners.submit(0, late) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, late) == [Verdict.IN_PROGRESS]


def test_log_opens_with_expired_entries_in_the_middle(owners) -> None:
    owners.submit(0, owners.new_write('first'))
    owners.clock.advance(SETTINGS.slot_s / 2)
    owners.submit(1, owners.new_write('kept'))
    for _ in range(2):
        owners.submit(0, owners.new_write('second'))
    owners.clock.advance(SETTINGS.slot_s)
    for _ in range(2):
        owners.submit(1, owners.new_write('last'))
    owners.clock.advance(RETENTION_S - SETTINGS.slot_s * 1.4)
    keys = [e.key for e in owners.store.get_prefix('claim-log/').unwrap()]
    assert [int(key[-1]) for key in keys] == [2, 4]
    owners.owners[0] = claim_owner.ClaimOwner(
        owners.store_clients[0], owners.clock, owners.metric, SETTINGS
    )
    known = [owners.new_write(key) for key in ('kept', 'last')]
    assert owners.submit(0, *known) == [Verdict.OUTCOME_UNKNOWN] * 2
    assert owners.submit(0, owners.new_write('second')) == [Verdict.WON]


def test_expired_claims_are_dropped_from_memory(owners) -> None:
    for number in range(5):
        owners.submit(0, owners.new_write(f'k-{number}'))
        owners.clock.advance(RETENTION_S / 4)
    owners.submit(0, owners.new_write('last'))
    assert owners.owners[0].known_count() < 6


def test_entry_stays_below_the_maximum_value_size(owners) -> None:
    writes = [owners.new_write(f'k-{number}') for number in range(40)]
    assert set(owners.submit(0, *writes)) == {Verdict.WON}
    outcomes = [finished(write, b'x' * 16_384) for write in writes]
    verdicts = owners.submit(0, *outcomes)
    assert set(verdicts) == {Verdict.WRITTEN, Verdict.NOT_WRITTEN}
    sizes = [
        len(entry.value)
        for entry in owners.store.get_prefix('claim-log/').unwrap()
    ]
    assert max(sizes) <= claim_ranges.MAX_ENTRY_BYTES


def test_keys_spread_over_all_ranges() -> None:
    keys = [
        claims.claim_key(claims.ClaimRequest('s', 'o', ids.new_id(), '', 1.0))
        for _ in range(2_000)
    ]
    found = {claim_writes.range_of(key, 8) for key in keys}
    assert found == set(range(8))
