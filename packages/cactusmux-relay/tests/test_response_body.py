import itertools

from cactusmux_relay import held_bytes
from cactusmux_relay import http_messages
from cactusmux_relay import response_body
from cactusmux_relay import target_calls
import pytest

ADDRESS = '127.0.0.1:1'
MAX_BYTES = 4 << 20
PIECE = b'x' * 65536


class _Call:
    def __init__(self, pieces):
        self.read = 0
        self._pieces = pieces

    def body_chunks(self):
        for piece in self._pieces:
            self.read += len(piece)
            yield piece


class _Caller(http_messages.Answerer):
    """Has room for some bytes; records what it is asked for."""

    def __init__(self, room):
        self.asked = []
        self._room = room

    def hold(self, size, may_wait):
        self.asked.append((size, may_wait))
        if size > self._room:
            raise held_bytes.NoRoom('full')

    def answer(self, status, headers, body):
        pass

    def start(self, status, headers):
        pass

    def send(self, data):
        pass

    def finish(self):
        pass

    def abort(self):
        pass


def _body(caller, length=None):
    headers = ()
    if length is not None:
        headers = ((b'content-length', str(length).encode()),)
    head = target_calls.ResponseHead(200, headers)
    return response_body.ResponseBody(head, caller, MAX_BYTES)


def test_room_for_an_announced_length_is_awaited_before_it_is_read():
    caller = _Caller(room=0)
    call = _Call([PIECE] * 10)
    with pytest.raises(held_bytes.NoRoom):
        _body(caller, 10 * len(PIECE)).read(call, ADDRESS)
    assert caller.asked == [(10 * len(PIECE), True)]
    assert call.read == 0


def test_short_body_needs_no_room():
    caller = _Caller(room=0)
    assert _body(caller, 5).read(_Call([b'short']), ADDRESS) == b'short'
    assert _body(caller).read(_Call([b'short']), ADDRESS) == b'short'
    assert caller.asked == []


# Guards against bodies without a length that wait for each other.
def test_body_without_a_length_asks_as_it_grows_and_does_not_wait():
    caller = _Caller(room=2 << 20)
    call = _Call(itertools.repeat(PIECE))
    with pytest.raises(held_bytes.NoRoom):
        _body(caller).read(call, ADDRESS)
    assert call.read < 3 << 20
    assert not any(may_wait for _, may_wait in caller.asked)
    assert len(caller.asked) < 5


@pytest.mark.parametrize('length', [None, MAX_BYTES + 1])
def test_body_over_the_limit_is_broken(length):
    caller = _Caller(room=MAX_BYTES)
    call = _Call(itertools.repeat(PIECE))
    with pytest.raises(target_calls.AnswerBroken):
        _body(caller, length).read(call, ADDRESS)
    assert call.read <= MAX_BYTES + len(PIECE)
