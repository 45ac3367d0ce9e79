"""Requests that must not run twice, at targets with various faults."""

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
# Socket option that makes closing reset the connection.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
NOT_RUN_STATUSES = (408, 421, 429, 503)


class _FaultyTargets:
    """Targets that count runs and respond correctly, wrongly or never."""

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
        behaviours = (
            self._respond,
            self._respond,
            self._respond_twice,
            self._lose_response,
            self._reset,
            self._respond_garbage,
            self._respond_other_id,
            self._respond_partially,
            self._reject,
        )
        return self.rng.choice(behaviours)(sock, request)

    def _run(self, request):
        self.runs[request.value_by_header['request-id']] += 1
        return scripted_target.answer(
            b'booked',
            200,
            {**SIGNED, 'Request-Id': request.value_by_header['request-id']},
        )

    def _respond(self, sock, request):
        sock.sendall(self._run(request))
        return True

    def _respond_twice(self, sock, request):
        answer = self._run(request)
        sock.sendall(answer)
        gevent.sleep(0.002)
        sock.sendall(answer)
        return True

    def _lose_response(self, _sock, request):
        self._run(request)
        return False

    def _reset(self, sock, request):
        self._run(request)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        return False

    def _respond_garbage(self, sock, request):
        self._run(request)
        sock.sendall(b'\x00\xff no answer\r\n\r\n')
        return False

    def _respond_other_id(self, sock, request):
        self._run(request)
        headers = {**SIGNED, 'Request-Id': 'another'}
        sock.sendall(scripted_target.answer(b'other', 200, headers))
        return True

    def _respond_partially(self, sock, request):
        sock.sendall(self._run(request)[:-3])
        return False

    def _reject(self, sock, request):
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


def _request(rig, number):
    raw = rig.ask(
        relay_rig.request('/unsafe/book', request_id=f'booking-{number}')
    )
    status = int(raw.split()[1]) if raw else 0
    return status, raw


@pytest.mark.parametrize('seed', range(4))
def test_unsafe_request_never_runs_twice_and_not_run_is_true(rig, seed):
    faulty = _FaultyTargets(seed)
    rig.use_plain(*faulty.addresses)
    for number in range(REQUESTS):
        status, raw = _request(rig, number)
        runs = faulty.runs[f'booking-{number}']
        assert runs <= 1
        if status in NOT_RUN_STATUSES:
            assert runs == 0
        if status == 200:
            assert runs == 1
            assert raw.endswith(b'booked')
    assert sum(faulty.runs.values()) > REQUESTS / 2
    faulty.stop()


@pytest.mark.parametrize('seed', range(2))
def test_unsafe_request_of_a_disconnected_caller_never_runs_twice(rig, seed):
    """The callers disconnect during their requests, as on a power failure."""
    faulty = _FaultyTargets(seed)
    rig.use_plain(*faulty.addresses)
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
    assert max(faulty.runs.values()) == 1
    for sock in socks:
        sock.close()
    faulty.stop()
