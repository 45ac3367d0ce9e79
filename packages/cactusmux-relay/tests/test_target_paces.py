"""Which targets one instance limits, and what changes that."""

import collections

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_relay import instance_rank
from cactusmux_relay import load_tracker
from cactusmux_relay import recoveries
from cactusmux_relay import request_handling
from cactusmux_relay import slow_start
from cactusmux_relay import target_limits
from cactusmux_relay import target_paces
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import msgspec
import pytest

Verdict = slow_start.Verdict
Cause = slow_start.Cause
ALONE = instance_rank.InstanceRank(0, 1)
NAMES = ('one', 'two', 'three')


def _plain(name, born_ms=1):
    service = relay_rig.PLAIN_SERVICE
    return targets.Target(name, service, f'{name}:80', 'a', 8, False, born_ms)


class _Paces:
    """One instance that has served for long enough, alone by default."""

    def __init__(self, turn=ALONE, settled=True):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.book = target_registry.TargetRegistry()
        self.ledger = load_tracker.LoadTracker(self.timer)
        self.state = relay_rig.make_desired_state()
        in_force = request_handling.ConfigurationInForce()
        in_force.replace(self.state)
        self.paces = target_paces.TargetPaces(
            self.book,
            self.ledger,
            in_force,
            lambda: turn,
            self.timer,
            self.metric,
        )
        self.away_ids = frozenset()
        self.paces.watch(Cause.DOWN, lambda: self.away_ids)
        self.have(*map(_plain, NAMES))
        if settled:
            self.timer.advance(recoveries.INITIAL_DISCOVERY_S)

    def have(self, *found):
        self.book.replace(found, self.state.service_by_name)
        self.paces.review()

    def restart(self, *names):
        self.have(*(_plain(each, 1 + (each in names)) for each in NAMES))

    @property
    def limited_ids(self):
        self.paces.review()
        return {start.target_id for start in self.paces._limit_by_start}

    def share(self, name):
        return next(
            limit.share
            for start, limit in self.paces._limit_by_start.items()
            if start.target_id == name
        )

    def answer(self, name, verdict, after_s=0.6):
        """Has a target answer one request after some time."""
        target = self.book.target_by_id[name]
        self.ledger.add((name,), 0.0)
        sent = self.paces.note_sent((target,))
        self.timer.advance(after_s)
        self.ledger.remove((name,), 0.0)
        self.paces.note_answer(sent, target_limits.Answer(verdict))

    def away(self, *names):
        self.away_ids = frozenset(names)
        self.paces.review()


@pytest.fixture(name='one')
def _one():
    return _Paces()


@pytest.fixture(name='logged')
def _logged(monkeypatch):
    found = []
    monkeypatch.setattr(
        events, 'info', lambda event, **fields: found.append((event, fields))
    )
    return found


def test_target_that_has_started_is_limited(one):
    one.restart('one')
    assert one.limited_ids == {'one'}
    assert one.paces.at_limit() == frozenset()
    one.ledger.add(('one',), 0.0)
    assert one.paces.at_limit() == {'one'}


def test_targets_known_from_the_beginning_are_not_limited(one):
    assert one.limited_ids == set()


def test_targets_seen_soon_after_the_first_ones_are_not_limited():
    """All instances and targets start together; none is newer."""
    one = _Paces(settled=False)
    one.timer.advance(recoveries.INITIAL_DISCOVERY_S - 0.1)
    one.restart('one')
    one.timer.advance(1.0)
    assert one.limited_ids == set()


def test_targets_are_set_aside_from_limits_when_most_are_limited(one, logged):
    """The rest couldn't take over what those limited don't get."""
    one.restart('one', 'two')
    one.ledger.add(('one', 'two'), 0.0)
    assert one.paces.at_limit() == frozenset()
    assert [name for name, _ in logged].count('pace_limits_set_aside') == 1
    assert one.metric.counter_by_name['relay.pace_limits_set_aside'] == 1


def test_model_target_is_limited_from_its_first_layers_on(one):
    """While it loads it can't show its pace, and the limit would end."""
    spare = sample_engine.target('spare')
    known = [
        sample_engine.target(name, layers=targets.LayerRange(0, 40))
        for name in ('a', 'b')
    ]
    one.have(*known, spare)
    one.timer.advance(slow_start.MAX_AGE_S)
    one.paces.review()
    assert one.limited_ids == set()
    one.have(*known, spare._replace(layers=targets.LayerRange(0, 40)))
    assert one.limited_ids == {'spare'}
    one.have(*known, spare._replace(layers=targets.LayerRange(0, 20)))
    assert one.metric.counter_by_name['relay.pace_limit_begun.started'] == 3


def test_target_that_was_down_is_limited_when_it_is_back(one):
    one.away('one')
    assert one.limited_ids == set()
    one.away()
    assert one.limited_ids == {'one'}


