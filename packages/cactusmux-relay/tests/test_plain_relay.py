from cactusmux_base import client_sockets
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import desired_state
import gevent
import pytest

SIGNED = {'Signature': 's'}


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _target(*writes):
    """Returns a target that sends the writes in turn and repeats the last."""
    left = list(writes)

    def script(sock, _request):
        sock.sendall(left.pop(0) if len(left) > 1 else left[0])
        return False

    return scripted_target.ScriptedTarget(script)


def _ok(body=b'done', **headers):
    return scripted_target.answer(body, 200, {**SIGNED, **headers})


def _status(received):
    return int(received.split()[1])


def test_request_and_response_are_passed_unchanged(rig):
    target = _target(_ok(b'bytes', X_Other='1'))
    rig.use_plain(target.address)
    received = rig.ask(
        relay_rig.request('/safe/a?b=c', content_length='3') + b'abc'
    )
    assert received.endswith(b'\r\n\r\nbytes')
    request = target.received[0]
    assert (request.method, request.path) == ('POST', '/safe/a?b=c')
    assert request.body == b'abc'
    assert request.value_by_header['expected'] == 'p0'
    assert request.value_by_header['organisation'] == 'almaty'
    assert 'key' not in request.value_by_header


def test_unsafe_request_is_sent_once_and_its_loss_is_a_502(rig):
    broken = _target(b'')
    other = _target(_ok())
    rig.use_plain(broken.address, other.address)
    statuses = set()
    for _ in range(4):
        received = rig.ask(relay_rig.request('/unsafe/'))
        statuses.add(_status(received))
    assert statuses <= {200, 502}
    assert len(broken.received) + len(other.received) == 4


def test_unsafe_request_that_was_not_run_is_sent_to_another_target(rig):
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    other = _target(_ok())
    rig.use_plain(full.address, other.address)
    for _ in range(4):
        assert _status(rig.ask(relay_rig.request('/unsafe/'))) == 200
    assert len(other.received) == 4


def test_503_of_a_target_that_may_have_run_it_is_not_passed_on(rig):
    target = _target(scripted_target.answer(b'', 503, SIGNED))
    rig.use_plain(target.address)
    assert _status(rig.ask(relay_rig.request('/unsafe/'))) == 502


def test_safe_request_is_retried_after_a_failure(rig):
    failing = _target(scripted_target.answer(b'', 500, SIGNED))
    other = _target(_ok())
    rig.use_plain(failing.address, other.address)
    for _ in range(4):
        assert _status(rig.ask(relay_rig.request('/safe/'))) == 200


def _target_that_closes_kept_connections():
    """Answers once on each connection, which it closes when reused."""
    used = set()

    def script(sock, _request):
        if sock in used:
            return False
        used.add(sock)
        sock.sendall(_ok())
        return True

    return scripted_target.ScriptedTarget(script)


def test_closed_kept_connections_do_not_use_up_all_attempts(rig):
    found = [_target_that_closes_kept_connections() for _ in range(2)]
    for target in found:
        rig.use_plain(target.address)
        assert _status(rig.ask(relay_rig.request('/safe/'))) == 200
    rig.use_plain(*[each.address for each in found])
    assert _status(rig.ask(relay_rig.request('/safe/'))) == 200
    assert [len(each.received) for each in found] == [2, 2]


def test_stream_route_of_a_service_without_an_engine_is_served(rig):
    state = relay_rig.make_desired_state(version=2)
    kind = desired_state.RequestKind.STREAM
    moved = relay_rig.route('/stream/', kind, relay_rig.PLAIN_SERVICE, True)
    rig.in_force.replace(state._replace(routes=(moved,)))
    target = _target(_ok(b'events'))
    rig.use_plain(target.address)
    received = rig.ask(relay_rig.request('/stream/'))
    assert _status(received) == 200
    assert received.endswith(b'events')
    assert len(target.received) == 1


def test_failure_of_the_last_target_is_passed_on_with_its_signature(rig):
    failing = _target(scripted_target.answer(b'sorry', 500, SIGNED))
    rig.use_plain(failing.address)
    received = rig.ask(relay_rig.request('/safe/'))
    assert _status(received) == 500
    assert b'signature: s' in received.lower()
    assert received.endswith(b'sorry')


