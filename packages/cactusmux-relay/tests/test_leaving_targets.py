"""Targets that say with an answer that they leave, whatever entries say."""

import random

from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
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

ANSWER = leaving_targets.Source.ANSWER
SERVICE = sample_engine.SERVICE
SAID = {'Signature': 's', 'Leaving': '1'}
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
    """A target that gives its answers in turn, the last one for ever."""
    left = list(writes)

    def script(sock, _request):
        sock.sendall(left.pop(0) if len(left) > 1 else left[0])
        return False

    return scripted_target.ScriptedTarget(script)


def _stream(said):
    return scripted_target.stream_head(said) + EVENTS + END


def _status(received):
    return int(received.split()[1])


def _born(target, born_ms):
    return target._replace(born_ms=born_ms)


@pytest.mark.parametrize(
    'answer',
    [
        scripted_target.answer(b'done', 200, SAID),
        scripted_target.answer(b'', 500, SAID),
        scripted_target.answer(b'', 503, NOT_RUN),
        scripted_target.answer(b'', 429, NOT_RUN),
        scripted_target.answer(b'', 421, SAID),
        scripted_target.answer(b'', 503, SAID),
        scripted_target.answer(b'unsigned', 200, {'Leaving': '1'}),
    ],
)
@pytest.mark.parametrize('path', ['/safe/', '/unsafe/'])
def test_plain_target_that_said_so_gets_no_further_request(rig, answer, path):
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
        _stream(SAID),
        # It breaks off and is resumed at once.
        scripted_target.stream_head(SAID),
        scripted_target.answer(b'', 503, NOT_RUN),
        scripted_target.answer(b'', 421, SAID),
    ],
)
def test_first_target_of_a_path_that_said_so_gets_no_further_request(
    rig, answer
):
    leaving = _target(answer)
    staying = _target(_stream(SIGNED))
    # The first one is the fastest.
    rig.use_engines(leaving.address, staying.address)
    for _ in range(6):
        assert _status(rig.ask(relay_rig.request('/stream/'))) == 200
    assert len(leaving.received) == 1


def test_answer_to_another_request_does_not_count(rig):
    strange = scripted_target.answer(b'x', 200, {**SAID, 'Request-Id': 'z'})
    target = _target(strange, scripted_target.answer(b'done', 200, SIGNED))
    rig.use_plain(target.address)
    assert _status(rig.ask(relay_rig.request('/unsafe/'))) == 502
    assert _status(rig.ask(relay_rig.request('/unsafe/'))) == 200


def test_request_that_no_target_ran_is_refused_at_once_when_all_leave(rig):
    leaving = _target(scripted_target.answer(b'', 503, NOT_RUN))
    rig.use_plain(leaving.address)
    for _ in range(3):
        received = rig.ask(relay_rig.request('/unsafe/'))
        assert _status(received) == 503
        assert b'retry-after' in received.lower()
    assert len(leaving.received) == 1
    assert rig.metric.counter_by_name['relay.refused.no_target'] == 3


def test_stream_is_refused_at_once_when_all_targets_leave(rig):
    leaving = _target(scripted_target.answer(b'', 503, NOT_RUN))
    rig.use_engines(leaving.address)
    for _ in range(3):
        received = rig.ask(relay_rig.request('/stream/', prompt_id='p:1'))
        assert _status(received) == 503
        assert b'retry-after' in received.lower()
    assert len(leaving.received) == 1
    assert rig.metric.counter_by_name['relay.refused.no_target'] == 3


def test_stream_under_way_at_a_leaving_target_goes_on(rig):
    begun = gevent.event.Event()

    def script(sock, _request):
        sock.sendall(scripted_target.stream_head(SAID) + EVENTS[:1])
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


def test_only_a_newer_start_ends_it():
    book = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    book.replace([target], {})
    book.note_leaving(target.start, ANSWER)
    assert book.ready(SERVICE) == []
    assert book.has_only_leaving(SERVICE)
    assert book.target_by_id['x'].is_leaving
    book.replace([target], {})
    assert book.ready(SERVICE) == []
    # Its entry lapses and returns.
    book.replace([], {})
    assert not book.has_only_leaving(SERVICE)
    book.replace([target], {})
    assert book.ready(SERVICE) == []
    book.replace([_born(target, 2)], {})
    assert [each.id for each in book.ready(SERVICE)] == ['x']
    assert book.leaving() == []


def test_word_of_an_older_start_does_not_touch_the_newer():
    book = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    book.replace([_born(target, 2)], {})
    book.note_leaving(target.start, ANSWER)
    assert [each.id for each in book.ready(SERVICE)] == ['x']


