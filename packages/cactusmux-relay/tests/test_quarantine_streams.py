"""Streams whose prompt has a part under which targets end."""

from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import cost_model
from cactusmux_relay import live_streams
from cactusmux_relay import part_evidence
from cactusmux_relay import prompt_parts
from cactusmux_relay import quarantine
from cactusmux_relay import target_crashes
from cactusmux_relay import targets
import gevent
import pytest

HEAD = scripted_target.stream_head({'Signature': 'first'})
EVENTS = [scripted_target.event(number) for number in range(1, 7)]
BODY = b''.join(scripted_target.chunk(each) for each in EVENTS)
END = scripted_target.chunk(b'')
SLOW_WRITER_S = 5.0
# Long enough for evidence of peers, which is sent on within 0.1 s a hop.
MIN_DELAY_S = 0.4
AT_ONCE_S = 0.25


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


class _Target:
    """Ends, breaks off or serves; records when requests came."""

    def __init__(self, rig, *writes, ends=False):
        self._rig = rig
        self._writes = writes
        self._ends = ends
        self.times = []
        self._target = scripted_target.ScriptedTarget(self._script)
        self.address = self._target.address

    def _script(self, sock, _request):
        self.times.append(self._rig.timer.now())
        for data in self._writes:
            sock.sendall(data)
        if self._ends:
            self._target.stop()
        return False


def _ending(rig, *writes):
    return _Target(rig, *(writes or (HEAD,)), ends=True)


def _serving(rig):
    return _Target(rig, HEAD + BODY + END)


def _ask(rig, parts='', path='/stream/'):
    raw = relay_rig.request(path, shared_parts=parts)
    return rig.ask(raw)


def _keys(*parts):
    return tuple(
        prompt_parts.PartKey(relay_rig.sample_engine.SERVICE, each)
        for each in parts
    )


def _quarantine(rig, *parts):
    requester = prompt_parts.Requester('almaty', _keys(*parts))
    for number in range(part_evidence.MIN_CRASHES):
        start = targets.Start(f't{number}', 1)
        rig.quarantine.record_crash(requester, 'r0', start)


def _evidence(rig, part):
    (key,) = _keys(part)
    return rig.quarantine.evidence.crashes(key)


@pytest.mark.parametrize(
    'writes', [(HEAD,), (HEAD, scripted_target.chunk(EVENTS[0]))]
)
def test_request_that_ended_a_target_is_not_sent_on_at_once(rig, writes):
    first, second = _ending(rig, *writes), _serving(rig)
    rig.use_engines(first.address, second.address)
    received = _ask(rig, 'part')
    assert b'token 6' in received
    waited_s = second.times[0] - first.times[0]
    assert waited_s >= MIN_DELAY_S
    # It was served in the end, so the part is sound.
    assert not _evidence(rig, 'part')


def test_request_with_proven_parts_is_sent_on_at_once(rig):
    rig.quarantine.record_served(
        prompt_parts.Requester('almaty', _keys('part'))
    )
    first, second = _ending(rig), _serving(rig)
    rig.use_engines(first.address, second.address)
    _ask(rig, 'part')
    waited_s = second.times[0] - first.times[0]
    assert waited_s < AT_ONCE_S


def test_proven_part_of_a_request_that_waits_where_a_target_ends_is_sound(
    rig,
):
    """Others were served with the part: only the request is suspect."""
    rig.quarantine.record_served(
        prompt_parts.Requester('almaty', _keys('part'))
    )
    first, second = _Target(rig, ends=True), _serving(rig)
    rig.use_engines(first.address, second.address)
    _ask(rig, 'part')
    waited_s = second.times[0] - first.times[0]
    assert waited_s < AT_ONCE_S
    (crash,) = rig.quarantine.evidence.all_crashes
    (key,) = crash.organisation_by_key
    assert key.is_request


# Guards against a fatal part that no other request with it is judged by, as
# its targets end before the head of their answer.
def test_unknown_part_of_a_request_that_waits_where_a_target_ends_is_suspect(
    rig,
):
    first, second = _Target(rig, ends=True), _serving(rig)
    rig.use_engines(first.address, second.address)
    received = _ask(rig, 'part')
    assert b'token 6' in received
    waited_s = second.times[0] - first.times[0]
    assert waited_s >= MIN_DELAY_S
    (crash,) = rig.quarantine.evidence.all_crashes
    assert set(_keys('part')) < crash.organisation_by_key.keys()
    # It was served in the end, so the part is sound.
    assert not _evidence(rig, 'part')


