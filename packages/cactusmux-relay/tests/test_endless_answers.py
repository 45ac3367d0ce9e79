"""Bytes that are no answer and never end must not stop the process."""

from cactusmux_base import timers
from cactusmux_base import turns
from cactusmux_fakes import caller_response
from cactusmux_fakes import plain_dialect
from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
from cactusmux_relay import event_forwarding
from cactusmux_relay import held_bytes
from cactusmux_relay import request_ends
from cactusmux_relay import request_reading
from cactusmux_relay import target_calls
import gevent
import h11
import pytest

HEAD = scripted_target.stream_head({'Signature': 'first'})
EVENTS = [scripted_target.event(number) for number in range(1, 7)]
END = scripted_target.chunk(b'')
RECEIVED = 65536
# Blocks that a target may send without an end.
BLOCKS = {
    'repeated event': b'id: 1\n\n',
    'comments': b': x\n\n',
    'empty events': b'\n\n',
    'one comment without an end': b':',
}


class _Answerer:
    """Counts what the caller gets; lets no other task run."""

    def __init__(self):
        self.size = 0

    def start(self, status, headers):
        pass

    def send(self, data):
        self.size += len(data)

    def finish(self):
        pass


class _EndlessCall:
    """A call whose body goes on for as long as it is read."""

    def __init__(self, block):
        self._part = block * (RECEIVED // len(block))
        self.size = 0

    def body_chunks(self):
        yield EVENTS[0]
        while True:
            self.size += len(self._part)
            yield self._part


def _forwarder(answerer):
    return event_forwarding.EventForwarder(
        answerer, plain_dialect.PlainDialect(), timers.GeventTimers(), None
    )


# Guards against streams that never end as bytes without progress arrive.
@pytest.mark.parametrize('block', BLOCKS.values(), ids=BLOCKS)
def test_bytes_without_a_new_event_break_a_stream(block):
    call = _EndlessCall(block)
    progress = []
    with pytest.raises(event_forwarding.StreamBroken):
        _forwarder(_Answerer()).forward(
            target_calls.ResponseHead(200, ()),
            call,
            lambda: progress.append(1),
        )
    limit = event_forwarding.MAX_BYTES_WITHOUT_PROGRESS
    assert call.size <= limit + 2 * RECEIVED
    assert progress == [1]


# Guards against one stream that keeps the event loop to itself.
@pytest.mark.parametrize('block', BLOCKS.values(), ids=BLOCKS)
def test_events_that_arrive_together_leave_turns_to_others(monkeypatch, block):
    steps_before_pause = []
    steps = []

    class _CountedTurns(turns.Turns):
        def record(self, size=0):
            steps.append(1)
            super().record(size)

    def pause():
        steps_before_pause.append(len(steps))
        steps.clear()

    monkeypatch.setattr(turns, 'Turns', _CountedTurns)
    monkeypatch.setattr(turns, 'pause', pause)
    call = _EndlessCall(block)
    with pytest.raises(event_forwarding.StreamBroken):
        _forwarder(_Answerer()).forward(
            target_calls.ResponseHead(200, ()), call, lambda: None
        )
    events = call.size // max(2, len(block)) if len(block) > 1 else 0
    assert max([*steps_before_pause, len(steps)]) <= turns.MAX_STEPS
    assert len(steps_before_pause) >= events // (4 * turns.MAX_STEPS)


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _chunks(events):
    return b''.join(scripted_target.chunk(event) for event in events)


# Guards against a caller left waiting with a target that only repeats itself.
def test_stream_that_only_repeats_an_event_is_resumed_elsewhere(rig):
    closed = []

    def flood(sock, _request):
        sock.sendall(HEAD + _chunks(EVENTS[:2]))
        block = scripted_target.chunk(b'id: 2\n\n' * 10000)
        try:
            while True:
                sock.sendall(block)
        except OSError:
            closed.append(1)
        return False

    endless = scripted_target.ScriptedTarget(flood)

    def go_on(sock, _request):
        sock.sendall(HEAD + _chunks(EVENTS[2:]) + END)
        return False

    sound = scripted_target.ScriptedTarget(go_on)
    rig.use_engines(endless.address, sound.address)
    raw = rig.ask(relay_rig.request('/stream/'))
    _, body, complete = caller_response.parse(raw)
    assert complete
    assert body == b''.join(EVENTS)
    assert sound.received[0].value_by_header['last-event'] == '2'


class _Flood:
    """A socket that always has more bytes."""

    def __init__(self, block):
        self._data = block * (RECEIVED // len(block))

    def settimeout(self, seconds):
        pass

    def recv(self, size):
        return self._data


def _count_pauses(monkeypatch):
    pauses = []
    monkeypatch.setattr(turns, 'pause', lambda: pauses.append(1))
    return pauses


@pytest.fixture(name='call')
def _call():
    """A call whose body comes in chunks of one byte, without an end."""
    target = scripted_target.ScriptedTarget(
        lambda sock, _request: sock.sendall(HEAD) or True
    )
    connections = target_calls.TargetConnections(timers.GeventTimers())
    request = target_calls.OutgoingRequest(
        'POST', '/a', [(b'host', b'h'), (b'content-length', b'1')], b'x'
    )
    call = connections.call(target.address, request, True)
    call.read_head()
    own_sock, call._sock = call._sock, _Flood(b'1\r\nx\r\n')
    yield call
    own_sock.close()
    target.stop()


# Guards against bodies in chunks of one byte that keep the loop busy.
def test_body_in_tiny_chunks_of_a_target_leaves_turns(monkeypatch, call):
    pauses = _count_pauses(monkeypatch)
    with pytest.raises(target_calls.AnswerBroken):
        call.read_body(5000)
    assert len(pauses) >= 5000 // turns.MAX_STEPS


# Guards against a caller's body in chunks of one byte that does the same.
def test_body_in_tiny_chunks_of_a_caller_leaves_turns(monkeypatch):
    framing = h11.Connection(h11.SERVER)
    framing.receive_data(
        b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    limits = relay_rig.desired_state.Limits(body_bytes=5000)
    timer = timers.GeventTimers()
    reader = request_reading.RequestReader(
        _Flood(b'1\r\nx\r\n'),
        framing,
        timer,
        lambda: limits,
        held_bytes.unshared(timer).open(lambda: None),
    )
    pauses = _count_pauses(monkeypatch)
    with pytest.raises(request_reading.BadRequest):
        reader.read(lambda event: None, request_ends.RequestProgress())
    assert len(pauses) >= 5000 // turns.MAX_STEPS


# Guards against a timeout that can't fire while bytes keep arriving.
def test_timeout_fires_while_an_endless_body_is_read(call):
    read = 0
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.05):
        for part in call.body_chunks():
            read += len(part)
            assert read < 500_000
