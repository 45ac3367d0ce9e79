import itertools
import random

from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_relay import attempt_sending
from cactusmux_relay import ejection_reports
from cactusmux_relay import failing_targets
from cactusmux_relay import failover_reservation
from cactusmux_relay import leaving_targets
from cactusmux_relay import live_streams
from cactusmux_relay import path_finder
from cactusmux_relay import pipe_quota
from cactusmux_relay import refused_callers
from cactusmux_relay import stream_paths
from cactusmux_relay import target_calls
from cactusmux_routing import breakers
import gevent
import h11
import pytest

HEAD = scripted_target.stream_head({'Signature': 'first'})
EVENTS = [scripted_target.event(number) for number in range(1, 7)]
END = scripted_target.chunk(b'')


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _chunks(events):
    return b''.join(scripted_target.chunk(event) for event in events)


def _target(*writes):
    left = list(writes)

    def script(sock, _request):
        sock.sendall(left.pop(0) if len(left) > 1 else left[0])
        return False

    return scripted_target.ScriptedTarget(script)


def _mute_after(count, silence_s):
    """Falls silent after some events and accepts no more connections."""
    holder = []

    def script(sock, _request):
        sock.sendall(HEAD + _chunks(EVENTS[:count]))
        holder[0].stop()
        gevent.sleep(silence_s)
        sock.sendall(_chunks(EVENTS[count:]) + END)
        return False

    target = scripted_target.ScriptedTarget(script)
    holder.append(target)
    return target