def test_request_under_which_others_ended_is_not_sent_on(rig):
    requester = prompt_parts.Requester('almaty', _keys('part'))
    rig.quarantine.record_crash(requester, 'r0', targets.Start('t0', 1))
    first, second = _ending(rig), _serving(rig)
    rig.use_engines(first.address, second.address)
    received = _ask(rig, 'part')
    assert received.startswith(b'HTTP/1.1 502')
    assert not second.times


def test_broken_stream_of_a_target_that_lives_is_no_evidence(rig):
    first, second = _Target(rig, HEAD), _serving(rig)
    rig.use_engines(first.address, second.address)
    received = _ask(rig, 'part')
    assert b'token 6' in received
    assert rig.metric.counter_by_name['relay.target_ended_at_start'] == 0


def test_caller_that_disconnects_is_no_evidence(rig):
    """Else a caller could have the parts of others quarantined."""

    def script(sock, _request):
        sock.sendall(HEAD)
        gevent.sleep(SLOW_WRITER_S)
        return False

    target = scripted_target.ScriptedTarget(script)
    rig.use_engines(target.address)
    for _ in range(2 * part_evidence.MIN_CRASHES):
        sock = rig.connect()
        sock.sendall(relay_rig.request('/stream/', shared_parts='part'))
        gevent.sleep(0.02)
        sock.close()
    gevent.sleep(target_crashes.PROBE_WAIT_S)
    target.stop()
    assert not _evidence(rig, 'part')


def test_end_of_a_target_that_was_leaving_is_no_evidence(rig):
    first = _ending(rig)
    rig.use_engines(first.address)
    leaving = rig.book.target_by_id['e0']
    rig.book.target_by_id['e0'] = leaving._replace(is_leaving=True)
    _ask(rig, 'part')
    assert first.times
    assert not _evidence(rig, 'part')


def test_quarantined_request_is_refused_at_once_as_not_run(rig):
    target = _serving(rig)
    rig.use_engines(target.address)
    _quarantine(rig, 'part')
    begun_at = rig.timer.now()
    received = _ask(rig, 'other,part')
    assert received.startswith(b'HTTP/1.1 503')
    retry_after = f'retry-after: {quarantine.RETRY_AFTER_S}'
    assert retry_after.encode() in received.lower()
    assert rig.timer.now() - begun_at < AT_ONCE_S
    assert not target.times
    assert b'token 6' in _ask(rig, 'other')


def test_quarantined_request_that_was_sent_before_may_have_run(rig):
    first, second = _ending(rig), _serving(rig)
    rig.use_engines(first.address, second.address)
    waiting = gevent.spawn(_ask, rig, 'part')
    gevent.sleep(0.5 * MIN_DELAY_S)
    _quarantine(rig, 'part')
    received = waiting.get(timeout=2.0)
    assert received.startswith(b'HTTP/1.1 502')
    assert not second.times


def test_queued_request_is_taken_back_when_its_part_is_quarantined(rig):
    """Else its target ends, too, as soon as it begins to write."""
    closed_at = []

    def script(sock, _request):
        sock.recv(1)
        closed_at.append(rig.timer.now())
        return False

    target = scripted_target.ScriptedTarget(script)
    rig.use_engines(target.address)
    queued = gevent.spawn(_ask, rig, 'part')
    gevent.sleep(0.1)
    quarantined_at = rig.timer.now()
    _quarantine(rig, 'part')
    received = queued.get(timeout=2.0)
    assert received.startswith(b'HTTP/1.1 502')
    assert closed_at[0] - quarantined_at < AT_ONCE_S
    assert not rig.failing.ids()


class _Call:
    """Records whether it was aborted."""

    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True


@pytest.mark.parametrize('has_begun', [False, True])
def test_response_that_has_just_begun_is_not_taken_back(rig, has_begun):
    timer = timers.ManualTimers()
    crashes = target_crashes.TargetCrashes(
        rig.quarantine, rig.down, rig.book, timer
    )
    stage = cost_model.Stage(
        relay_rig.sample_engine.target('t'), targets.NO_LAYERS
    )
    live = live_streams.LiveStream((stage,), 40.0, timer.now())
    live.call = _Call()
    requester = prompt_parts.Requester('almaty', _keys('part'))
    crashes.begin(requester, 'r1', live)
    _quarantine(rig, 'part')
    if has_begun:
        live.response_at = timer.now()
    timer.advance(0.0)
    assert live.call.is_aborted is not has_begun


def test_part_that_is_served_to_its_end_is_cleared(rig):
    requester = prompt_parts.Requester('almaty', _keys('part'))
    rig.quarantine.record_crash(requester, 'r0', targets.Start('t0', 1))
    rig.use_engines(_serving(rig).address)
    assert b'token 6' in _ask(rig, 'part')
    assert not _evidence(rig, 'part')
