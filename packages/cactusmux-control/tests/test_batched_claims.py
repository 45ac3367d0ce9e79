"""Failure tests of claims that are written in batches by an owner."""

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
    """Lets other tasks run before time moves on."""

    def sleep(self, seconds: float) -> None:
        for _ in range(3):
            gevent.sleep(0)
        super().sleep(seconds)


class Owners:
    """Two owners of one range over one store."""

    def __init__(self) -> None:
        self.clock = YieldingTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.metric = metrics.MemoryMetrics()
        self.ways = [
            scripted_store.ScriptedStore(self.store, self.clock)
            for _ in range(2)
        ]
        self.owners = [
            claim_owner.ClaimOwner(way, self.clock, self.metric, SETTINGS)
            for way in self.ways
        ]

    def bid(self, key: str, body: str = '') -> claim_writes.ClaimWrite:
        request = claims.ClaimRequest('s', 'o', key, body, 10.0)
        grant = claims.new_grant(request, self.clock, 'i-1', SETTINGS)
        return claim_writes.ClaimWrite(request, grant.record)

    def submit(
        self, number: int, *bids: claim_writes.ClaimWrite
    ) -> list[Verdict]:
        replies = self.owners[number].submit(0, bids)
        return [reply.verdict for reply in replies]

    def entries(self) -> int:
        return len(self.store.get_prefix('claim-log/').unwrap())


@pytest.fixture
def owners() -> Owners:
    return Owners()


def finished(
    bid: claim_writes.ClaimWrite, body: bytes = b'ok'
) -> claim_writes.ClaimWrite:
    outcome = claims.Outcome(201, 'text/plain', body)
    state = claims.ClaimState.FINISHED
    return bid._replace(
        record=bid.record._replace(state=state, outcome=outcome)
    )


def test_bids_of_many_tasks_share_one_write(owners) -> None:
    tasks = [
        gevent.spawn(owners.submit, 0, owners.bid(f'k-{number}'))
        for number in range(20)
    ]
    gevent.joinall(tasks, timeout=10, raise_error=True)
    assert [task.value for task in tasks] == [[Verdict.WON]] * 20
    # The first bid at once, all others after the interval.
    assert owners.entries() == 2


def test_bids_for_one_key_in_one_batch_have_one_winner(owners) -> None:
    owners.submit(0, owners.bid('warm'))
    tasks = [gevent.spawn(owners.submit, 0, owners.bid('k')) for _ in range(5)]
    gevent.joinall(tasks, timeout=10, raise_error=True)
    verdicts = sorted(task.value[0] for task in tasks)
    assert verdicts == [Verdict.IN_PROGRESS] * 4 + [Verdict.WON]


def test_same_bid_again_wins_again_and_finished_is_kept(owners) -> None:
    bid = owners.bid('k')
    assert owners.submit(0, bid) == [Verdict.WON]
    assert owners.submit(0, bid) == [Verdict.WON]
    assert owners.submit(0, finished(bid)) == [Verdict.WRITTEN]
    (reply,) = owners.owners[0].submit(0, [owners.bid('k')])
    assert reply.outcome == finished(bid).record.outcome
    assert owners.submit(0, owners.bid('k', 'x')) == [Verdict.KEY_REUSED]


def test_new_owner_knows_all_and_old_one_is_fenced_off(owners) -> None:
    bid = owners.bid('k')
    assert owners.submit(0, bid) == [Verdict.WON]
    assert owners.submit(1, owners.bid('k')) == [Verdict.IN_PROGRESS]
    assert owners.submit(1, owners.bid('other')) == [Verdict.WON]
    # The old owner does not know of it: its write has to fail.
    late = owners.bid('other')
    assert owners.submit(0, late) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, late) == [Verdict.IN_PROGRESS]


def test_stale_read_at_opening_costs_a_retry_but_no_second_win(
    owners, monkeypatch
) -> None:
    stale = owners.store.get_prefix('claim-log/0/')
    assert owners.submit(0, owners.bid('k')) == [Verdict.WON]
    bid = owners.bid('k')
    with monkeypatch.context() as context:
        context.setattr(owners.ways[1], 'get_prefix', lambda _: stale)
        assert owners.submit(1, bid) == [Verdict.NOT_WRITTEN]
    assert owners.submit(1, bid) == [Verdict.IN_PROGRESS]


def test_old_owner_does_not_answer_from_what_it_knew(owners) -> None:
    bid = owners.bid('k')
    owners.submit(0, bid)
    owners.submit(1, bid._replace(record=claims.released(bid.record)))
    again = owners.bid('k')
    assert owners.submit(0, again) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, again) == [Verdict.WON]


def test_batch_judged_before_another_opening_is_not_written(owners) -> None:
    # The first task leads a batch and sleeps; meanwhile another owner wins
    # its key and this owner opens the log anew for a second bid.
    owners.submit(0, owners.bid('warm'))
    first = gevent.spawn(owners.submit, 0, owners.bid('k'))
    gevent.sleep(0)
    assert owners.submit(1, owners.bid('k')) == [Verdict.WON]
    assert owners.submit(0, owners.bid('warm')) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, owners.bid('other')) == [Verdict.WON]
    first.join(10)
    assert first.value == [Verdict.NOT_WRITTEN]


