import errno
import itertools
import random
import types

from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_relay import connection_probes
from cactusmux_relay import connection_races
from cactusmux_relay import cost_model
from cactusmux_relay import directory
from cactusmux_relay import down_targets
from cactusmux_relay import layer_orders
from cactusmux_relay import live_streams
from cactusmux_relay import membership
from cactusmux_relay import slow_targets
from cactusmux_relay import soft_exchange
from cactusmux_relay import targets
import gevent
import msgspec
from returns import result


class _Call:
    def __init__(self):
        self.is_cut = False
        self.is_unread = False

    def abort(self):
        self.is_cut = True

    def has_unread(self):
        return self.is_unread


def _down_targets(timer):
    return down_targets.DownTargets(timer, random.Random(1))


class _Watched:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.down = _down_targets(self.timer)
        self.suspected = []
        self.live = live_streams.LiveStreams(
            self.timer,
            self.down,
            lambda each: self.suspected.append(each.id),
            lambda each: None,
        )

    def add(
        self, *ids, secure_next=lambda: True, replace_lost=lambda each: False
    ):
        path = tuple(
            cost_model.Stage(sample_engine.target(each), targets.NO_LAYERS)
            for each in ids
        )
        stream = live_streams.LiveStream(
            path, 40.0, self.timer.now(), secure_next, replace_lost
        )
        stream.call = _Call()
        self.live.add(stream)
        return stream

    def play(self, stream, pauses_s):
        for pause_s in pauses_s:
            self.timer.advance(pause_s)
            stream.record_event(self.timer.now())


def test_silent_stream_has_its_targets_suspected():
    watched = _Watched()
    stream = watched.add('x', 'y')
    watched.play(stream, [0.05] * 6)
    watched.live.check()
    assert watched.suspected == []
    watched.timer.advance(0.2)
    watched.live.check()
    assert watched.suspected == ['x', 'y']


def test_target_on_which_another_stream_progresses_is_not_suspected():
    watched = _Watched()
    silent = watched.add('x', 'shared')
    busy = watched.add('shared', 'z')
    watched.play(silent, [0.05] * 4)
    watched.play(busy, [0.05] * 6)
    watched.live.check()
    assert watched.suspected == ['x']


def test_slow_but_steady_stream_is_not_silent():
    watched = _Watched()
    stream = watched.add('x')
    watched.play(stream, [0.4] * 12)
    watched.timer.advance(0.4)
    watched.live.check()
    assert watched.suspected == []


def test_streams_through_a_target_that_is_down_are_cut():
    watched = _Watched()
    through = watched.add('x', 'y')
    other = watched.add('z')
    watched.down.mark(sample_engine.target('y'), 'test')
    assert through.call.is_cut
    assert through.was_interrupted
    assert not other.call.is_cut


def test_stream_that_waits_for_another_path_suspects_no_other_targets():
    """Guards against endless probes of the other stages of such streams."""
    watched = _Watched()
    stream = watched.add('x', 'y', secure_next=lambda: False)
    watched.play(stream, [0.05] * 4)
    watched.timer.advance(0.2)
    watched.live.check()
    assert watched.suspected == ['x', 'y']
    watched.down.mark(sample_engine.target('y'), 'test')
    watched.suspected.clear()
    watched.timer.advance(0.5)
    watched.live.check()
    assert watched.suspected == []


def test_stream_whose_events_arrive_is_not_cut_for_a_down_target():
    watched = _Watched()
    stream = watched.add('x')
    watched.play(stream, [0.05] * 4)
    watched.down.mark(sample_engine.target('x'), 'test')
    watched.play(stream, [0.05] * 4)
    watched.live.check()
    assert not stream.call.is_cut
    watched.timer.advance(0.2)
    watched.live.check()
    assert stream.call.is_cut


def test_stream_is_cut_only_once_its_next_path_is_reserved():
    watched = _Watched()
    answers = [False, False, True]
    asked = []

    def secure_next():
        asked.append(watched.timer.now())
        return answers.pop(0)

    stream = watched.add('x', secure_next=secure_next)
    watched.down.mark(sample_engine.target('x'), 'test')
    for _ in range(100):
        watched.timer.advance(live_streams.CHECK_PERIOD_S)
        watched.live.check()
    assert stream.call.is_cut
    assert answers == []
    pauses = [later - at for at, later in itertools.pairwise(asked)]
    assert all(each >= live_streams.RECOVERY_PERIOD_S for each in pauses)


