"""Crowds whose bodies would fill the memory of the process."""

import itertools

from cactusmux_fakes import scripted_target
import gevent
import pytest

from . import process_rig

PIECE = b'x' * 65536
# Just short of the limit on a body, and of the end that is announced.
NEAR_LIMIT_PIECES = 62
NEAR_LIMIT_BYTES = NEAR_LIMIT_PIECES * len(PIECE) + 1
CHUNKED = b'Transfer-Encoding: chunked'
SILENT = '/plain/silent'
EXTENSION = b';x=' + b'y' * 16000
SMALL_MACHINE = process_rig.Machine(memory_mb=72)
MIDDLE_MACHINE = process_rig.Machine(memory_mb=128)


def _announced(length, pieces, path='/plain/x'):
    yield process_rig.request_head(path, b'Content-Length: %d' % length)
    yield from itertools.repeat(PIECE, pieces)


def _chunks(chunk, count, path='/plain/x'):
    yield process_rig.request_head(path, CHUNKED)
    # Several small chunks are sent in one piece.
    at_once = max(1, len(PIECE) // len(chunk))
    for start in range(0, count, at_once):
        yield chunk * min(at_once, count - start)


def _trailers():
    yield process_rig.request_head('/plain/x', CHUNKED)
    yield scripted_target.chunk(PIECE) + b'0\r\n'
    line = b'X-Trailer: ' + b'z' * 4000 + b'\r\n'
    yield from itertools.repeat(line * 16, 32)


def test_bodies_that_stop_short_of_their_end(rig, clients):
    clients.join(60, lambda: _announced(NEAR_LIMIT_BYTES, NEAR_LIMIT_PIECES))
    clients.settle()
    rig.check()


def test_chunked_bodies_that_stop_short_of_their_end(rig, clients):
    chunk = scripted_target.chunk(PIECE)
    clients.join(60, lambda: _chunks(chunk, NEAR_LIMIT_PIECES))
    clients.settle()
    rig.check()


def test_bodies_far_over_the_limit(rig, clients):
    clients.join(60, lambda: _announced(1 << 30, 128))
    clients.settle()
    rig.check()


def test_chunked_bodies_far_over_the_limit(rig, clients):
    clients.join(60, lambda: _chunks(scripted_target.chunk(PIECE), 128))
    clients.settle()
    rig.check()


def test_bodies_of_requests_that_wait_for_their_target(rig, clients):
    length = NEAR_LIMIT_BYTES - 1
    clients.join(60, lambda: _announced(length, NEAR_LIMIT_PIECES, SILENT))
    clients.settle()
    rig.check()


@pytest.mark.parametrize('machine', [SMALL_MACHINE], ids=['small'])
def test_bodies_in_chunks_of_one_byte(rig, clients):
    one = scripted_target.chunk(b'x')
    clients.join(8, lambda: _chunks(one, 80_000))
    clients.settle()
    rig.check()


@pytest.mark.parametrize('machine', [MIDDLE_MACHINE], ids=['middle'])
def test_chunk_lines_with_long_extensions(rig, clients):
    chunk = b'1' + EXTENSION + b'\r\nx\r\n'
    clients.join(300, lambda: _chunks(chunk, 256))
    clients.settle()
    rig.check()


def test_chunk_line_without_end(rig, clients):
    clients.join(
        120,
        lambda: itertools.chain(
            [process_rig.request_head('/plain/x', CHUNKED), b'1;x='],
            itertools.repeat(PIECE, 48),
        ),
    )
    clients.settle()
    rig.check()


def test_trailers_without_end(rig, clients):
    clients.join(120, _trailers)
    clients.settle()
    rig.check()


@pytest.mark.parametrize(
    'port_index',
    range(1, 5),
    ids=['ready', 'directory', 'copies', 'metrics'],
)
def test_bodies_at_the_other_addresses(rig, clients):
    clients.join(60, lambda: _announced(NEAR_LIMIT_BYTES, NEAR_LIMIT_PIECES))
    clients.settle()
    rig.check()


@pytest.mark.parametrize('chunked', [False, True])
def test_one_body_of_the_limit_is_served_in_calm(rig, chunked):
    body = b'x' * process_rig.MAX_BODY_BYTES
    assert rig.ask(body=body, chunked=chunked) == 200
    assert rig.target.body_sizes[-1] == len(body)
    rig.check()


@pytest.mark.parametrize('chunked', [False, True])
def test_eight_bodies_of_the_limit_are_served_at_once(rig, chunked):
    body = b'x' * process_rig.MAX_BODY_BYTES
    asked = [
        gevent.spawn(rig.ask, '/plain/x', body, chunked) for _ in range(8)
    ]
    gevent.joinall(asked)
    assert [each.value for each in asked] == [200] * 8
    rig.check()