@pytest.mark.parametrize(
    'answer',
    [
        scripted_target.answer(
            b'x', 200, {'Signature': 's', 'Request-Id': 'z'}
        ),
        scripted_target.answer(b'x', 200),
        scripted_target.answer(
            b'x', 200, {'Signature': 's', 'Content-Encoding': 'gzip'}
        ),
        b'not an answer\r\n\r\n',
    ],
)
def test_invalid_response_is_not_passed_on(rig, answer):
    target = _target(answer)
    rig.use_plain(target.address)
    received = rig.ask(relay_rig.request('/unsafe/'))
    assert _status(received) == 502


def test_request_without_a_target_is_refused_as_not_run(rig):
    rig.use_plain()
    received = rig.ask(relay_rig.request('/unsafe/'))
    assert _status(received) == 503
    assert b'retry-after' in received.lower()


def test_request_fails_at_the_timeout_of_its_route(rig):
    def script(_sock, _request):
        gevent.sleep(30.0)
        return False

    target = scripted_target.ScriptedTarget(script)
    rig.use_plain(target.address)
    received = rig.ask(relay_rig.request('/brief/'))
    assert _status(received) == 504


@pytest.mark.parametrize(
    'raw, status',
    [
        (relay_rig.request('/nowhere/'), 404),
        (relay_rig.request('/safe/', key='unknown'), 401),
        (relay_rig.request('/safe/', key=''), 401),
    ],
)
def test_request_that_the_desired_state_does_not_allow_is_refused(
    rig, raw, status
):
    target = _target(_ok())
    rig.use_plain(target.address)
    assert _status(rig.ask(raw)) == status
    assert target.received == []


def test_stopping_instance_refuses_new_work_as_not_run(rig):
    target = _target(_ok())
    rig.use_plain(target.address)
    rig.most_work_s = 1.0
    received = rig.ask(relay_rig.request('/unsafe/'))
    assert _status(received) == 503
    assert b'retry-after' in received.lower()
    assert target.received == []
    assert _status(rig.ask(relay_rig.request('/brief/'))) == 200


def test_requests_without_a_desired_state_are_refused_with_503(rig):
    rig.in_force.state = None
    assert _status(rig.ask(relay_rig.request('/safe/'))) == 503


def test_large_body_is_passed_unchanged(rig):
    target = _target(_ok())
    rig.use_plain(target.address)
    body = bytes(range(256)) * 16384
    raw = relay_rig.request('/safe/', content_length=str(len(body)))
    assert _status(rig.ask(raw + body)) == 200
    assert target.received[0].body == body


def test_request_just_after_a_start_waits_for_the_desired_state(rig):
    target = _target(_ok())
    rig.use_plain(target.address)
    state = rig.in_force.state
    rig.in_force.state = None
    gevent.spawn_later(0.05, setattr, rig.in_force, 'state', state)
    assert _status(rig.ask(relay_rig.request('/safe/'))) == 200


def _slow(seconds):
    def script(sock, _request):
        gevent.sleep(seconds)
        sock.sendall(_ok())
        return False

    return scripted_target.ScriptedTarget(script)


def test_only_target_is_waited_for_beyond_half_of_the_time(rig):
    rig.use_plain(_slow(2.8).address)
    assert _status(rig.ask(relay_rig.request('/safe/'))) == 200


def test_slow_target_is_waited_for_without_retries_left(rig):
    rig.budget.has_left = lambda service: False
    rig.use_plain(_slow(2.8).address, _slow(2.8).address)
    assert _status(rig.ask(relay_rig.request('/safe/'))) == 200


class _LateSocket:
    def __init__(self, family, kind):
        pass

    def settimeout(self, seconds):
        pass

    def connect(self, address):
        raise TimeoutError

    def close(self):
        pass


def test_full_local_link_does_not_eject_targets(rig, monkeypatch):
    """A connection that times out isn't certainly the target's failure."""
    monkeypatch.setattr(client_sockets, 'ClientSocket', _LateSocket)
    rig.use_plain('127.0.0.1:1', '127.0.0.1:2')
    assert _status(rig.ask(relay_rig.request('/unsafe/'))) == 503
    assert rig.health.ejected() == frozenset()


def test_refused_connection_ejects_at_once(rig):
    down = _target(b'')
    down.stop()
    rig.use_plain(down.address)
    rig.ask(relay_rig.request('/unsafe/'))
    assert rig.health.ejected() == {down.address}