def test_failed_hand_over_of_a_stream_delays_no_other_stream():
    """A failure must not delay later streams or other subscribers."""
    watched = _Watched()

    def fail(stream):
        raise ValueError('test')

    notified = []
    watched.down.subscribe(notified.append)
    streams = [watched.add('x', 'y', replace_lost=fail)]
    streams += [watched.add('x', 'y') for _ in range(20)]
    watched.down.mark(sample_engine.target('y'), 'test')
    assert [each.call.is_cut for each in streams] == [False] + 20 * [True]
    assert notified == ['y']


def test_failed_subscriber_keeps_no_other_from_a_lost_target():
    down = _down_targets(timers.ManualTimers())
    notified = []

    def fail(target_id):
        raise ValueError('test')

    down.subscribe(fail)
    down.subscribe(notified.append)
    down.mark(sample_engine.target('y'), 'test')
    assert notified == ['y']


class _CountingDown(down_targets.DownTargets):
    """Counts how often the set of down targets is built."""

    built = 0

    @property
    def ids(self):
        self.built += 1
        return super().ids


def test_check_builds_the_set_of_down_targets_once_for_all_streams():
    """Guards against building it for each stream, 50 times a second."""
    watched = _Watched()
    down = _CountingDown(watched.timer, random.Random(1))
    watched.live = live_streams.LiveStreams(
        watched.timer, down, lambda each: None, lambda each: None
    )
    for _ in range(100):
        watched.add('x', 'y')
    watched.live.check()
    assert down.built == 1
    down.mark(sample_engine.target('z'), 'test')
    down.built = 0
    watched.timer.advance(1.0)
    watched.live.check()
    assert down.built <= 2


def test_stream_with_unread_bytes_is_not_cut():
    """Unread bytes show that the instance or the caller is late."""
    watched = _Watched()
    stream = watched.add('x')
    stream.call.is_unread = True
    watched.down.mark(sample_engine.target('x'), 'test')
    assert not stream.call.is_cut
    stream.call.is_unread = False
    watched.live.check()
    assert stream.call.is_cut


class _Replacing:
    """Records when a replacement is requested; its order is then pending."""

    def __init__(self, timer, can_replace=True):
        self._timer = timer
        self._can_replace = can_replace
        self.requested_at = []

    def __call__(self, stream):
        self.requested_at.append(self._timer.now())
        stream.is_replacing = self._can_replace
        return self._can_replace


def test_stream_that_ends_while_it_is_checked_reserves_nothing():
    reserved = []
    watched = _Watched()
    stream = watched.add('x', secure_next=lambda: reserved.append(1) or True)

    def end_meanwhile():
        watched.live.remove(stream)
        return False

    stream.call.has_unread = end_meanwhile
    watched.down.mark(sample_engine.target('x'), 'test')
    assert reserved == []
    assert not stream.call.is_cut


def _check_again_meanwhile(watched, stream, number):
    """Has another task check a stream during a check, counted from 1."""
    checks = []

    def has_unread():
        checks.append(1)
        if len(checks) == number:
            watched.live.look_again(stream)
        return False

    stream.call.has_unread = has_unread


def test_stream_that_two_tasks_check_is_replaced_once():
    watched = _Watched()
    replacing = _Replacing(watched.timer)
    stream = watched.add('x', 'y', replace_lost=replacing)
    _check_again_meanwhile(watched, stream, 1)
    watched.down.mark(sample_engine.target('y'), 'test')
    assert len(replacing.requested_at) == 1
    assert not stream.call.is_cut


def test_stream_that_two_tasks_check_reserves_one_path():
    reserved = []
    watched = _Watched()
    stream = watched.add('x', secure_next=lambda: reserved.append(1) or True)
    _check_again_meanwhile(watched, stream, 2)
    watched.down.mark(sample_engine.target('x'), 'test')
    assert reserved == [1]
    assert stream.call.is_cut


