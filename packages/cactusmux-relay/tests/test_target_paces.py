"""Tests for the slow-start limits that one instance keeps."""

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


class _Instance:
    """An instance past its own start, alone by default."""

    def __init__(self, rank=ALONE, settled=True):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.registry = target_registry.TargetRegistry()
        self.tracker = load_tracker.LoadTracker(self.timer)
        self.state = relay_rig.make_desired_state()
        in_force = request_handling.ConfigurationInForce()
        in_force.replace(self.state)
        self.paces = target_paces.TargetPaces(
            self.registry,
            self.tracker,
            in_force,
            lambda: rank,
            self.timer,
            self.metric,
        )
        self.away_ids = frozenset()
        self.paces.add_cause(Cause.DOWN, lambda: self.away_ids)
        self.set_targets(*map(_plain, NAMES))
        if settled:
            self.timer.advance(recoveries.INITIAL_DISCOVERY_S)

    def set_targets(self, *found):
        self.registry.replace(found, self.state.service_by_name)
        self.paces.review()

    def restart(self, *names):
        self.set_targets(
            *(_plain(each, 1 + (each in names)) for each in NAMES)
        )

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
        """Lets a target answer one request after some time."""
        target = self.registry.target_by_id[name]
        self.tracker.add((name,), 0.0)
        sent = self.paces.record_sent((target,))
        self.timer.advance(after_s)
        self.tracker.remove((name,), 0.0)
        self.paces.record_response(sent, target_limits.Assessment(verdict))

    def set_down(self, *names):
        self.away_ids = frozenset(names)
        self.paces.review()


@pytest.fixture(name='one')
def _one():
    return _Instance()


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
    assert one.paces.ids_at_limit() == frozenset()
    one.tracker.add(('one',), 0.0)
    assert one.paces.ids_at_limit() == {'one'}


def test_targets_known_from_the_beginning_are_not_limited(one):
    assert one.limited_ids == set()


def test_targets_seen_soon_after_the_first_ones_are_not_limited():
    """If all instances and targets start together, no target is newer."""
    one = _Instance(settled=False)
    one.timer.advance(recoveries.INITIAL_DISCOVERY_S - 0.1)
    one.restart('one')
    one.timer.advance(1.0)
    assert one.limited_ids == set()


def test_limits_are_set_aside_when_most_targets_are_limited(one, logged):
    """The other targets couldn't take over the load of the limited ones."""
    one.restart('one', 'two')
    one.tracker.add(('one', 'two'), 0.0)
    assert one.paces.ids_at_limit() == frozenset()
    assert [name for name, _ in logged].count('pace_limits_set_aside') == 1
    assert one.metric.counter_by_name['relay.pace_limits_set_aside'] == 1


def test_model_target_is_limited_from_its_first_layers_on(one):
    """While it loads, it gets no requests and the limit would expire."""
    spare = sample_engine.target('spare')
    known = [
        sample_engine.target(name, layers=targets.LayerRange(0, 40))
        for name in ('a', 'b')
    ]
    one.set_targets(*known, spare)
    one.timer.advance(slow_start.MAX_AGE_S)
    one.paces.review()
    assert one.limited_ids == set()
    one.set_targets(*known, spare._replace(layers=targets.LayerRange(0, 40)))
    assert one.limited_ids == {'spare'}
    one.set_targets(*known, spare._replace(layers=targets.LayerRange(0, 20)))
    assert one.metric.counter_by_name['relay.pace_limit_begun.started'] == 3


def test_target_that_was_down_is_limited_when_it_is_back(one):
    one.set_down('one')
    assert one.limited_ids == set()
    one.set_down()
    assert one.limited_ids == {'one'}


def test_target_that_restarted_while_it_was_down_is_limited_once(one):
    one.set_down('one')
    one.restart('one')
    one.set_down()
    assert one.metric.counter_by_name == {'relay.pace_limit_begun.started': 1}


def test_target_whose_entry_expired_and_returned_is_not_limited(one):
    """Entries of warm targets also expire during a store outage."""
    one.set_targets(_plain('one'))
    one.set_targets(*map(_plain, NAMES))
    assert one.limited_ids == set()


def test_limit_of_a_target_whose_entry_expired_is_kept(one):
    one.restart('one')
    one.set_targets(_plain('two'), _plain('three'))
    assert one.paces.ids_at_limit() == frozenset()
    one.restart('one')
    one.tracker.add(('one',), 0.0)
    assert one.paces.ids_at_limit() == {'one'}