def test_target_that_started_anew_while_it_was_down_begins_once(one):
    one.away('one')
    one.restart('one')
    one.away()
    assert one.metric.counter_by_name == {'relay.pace_limit_begun.started': 1}


def test_target_whose_entry_lapsed_and_came_back_is_not_limited(one):
    """Entries lapse while the store is away, also those of warm targets."""
    one.have(_plain('one'))
    one.have(*map(_plain, NAMES))
    assert one.limited_ids == set()


def test_limit_of_a_target_whose_entry_lapsed_is_kept(one):
    one.restart('one')
    one.have(_plain('two'), _plain('three'))
    assert one.paces.at_limit() == frozenset()
    one.restart('one')
    one.ledger.add(('one',), 0.0)
    assert one.paces.at_limit() == {'one'}


def test_limit_is_removed_once_full_use_has_gone_well(one):
    one.restart('one')
    others = ('one',) * 8
    one.ledger.add(others, 0.0)
    shares = []
    for _ in range(3):
        one.answer('one', Verdict.NEAR)
        shares.append(one.share('one'))
    assert shares == [0.25, 0.5, 1.0]
    one.answer('one', Verdict.NEAR, after_s=slow_start.STEP_PERIOD_S)
    assert one.limited_ids == set()


def test_good_answers_tell_nothing_where_the_limit_is_not_used(one):
    """A single request at a time says nothing of eight at once."""
    one.restart('one')
    for _ in range(4):
        one.answer('one', Verdict.NEAR, after_s=0.6)
    # Half of two seats was in use, but not half of four.
    assert one.share('one') == 0.5


@pytest.mark.parametrize(
    'verdict', [Verdict.SLOW, Verdict.REJECTED, Verdict.FAILED]
)
def test_bad_answer_halves_the_limit(one, verdict):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.answer('one', verdict)
    assert one.share('one') == 0.125
    assert one.metric.counter_by_name[f'relay.pace_limit_fell.{verdict}'] == 1


def test_silent_target_keeps_its_limit(one):
    """Silence may be the network's doing, and says nothing of a pace."""
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    for _ in range(20):
        one.answer('one', Verdict.SILENT, after_s=1.0)
    assert one.share('one') == 0.25


def test_limit_ends_where_nothing_is_heard(one):
    one.restart('one')
    for _ in range(4):
        assert one.limited_ids == {'one'}
        one.timer.advance(slow_start.QUIET_ROUND_S)
    assert one.limited_ids == set()


def test_limit_of_a_target_that_stays_bad_ends(one):
    """Breakers and reported paces deal with it; a start is long past."""
    one.restart('one')
    for _ in range(int(slow_start.MAX_AGE_S)):
        assert one.limited_ids == {'one'}
        one.answer('one', Verdict.SLOW, after_s=1.0)
    assert one.limited_ids == set()


def test_new_start_replaces_the_limit_of_the_old_one(one):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.have(_plain('one', born_ms=3), _plain('two'), _plain('three'))
    assert len(one.paces._limit_by_start) == 1
    assert one.share('one') == slow_start.START_SHARE


def test_known_load_of_others_counts(one):
    """Seats of the last owners may still be taken."""
    one.restart('one')
    loads = load_tracker.InstanceLoads({}, {'one': 1}, {})
    one.ledger.note_peer('other', loads)
    assert one.paces.at_limit() == {'one'}


def test_rise_is_told_and_taken(one):
    other = _Paces(instance_rank.InstanceRank(1, 2))
    one.restart('one')
    other.restart('one')
    one.answer('one', Verdict.NEAR)
    told = one.paces.own()
    for _ in range(2):
        other.paces.take('other', told)
        assert other.share('one') == 0.25
    one.timer.advance(target_paces.TOLD_S + 0.1)
    assert one.paces.own() == b''


def test_what_was_told_before_a_recovery_is_not_believed(one):
    rise = target_paces.Rise('one', 1, 1000, True)
    data = msgspec.msgpack.encode([rise])
    one.away('one')
    one.away()
    one.paces.take('other', data)
    assert one.limited_ids == {'one'}
    one.timer.advance(target_paces.TOLD_S - 0.1)
    one.paces.take('other', data)
    assert one.limited_ids == {'one'}


def test_news_stay_small(one):
    """They go with each datagram."""
    names = [f'i-{number:010}' for number in range(40)]
    one.have(*map(_plain, NAMES), *map(_plain, names))
    for each in names:
        one.answer(each, Verdict.NEAR, after_s=0.0)
    one.timer.advance(slow_start.RISE_PERIOD_S)
    for each in names:
        one.answer(each, Verdict.NEAR, after_s=0.0)
    assert 0 < len(one.paces.own()) < 500


@pytest.mark.parametrize('data', [b'x', b'\xc1', b'\x91\x91\x01'])
def test_unreadable_news_are_refused(one, data):
    with pytest.raises(msgspec.MsgspecError):
        one.paces.take('other', data)


