"""Targets that announce leaving in a response, before their entries do."""

import random

from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_platform import stores
from cactusmux_relay import down_targets
from cactusmux_relay import leaving_targets
from cactusmux_relay import request_handling
from cactusmux_relay import target_registry
from cactusmux_relay import target_roster
from cactusmux_relay import targets
import gevent
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

RESPONSE = leaving_targets.Source.ANSWER
SERVICE = sample_engine.SERVICE
LEAVING_HEADERS = {'Signature': 's', 'Leaving': '1'}
SIGNED = {'Signature': 's'}
NOT_RUN = {'Not-Run': '1', 'Leaving': '1'}
EVENTS = b''.join(
    scripted_target.chunk(scripted_target.event(number))
    for number in range(1, 4)
)
END = scripted_target.chunk(b'')


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _target(*writes):
    """A target that sends its responses in order and repeats the last."""
    left = list(writes)

    def script(sock, _request):
        sock.sendall(left.pop(0) if len(left) > 1 else left[0])
        return False

    return scripted_target.ScriptedTarget(script)


def _stream(headers):
    return scripted_target.stream_head(headers) + EVENTS + END


def _status(received):
    return int(received.split()[1])


def _with_start_time(target, born_ms):
    return target._replace(born_ms=born_ms)


@pytest.mark.parametrize(
    'answer',
    [
        scripted_target.answer(b'done', 200, LEAVING_HEADERS),
        scripted_target.answer(b'', 500, LEAVING_HEADERS),
        scripted_target.answer(b'', 503, NOT_RUN),
        scripted_target.answer(b'', 429, NOT_RUN),
        scripted_target.answer(b'', 421, LEAVING_HEADERS),
        scripted_target.answer(b'', 503, LEAVING_HEADERS),
        scripted_target.answer(b'unsigned', 200, {'Leaving': '1'}),
    ],
)
@pytest.mark.parametrize('path', ['/safe/', '/unsafe/'])
def test_leaving_plain_target_gets_no_further_request(rig, answer, path):
    leaving = _target(answer)
    staying = _target(scripted_target.answer(b'done', 200, SIGNED))
    rig.use_plain(leaving.address)
    rig.ask(relay_rig.request(path))
    rig.use_plain(leaving.address, staying.address)
    for _ in range(8):
        assert _status(rig.ask(relay_rig.request(path))) == 200
    assert len(leaving.received) == 1


@pytest.mark.parametrize(
    'answer',
    [
        _stream(LEAVING_HEADERS),
        # The stream breaks and is resumed at once.
        scripted_target.stream_head(LEAVING_HEADERS),
        scripted_target.answer(b'', 503, NOT_RUN),
        scripted_target.answer(b'', 421, LEAVING_HEADERS),
    ],
)
def test_leaving_first_target_of_a_path_gets_no_further_request(rig, answer):
    leaving = _target(answer)
    staying = _target(_stream(SIGNED))
    # The first target is the fastest one.
    rig.use_engines(leaving.address, staying.address)
    for _ in range(6):
        assert _status(rig.ask(relay_rig.request('/stream/'))) == 200
    assert len(leaving.received) == 1


def test_response_to_another_request_is_ignored(rig):
    foreign = scripted_target.answer(
        b'x', 200, {**LEAVING_HEADERS, 'Request-Id': 'z'}
    )
    target = _target(foreign, scripted_target.answer(b'done', 200, SIGNED))
    rig.use_plain(target.address)
    assert _status(rig.ask(relay_rig.request('/unsafe/'))) == 502
    assert _status(rig.ask(relay_rig.request('/unsafe/'))) == 200


def test_request_that_no_target_ran_is_rejected_at_once_if_all_leave(rig):
    leaving = _target(scripted_target.answer(b'', 503, NOT_RUN))
    rig.use_plain(leaving.address)
    for _ in range(3):
        received = rig.ask(relay_rig.request('/unsafe/'))
        assert _status(received) == 503
        assert b'retry-after' in received.lower()
    assert len(leaving.received) == 1
    assert rig.metric.counter_by_name['relay.refused.no_target'] == 3