def test_stream_that_ended_before_its_check_is_left_alone(monkeypatch):
    watched = _Watched()
    ended = watched.add('x', 'y')
    other = watched.add('x', 'y')
    errors = []
    monkeypatch.setattr(
        live_streams.events, 'error', lambda name, **_: errors.append(name)
    )

    def fail():
        raise ValueError('the socket is closed')

    def end_the_other():
        ended.call.has_unread = fail
        watched.live.remove(ended)
        return False

    watched.live.remove(ended)
    watched.live.add(ended)
    other.call.has_unread = end_the_other
    watched.down.mark(sample_engine.target('y'), 'test')
    assert other.call.is_cut
    assert errors == []


def test_stream_is_replaced_once_its_event_is_overdue():
    """Waiting for the silence limit would lengthen the pause by 40 ms."""
    watched = _Watched()
    replacing = _Replacing(watched.timer)
    stream = watched.add('x', 'y', replace_lost=replacing)
    watched.play(stream, [0.03] * 20)
    heard_at = watched.timer.now()
    watched.timer.advance(0.005)
    watched.down.mark(sample_engine.target('y'), 'test')
    assert replacing.requested_at == []
    watched.timer.advance(0.05)
    (requested_at,) = replacing.requested_at
    assert 0.029 < requested_at - heard_at < 0.031
    assert not stream.call.is_cut


def test_stream_through_a_target_that_lost_a_race_waits_for_silence():
    watched = _Watched()
    replacing = _Replacing(watched.timer)
    stream = watched.add('x', 'y', replace_lost=replacing)
    watched.play(stream, [0.03] * 20)
    watched.down.mark(sample_engine.target('y'), 'test', is_refused=False)
    watched.timer.advance(0.05)
    watched.live.check()
    assert replacing.requested_at == []
    watched.timer.advance(0.02)
    watched.live.check()
    assert len(replacing.requested_at) == 1


def test_stream_whose_events_arrive_is_not_replaced():
    watched = _Watched()
    replacing = _Replacing(watched.timer)
    stream = watched.add('x', 'y', replace_lost=replacing)
    watched.play(stream, [0.03] * 4)
    watched.down.mark(sample_engine.target('y'), 'test')
    for _ in range(10):
        watched.play(stream, [0.02])
        watched.live.check()
    assert replacing.requested_at == []


def test_stream_is_not_cut_while_an_order_is_pending():
    watched = _Watched()
    replacing = _Replacing(watched.timer)
    stream = watched.add('x', 'y', replace_lost=replacing)
    watched.down.mark(sample_engine.target('y'), 'test')
    for _ in range(20):
        watched.timer.advance(live_streams.CHECK_PERIOD_S)
        watched.live.check()
    assert not stream.call.is_cut
    assert len(replacing.requested_at) == 1


def test_stream_that_can_not_be_replaced_is_cut_and_resumed():
    watched = _Watched()
    replacing = _Replacing(watched.timer, can_replace=False)
    stream = watched.add('x', 'y', replace_lost=replacing)
    watched.down.mark(sample_engine.target('y'), 'test')
    assert len(replacing.requested_at) == 1
    assert stream.call.is_cut


def test_stream_replaced_on_another_path_is_not_cut():
    watched = _Watched()
    stream = watched.add('x', 'y', secure_next=lambda: False)
    watched.down.mark(sample_engine.target('y'), 'test')
    path = tuple(
        cost_model.Stage(sample_engine.target(each), targets.NO_LAYERS)
        for each in ('x', 'new')
    )
    stream.use_path(path, 40.0, watched.timer.now())
    stream.reserve_next = lambda: True
    for _ in range(20):
        watched.timer.advance(live_streams.CHECK_PERIOD_S)
        watched.live.check()
    assert not stream.call.is_cut


LONGEST_PAUSE_S = 0.25
# After the probe of an unreachable target follow a race of connection
# attempts, an order and the prefill.
PROBE_RACE_S = 0.035
ORDER_S = 0.02
PREFILL_S = 0.06


def test_unreachable_target_is_detected_within_the_longest_pause():
    """Guards against up to 285 ms until the next event could arrive."""
    watched = _Watched()
    suspected_at = []
    watched.live = live_streams.LiveStreams(
        watched.timer,
        watched.down,
        lambda each: suspected_at.append(watched.timer.now()),
        lambda each: None,
    )
    watched.live.start()
    for place in range(20):
        watched.timer.advance(0.001 * place)
        stream = watched.add('x', 'y')
        watched.play(stream, [0.03] * 20)
        heard_at = watched.timer.now()
        suspected_at.clear()
        watched.timer.advance(0.15)
        watched.live.remove(stream)
        noticed_s = suspected_at[0] - heard_at + down_targets.PROBE_TIMEOUT_S
        total_s = noticed_s + PROBE_RACE_S + ORDER_S + PREFILL_S
        assert total_s <= LONGEST_PAUSE_S