def test_news_of_unknown_targets_change_nothing(one):
    rise = target_paces.Rise('none', 1, 1000, False)
    one.paces.take('other', msgspec.msgpack.encode([rise] * 100))
    assert one.limited_ids == set()


def test_each_change_is_logged_with_what_decided_it(one, logged):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.answer('one', Verdict.SLOW)
    for _ in range(50):
        one.ledger.add(('one',), 0.0)
        one.paces.at_limit()
    names = [name for name, _ in logged]
    assert names == [
        'target_pace_limit_begun',
        'target_pace_limit_rose',
        'target_pace_limit_fell',
        'target_pace_limit_reached',
    ]
    fell = logged[2][1]
    assert fell['cause'] == 'slow'
    assert fell['sent_ms_ago'] == 600
    assert one.metric.counter_by_name['relay.pace_limit_reached'] == 50
    assert one.metric.gauge_by_name['believed.targets_pace_limited'] == 1


class _Counted:
    """One instance of a large fleet with many limited targets."""

    NAMES = [f't{number}' for number in range(93)]
    LIMITED = 40

    def __init__(self, monkeypatch):
        self.counts = collections.Counter()
        self.one = _Paces()
        self.one.have(*map(_plain, self.NAMES))
        self.one.timer.advance(slow_start.MAX_AGE_S)
        limited = self.NAMES[: self.LIMITED]
        self.one.have(
            *(_plain(each, 1 + (each in limited)) for each in self.NAMES)
        )
        assert len(self.one.limited_ids) == self.LIMITED
        self._count(monkeypatch, self.one.paces, '_turn')
        self._count(monkeypatch, self.one.ledger, 'own_loads')
        self._count(monkeypatch, self.one.ledger, '_current_peer_loads')
        self._count(monkeypatch, self.one.metric, 'gauge')
        self._count(monkeypatch, self.one.metric, 'count')

    def _count(self, monkeypatch, owner, name):
        real = getattr(owner, name)

        def call(*args):
            self.counts[name] += 1
            return real(*args)

        monkeypatch.setattr(owner, name, call)


def test_what_all_limited_targets_share_is_fetched_once(monkeypatch):
    """Fetched for each of 40 targets it took 2.3 ms at each search."""
    counted = _Counted(monkeypatch)
    counted.one.ledger.add(counted.NAMES, 0.0)
    assert len(counted.one.paces.at_limit()) == counted.LIMITED
    assert counted.counts == {'_turn': 1, '_current_peer_loads': 1, 'count': 1}


def test_searches_that_follow_each_other_share_it_too(monkeypatch):
    """A request that waits searches each 10 ms, and many may wait."""
    counted = _Counted(monkeypatch)
    counted.one.timer.advance(0.001)
    for _ in range(10):
        counted.one.paces.at_limit()
        counted.one.timer.advance(target_paces.BOUNDS_KEPT_S / 11)
    assert counted.counts == {'_turn': 1, '_current_peer_loads': 1}


def test_own_requests_count_at_once(one):
    """Requests sent within the kept time would all go to one target."""
    one.restart('one')
    assert one.paces.at_limit() == frozenset()
    one.ledger.add(('one',), 0.0)
    assert one.paces.at_limit() == {'one'}
    one.ledger.remove(('one',), 0.0)
    assert one.paces.at_limit() == frozenset()


def test_requests_of_others_count_within_the_kept_time(one):
    one.restart('one')
    assert one.paces.at_limit() == frozenset()
    one.ledger.note_peer(
        'other', load_tracker.InstanceLoads({}, {'one': 1}, {})
    )
    one.timer.advance(target_paces.BOUNDS_KEPT_S)
    assert one.paces.at_limit() == {'one'}


def test_share_that_has_changed_counts_at_once(one):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.ledger.add(('one',), 0.0)
    assert one.paces.at_limit() == frozenset()
    one.answer('one', Verdict.FAILED, after_s=0.0)
    assert one.paces.at_limit() == {'one'}


def test_seats_change_owners_with_the_epoch_within_the_kept_time():
    """Kept for longer, a part would be used beside that of its new owner."""
    one = _Paces(instance_rank.InstanceRank(0, 5))
    one.restart('one')
    changes = 0
    for _ in range(6):
        left_s = 1.0 - one.timer.wall() % 1.0
        one.timer.advance(left_s - 0.001)
        before = one.paces.at_limit()
        one.timer.advance(0.002)
        one.paces.review()
        epoch = int(one.timer.wall() / slow_start.PLAIN_EPOCH_S)
        ((start, limit),) = one.paces._limit_by_start.items()
        seats = slow_start.seats(limit, 8.0)
        part = slow_start.part(
            seats, instance_rank.InstanceRank(0, 5), start, epoch
        )
        expected = set() if part else {'one'}
        assert one.paces.at_limit() == expected
        changes += before != expected
    assert changes