def test_stream_is_rejected_at_once_if_all_targets_leave(rig):
    leaving = _target(scripted_target.answer(b'', 503, NOT_RUN))
    rig.use_engines(leaving.address)
    for _ in range(3):
        received = rig.ask(relay_rig.request('/stream/', prompt_id='p:1'))
        assert _status(received) == 503
        assert b'retry-after' in received.lower()
    assert len(leaving.received) == 1
    assert rig.metric.counter_by_name['relay.refused.no_target'] == 3


def test_running_stream_at_a_leaving_target_continues(rig):
    begun = gevent.event.Event()

    def script(sock, _request):
        sock.sendall(scripted_target.stream_head(LEAVING_HEADERS) + EVENTS[:1])
        begun.wait(5.0)
        sock.sendall(EVENTS[1:] + END)
        return False

    target = scripted_target.ScriptedTarget(script)
    rig.use_engines(target.address)
    asked = gevent.spawn(rig.ask, relay_rig.request('/stream/'))
    with gevent.Timeout(5.0):
        while not rig.book.leaving():
            gevent.sleep(0.005)
    begun.set()
    received = asked.get(timeout=5.0)
    assert _status(received) == 200
    assert received.endswith(END)


def test_only_a_restart_clears_the_leaving_state():
    registry = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    registry.replace([target], {})
    registry.record_leaving(target.start, RESPONSE)
    assert registry.ready(SERVICE) == []
    assert registry.has_only_leaving(SERVICE)
    assert registry.target_by_id['x'].is_leaving
    registry.replace([target], {})
    assert registry.ready(SERVICE) == []
    # The entry expires and returns.
    registry.replace([], {})
    assert not registry.has_only_leaving(SERVICE)
    registry.replace([target], {})
    assert registry.ready(SERVICE) == []
    registry.replace([_with_start_time(target, 2)], {})
    assert [each.id for each in registry.ready(SERVICE)] == ['x']
    assert registry.leaving() == []


def test_announcement_of_an_older_start_does_not_affect_the_newer():
    registry = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    registry.replace([_with_start_time(target, 2)], {})
    registry.record_leaving(target.start, RESPONSE)
    assert [each.id for each in registry.ready(SERVICE)] == ['x']


def test_announcement_of_a_start_without_an_entry_is_kept():
    registry = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    registry.replace([target], {})
    registry.record_leaving(targets.Start('x', 2), leaving_targets.Source.PEER)
    assert [each.id for each in registry.ready(SERVICE)] == ['x']
    registry.replace([target], {})
    registry.replace([_with_start_time(target, 2)], {})
    assert registry.ready(SERVICE) == []


def test_another_target_at_the_address_of_a_leaving_one_gets_work():
    registry = target_registry.TargetRegistry()
    target = sample_engine.target('x', address='10.0.0.1:80')
    registry.replace([target], {})
    registry.record_leaving(target.start, RESPONSE)
    other = sample_engine.target('y', address='10.0.0.1:80')
    registry.replace([other], {})
    assert [each.id for each in registry.ready(SERVICE)] == ['y']


def test_paths_avoid_a_target_as_soon_as_it_is_leaving():
    state = relay_rig.make_desired_state()
    layers = targets.LayerRange(0, 80)
    target = sample_engine.target('x', 'a100', 'a', layers)
    registry = target_registry.TargetRegistry()
    registry.replace([target], state.service_by_name)
    assert registry.graph(SERVICE).segments
    registry.record_leaving(target.start, RESPONSE)
    assert registry.graph(SERVICE).segments == ()