def test_false_alarm_costs_few_probes_and_does_not_cut_the_stream(monkeypatch):
    """Streams with pauses just above the silence limit are suspected often."""
    tried = []

    def connect(address, timeout_s, timer):
        tried.append(address)
        return connection_probes.ProbeResult(
            connection_probes.Outcome.ACCEPTED, '', 0.0
        )

    monkeypatch.setattr(connection_probes, 'probe_address', connect)
    watched = _Watched()
    replacing = _Replacing(watched.timer)
    watched.live = live_streams.LiveStreams(
        watched.timer, watched.down, watched.down.probe, lambda each: None
    )
    watched.live.start()
    watched.timer.advance(1.0)
    stream = watched.add('x', replace_lost=replacing)
    begun_at = watched.timer.now()
    for _ in range(20):
        watched.play(stream, [0.03] * 3)
        watched.timer.advance(0.08)
        gevent.sleep(0)
    passed_s = watched.timer.now() - begun_at
    assert tried
    assert len(tried) <= 1 + passed_s / down_targets.PROBE_PERIOD_S
    assert watched.down.ids == frozenset()
    assert replacing.requested_at == []
    assert not stream.call.is_cut


def test_down_mark_ends_when_the_target_restarts_or_is_removed():
    timer = timers.ManualTimers()
    down = _down_targets(timer)
    target = sample_engine.target('x')
    down.mark(target, 'test')
    down.update({'x': target})
    assert down.ids == {'x'}
    down.update({'x': target._replace(born_ms=2)})
    assert down.ids == frozenset()
    down.mark(target, 'test')
    down.update({})
    assert down.ids == frozenset()


def test_connection_tells_whether_a_target_is_there():
    target = scripted_target.ScriptedTarget(lambda sock, request: False)
    timer = timers.GeventTimers()
    accepted = connection_probes.probe_address(target.address, 1.0, timer)
    assert accepted.outcome is connection_probes.Outcome.ACCEPTED
    target.stop()
    refused = connection_probes.probe_address(target.address, 1.0, timer)
    assert refused.outcome is connection_probes.Outcome.REFUSED


def _connects_as(monkeypatch, outcome_by_address):
    def connect(address, timeout_s, timer):
        outcome = outcome_by_address[address]
        return connection_probes.ProbeResult(outcome, str(outcome), timeout_s)

    monkeypatch.setattr(connection_probes, 'probe_address', connect)


def _probe(down, found, suspected):
    down.update({each.id: each for each in found})
    down.probe(suspected)
    for _ in range(10):
        gevent.sleep(0)


def _targets(count):
    return [
        sample_engine.target(f't{index}', address=f'127.0.0.1:{index}')
        for index in range(1, count + 1)
    ]


def test_own_saturated_link_does_not_count_as_a_failed_target(monkeypatch):
    """While the own link is saturated no target accepts a connection."""
    found = _targets(5)
    late = {
        each.address: connection_probes.Outcome.UNANSWERED for each in found
    }
    _connects_as(monkeypatch, late)
    down = _down_targets(timers.ManualTimers())
    _probe(down, found, found[0])
    assert down.ids == frozenset()


def test_own_failure_to_connect_is_no_refusal(monkeypatch):
    unanswered = []
    for number in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EMFILE):
        failing = types.SimpleNamespace(socket=_failing_socket(number))
        monkeypatch.setattr(connection_probes, 'socket', failing)
        tried = connection_probes.probe_address(
            '127.0.0.1:1', 1.0, timers.ManualTimers()
        )
        unanswered.append(
            tried.outcome is connection_probes.Outcome.UNANSWERED
        )
    assert unanswered == [True, True, True]


def _failing_socket(number):
    class _Socket:
        def __init__(self, family, kind):
            if number == errno.EMFILE:
                raise OSError(number, 'own')

        def settimeout(self, seconds):
            pass

        def connect(self, address):
            raise OSError(number, 'own')

        def close(self):
            pass

    return _Socket