def test_limit_is_removed_after_good_responses_at_full_use(one):
    one.restart('one')
    requests = ('one',) * 8
    one.tracker.add(requests, 0.0)
    shares = []
    for _ in range(3):
        one.answer('one', Verdict.NEAR)
        shares.append(one.share('one'))
    assert shares == [0.25, 0.5, 1.0]
    one.answer('one', Verdict.NEAR, after_s=slow_start.STEP_PERIOD_S)
    assert one.limited_ids == set()


def test_good_responses_do_not_increase_an_unused_limit(one):
    """A single request at a time doesn't show the speed at eight at once."""
    one.restart('one')
    for _ in range(4):
        one.answer('one', Verdict.NEAR, after_s=0.6)
    # Half of two permits was in use, but not half of four.
    assert one.share('one') == 0.5


@pytest.mark.parametrize(
    'verdict', [Verdict.SLOW, Verdict.REJECTED, Verdict.FAILED]
)
def test_bad_response_halves_the_limit(one, verdict):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.answer('one', verdict)
    assert one.share('one') == 0.125
    assert one.metric.counter_by_name[f'relay.pace_limit_fell.{verdict}'] == 1


def test_silent_target_keeps_its_limit(one):
    """Silence may be caused by the network and doesn't show a slow target."""
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    for _ in range(20):
        one.answer('one', Verdict.SILENT, after_s=1.0)
    assert one.share('one') == 0.25


def test_limit_ends_without_responses(one):
    one.restart('one')
    for _ in range(4):
        assert one.limited_ids == {'one'}
        one.timer.advance(slow_start.QUIET_PERIOD_S)
    assert one.limited_ids == set()


def test_limit_of_a_target_that_stays_slow_ends(one):
    """Circuit breakers and reported slowdown factors handle such a target."""
    one.restart('one')
    for _ in range(int(slow_start.MAX_AGE_S)):
        assert one.limited_ids == {'one'}
        one.answer('one', Verdict.SLOW, after_s=1.0)
    assert one.limited_ids == set()


def test_new_start_replaces_the_limit_of_the_old_one(one):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.set_targets(_plain('one', born_ms=3), _plain('two'), _plain('three'))
    assert len(one.paces._limit_by_start) == 1
    assert one.share('one') == slow_start.START_SHARE


def test_known_load_of_peers_counts(one):
    """Permits may still be in use by their previous owners."""
    one.restart('one')
    loads = load_tracker.InstanceLoads({}, {'one': 1}, {})
    one.tracker.record_peer_loads('other', loads)
    assert one.paces.ids_at_limit() == {'one'}


def test_increase_is_reported_and_applied(one):
    other = _Instance(instance_rank.InstanceRank(1, 2))
    one.restart('one')
    other.restart('one')
    one.answer('one', Verdict.NEAR)
    report = one.paces.own()
    for _ in range(2):
        other.paces.take('other', report)
        assert other.share('one') == 0.25
    one.timer.advance(target_paces.REPORT_DURATION_S + 0.1)
    assert one.paces.own() == b''


def test_report_from_before_a_recovery_is_ignored(one):
    rise = target_paces.Rise('one', 1, 1000, True)
    data = msgspec.msgpack.encode([rise])
    one.set_down('one')
    one.set_down()
    one.paces.take('other', data)
    assert one.limited_ids == {'one'}
    one.timer.advance(target_paces.REPORT_DURATION_S - 0.1)
    one.paces.take('other', data)
    assert one.limited_ids == {'one'}


def test_report_stays_small(one):
    """The reports are part of each gossip datagram."""
    names = [f'i-{number:010}' for number in range(40)]
    one.set_targets(*map(_plain, NAMES), *map(_plain, names))
    for each in names:
        one.answer(each, Verdict.NEAR, after_s=0.0)
    one.timer.advance(slow_start.DOUBLING_PERIOD_S)
    for each in names:
        one.answer(each, Verdict.NEAR, after_s=0.0)
    assert 0 < len(one.paces.own()) < 500


@pytest.mark.parametrize('data', [b'x', b'\xc1', b'\x91\x91\x01'])
def test_unreadable_report_raises_a_decoding_error(one, data):
    with pytest.raises(msgspec.MsgspecError):
        one.paces.take('other', data)


def test_report_of_unknown_targets_changes_nothing(one):
    rise = target_paces.Rise('none', 1, 1000, False)
    one.paces.take('other', msgspec.msgpack.encode([rise] * 100))
    assert one.limited_ids == set()