def test_replaced_start_is_dropped():
    leaving = leaving_targets.LeavingTargets()
    target = sample_engine.target('x')
    leaving.record(target.start, RESPONSE)
    leaving.prune({'x': target})
    assert leaving.tracked_count == 1
    leaving.prune({'x': _with_start_time(target, 2)})
    assert leaving.tracked_count == 0


def test_starts_without_an_entry_are_bounded():
    leaving = leaving_targets.LeavingTargets()
    here = sample_engine.target('here')
    leaving.record(here.start, RESPONSE)
    for number in range(leaving_targets.MAX_ABSENT_STARTS + 50):
        leaving.record(targets.Start(f'g{number}', 1), RESPONSE)
    leaving.prune({'here': here})
    assert leaving.tracked_count == leaving_targets.MAX_ABSENT_STARTS + 1
    assert leaving.with_leaving_flag(here).is_leaving
    newest = f'g{leaving_targets.MAX_ABSENT_STARTS + 49}'
    assert leaving.with_leaving_flag(sample_engine.target(newest)).is_leaving
    assert not leaving.with_leaving_flag(sample_engine.target('g0')).is_leaving


class _Mirror:
    def __init__(self):
        self.entry_by_key = {}
        self.is_settled = True
        self.position = stores.NOWHERE


class OutagesAndRestarts(stateful.RuleBasedStateMachine):
    """Targets leave, restart and lose entries during outages of the store.

    A start that has announced leaving is never ready afterwards, and every
    other start with an entry is ready.
    """

    IDS = ('x', 'y')

    def __init__(self):
        super().__init__()
        timer = timers.ManualTimers()
        self.registry = target_registry.TargetRegistry()
        in_force = request_handling.ConfigurationInForce()
        in_force.replace(relay_rig.make_desired_state())
        self.roster = target_roster.TargetRoster(
            self.registry,
            down_targets.DownTargets(timer, random.Random(1)),
            in_force,
            timer,
            lambda entry: entry,
        )
        self.mirror = _Mirror()
        self.roster.read_from(self.mirror)
        self.live_by_id = {each: sample_engine.target(each) for each in 'xy'}
        self.leaving_starts = set()
        self._write()

    def _write(self):
        self.mirror.entry_by_key = dict(self.live_by_id)
        self.roster.update()

    @stateful.rule(target_id=strategies.sampled_from(IDS))
    def answer(self, target_id):
        known = self.registry.target_by_id.get(target_id)
        if known is not None:
            self.registry.record_leaving(known.start, RESPONSE)
            self.leaving_starts.add(known.start)

    @stateful.rule(target_id=strategies.sampled_from(IDS))
    def start_anew(self, target_id):
        old = self.live_by_id[target_id]
        self.live_by_id[target_id] = _with_start_time(old, old.born_ms + 1)

    @stateful.rule()
    def write_entries(self):
        self.mirror.is_settled = True
        self._write()

    @stateful.rule()
    def take_copy_while_the_store_is_away(self):
        self.mirror.is_settled = False
        self._write()

    @stateful.rule(target_id=strategies.sampled_from(IDS))
    def entry_lapses(self, target_id):
        self.mirror.entry_by_key.pop(target_id, None)
        self.roster.update()

    @stateful.rule(target_id=strategies.sampled_from(IDS))
    def report_layers(self, target_id):
        known = self.registry.target_by_id.get(target_id)
        if known is not None:
            layers = targets.LayerRange(0, 8)
            self.roster.record_report(known._replace(layers=layers))

    @stateful.invariant()
    def leaving_starts_get_no_work(self):
        ready = self.registry.ready(SERVICE)
        assert not {each.start for each in ready} & self.leaving_starts

    @stateful.invariant()
    def other_starts_get_work(self):
        expected = {
            each.start
            for each in self.mirror.entry_by_key.values()
            if each.start not in self.leaving_starts
        }
        assert expected <= {
            each.start for each in self.registry.ready(SERVICE)
        }


TestOutagesAndRestarts = OutagesAndRestarts.TestCase
TestOutagesAndRestarts.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