def test_instances_race_a_suspect_against_different_targets():
    """Otherwise the same few targets get a connection from each instance."""
    found = {each.id: each for each in _targets(99)}
    drawn = set()
    for seed in range(20):
        down = down_targets.DownTargets(
            timers.ManualTimers(), random.Random(seed)
        )
        down.update(found)
        drawn.update(each.id for each in down._sample_references())
    assert len(drawn) > 3 * down_targets.REFERENCE_COUNT


def test_simultaneous_suspects_share_their_references(monkeypatch):
    found = _targets(9)
    silent = {each.address for each in found[:4]}
    tried = []

    def connect(address, timeout_s, timer):
        tried.append(address)
        outcome = connection_probes.Outcome.ACCEPTED
        if address in silent:
            outcome = connection_probes.Outcome.UNANSWERED
        return connection_probes.ProbeResult(outcome, str(outcome), timeout_s)

    monkeypatch.setattr(connection_probes, 'probe_address', connect)
    down = _down_targets(timers.ManualTimers())
    down.update({each.id: each for each in found})
    for each in found[:4]:
        down.probe(each)
    for _ in range(10):
        gevent.sleep(0)
    assert down.ids == {'t1', 't2', 't3', 't4'}
    assert len(tried) == 4 + 4 + down_targets.REFERENCE_COUNT


def test_connection_accepted_just_after_the_others_does_not_lose():
    delay_s_by_id = {'t1': 0.303, 't2': 0.295, 't3': 0.4, 't4': 0.4}

    def connect(target, timeout_s):
        delay_s = delay_s_by_id[target.id]
        gevent.sleep(min(delay_s, timeout_s))
        outcome = connection_probes.Outcome.ACCEPTED
        if delay_s > timeout_s:
            outcome = connection_probes.Outcome.UNANSWERED
        return connection_probes.ProbeResult(outcome, str(outcome), timeout_s)

    found = _targets(4)
    raced = connection_races.race_connections(connect, found[:1], found[1:])
    assert raced['t1'].outcome is connection_probes.Outcome.ACCEPTED


def test_silent_target_is_down_while_others_accept(monkeypatch):
    found = _targets(5)
    outcomes = {
        each.address: connection_probes.Outcome.ACCEPTED for each in found
    }
    outcomes[found[0].address] = connection_probes.Outcome.UNANSWERED
    _connects_as(monkeypatch, outcomes)
    down = _down_targets(timers.ManualTimers())
    _probe(down, found, found[0])
    assert down.ids == {'t1'}


def test_silent_target_is_confirmed_by_another_instance(monkeypatch):
    found = _targets(5)
    outcomes = {
        each.address: connection_probes.Outcome.ACCEPTED for each in found
    }
    outcomes[found[0].address] = connection_probes.Outcome.UNANSWERED
    _connects_as(monkeypatch, outcomes)
    timer = timers.ManualTimers()
    down = _down_targets(timer)
    _probe(down, found, found[0])
    assert down.confirmed_ids(is_only_instance=False) == frozenset()
    assert down.confirmed_ids(is_only_instance=True) == {'t1'}
    down.record_peer_report(found[0])
    assert down.confirmed_ids(is_only_instance=False) == {'t1'}
    timer.advance(down_targets.PEER_REPORT_LIFETIME_S + 0.1)
    assert down.confirmed_ids(is_only_instance=False) == frozenset()


def test_target_that_refuses_connections_needs_no_confirmation(monkeypatch):
    found = _targets(2)
    refused = {
        each.address: connection_probes.Outcome.REFUSED for each in found
    }
    _connects_as(monkeypatch, refused)
    down = _down_targets(timers.ManualTimers())
    _probe(down, found, found[0])
    assert down.confirmed_ids(is_only_instance=False) == {'t1'}


class _Orders(layer_orders.LayerOrders):
    def __init__(self):
        self.pace = 1.0
        self.asked = 0

    def set_layers(self, target, layers, number):
        raise AssertionError('no order is due')

    def change_path(self, first, request_id, path):
        raise AssertionError('no order is due')

    def report(self, target):
        self.asked += 1
        return result.Success(
            layer_orders.LayerReport(targets.NO_LAYERS, 0, False, self.pace)
        )


