"""What may not be repeated, at targets that fail in all ways they can."""

import collections
import random
import socket
import struct

from cactusmux_fakes import relay_rig
from cactusmux_fakes import scripted_target
import gevent
import pytest

SIGNED = {'Signature': 's'}
REQUESTS = 60
# Closing then resets the connection.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
PROMISES_NOT_RUN = (408, 421, 429, 503)


class _Booking:
    """Targets that note each run, and then answer well, badly or never."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.runs = collections.Counter()
        self.targets = [
            scripted_target.ScriptedTarget(self._serve) for _ in range(3)
        ]

    @property
    def addresses(self):
        return [each.address for each in self.targets]

    def _serve(self, sock, request):
        ways = (
            self._answer,
            self._answer,
            self._answer_twice,
            self._lose_answer,
            self._reset,
            self._answer_garbage,
            self._answer_other_id,
            self._answer_in_part,
            self._turn_away,
        )
        return self.rng.choice(ways)(sock, request)

    def _run(self, request):
        self.runs[request.value_by_header['request-id']] += 1
        return scripted_target.answer(
            b'booked',
            200,
            {**SIGNED, 'Request-Id': request.value_by_header['request-id']},
        )

    def _answer(self, sock, request):
        sock.sendall(self._run(request))
        return True

    def _answer_twice(self, sock, request):
        answer = self._run(request)
        sock.sendall(answer)
        gevent.sleep(0.002)
        sock.sendall(answer)
        return True

    def _lose_answer(self, _sock, request):
        self._run(request)
        return False

    def _reset(self, sock, request):
        self._run(request)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        return False

    def _answer_garbage(self, sock, request):
        self._run(request)
        sock.sendall(b'\x00\xff no answer\r\n\r\n')
        return False

    def _answer_other_id(self, sock, request):
        self._run(request)
        headers = {**SIGNED, 'Request-Id': 'another'}
        sock.sendall(scripted_target.answer(b'other', 200, headers))
        return True

    def _answer_in_part(self, sock, request):
        sock.sendall(self._run(request)[:-3])
        return False

    def _turn_away(self, sock, request):
        headers = {
            'Not-Run': '1',
            'Request-Id': request.value_by_header['request-id'],
        }
        sock.sendall(scripted_target.answer(b'', 503, headers))
        return True

    def stop(self):
        for each in self.targets:
            each.stop()


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig()
    yield rig
    rig.server.stop()


def _ask(rig, number):
    raw = rig.ask(
        relay_rig.request('/unsafe/book', request_id=f'booking-{number}')
    )
    status = int(raw.split()[1]) if raw else 0
    return status, raw


@pytest.mark.parametrize('seed', range(4))
def test_booking_never_runs_twice_and_not_run_is_true(rig, seed):
    booking = _Booking(seed)
    rig.use_plain(*booking.addresses)
    for number in range(REQUESTS):
        status, raw = _ask(rig, number)
        runs = booking.runs[f'booking-{number}']
        assert runs <= 1
        if status in PROMISES_NOT_RUN:
            assert runs == 0
        if status == 200:
            assert runs == 1
            assert raw.endswith(b'booked')
    assert sum(booking.runs.values()) > REQUESTS / 2
    booking.stop()


@pytest.mark.parametrize('seed', range(2))
def test_booking_of_a_caller_that_leaves_never_runs_twice(rig, seed):
    """The callers leave in the middle, as at a power cut."""
    booking = _Booking(seed)
    rig.use_plain(*booking.addresses)
    rng = random.Random(seed)
    socks = []
    for number in range(REQUESTS):
        sock = rig.connect()
        raw = relay_rig.request('/unsafe/book', request_id=f'left-{number}')
        sock.sendall(raw)
        socks.append(sock)
        if rng.random() < 0.5:
            gevent.sleep(rng.uniform(0.0, 0.004))
            socks.pop(rng.randrange(len(socks))).close()
    gevent.sleep(0.3)
    assert max(booking.runs.values()) == 1
    for sock in socks:
        sock.close()
    booking.stop()
