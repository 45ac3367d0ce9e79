import itertools
import random

from cactusmux_fakes import caller_response
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_relay import attempt_sender
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
from cactusmux_relay import targets
from cactusmux_routing import breakers
import gevent
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


def _silent_after(count, silence_s):
    """Goes silent after some events and accepts no more connections."""
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


def _ask(rig, path='/stream/', **headers):
    return caller_response.parse(rig.ask(relay_rig.request(path, **headers)))


def test_complete_stream_is_forwarded_with_its_signature(rig):
    target = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(target.address)
    head, body, complete = _ask(rig)
    assert (head.status_code, complete) == (200, True)
    assert dict(head.headers)[b'signature'] == b'first'
    assert body == b''.join(EVENTS)
    assert target.received[0].value_by_header['path'] == 'e0=0-80'


def test_broken_stream_is_resumed_within_one_response(rig):
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


def test_version_with_another_card_does_not_end_a_running_stream(rig):
    def script(sock, _request):
        sock.sendall(HEAD + _chunks(EVENTS[:3]))
        _add_card(rig, first.address, second.address)
        return False

    first = scripted_target.ScriptedTarget(script)
    second = _target(HEAD + _chunks(EVENTS[3:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


@pytest.mark.parametrize('count', [0, 3])
def test_version_without_the_service_does_not_end_a_running_stream(rig, count):
    def script(sock, _request):
        rig.book.replace(list(rig.book.target_by_id.values()), {})
        if count:
            sock.sendall(HEAD + _chunks(EVENTS[:count]))
        return False

    first = scripted_target.ScriptedTarget(script)
    second = _target(HEAD + _chunks(EVENTS[count:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def _add_card(rig, *addresses):
    """Puts a card in force that a target which was there already has."""
    rig.use_engines(*addresses)
    state = rig.in_force.state
    service = state.service_by_name[sample_engine.SERVICE]
    cards = dict(service.engine.card_by_name)
    cards['new'] = cards['whole']._replace(name='new')
    engine = service.engine._replace(card_by_name=cards)
    layers = targets.LayerRange(0, engine.layers)
    added = sample_engine.target('new', 'new', 'a', layers)
    rig.book.replace(
        [*rig.book.target_by_id.values(), added],
        {sample_engine.SERVICE: service._replace(engine=engine)},
    )


def _target_that_closes_kept_connections():
    """Serves one stream on each connection, which it closes when reused."""
    used = set()

    def script(sock, _request):
        if sock in used:
            return False
        used.add(sock)
        sock.sendall(HEAD + _chunks(EVENTS) + END)
        return True

    return scripted_target.ScriptedTarget(script)


def test_closed_kept_connections_do_not_use_up_all_attempts(rig):
    first = _target_that_closes_kept_connections()
    second = _target_that_closes_kept_connections()
    for target in (first, second):
        rig.use_engines(target.address)
        assert _ask(rig).is_complete
    rig.use_engines(first.address, second.address)
    head, body, _ = _ask(rig)
    assert head.status_code == 200
    assert body == b''.join(EVENTS)
    assert (len(first.received), len(second.received)) == (2, 2)


def test_repeated_events_are_dropped(rig):
    first = _target(HEAD + _chunks(EVENTS[:3]))
    second = _target(HEAD + _chunks(EVENTS[1:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_events_after_a_gap_are_not_forwarded(rig):
    first = _target(HEAD + _chunks(EVENTS[:2]))
    second = _target(HEAD + _chunks(EVENTS[4:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert not complete
    assert body == b''.join(EVENTS[:2])


def test_stream_that_breaks_in_all_attempts_is_incomplete(rig):
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


def test_rejected_request_is_sent_on_another_path(rig):
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(full.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_request_rejected_on_all_paths_is_refused_as_not_run(rig):
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    rig.use_engines(full.address)
    head, _, _ = _ask(rig)
    assert head.status_code == 503
    assert b'retry-after' in dict(head.headers)


def test_request_is_sent_on_another_path_after_a_refused_connection(rig):
    down = _target(b'')
    down.stop()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(down.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_last_event_id_of_the_caller_is_sent_to_the_target(rig):
    target = _target(HEAD + _chunks(EVENTS[3:]) + END)
    rig.use_engines(target.address)
    _, body, complete = _ask(rig, last_event='3')
    assert complete
    assert body == b''.join(EVENTS[3:])
    assert target.received[0].value_by_header['last-event'] == '3'


def test_stream_on_a_silent_down_target_is_interrupted_and_resumed(rig):
    """The first target stops accepting connections and goes silent."""
    silent = _silent_after(2, 30.0)
    other = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(silent.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert 'e0' in rig.down.ids


def test_stream_is_not_interrupted_without_an_alternative(rig):
    """Its only target accepts no connections for a while, but continues."""
    silent = _silent_after(2, 0.6)
    rig.use_engines(silent.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_resuming_an_interrupted_stream_takes_one_retry(rig):
    retries = _record_retries(rig.budget)
    silent = _silent_after(2, 30.0)
    other = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(silent.address, other.address)
    _, _, complete = _ask(rig)
    assert complete
    assert sum(retries) == 1


def test_streams_resumed_at_the_same_time_are_spread(rig):
    begun = []

    def silent(sock, _request):
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

    lost = scripted_target.ScriptedTarget(silent)
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


def test_rejections_after_the_response_has_begun_do_not_abort_it(rig):
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


def _record_retries(budget):
    """Records 1 for each retry that is taken, -1 for each returned."""
    retries = []
    take, give_back = budget.take, budget.give_back

    def recording_take(service):
        is_taken = take(service)
        retries.append(int(is_taken))
        return is_taken

    def recording_give_back(service):
        retries.append(-1)
        give_back(service)

    budget.take, budget.give_back = recording_take, recording_give_back
    return retries


def test_full_local_link_does_not_abort_an_interrupted_stream(
    rig, monkeypatch
):
    """All connections time out for a while, then all succeed."""
    left = [attempt_sender.MAX_REJECTIONS + 1]
    connect = target_calls.TargetConnections._connect

    def connect_late(connections, address):
        if len(silent.received) == 1 and left[0]:
            left[0] -= 1
            raise target_calls.NotSent(address, is_refused=False)
        return connect(connections, address)

    retries = _record_retries(rig.budget)
    silent = _silent_after(2, 30.0)
    others = [_target(HEAD + _chunks(EVENTS[2:]) + END) for _ in range(6)]
    rig.use_engines(silent.address, *[each.address for each in others])
    monkeypatch.setattr(
        target_calls.TargetConnections, '_connect', connect_late
    )
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert sum(retries) == 1


def test_target_that_rejected_once_accepts_a_stream_later(rig):
    def script(sock, _request):
        if len(first.received) == 1:
            sock.sendall(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
        else:
            sock.sendall(HEAD + _chunks(EVENTS[2:]) + END)
        return False

    first = scripted_target.ScriptedTarget(script)
    silent = _silent_after(2, 30.0)
    rig.use_engines(first.address, silent.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)


def test_reserved_path_is_not_used_once_its_target_leaves(rig):
    silent = _silent_after(2, 30.0)
    leaving = _target(HEAD + _chunks(EVENTS) + END)
    other = _target(HEAD + _chunks(EVENTS[2:]) + END)
    rig.use_engines(silent.address, leaving.address)
    reserve = failover_reservation.FailoverReservation.reserve

    def reserve_then_leave(own, avoided):
        reserved = reserve(own, avoided)
        rig.use_engines(silent.address, other.address)
        return reserved

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            failover_reservation.FailoverReservation,
            'reserve',
            reserve_then_leave,
        )
        _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert leaving.received == []


def test_stream_is_not_interrupted_without_retries_left(rig):
    rig.budget.has_left = lambda service: False
    silent = _silent_after(2, 0.6)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(silent.address, other.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert other.received == []


def test_stream_that_may_not_be_resumed_is_not_interrupted(rig):
    silent = _silent_after(2, 0.6)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(silent.address, other.address)
    _, body, complete = _ask(rig, '/once/')
    assert complete
    assert body == b''.join(EVENTS)


def test_no_load_remains_after_a_stream(rig):
    target = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(target.address)
    _ask(rig, prompt='700')
    assert rig.ledger.own_loads().tokens_by_target == {}


@pytest.mark.parametrize('name', ['begin', 'add', 'reserve_crossings'])
def test_stream_that_fails_before_it_is_sent_leaves_no_load(
    rig, monkeypatch, name
):
    """Its load was counted at its targets for as long as the instance ran."""
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


def test_disconnect_of_the_caller_closes_the_call_to_the_target(rig):
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


def test_gap_after_consecutive_events_of_a_resumed_stream_breaks_it(rig):
    """The caller has event 2; the second target leaves out event 5."""
    first = _target(HEAD + _chunks(EVENTS[2:4]))
    second = _target(HEAD + _chunks(EVENTS[5:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig, last_event='2')
    assert not complete
    assert body == b''.join(EVENTS[2:4])


def _events_with_ids(*ids):
    return [b'id: %b\ndata: %b\n\n' % (each, each) for each in ids]


# Guards against streams broken off as their ids rise by more than one.
def test_ids_that_rise_by_any_amount_are_served_and_resumed(rig):
    events = _events_with_ids(b'10', b'20', b'35', b'70', b'71')
    first = _target(HEAD + _chunks(events[:3]))
    second = _target(HEAD + _chunks(events[2:]) + END)
    rig.use_engines(first.address, second.address)
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(events)
    assert second.received[0].value_by_header['last-event'] == '35'


def test_resumed_stream_may_go_on_further_than_the_next_number(rig):
    events = _events_with_ids(b'20', b'30')
    target = _target(HEAD + _chunks(events) + END)
    rig.use_engines(target.address)
    _, body, complete = _ask(rig, last_event='10')
    assert complete
    assert body == b''.join(events)


# Guards against pieces that come twice as a large id was rounded on its way.
@pytest.mark.parametrize(
    'ids',
    [
        [b'%d' % (202612050000000000 + each) for each in range(1, 6)],
        [b'1' * 5000 + b'%d' % each for each in range(1, 6)],
        [b'a', b'b', b'c', b'd', b'e'],
    ],
    ids=['18 digits', '5001 digits', 'letters'],
)
def test_stream_is_resumed_after_the_exact_id(rig, ids):
    events = _events_with_ids(*ids)
    first = _target(HEAD + _chunks(events[:3]))
    second = _target(HEAD + _chunks(events[2:]) + END)
    rig.use_engines(first.address, second.address)
    last = ids[0].decode()
    _, body, complete = _ask(rig, last_event=last)
    assert complete
    assert body == b''.join(events[1:])
    assert first.received[0].value_by_header['last-event'] == last
    assert second.received[0].value_by_header['last-event'] == ids[2].decode()


def _refused_without_a_path(rig, prompt_id):
    rig.use_engines()
    head, _, _ = _ask(rig, prompt_id=prompt_id)
    assert head.status_code == 503
    return float(dict(head.headers)[b'retry-after'])


def test_refused_request_is_served_first_when_it_returns(rig):
    """It waits for capacity where a new request is refused."""
    retry_after_s = _refused_without_a_path(rig, '5c1e07a2:800')
    assert retry_after_s >= refused_callers.MIN_RETRY_S
    target = _target(HEAD + _chunks(EVENTS) + END)
    returning = gevent.spawn(_ask, rig, prompt_id='5c1e07a2:800')
    gevent.sleep(2 * stream_paths.PATH_WAIT_S)
    new_head, _, _ = _ask(rig, prompt_id='e4402b7d:250')
    rig.use_engines(target.address)
    head, _, complete = returning.get(timeout=5.0)
    assert new_head.status_code == 503
    assert (head.status_code, complete) == (200, True)
    assert 'relay.refused_again' not in rig.metric.counter_by_name


def test_request_refused_by_another_instance_is_served_first(rig):
    key = refused_callers.request_key('almaty', '5c1e07a2:800')
    rig.refused.record_peer_refusals([key])
    rig.use_engines()
    target = _target(HEAD + _chunks(EVENTS) + END)
    returning = gevent.spawn(_ask, rig, prompt_id='5c1e07a2:800')
    gevent.sleep(2 * stream_paths.PATH_WAIT_S)
    rig.use_engines(target.address)
    head, _, complete = returning.get(timeout=5.0)
    assert (head.status_code, complete) == (200, True)


def test_second_refusal_of_a_request_is_counted(rig):
    _refused_without_a_path(rig, '5c1e07a2:800')
    _refused_without_a_path(rig, '5c1e07a2:800')
    assert rig.metric.counter_by_name['relay.refused_again'] == 1


def test_request_that_times_out_waiting_for_a_path_has_not_run(rig):
    rig.use_engines()
    head, _, _ = _ask(rig, wait_s='0.04')
    assert head.status_code == 503
    assert b'retry-after' in dict(head.headers)


def test_path_is_chosen_again_after_the_wait_for_a_retry(rig):
    """A path chosen before the wait was used though its target had left."""
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
                    rig.book.record_leaving(
                        each.start, leaving_targets.Source.PEER
                    )
            return False
        return take(service)

    rig.budget.take = take_later
    _, body, complete = _ask(rig)
    assert complete
    assert body == b''.join(EVENTS)
    assert leaving.received == []


def test_stream_without_event_boundaries_is_resumed_elsewhere(rig):
    """Its bytes were buffered without limit until the deadline."""
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


def test_rejected_sends_are_not_counted_on_links(rig):
    """Counted, they made links look full, and paths were rejected."""
    noted = []
    note = rig.ledger.record_crossings

    def noted_crossings(path, tokens):
        noted.append(tokens)
        note(path, tokens)

    rig.ledger.record_crossings = noted_crossings
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    rig.use_engines(full.address)
    _ask(rig)
    assert len(noted) > 1
    assert sum(noted) == 0.0


def test_rejected_sends_return_their_share_of_links(rig, monkeypatch):
    """A share that is kept closes the link to this instance for seconds."""
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


def test_streams_that_were_sent_keep_their_share_of_links(rig, monkeypatch):
    """Returning shares of tokens that were sent would exceed the limit."""
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
def test_stream_that_a_target_fails_is_sent_to_another(rig, status):
    """The failure was passed on though another path was available."""
    bad = _failing(status)
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    head, body, complete = _ask(rig)
    assert (head.status_code, complete) == (200, True)
    assert body == b''.join(EVENTS)
    assert (len(bad.received), len(other.received)) == (1, 1)


def test_stream_that_a_target_fails_takes_one_retry(rig):
    retries = _record_retries(rig.budget)
    bad = _failing()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    _, _, complete = _ask(rig)
    assert complete
    assert sum(retries) == 1


def test_failed_stream_that_may_not_be_retried_is_sent_once(rig):
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


def test_failure_is_passed_on_without_retries_left(rig):
    rig.budget.take = lambda service: False
    bad = _failing()
    other = _target(HEAD + _chunks(EVENTS) + END)
    rig.use_engines(bad.address, other.address)
    head, _, _ = _ask(rig)
    assert head.status_code == 500
    assert other.received == []


def test_failure_of_the_only_target_is_passed_on_at_once(rig):
    """Waiting for other targets would only delay the response."""
    bad = _failing()
    rig.use_engines(bad.address)
    begun_at = rig.timer.now()
    head, _, _ = _ask(rig)
    after_s = rig.timer.now() - begun_at
    assert head.status_code == 500
    assert len(bad.received) == 1
    assert after_s < stream_paths.RESUME_PATH_WAIT_S / 2


def test_client_error_is_passed_on_and_counts_against_no_target(rig):
    """Status 400 is due to the request: other targets would send it, too."""
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
        told.record_failure('e0', is_ejected=True)
        rig.ejections.take(name, told.own())
    _, _, complete = _ask(rig)
    assert complete
    assert reported.received == []


def test_failure_of_a_resumed_stream_aborts_its_response(rig, monkeypatch):
    """The response has begun: the failure can't be passed on."""
    monkeypatch.setattr(breakers, 'BASE_EJECTION_S', breakers.MAX_EJECTION_S)
    first = _target(HEAD + _chunks(EVENTS[:2]))
    bad = _failing()
    rig.use_engines(first.address, bad.address)
    head, body, complete = _ask(rig)
    assert (head.status_code, complete) == (200, False)
    assert body == b''.join(EVENTS[:2])
    assert rig.failing.ids() == {'e1'}
