from cactusmux_relay import http_messages
from cactusmux_relay import request_body
import pytest

CHUNK_FRAMING = len(b'1\r\n') + len(b'\r\n')
BODY_BYTES = 4 << 20
RECEIVED_BYTES = 65536


def _hold(size):
    """Has room for any body."""


def test_body_in_chunks_of_one_byte_is_kept_to_the_limit():
    """The framing of a body inside the limits has to be allowed."""
    body = request_body.RequestBody(BODY_BYTES, _hold)
    data_per_receive = RECEIVED_BYTES // (CHUNK_FRAMING + 1)
    while body.size + data_per_receive <= BODY_BYTES:
        body.record_received(RECEIVED_BYTES)
        body.append(b'x' * data_per_receive)
    assert body.take() == b'x' * (BODY_BYTES // data_per_receive) * (
        data_per_receive
    )


# Guards against chunk extensions that are read without end.
def test_framing_out_of_proportion_to_its_body_is_refused():
    body = request_body.RequestBody(BODY_BYTES, _hold)
    with pytest.raises(http_messages.BadRequest) as refused:
        for _ in range(100):
            body.record_received(16384)
            body.append(b'x')
    assert refused.value.status == 400
    assert body.size < 10


def test_body_over_the_limit_is_refused():
    body = request_body.RequestBody(10, _hold)
    body.append(b'x' * 10)
    with pytest.raises(http_messages.BadRequest) as refused:
        body.append(b'x')
    assert refused.value.status == 413


def test_taken_body_is_released():
    body = request_body.RequestBody(10, _hold)
    body.append(b'abc')
    assert (body.take(), body.size) == (b'abc', 0)