def _answer(received):
    """Returns status, headers, body, and whether the answer is complete."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method='GET', target='/', headers=[('host', 'h')])
    )
    connection.send(h11.EndOfMessage())
    connection.receive_data(received)
    connection.receive_data(b'')
    head, body = None, b''
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return head, body, False
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return head, body, True
        else:
            return head, body, False


def _ask(rig, path='/stream/', **headers):
    return _answer(rig.ask(relay_rig.request(path, **headers)))


def test_whole_stream_passes_with_its_signature(rig):
    target = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(target.address)
    head, body, complete = _ask(rig)
    assert (head.status_code, complete) == (200, True)
    assert dict(head.headers)[b'signature'] == b'first'
    assert body == b''.join(EVENTS)
    assert target.received[0].value_by_header['path'] == 'e0=0-80'


def test_broken_stream_goes_on_elsewhere_within_one_answer(rig):
    torn = HEAD + _chunks(EVENTS[:3]) + scripted_target.chunk(b'id: 4\nda')
    first = _target(torn)
    second = _target(
        scripted_target.stream_head({'Signature': 'second'})
        + _chunks(EVENTS[3:])
        + END
    )
    rig.use_engines(first.address, second.address)
    head, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert dict(head.headers)[b'signature'] == b'first'
    assert second.received[0].value_by_header['last-event'] == '3'


def test_events_that_come_again_are_dropped(rig):
    first = _target(HEAD + _chunks(EVENTS[:3]))
    second = _target(HEAD + _chunks(EVENTS[1:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_gap_in_the_events_is_never_passed_on(rig):
    first = _target(HEAD + _chunks(EVENTS[:2]))
    second = _target(HEAD + _chunks(EVENTS[4:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert not complete
    assert body == b''.join(EVENTS[:2])


def test_stream_that_breaks_at_all_attempts_looks_broken(rig):
    first = _target(HEAD + _chunks(EVENTS[:2]))
    second = _target(HEAD + _chunks(EVENTS[2:4]))
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert not complete
    assert body == b''.join(EVENTS[:4])
    assert len(first.received) + len(second.received) == 2


def test_stream_that_may_not_be_resumed_is_sent_once(rig):
    first = _target(HEAD + _chunks(EVENTS[:2]))
    second = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(first.address, second.address)
    _, _, complete = _ask(rig, '/once/')
    assert not complete
    assert second.received == []


def test_path_that_rejects_is_followed_by_another(rig):
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(full.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_rejected_everywhere_is_refused_as_not_run(rig):
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    rig.use_engines(full.address)
    head, _, _ = _ask(rig)
    assert head.status_code == 503
    assert b'retry-after' in dict(head.headers)


def test_refused_connection_is_followed_by_another_path(rig):
    dead = _target(b'')
    dead.stop()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(dead.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_callers_last_event_is_passed_on(rig):
    target = _target(HEAD + _chunks(EVENTS[3:]) + END)
    rig.use_engines(target.address)
    _, body, complete = _ask(rig, last_event='3')
    assert complete
    assert body == b''.join(EVENTS[3:])
    assert target.received[0].value_by_header['last-event'] == '3'


def test_stream_on_a_silent_dead_target_is_interrupted_and_resumed(rig):
    """The first target stops accepting connections and falls silent."""
    silent = _mute_after(2, 30.0)
    other = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(silent.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert 'e0' in rig.down.ids


def test_stream_is_not_cut_while_nothing_can_follow_it(rig):
    """Its only target accepts no connections for a while, yet goes on."""
    mute = _mute_after(2, 0.6)
    rig.use_engines(mute.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_handing_a_stream_over_takes_one_repeat(rig):
    paid = _paid_repeats(rig.budget)
    silent = _mute_after(2, 30.0)
    other = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(silent.address, other.address)
    _, _, complete = _ask(rig)
    assert complete
    assert sum(paid) == 1


def test_streams_handed_over_together_are_spread(rig):
    begun = []

    def mute(sock, _request):
        sock.sendall(HEAD + _chunks(EVENTS[:2]))
        begun.append(sock)
        while len(begun) < 8:
            gevent.sleep(0.005)
        lost.stop()
        gevent.sleep(30.0)
        return False

    def rest(sock, _request):
        gevent.sleep(0.3)
        sock.sendall(HEAD + _chunks(EVENTS[2:]) + END)
        return False

    lost = scripted_target.ScriptedTarget(mute)
    others = [scripted_target.ScriptedTarget(rest) for _ in range(2)]
    rig.use_engines(lost.address)
    asked = [gevent.spawn(_ask, rig) for _ in range(8)]
    while len(begun) < 8:
        gevent.sleep(0.001)
    rig.use_engines(lost.address, *[each.address for each in others])
    gevent.joinall(asked)
    counts = [len(each.received) for each in others]
    assert sum(counts) == 8
    assert max(counts) <= 5


def test_rejections_after_the_answer_has_begun_do_not_break_it_off(rig):
    numbers = itertools.count(1)

    def script(sock, _request):
        number = next(numbers)
        if number in (1, 2, 3, 5):
            sock.sendall(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
        elif number == 4:
            sock.sendall(HEAD + _chunks(EVENTS[:2]))
        else:
            sock.sendall(HEAD + _chunks(EVENTS[2:]) + END)
        return False

    found = [scripted_target.ScriptedTarget(script) for _ in range(8)]
    rig.use_engines(*[each.address for each in found])
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def _paid_repeats(budget):
    """Notes 1 for each repeat that is taken, -1 for each given back."""
    paid = []
    take, give_back = budget.take, budget.give_back

    def noted_take(service):
        is_taken = take(service)
        paid.append(int(is_taken))
        return is_taken

    def noted_give_back(service):
        paid.append(-1)
        give_back(service)

    budget.take, budget.give_back = noted_take, noted_give_back
    return paid


def test_own_full_link_does_not_break_off_a_stream_handed_over(
    rig, monkeypatch
):
    """No connection is accepted for a while, then all are."""
    left = [attempt_sending.MAX_REJECTIONS + 1]
    connect = target_calls.TargetConnections._connect

    def connect_late(connections, address):
        if len(mute.received) == 1 and left[0]:
            left[0] -= 1
            raise target_calls.NotSent(address, is_refused=False)
        return connect(connections, address)

    paid = _paid_repeats(rig.budget)
    mute = _mute_after(2, 30.0)
    others = [_target(HEAD + _chunks(EVENTS[2:]) + END) for _ in range(6)]
    rig.use_engines(mute.address, *[each.address for each in others])
    monkeypatch.setattr(
        target_calls.TargetConnections, '_connect', connect_late
    )
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert sum(paid) == 1


def test_target_that_rejected_once_takes_a_stream_later(rig):
    def script(sock, _request):
        if len(first.received) == 1:
            sock.sendall(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
        else:
            sock.sendall(HEAD + _chunks(EVENTS[2:]) + END)
        return False

    first = scripted_target.ScriptedTarget(script)
    mute = _mute_after(2, 30.0)
    rig.use_engines(first.address, mute.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_secured_path_is_not_used_once_its_target_leaves(rig):
    mute = _mute_after(2, 30.0)
    leaving = _target(HEAD + _chunks(EVENTS) + END)
    other = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(mute.address, leaving.address)
    secure = failover_reservation.FailoverReservation.reserve

    def secure_then_leave(own, avoided):
        secured = secure(own, avoided)
        rig.use_engines(mute.address, other.address)
        return secured

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            failover_reservation.FailoverReservation,
            'reserve',
            secure_then_leave,
        )
        _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert leaving.received == []


def test_stream_stays_while_the_repeats_are_spent(rig):
    rig.budget.has_left = lambda service: False
    mute = _mute_after(2, 0.6)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(mute.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert other.received == []


def test_stream_that_may_not_be_resumed_is_not_cut(rig):
    mute = _mute_after(2, 0.6)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(mute.address, other.address)
    _, body, complete = _ask(rig, '/once/')
    assert complete
    assert body == b''.join(EVENTS)


def test_load_is_noted_while_a_stream_runs_and_gone_afterwards(rig):
    target = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(target.address)
    _ask(rig, prompt='700')
    assert rig.ledger.own_loads().tokens_by_target == {}


@pytest.mark.parametrize('name', ['begin', 'add', 'reserve_crossings'])
def test_stream_that_fails_before_it_is_sent_leaves_no_load(
    rig, monkeypatch, name
):
    """Its targets counted as loaded for as long as the instance ran."""
    owners = {
        'begin': failing_targets.FailingTargets,
        'add': live_streams.LiveStreams,
        'reserve_crossings': path_finder.PathFinder,
    }

    def fail(*args):
        raise ValueError('test')

    monkeypatch.setattr(owners[name], name, fail)
    target = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(target.address)
    rig.ask(relay_rig.request('/stream/'))
    assert target.received == []
    assert rig.ledger.own_loads().tokens_by_target == {}


def test_caller_that_leaves_cuts_the_stream_at_its_target(rig):
    closed = []

    def script(sock, _request):
        sock.sendall(HEAD + _chunks(EVENTS[:1]))
        closed.append(sock.recv(100))
        return False

    target = scripted_target.ScriptedTarget(script)
    rig.use_engines(target.address)
    sock = rig.connect()
    sock.sendall(relay_rig.request('/stream/', connection='keep-alive'))
    sock.recv(1000)
    sock.close()
    for _ in range(1000):
        if closed:
            break
        gevent.sleep(0.005)
    assert closed == [b'']


def test_stream_that_ends_within_an_event_is_resumed_not_completed(rig):
    """The framing is complete, the last event is not."""
    torn = _chunks(EVENTS[:3]) + scripted_target.chunk(b'id: 4\nda') + END
    first = _target(HEAD + torn)
    second = _target(HEAD + _chunks(EVENTS[3:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_stream_that_skips_after_the_callers_last_event_is_not_passed_on(rig):
    """The caller has event 3; a target that begins at 5 leaves a gap."""
    target = _target(HEAD + _chunks(EVENTS[4:]) + END)
    rig.use_engines(target.address)
    _, body, complete = _ask(rig, last_event='3')
    assert body == b''
    assert not complete or EVENTS[4] not in body


def _refused_for_want_of_a_path(rig, prompt_id):
    rig.use_engines()
    head, _, _ = _ask(rig, prompt_id=prompt_id)
    assert head.status_code == 503
    return float(dict(head.headers)[b'retry-after'])


def test_refused_caller_is_served_first_when_it_returns(rig):
    """It waits for room where a new caller is refused."""
    retry_after_s = _refused_for_want_of_a_path(rig, '5c1e07a2:800')
    assert retry_after_s >= refused_callers.LEAST_RETRY_S
    target = _target(HEAD + _chunks(EVENTS) + END)
    returning = gevent.spawn(_ask, rig, prompt_id='5c1e07a2:800')
    gevent.sleep(2 * stream_paths.PATH_WAIT_S)
    new_head, _, _ = _ask(rig, prompt_id='e4402b7d:250')
    rig.use_engines(target.address)
    head, _, complete = returning.get(timeout=5.0)
    assert new_head.status_code == 503
    assert (head.status_code, complete) == (200, True)
    assert 'relay.refused_again' not in rig.metric.counter_by_name


def test_caller_refused_by_another_instance_is_served_first(rig):
    key = refused_callers.key_of('almaty', '5c1e07a2:800')
    rig.refused.note_told([key])
    rig.use_engines()
    target = _target(HEAD + _chunks(EVENTS) + END)
    returning = gevent.spawn(_ask, rig, prompt_id='5c1e07a2:800')
    gevent.sleep(2 * stream_paths.PATH_WAIT_S)
    rig.use_engines(target.address)
    head, _, complete = returning.get(timeout=5.0)
    assert (head.status_code, complete) == (200, True)


def test_refusing_a_returning_caller_again_is_counted(rig):
    _refused_for_want_of_a_path(rig, '5c1e07a2:800')
    _refused_for_want_of_a_path(rig, '5c1e07a2:800')
    assert rig.metric.counter_by_name['relay.refused_again'] == 1


def test_request_whose_time_ends_in_the_wait_for_a_path_has_not_run(rig):
    rig.use_engines()
    head, _, _ = _ask(rig, wait_s='0.04')
    assert head.status_code == 503
    assert b'retry-after' in dict(head.headers)


def test_path_is_chosen_again_after_the_wait_for_a_repeat(rig):
    """It was chosen before, and sent to though its target had left."""
    first = _target(HEAD + _chunks(EVENTS[:2]))
    leaving = _target(HEAD + _chunks(EVENTS[2:]) + END)
    other = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(first.address, leaving.address, other.address)
    take = rig.budget.take
    chosen = []

    def take_later(service):
        if not chosen:
            chosen.append(service)
            for each in rig.book.ready(sample_engine.SERVICE):
                if each.address == leaving.address:
                    rig.book.note_leaving(
                        each.start, leaving_targets.Source.PEER
                    )
            return False
        return take(service)

    rig.budget.take = take_later
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert leaving.received == []


def test_stream_of_bytes_that_are_no_events_goes_on_elsewhere(rig):
    """It was collected without bound until the deadline."""
    endless = scripted_target.chunk(b'x' * 65536)

    def script(sock, _request):
        sock.sendall(HEAD + _chunks(EVENTS[:2]))
        try:
            while True:
                sock.sendall(endless)
        except OSError:
            return False

    first = scripted_target.ScriptedTarget(script)
    second = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_path_that_rejected_fills_no_pipe(rig):
    """Rejected sends filled the estimate, and paths were refused for it."""
    noted = []
    note = rig.ledger.note_crossings

    def noted_crossings(path, tokens):
        noted.append(tokens)
        note(path, tokens)

    rig.ledger.note_crossings = noted_crossings
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    rig.use_engines(full.address)
    _ask(rig)
    assert len(noted) > 1
    assert sum(noted) == 0.0


def test_rejected_sends_return_their_share_of_pipes(rig, monkeypatch):
    """A kept share would shut the pipe to this instance for seconds."""
    reserved = []
    returned = []

    def reserve(_finder, _exchange, path, _demand):
        grant = (
            pipe_quota.PipeReservation(
                ('a', 'b'), float(len(reserved)), False
            ),
        )
        reserved.append(grant)
        return grant

    monkeypatch.setattr(path_finder.PathFinder, 'reserve_crossings', reserve)
    monkeypatch.setattr(
        path_finder.PathFinder,
        'release_crossings',
        lambda _finder, grant: returned.append(grant),
    )
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    rig.use_engines(full.address)
    _ask(rig)
    assert reserved
    assert returned == reserved


def test_streams_that_were_sent_keep_their_share_of_pipes(rig, monkeypatch):
    """Returned shares of tokens that were sent would exceed the limit."""
    returned = []
    monkeypatch.setattr(
        path_finder.PathFinder,
        'release_crossings',
        lambda _finder, grant: returned.append(grant),
    )
    target = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(target.address)
    assert _ask(rig)[2]
    assert returned == []


def _failing(status=500, **headers):
    fields = {name.replace('_', '-'): text for name, text in headers.items()}
    return _target(scripted_target.answer(b'no', status, fields))


@pytest.mark.parametrize('status', [500, 502, 503, 599])
def test_stream_that_a_target_fails_goes_on_elsewhere(rig, status):
    """The failure was passed on though another path was free."""
    bad = _failing(status)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    head, body, complete = _ask(rig)
    assert (head.status_code, complete) == (200, True)
    assert body == b''.join(EVENTS)
    assert (len(bad.received), len(other.received)) == (1, 1)


def test_stream_that_a_target_fails_takes_one_repeat(rig):
    paid = _paid_repeats(rig.budget)
    bad = _failing()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    _, _, complete = _ask(rig)
    assert complete
    assert sum(paid) == 1


def test_failed_stream_that_may_not_be_repeated_is_sent_once(rig):
    bad = _failing()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    head, body, complete = _ask(rig, '/once/')
    assert (head.status_code, body, complete) == (500, b'no', True)
    assert (len(bad.received), other.received) == (1, [])


def test_last_failure_is_passed_on_after_all_attempts(rig):
    bad = [_failing(500), _failing(502), _failing(504)]
    rig.use_engines(*[each.address for each in bad])
    head, body, _ = _ask(rig)
    assert (head.status_code, body) == (502, b'no')
    assert [len(each.received) for each in bad] == [1, 1, 0]


def test_failure_is_passed_on_where_the_repeats_are_spent(rig):
    rig.budget.take = lambda service: False
    bad = _failing()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    head, _, _ = _ask(rig)
    assert head.status_code == 500
    assert other.received == []


def test_failure_of_the_only_target_is_passed_on_at_once(rig):
    """Waiting for other targets would hold what can be answered now."""
    bad = _failing()
    rig.use_engines(bad.address)
    begun = rig.timer.now()
    head, _, _ = _ask(rig)
    after_s = rig.timer.now() - begun
    assert head.status_code == 500
    assert len(bad.received) == 1
    assert after_s < stream_paths.RESUME_PATH_WAIT_S / 2


def test_callers_own_fault_is_passed_on_and_blames_nobody(rig):
    """A status of 400 comes from the request; it is the same elsewhere."""
    refusing = _failing(400)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(refusing.address, other.address)
    head, _, _ = _ask(rig)
    assert head.status_code == 400
    assert other.received == []
    assert not rig.failing.ids()


def test_target_that_failed_a_stream_gets_no_other_for_a_while(
    rig, monkeypatch
):
    monkeypatch.setattr(breakers, 'BASE_EJECTION_S', breakers.MAX_EJECTION_S)
    bad = _failing()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    for _ in range(3):
        _, _, complete = _ask(rig)
        assert complete
    assert len(bad.received) == 1


def test_stream_is_sent_to_ejected_targets_if_no_others_are_left(
    rig, monkeypatch
):
    monkeypatch.setattr(breakers, 'BASE_EJECTION_S', breakers.MAX_EJECTION_S)
    target = _target(
        scripted_target.answer(b'no', 500, {}), HEAD + _chunks(EVENTS) + END
    )
    rig.use_engines(target.address)
    head, _, _ = _ask(rig)
    assert head.status_code == 500
    assert rig.failing.ids() == {'e0'}
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_target_that_two_others_report_gets_no_stream(rig):
    reported = _target(HEAD + _chunks(EVENTS) + END)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(reported.address, other.address)
    for name in ('one', 'two'):
        told = ejection_reports.EjectionReports(
            name, rig.book, rig.timer, rig.metric, random.Random(1)
        )
        told.note_failure('e0', is_ejected=True)
        rig.ejections.take(name, told.own())
    _, _, complete = _ask(rig)
    assert complete
    assert reported.received == []


def test_failure_of_a_resumed_stream_breaks_its_answer_off(rig, monkeypatch):
    """It has begun: an answer of its own can't follow it."""
    monkeypatch.setattr(breakers, 'BASE_EJECTION_S', breakers.MAX_EJECTION_S)
    first = _target(HEAD + _chunks(EVENTS[:2]))
    bad = _failing()
    rig.use_engines(first.address, bad.address)
    head, body, complete = _ask(rig)
    assert (head.status_code, complete) == (200, False)
    assert body == b''.join(EVENTS[:2])
    assert rig.failing.ids() == {'e1'}