def test_bid_put_during_a_read_is_written_once(owners) -> None:
    # Found by a fault sequence: the task that read led the batch anew.
    owners.submit(0, owners.bid('k'))
    owners.clock.advance(1.0)
    way = owners.ways[0]
    way.scripts = [Script(before_s=0.1)]
    nested: list[list[Verdict]] = []

    def meanwhile() -> None:
        way.meanwhile = lambda: None
        nested.append(owners.submit(0, owners.bid('other')))

    way.meanwhile = meanwhile
    entries = owners.entries()
    # The nested write makes the first look stale, which costs a retry.
    assert owners.submit(0, owners.bid('k')) == [Verdict.NOT_WRITTEN]
    assert nested == [[Verdict.WON]]
    assert owners.entries() == entries + 1


LOST = [
    ((Script(unanswered=True),), [Verdict.WON]),
    ((Script(unanswered=True), *DROPPED), [Verdict.UNSETTLED]),
    ((Script(late=True), *DROPPED), [Verdict.UNSETTLED]),
    (DROPPED, [Verdict.NOT_WRITTEN]),
]


@pytest.mark.parametrize('scripts, verdicts', LOST)
def test_lost_answer_of_a_write(owners, scripts, verdicts) -> None:
    owners.submit(0, owners.bid('warm'))
    owners.ways[0].scripts = list(scripts)
    bid = owners.bid('k')
    assert owners.submit(0, bid) == verdicts
    owners.ways[0].scripts = []
    owners.ways[0].deliver_late()
    if verdicts != [Verdict.UNSETTLED]:
        return
    # Nobody holds the claim: the next bid releases it, the one after wins.
    assert owners.submit(0, owners.bid('k')) == [Verdict.IN_PROGRESS]
    assert owners.submit(0, owners.bid('k')) == [Verdict.WON]


def test_task_that_leads_a_batch_and_dies_frees_the_others(owners) -> None:
    owners.submit(0, owners.bid('warm'))
    leader = gevent.spawn(owners.submit, 0, owners.bid('a'))
    follower = gevent.spawn(owners.submit, 0, owners.bid('b'))
    gevent.sleep(0)
    leader.kill()
    follower.join(10)
    assert follower.value == [Verdict.UNSETTLED]
    assert owners.submit(0, owners.bid('c')) == [Verdict.WON]


def test_owner_idle_until_the_log_is_gone_opens_it_anew(owners) -> None:
    owners.submit(0, owners.bid('k'))
    owners.clock.advance(RETENTION_S + 1.0)
    assert owners.entries() == 0
    assert owners.submit(1, owners.bid('k')) == [Verdict.WON]
    late = owners.bid('k')
    assert owners.submit(0, late) == [Verdict.NOT_WRITTEN]
    assert owners.submit(0, late) == [Verdict.IN_PROGRESS]


def test_log_opens_although_entries_in_its_middle_are_gone(owners) -> None:
    owners.submit(0, owners.bid('first'))
    owners.clock.advance(SETTINGS.slot_s / 2)
    owners.submit(1, owners.bid('kept'))
    for _ in range(2):
        owners.submit(0, owners.bid('second'))
    owners.clock.advance(SETTINGS.slot_s)
    for _ in range(2):
        owners.submit(1, owners.bid('last'))
    owners.clock.advance(RETENTION_S - SETTINGS.slot_s * 1.4)
    keys = [e.key for e in owners.store.get_prefix('claim-log/').unwrap()]
    assert [int(key[-1]) for key in keys] == [2, 4]
    owners.owners[0] = claim_owner.ClaimOwner(
        owners.ways[0], owners.clock, owners.metric, SETTINGS
    )
    known = [owners.bid(key) for key in ('kept', 'last')]
    assert owners.submit(0, *known) == [Verdict.OUTCOME_UNKNOWN] * 2
    assert owners.submit(0, owners.bid('second')) == [Verdict.WON]


def test_memory_forgets_with_the_store(owners) -> None:
    for number in range(5):
        owners.submit(0, owners.bid(f'k-{number}'))
        owners.clock.advance(RETENTION_S / 4)
    owners.submit(0, owners.bid('last'))
    assert owners.owners[0].known() < 6


def test_entry_stays_below_the_size_that_the_store_takes(owners) -> None:
    bids = [owners.bid(f'k-{number}') for number in range(40)]
    assert set(owners.submit(0, *bids)) == {Verdict.WON}
    outcomes = [finished(bid, b'x' * 16_384) for bid in bids]
    verdicts = owners.submit(0, *outcomes)
    assert set(verdicts) == {Verdict.WRITTEN, Verdict.NOT_WRITTEN}
    sizes = [
        len(entry.value)
        for entry in owners.store.get_prefix('claim-log/').unwrap()
    ]
    assert max(sizes) <= claim_ranges.MAX_ENTRY_BYTES


def test_range_is_spread_and_stable() -> None:
    keys = [
        claims.claim_key(claims.ClaimRequest('s', 'o', ids.new_id(), '', 1.0))
        for _ in range(2_000)
    ]
    found = {claim_writes.range_of(key, 8) for key in keys}
    assert found == set(range(8))
