"""Plain requests under which targets end, over sockets."""

import time

from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import quarantine
from cactusmux_relay import target_crashes
import gevent
import pytest

SIGNED = {'Signature': 's'}
FAILED = scripted_target.answer(b'failed', 500, SIGNED)
DONE = scripted_target.answer(b'done', 200, SIGNED)


class _Target:
    """Ends, resets or answers, by the path of the request."""

    def __init__(self):
        self.target = scripted_target.ScriptedTarget(self._script)
        self.sleep_s = 0.0
        self.is_ending = False

    def _script(self, sock, request):
        gevent.sleep(self.sleep_s)
        if request.path.endswith('fatal') or self.is_ending:
            self.target.stop()
            return False
        if request.path.endswith('reset'):
            return False
        if request.path.endswith('mixed'):
            return self._fail_or_end(sock)
        sock.sendall(DONE)
        return False

    def _fail_or_end(self, sock):
        """Fails at the first request and ends at the second one."""
        if self.paths.count('/unsafe/mixed') > 1:
            self.target.stop()
            return False
        sock.sendall(FAILED)
        return False

    @property
    def paths(self):
        return [each.path for each in self.target.received]


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _use(rig, count):
    found = [_Target() for _ in range(count)]
    rig.use_plain(*(each.target.address for each in found))
    return found


def _ask(rig, path, **options):
    """Returns the status and how long it took, in seconds."""
    begun_at = time.monotonic()
    received = rig.ask(relay_rig.request(path, **options))
    return int(received.split()[1]), time.monotonic() - begun_at, received


def _sends(found, path):
    return sum(each.paths.count(path) for each in found)


def test_request_that_ended_a_target_is_not_repeated_at_once(rig):
    found = _use(rig, 4)
    status, seconds, _ = _ask(rig, '/safe/fatal')
    assert status == 502
    assert _sends(found, '/safe/fatal') == 2
    assert seconds >= quarantine.REPEAT_DELAY_S


def test_fatal_request_is_refused_at_once_as_not_run(rig):
    found = _use(rig, 8)
    statuses = [_ask(rig, '/safe/fatal')[0] for _ in range(4)]
    assert _sends(found, '/safe/fatal') == 3
    assert statuses[-1] == 503
    status, seconds, received = _ask(rig, '/safe/fatal')
    assert status == 503
    assert seconds < 0.25
    assert b'retry-after: 60' in received.lower()
    assert _sends(found, '/safe/fatal') == 3
    assert _ask(rig, '/safe/other')[0] == 200


def test_request_that_may_not_be_repeated_is_quarantined_too(rig):
    found = _use(rig, 6)
    statuses = [_ask(rig, '/unsafe/fatal')[0] for _ in range(5)]
    assert statuses == [502, 502, 502, 503, 503]
    assert _sends(found, '/unsafe/fatal') == 3


def test_broken_answer_of_a_target_that_lives_is_no_evidence(rig):
    found = _use(rig, 2)
    times_s = []
    for _ in range(4):
        status, seconds, _ = _ask(rig, '/safe/reset')
        assert status == 502
        assert seconds < quarantine.REPEAT_DELAY_S / 2
        times_s.append(seconds)
    assert min(times_s) < target_crashes.PROBE_WAIT_S
    assert _sends(found, '/safe/reset') == 8
    assert not rig.quarantine.evidence.all_crashes


def test_request_that_targets_fail_before_they_end_is_not_cleared(rig):
    found = _use(rig, 4)
    statuses = []
    while statuses[-1:] != [503] and len(statuses) < 12:
        statuses.append(_ask(rig, '/unsafe/mixed')[0])
    ended = [each for each in found if each.paths.count('/unsafe/mixed') > 1]
    assert len(ended) == 3
    assert set(statuses[:-1]) == {500, 502}


def test_sound_request_beside_a_fatal_one_is_served_and_cleared(rig):
    found = _use(rig, 2)
    for each in found:
        each.sleep_s = 0.1
    sound = [gevent.spawn(_ask, rig, '/safe/sound') for _ in range(2)]
    gevent.sleep(0.02)
    fatal = gevent.spawn(_ask, rig, '/unsafe/fatal')
    gevent.joinall([*sound, fatal], timeout=5.0)
    assert [each.value[0] for each in sound] == [200, 200]
    assert fatal.value[0] == 502
    keys = rig.quarantine.evidence.quarantined
    assert not keys


def test_request_that_was_served_a_moment_ago_is_repeated_at_once(rig):
    found = _use(rig, 2)
    assert _ask(rig, '/safe/sound')[0] == 200
    for each in found:
        each.is_ending = True
    status, seconds, _ = _ask(rig, '/safe/sound')
    assert status == 502
    assert seconds < quarantine.REPEAT_DELAY_S
    assert _sends(found, '/safe/sound') == 3


def test_callers_with_many_requests_fill_no_memory(rig):
    _use(rig, 1)
    for number in range(50):
        _ask(rig, f'/safe/{number}')
    assert not rig.quarantine.evidence.all_crashes
    assert not rig.quarantine.evidence.quarantined
