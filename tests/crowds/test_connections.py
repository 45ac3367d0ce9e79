"""Crowds that hold memory other than by the bodies of their requests."""

import itertools

import pytest

from . import process_rig

PIECE = b'x' * 65536
EMPTY = b'Content-Length: 0'
MIDDLE_MACHINE = process_rig.Machine(memory_mb=128)


def _pipelined():
    yield process_rig.request_head('/plain/silent', EMPTY)
    yield from itertools.repeat(PIECE, 48)


def _incomplete_head():
    yield b'GET /plain/x HTTP/1.1\r\nHost: h.example\r\nX-Long: '
    yield b'y' * 15_000


def _endless_head():
    yield b'GET /plain/x HTTP/1.1\r\nHost: h.example\r\nX-Long: '
    yield from itertools.repeat(PIECE, 48)


def _unread_answer():
    yield process_rig.request_head('/plain/long', EMPTY)


@pytest.mark.parametrize('machine', [MIDDLE_MACHINE], ids=['middle'])
def test_bytes_after_a_request_that_waits(rig, clients):
    clients.join(300, _pipelined)
    clients.settle()
    rig.check()


def test_bytes_after_many_requests_that_wait(rig, clients):
    clients.join(900, _pipelined)
    clients.settle()
    rig.check()


def test_heads_that_stay_incomplete(rig, clients):
    clients.join(300, _incomplete_head)
    clients.settle()
    rig.check()


def test_heads_without_end(rig, clients):
    clients.join(120, _endless_head)
    clients.settle()
    rig.check()


def test_long_answers_that_are_not_read(rig, clients):
    clients.join(30, _unread_answer)
    clients.settle()
    rig.check()