def test_slow_target_is_known_until_a_new_report_or_expiry():
    timer = timers.ManualTimers()
    orders = _Orders()
    tracker = slow_targets.SlowTargets(orders, timer)
    target = sample_engine.target('x')
    orders.pace = 3.0
    tracker.request_report(target)
    tracker.request_report(target)
    gevent.sleep(0)
    assert orders.asked == 1
    assert tracker.pace_by_target() == {'x': 3.0}
    timer.advance(slow_targets.MIN_REPORT_INTERVAL_S + 0.1)
    orders.pace = 1.0
    tracker.request_report(target)
    gevent.sleep(0)
    assert tracker.pace_by_target() == {}
    orders.pace = 3.0
    timer.advance(1.0)
    tracker.request_report(target)
    gevent.sleep(0)
    timer.advance(slow_targets.MAX_REPORT_AGE_S + 0.1)
    assert tracker.pace_by_target() == {}


def test_slow_targets_reported_by_peers_expire_soon():
    timer = timers.ManualTimers()
    tracker = slow_targets.SlowTargets(_Orders(), timer)
    tracker.record_peer_report({'x': 2.0})
    assert tracker.pace_by_target() == {'x': 2.0}
    timer.advance(slow_targets.MIN_REPORT_INTERVAL_S + 0.1)
    assert tracker.pace_by_target() == {}


def _instance(name, zone='a', port=80):
    return membership.Instance(
        name, zone, 'r', f'127.0.0.1:{port}', f'127.0.0.1:{port + 1}'
    )


class _FakeExchange:
    def __init__(self):
        self.heard_at_by_name = {}


def _directory(*instances):
    timer = timers.ManualTimers()
    heard = _FakeExchange()
    found = directory.Directory(heard, timer, 'own')
    found.update(list(instances))
    return found, heard, timer


def test_callers_get_the_instances_of_their_zone():
    found, _, _ = _directory(
        _instance('i', 'a', 1), _instance('j', 'a', 2), _instance('k', 'b', 3)
    )
    assert found.addresses('a') == ['127.0.0.1:1', '127.0.0.1:2']
    assert len(found.addresses('b')) == 3
    assert len(found.addresses('elsewhere')) == 3


def test_stopping_and_silent_instances_are_left_out():
    found, heard, timer = _directory(
        _instance('i', 'a', 1), _instance('j', 'a', 2), _instance('k', 'a', 3)
    )
    found.record_stopping('i', True)
    assert found.addresses('a') == ['127.0.0.1:2', '127.0.0.1:3']
    timer.advance(directory.SILENT_S + 0.1)
    heard.heard_at_by_name = {'j': timer.now(), 'k': timer.now()}
    assert found.addresses('a') == ['127.0.0.1:2', '127.0.0.1:3']
    heard.heard_at_by_name = {'k': timer.now()}
    assert found.addresses('a') == ['127.0.0.1:3']


def test_isolated_instance_does_not_return_only_itself():
    found, heard, timer = _directory(
        _instance('own', 'a', 1), _instance('j', 'a', 2)
    )
    timer.advance(directory.SILENT_S + 0.1)
    heard.heard_at_by_name = {'own': timer.now()}
    assert found.addresses('a') == ['127.0.0.1:1', '127.0.0.1:2']


def test_last_list_is_returned_when_no_instance_is_heard_from():
    found, _, timer = _directory(
        _instance('i', 'a', 1), _instance('j', 'a', 2)
    )
    timer.advance(directory.SILENT_S + 0.1)
    assert len(found.addresses('a')) == 2


def _message(name, **changes):
    message = soft_exchange.GossipMessage(name, False, {}, {}, {}, {}, [], {})
    return soft_exchange.GossipMessage(
        **{
            field: changes.get(field, getattr(message, field))
            for field in message.__struct_fields__
        }
    )


def test_gossip_reaches_the_peers():
    heard = []
    timer = timers.GeventTimers()
    receiver = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timer,
        lambda: _message('b'),
        lambda: [],
        heard.append,
        random.Random(1),
    )
    receiver.start()
    message = _message('a', down=['x'], tokens_by_target={'t': 5})
    sender = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timer,
        lambda: message,
        lambda: [f'127.0.0.1:{receiver.port}'],
        heard.append,
        random.Random(1),
    )
    sender.start()
    sender.send()
    for _ in range(400):
        if heard:
            break
        gevent.sleep(0.005)
    assert heard[0] == message
    assert 'a' in receiver.heard_at_by_name
    receiver._receive(b'garbage', None)
    assert heard[-1] == message