def test_word_of_a_start_whose_entry_has_not_come_yet_is_kept():
    book = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    book.replace([target], {})
    book.note_leaving(targets.Start('x', 2), leaving_targets.Source.PEER)
    assert [each.id for each in book.ready(SERVICE)] == ['x']
    book.replace([target], {})
    book.replace([_born(target, 2)], {})
    assert book.ready(SERVICE) == []


def test_another_target_at_the_address_of_a_leaving_one_gets_work():
    book = target_registry.TargetRegistry()
    target = sample_engine.target('x', address='10.0.0.1:80')
    book.replace([target], {})
    book.note_leaving(target.start, ANSWER)
    other = sample_engine.target('y', address='10.0.0.1:80')
    book.replace([other], {})
    assert [each.id for each in book.ready(SERVICE)] == ['y']


def test_paths_avoid_a_target_from_the_moment_it_said_so():
    state = relay_rig.make_desired_state()
    layers = targets.LayerRange(0, 80)
    target = sample_engine.target('x', 'a100', 'a', layers)
    book = target_registry.TargetRegistry()
    book.replace([target], state.service_by_name)
    assert book.graph(SERVICE).segments
    book.note_leaving(target.start, ANSWER)
    assert book.graph(SERVICE).segments == ()


def test_start_that_a_newer_one_has_replaced_is_forgotten():
    leaving = leaving_targets.LeavingTargets()
    target = sample_engine.target('x')
    leaving.note(target.start, ANSWER)
    leaving.forget({'x': target})
    assert leaving.known_count == 1
    leaving.forget({'x': _born(target, 2)})
    assert leaving.known_count == 0


def test_what_is_remembered_of_targets_that_are_gone_is_bounded():
    leaving = leaving_targets.LeavingTargets()
    here = sample_engine.target('here')
    leaving.note(here.start, ANSWER)
    for number in range(leaving_targets.MAX_GONE + 50):
        leaving.note(targets.Start(f'g{number}', 1), ANSWER)
    leaving.forget({'here': here})
    assert leaving.known_count == leaving_targets.MAX_GONE + 1
    assert leaving.marked(here).is_leaving
    newest = f'g{leaving_targets.MAX_GONE + 49}'
    assert leaving.marked(sample_engine.target(newest)).is_leaving
    assert not leaving.marked(sample_engine.target('g0')).is_leaving


class _Mirror:
    def __init__(self):
        self.entry_by_key = {}
        self.is_settled = True


class OutagesAndRebirths(stateful.RuleBasedStateMachine):
    """Targets leave, end, lapse and start anew while the store comes and goes.

    No start that has said that it leaves is ready after that, and once the
    store is settled every other one of its entries is.
    """

    IDS = ('x', 'y')

    def __init__(self):
        super().__init__()
        timer = timers.ManualTimers()
        self.book = target_registry.TargetRegistry()
        in_force = request_handling.ConfigurationInForce()
        in_force.replace(relay_rig.make_desired_state())
        self.roster = target_roster.TargetRoster(
            self.book,
            down_targets.DownTargets(timer, random.Random(1)),
            in_force,
            timer,
            lambda entry: entry,
        )
        self.mirror = _Mirror()
        self.roster.follow(self.mirror)
        self.live_by_id = {each: sample_engine.target(each) for each in 'xy'}
        self.said = set()
        self._write()

    def _write(self):
        self.mirror.entry_by_key = dict(self.live_by_id)
        self.roster.update()

    @stateful.rule(target_id=strategies.sampled_from(IDS))
    def answer(self, target_id):
        known = self.book.target_by_id.get(target_id)
        if known is not None:
            self.book.note_leaving(known.start, ANSWER)
            self.said.add(known.start)

    @stateful.rule(target_id=strategies.sampled_from(IDS))
    def start_anew(self, target_id):
        old = self.live_by_id[target_id]
        self.live_by_id[target_id] = _born(old, old.born_ms + 1)

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
        known = self.book.target_by_id.get(target_id)
        if known is not None:
            layers = targets.LayerRange(0, 8)
            self.roster.note_report(known._replace(layers=layers))

    @stateful.invariant()
    def what_said_so_gets_no_work(self):
        ready = self.book.ready(SERVICE)
        assert not {each.start for each in ready} & self.said

    @stateful.invariant()
    def what_did_not_say_so_does(self):
        expected = {
            each.start
            for each in self.mirror.entry_by_key.values()
            if each.start not in self.said
        }
        assert expected <= {each.start for each in self.book.ready(SERVICE)}


TestOutagesAndRebirths = OutagesAndRebirths.TestCase
TestOutagesAndRebirths.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
