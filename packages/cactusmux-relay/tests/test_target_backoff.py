"""Tests for targets that reject requests with a Retry-After header."""

from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import path_finder
import pytest

HEAD = scripted_target.stream_head({'Signature': 'first'})
EVENT = scripted_target.chunk(scripted_target.event(1))
WHOLE = HEAD + EVENT + scripted_target.chunk(b'')
DONE = scripted_target.answer(b'done', 200, {'Signature': 's'})
PATHS = ['/safe/', '/unsafe/', '/stream/', '/once/']
PLAIN_PATHS = PATHS[:2]
STREAM_PATHS = PATHS[2:]


@pytest.fixture(name='rig')
def _rig(monkeypatch):
    # Otherwise a full target would be left out for a while anyway.
    monkeypatch.setattr(path_finder, 'REJECTION_EXCLUSION_S', 0.0)
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _target(*writes):
    """Returns a target that sends the responses in turn.

    The last response is repeated.
    """
    left = list(writes)

    def script(sock, _request):
        sock.sendall(left.pop(0) if len(left) > 1 else left[0])
        return False

    return scripted_target.ScriptedTarget(script)


def _rejection(seconds, **headers):
    fields = {'Not-Run': '1', 'Retry-After': str(seconds)}
    for name, value in headers.items():
        fields[name.replace('_', '-').title()] = value
    return scripted_target.answer(b'', 503, fields)


def _use(rig, path, *found, **changes):
    addresses = [each.address for each in found]
    use = rig.use_plain if path in PLAIN_PATHS else rig.use_engines
    use(*addresses, **changes)


def _ask(rig, path):
    """Returns the status and the Retry-After in seconds, or ``None``."""
    received = rig.ask(relay_rig.request(path)).decode()
    head = received.partition('\r\n\r\n')[0].lower().split('\r\n')
    fields = dict(line.split(': ', 1) for line in head[1:])
    after = fields.get('retry-after')
    return int(head[0].split()[1]), None if after is None else float(after)


def _success(path):
    return DONE if path in PLAIN_PATHS else WHOLE


@pytest.mark.parametrize('path', PATHS)
def test_target_that_rejected_gets_no_more_requests(rig, path):
    rejecting = _target(_rejection(30))
    other = _target(_success(path))
    _use(rig, path, rejecting, other)
    for _ in range(12):
        assert _ask(rig, path)[0] == 200
    assert len(rejecting.received) <= 1
    assert len(other.received) == 12


@pytest.mark.parametrize('path', PATHS)
def test_target_that_rejected_without_the_header_is_retried(rig, path):
    full = scripted_target.answer(b'', 503, {'Not-Run': '1'})
    target = _target(full, _success(path))
    _use(rig, path, target)
    status = 0
    for _ in range(100):
        status = _ask(rig, path)[0]
        if status == 200:
            break
    assert status == 200


@pytest.mark.parametrize('path', PATHS)
def test_request_is_refused_at_once_while_all_targets_back_off(rig, path):
    rejecting = [_target(_rejection(40)), _target(_rejection(30))]
    _use(rig, path, *rejecting)
    for _ in range(6):
        status, retry_after_s = _ask(rig, path)
        assert status == 503
        assert 20 < retry_after_s < 32
    assert [len(each.received) for each in rejecting] == [1, 1]


@pytest.mark.parametrize('path', PATHS)
def test_target_is_retried_after_its_backoff(rig, path):
    target = _target(_rejection(0.1), _success(path))
    _use(rig, path, target)
    statuses = []
    while 200 not in statuses and len(statuses) < 1000:
        statuses.append(_ask(rig, path)[0])
    assert statuses[-1] == 200
    assert len(target.received) == 2


@pytest.mark.parametrize('path', PLAIN_PATHS)
def test_restarted_target_is_retried_at_once(rig, path):
    target = _target(_rejection(30), _success(path))
    _use(rig, path, target)
    assert _ask(rig, path)[0] == 503
    assert _ask(rig, path)[0] == 503
    _use(rig, path, target, born_ms=2)
    assert _ask(rig, path)[0] == 200
    assert len(target.received) == 2


@pytest.mark.parametrize('path', STREAM_PATHS)
def test_target_named_as_the_cause_backs_off(rig, path):
    named = _target(_success(path))
    rejecting = _target(_rejection(30, at_fault=named.address))
    _use(rig, path, rejecting, named)
    for _ in range(4):
        assert _ask(rig, path)[0] == 503
    assert len(rejecting.received) == 1
    assert named.received == []


def test_resumed_stream_avoids_a_target_in_backoff(rig):
    chunks = [
        scripted_target.chunk(scripted_target.event(number))
        for number in range(1, 4)
    ]
    end = scripted_target.chunk(b'')

    def breaks_once(sock, request):
        if 'last-event' in request.value_by_header:
            sock.sendall(HEAD + b''.join(chunks[1:]) + end)
        else:
            sock.sendall(HEAD + chunks[0])
        return False

    rejecting = _target(_rejection(30))
    others = [scripted_target.ScriptedTarget(breaks_once) for _ in range(2)]
    rig.use_engines(rejecting.address, *(each.address for each in others))
    received = rig.ask(relay_rig.request('/stream/'))
    assert received.endswith(b'0\r\n\r\n')
    assert len(rejecting.received) == 1
    assert [len(each.received) for each in others] == [1, 1]


def test_503_of_a_request_that_may_have_run_starts_a_backoff(rig):
    rejecting = _target(
        scripted_target.answer(
            b'', 503, {'Signature': 's', 'Retry-After': '30'}
        )
    )
    other = _target(DONE)
    rig.use_plain(rejecting.address, other.address)
    for _ in range(8):
        _ask(rig, '/safe/')
    assert len(rejecting.received) <= 1