def test_gossip_with_many_loads_arrives_whole():
    """The datagram server of gevent truncates datagrams to 8 KiB."""
    heard = []
    receiver = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timers.GeventTimers(),
        lambda: _message('b'),
        lambda: [],
        heard.append,
        random.Random(1),
    )
    receiver.start()
    loads = {f'i-{number:010x}': 1234 for number in range(1600)}
    sender = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timers.GeventTimers(),
        lambda: _message('a', tokens_by_target=loads),
        lambda: [f'127.0.0.1:{receiver.port}'],
        heard.append,
        random.Random(1),
    )
    sender.start()
    sender.send()
    for _ in range(400):
        if heard:
            break
        gevent.sleep(0.005)
    assert heard
    assert heard[0].tokens_by_target == loads


def test_instance_without_messages_from_peers_is_isolated():
    """An isolated instance has to watch the store itself."""
    timer = timers.ManualTimers()
    exchange = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timer,
        lambda: _message('a'),
        lambda: [],
        lambda message: None,
        random.Random(1),
    )
    timer.advance(10.0)
    assert exchange.is_isolated
    exchange._receive(msgspec.msgpack.encode(_message('b')), None)
    assert not exchange.is_isolated
    timer.advance(soft_exchange.ISOLATED_S + 0.1)
    assert exchange.is_isolated


def test_gossip_in_a_large_fleet_goes_to_samples():
    timer = timers.ManualTimers()
    asked = []
    peers = [f'127.0.0.1:{port}' for port in range(20001, 20101)]
    exchange = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timer,
        lambda: _message('a'),
        lambda: peers,
        lambda message: None,
        random.Random(1),
    )
    exchange._send_to = lambda data, peer: asked.append(peer)
    for _ in range(40):
        timer.advance(soft_exchange.PERIOD_S)
        exchange.send()
    sendings = 40 * soft_exchange.PERIOD_S / soft_exchange.SAMPLE_PERIOD_S
    assert len(asked) == sendings * soft_exchange.SAMPLE_SIZE
    assert len(set(asked)) > 60


def test_directory_of_a_large_fleet_relies_on_leases():
    instances = [_instance(f'i{n}', 'a', n) for n in range(1, 41)]
    found, _, timer = _directory(*instances)
    timer.advance(directory.SILENT_S + 0.1)
    found.record_stopping('i1', True)
    assert len(found.addresses('a')) == 39


def test_removed_targets_are_forgotten():
    """Frequent changes of the pool must not leak memory."""
    watched = _Watched()
    gone = sample_engine.target('gone')
    watched.down.probe(gone)
    watched.down.update({})
    assert watched.down.tracked_count == 0


def test_message_goes_to_all_given_peers_just_after_a_sample():
    """A message just sent to a sample must still go to the other peers."""
    notified = []
    others = [f'10.0.0.{n}:80' for n in range(57)]
    exchange = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timers.ManualTimers(),
        lambda: _message('own'),
        lambda: others,
        lambda message: None,
        random.Random(1),
    )
    exchange._send_to = lambda data, peer: notified.append(peer)
    exchange.send()
    notified.clear()
    exchange.send_to(others)
    assert len(set(notified)) == 57


def test_gossip_carries_leaving_targets_and_older_messages_decode():
    message = soft_exchange.GossipMessage(
        'i', False, {}, {}, {}, {}, [], {}, [], [targets.Start('x', 7)]
    )
    decode = msgspec.msgpack.Decoder(soft_exchange.GossipMessage).decode
    encoded = msgspec.msgpack.encode(message)
    assert decode(encoded).leaving == [targets.Start('x', 7)]
    fields = msgspec.msgpack.decode(encoded)
    # The message's tag precedes its fields.
    place = 1 + soft_exchange.GossipMessage.__struct_fields__.index('leaving')
    older = decode(msgspec.msgpack.encode(fields[:place]))
    assert older.leaving == []
    assert older.data_by_topic == {}