def test_each_change_is_logged_with_its_cause(one, logged):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.answer('one', Verdict.SLOW)
    for _ in range(50):
        one.tracker.add(('one',), 0.0)
        one.paces.ids_at_limit()
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
    """An instance of a large fleet with many limited targets."""

    NAMES = [f't{number}' for number in range(93)]
    LIMITED = 40

    def __init__(self, monkeypatch):
        self.counts = collections.Counter()
        self.one = _Instance()
        self.one.set_targets(*map(_plain, self.NAMES))
        self.one.timer.advance(slow_start.MAX_AGE_S)
        limited = self.NAMES[: self.LIMITED]
        self.one.set_targets(
            *(_plain(each, 1 + (each in limited)) for each in self.NAMES)
        )
        assert len(self.one.limited_ids) == self.LIMITED
        self._count(monkeypatch, self.one.paces, '_turn')
        self._count(monkeypatch, self.one.tracker, 'own_loads')
        self._count(monkeypatch, self.one.tracker, '_current_peer_loads')
        self._count(monkeypatch, self.one.metric, 'gauge')
        self._count(monkeypatch, self.one.metric, 'count')

    def _count(self, monkeypatch, owner, name):
        real = getattr(owner, name)

        def call(*args):
            self.counts[name] += 1
            return real(*args)

        monkeypatch.setattr(owner, name, call)


def test_data_common_to_all_limited_targets_is_computed_once(monkeypatch):
    """Computed for each of 40 targets, it took 2.3 ms per search."""
    counted = _Counted(monkeypatch)
    counted.one.tracker.add(counted.NAMES, 0.0)
    assert len(counted.one.paces.ids_at_limit()) == counted.LIMITED
    assert counted.counts == {'_turn': 1, '_current_peer_loads': 1, 'count': 1}


def test_consecutive_searches_share_the_cached_bounds(monkeypatch):
    """Each waiting request searches every 10 ms, and many may wait."""
    counted = _Counted(monkeypatch)
    counted.one.timer.advance(0.001)
    for _ in range(10):
        counted.one.paces.ids_at_limit()
        counted.one.timer.advance(target_paces.BOUNDS_CACHE_S / 11)
    assert counted.counts == {'_turn': 1, '_current_peer_loads': 1}


def test_own_requests_count_at_once(one):
    """Otherwise all requests within the cache time would go to one target."""
    one.restart('one')
    assert one.paces.ids_at_limit() == frozenset()
    one.tracker.add(('one',), 0.0)
    assert one.paces.ids_at_limit() == {'one'}
    one.tracker.remove(('one',), 0.0)
    assert one.paces.ids_at_limit() == frozenset()


def test_requests_of_peers_count_after_the_cache_time(one):
    one.restart('one')
    assert one.paces.ids_at_limit() == frozenset()
    one.tracker.record_peer_loads(
        'other', load_tracker.InstanceLoads({}, {'one': 1}, {})
    )
    one.timer.advance(target_paces.BOUNDS_CACHE_S)
    assert one.paces.ids_at_limit() == {'one'}


def test_share_that_has_changed_counts_at_once(one):
    one.restart('one')
    one.answer('one', Verdict.NEAR)
    one.tracker.add(('one',), 0.0)
    assert one.paces.ids_at_limit() == frozenset()
    one.answer('one', Verdict.FAILED, after_s=0.0)
    assert one.paces.ids_at_limit() == {'one'}


def test_permits_change_owners_with_the_epoch_despite_the_cache():
    """A cached bound must not outlive the epoch, or permits are used twice."""
    one = _Instance(instance_rank.InstanceRank(0, 5))
    one.restart('one')
    changes = 0
    for _ in range(6):
        left_s = 1.0 - one.timer.wall() % 1.0
        one.timer.advance(left_s - 0.001)
        before = one.paces.ids_at_limit()
        one.timer.advance(0.002)
        one.paces.review()
        epoch = int(one.timer.wall() / slow_start.PLAIN_EPOCH_S)
        ((start, limit),) = one.paces._limit_by_start.items()
        permits = slow_start.total_permits(limit, 8.0)
        own_permits = slow_start.own_permits(
            permits, instance_rank.InstanceRank(0, 5), start, epoch
        )
        expected = set() if own_permits else {'one'}
        assert one.paces.ids_at_limit() == expected
        changes += before != expected
    assert changes
