"""Each request to an instance has a line that tells its end, with its id."""

from cactusmux_fakes import plain_dialect
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import dialect
import gevent
import pytest

HEAD = scripted_target.stream_head({'Signature': 'first'})
LAST_CHUNK = b'0\r\n\r\n'
EVENT = scripted_target.chunk(scripted_target.event(1))
ENDS = (
    'stream_served',
    'plain_served',
    'failure_passed_on',
    'request_refused',
    'request_ended',
)


@pytest.fixture(name='rig')
def _rig(caplog):
    rig = relay_rig.RelayRig()
    with caplog.at_level('INFO', logger='absl'):
        yield rig
    rig.server.stop()


def _use_engine(rig, *writes, then_s=0.0):
    """Sets a target that sends these bytes and then closes."""

    def script(sock, _request):
        for data in writes:
            sock.sendall(data)
        gevent.sleep(then_s)
        return False

    rig.use_engines(scripted_target.ScriptedTarget(script).address)


def _await_ends(rig, caplog):
    """Returns the lines about the end of the request with the id ``r1``."""
    with gevent.Timeout(5.0):
        while rig.server.busy_count:
            gevent.sleep(0.01)
    lines = [each.getMessage() for each in caplog.records]
    return [
        each
        for each in lines
        if each.split()[0].removeprefix('event=') in ENDS
        and each.split()[1] == 'id=r1'
    ]


def test_served_stream_has_one_line(rig, caplog):
    _use_engine(rig, HEAD, EVENT, LAST_CHUNK)
    rig.ask(relay_rig.request('/stream/'))
    (line,) = _await_ends(rig, caplog)
    assert line.startswith('event=stream_served')


# Guards against a stream that is cut for its caller without a line of the
# connection, while the lines of its attempts may be left out of the log.
def test_stream_that_breaks_midway_has_a_line_of_its_end(rig, caplog):
    _use_engine(rig, HEAD, EVENT)
    rig.ask(relay_rig.request('/once/'))
    refused, ended = _await_ends(rig, caplog)
    assert 'reason=target_failed has_run=True status=0' in refused
    assert ended.startswith('event=request_ended id=r1 cause=aborted')
    assert 'response_status=200' in ended
    assert rig.metric.counter_by_name['relay.ended.aborted'] == 1


def test_stream_whose_caller_leaves_has_one_line(rig, caplog):
    _use_engine(rig, HEAD, EVENT, then_s=5.0)
    with rig.connect() as sock:
        sock.sendall(relay_rig.request('/once/'))
        assert sock.recv(1000)
    with gevent.Timeout(5.0):
        while not _await_ends(rig, caplog):
            gevent.sleep(0.01)
    (line,) = _await_ends(rig, caplog)
    assert 'cause=caller_disconnected' in line
    assert 'response_status=200' in line


@pytest.mark.parametrize(
    'path, headers, reason',
    [
        ('/nowhere/', {}, 'no_route'),
        ('/stream/', {'key': 'other'}, 'unknown_key'),
        ('/safe/', {}, 'no_target'),
    ],
)
def test_refused_request_has_one_line(rig, caplog, path, headers, reason):
    rig.ask(relay_rig.request(path, **headers))
    (line,) = _await_ends(rig, caplog)
    assert f'event=request_refused id=r1 reason={reason}' in line


# Guards against a refusal of a malformed header that names no request.
def test_malformed_request_is_refused_with_its_id(rig, caplog, monkeypatch):
    def fail(_dialect, _request):
        raise dialect.MalformedRequest('wait-s', 'soon')

    monkeypatch.setattr(plain_dialect.PlainDialect, 'request_facts', fail)
    assert rig.ask(relay_rig.request('/safe/')).startswith(b'HTTP/1.1 400 ')
    (line,) = _await_ends(rig, caplog)
    assert 'event=request_refused id=r1 reason=malformed' in line


# Guards against a failure beside a target that looks like the caller's end.
def test_failure_of_a_target_connection_is_a_500_with_the_id(
    rig, caplog, monkeypatch
):
    def fail(*_args):
        raise ConnectionResetError('beside a target')

    _use_engine(rig, HEAD, EVENT, LAST_CHUNK)
    monkeypatch.setattr(plain_dialect.PlainDialect, 'response_facts', fail)
    received = rig.ask(relay_rig.request('/once/'))
    assert received.startswith(b'HTTP/1.1 500 ')
    (line,) = _await_ends(rig, caplog)
    assert 'cause=handler_failed' in line
    assert 'beside a target' in line
