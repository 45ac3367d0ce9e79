"""Streams and plain requests over sockets, before limited targets."""

from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
import gevent
import pytest

LIMITED = {'Signature': 's', 'Rate-Limit': '0.5'}
UNLIMITED = {'Signature': 's'}
EVENTS = b''.join(
    scripted_target.chunk(scripted_target.event(number))
    for number in range(1, 4)
)
END = scripted_target.chunk(b'')
REQUESTS = 12
PERIOD_S = 0.05
# Credit that a limit leaves unused, and what it allows during the requests.
MAX_LIMITED = 4


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _target(response):
    def script(sock, _request):
        sock.sendall(response)
        return False

    return scripted_target.ScriptedTarget(script)


def _stream(headers):
    return scripted_target.stream_head(headers) + EVENTS + END


def _ask_all(rig, path):
    """Returns the statuses and the heads of the responses."""
    received = []
    for _ in range(REQUESTS):
        received.append(rig.ask(relay_rig.request(path, prompt='40')))
        gevent.sleep(PERIOD_S)
    return [int(each.split()[1]) for each in received], received


def test_other_targets_take_over_the_streams_of_a_limited_one(rig):
    limited = _target(_stream(LIMITED))
    other = _target(_stream(UNLIMITED))
    rig.use_engines(limited.address, other.address)
    statuses, _ = _ask_all(rig, '/stream/')
    assert statuses == [200] * REQUESTS
    assert 1 <= len(limited.received) <= MAX_LIMITED


@pytest.mark.parametrize('path', ['/stream/', '/unsafe/'])
def test_requests_beyond_all_limits_are_refused_as_not_run(rig, path):
    stream = _stream(LIMITED)
    plain = scripted_target.answer(b'done', 200, LIMITED)
    target = _target(stream if path == '/stream/' else plain)
    if path == '/stream/':
        rig.use_engines(target.address)
    else:
        rig.use_plain(target.address)
    statuses, received = _ask_all(rig, path)
    assert statuses.count(200) == len(target.received) <= MAX_LIMITED
    assert statuses.count(503) == REQUESTS - len(target.received)
    refusals = [each for each in received if b' 503 ' in each]
    assert all(b'retry-after: ' in each.lower() for each in refusals)
    refused = rig.metric.counter_by_name['relay.refused.rate_limited']
    assert refused == statuses.count(503)


def test_rejected_requests_count_towards_the_limit(rig):
    rejection = {'Not-Run': '1', **LIMITED}
    full = _target(scripted_target.answer(b'', 503, rejection))
    other = _target(scripted_target.answer(b'done', 200, UNLIMITED))
    rig.use_plain(full.address, other.address)
    statuses, _ = _ask_all(rig, '/safe/')
    assert statuses == [200] * REQUESTS
    assert len(full.received) <= MAX_LIMITED
