import zlib

from cactusmux_platform import stores
from cactusmux_relay import copy_packing
from cactusmux_relay import store_mirror
import msgspec
import pytest
from returns import result

ROUTES = 1450


def _large_copy():
    routes = [
        {
            'name': f'route-{number}',
            'host_name': f'h{number}.example',
            'path_prefix': f'/a{number}/',
            'timeout_ms': 3000 + number,
        }
        for number in range(ROUTES)
    ]
    value = msgspec.json.encode({'version': 7, 'routes': routes})
    entry = stores.Entry('op/config', value, 12, 3)
    position = stores.Position(2, 15)
    last_change = stores.Position(2, 12)
    return store_mirror.Copy((entry,), position, last_change)


def test_large_copy_shrinks_to_a_fifth_and_is_read_back():
    copy = _large_copy()
    packed = copy_packing.pack(copy)
    assert len(packed) < len(copy.entries[0].value) / 5
    assert copy_packing.unpack(packed, 2) == result.Success(copy)


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'torn',
        copy_packing.pack(_large_copy())[:-9],
        zlib.compress(b'not a copy'),
    ],
)
def test_damaged_copy_is_a_failure(packed):
    failure = copy_packing.unpack(packed, 0).failure()
    assert isinstance(failure, copy_packing.CopyUnreadable)


def test_copy_that_is_too_large_unpacked_is_a_failure():
    packed = zlib.compress(bytes(copy_packing.MAX_UNPACKED_BYTES + 1), 9)
    failure = copy_packing.unpack(packed, 0).failure()
    assert failure.cause == 'too large'


def test_copy_of_too_many_entries_is_a_failure():
    entry = msgspec.msgpack.encode(stores.Entry('', b'', 0))
    count = (copy_packing.MAX_UNPACKED_BYTES - 100) // len(entry)
    head = b'\x94\xdd' + count.to_bytes(4, 'big')
    packed = zlib.compress(head + entry * count + bytes(3), 9)
    failure = copy_packing.unpack(packed, 0).failure()
    assert isinstance(failure, copy_packing.CopyUnreadable)
