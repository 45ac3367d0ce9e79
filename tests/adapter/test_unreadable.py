"""Whatever bytes other parties write, a decoder answers with one failure."""

import json

from adapter import documents
from adapter import engines
from adapter import entries
from adapter import kv_store
from cactusmux_base import decoding
from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_platform import http_calls
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from cactusmux_relay import targets
import hypothesis
from hypothesis import strategies
import pytest
from returns import result

DEPTHS = (100, 999, 1000, 2000, 100_000)
NESTED = [b'{"x":' + b'[' * depth for depth in DEPTHS]
NESTED += [b'{"layers":{"version":' + b'[' * depth for depth in DEPTHS]
NESTED += [
    b'{"x":%b1%b}' % (b'[' * depth, b']' * depth) for depth in DEPTHS[:3]
]
SERVER = {
    'service_name': 'drafters',
    'address': '10.0.0.1:80',
    'availability_zone': 'miraflores',
    'state': 'ready',
    'concurrency_slots': 4,
    'born': 1790000000000,
    'sequence_number': 3,
    'route_kind': 'a100',
    'layers': {'from': 0, 'target': 20, 'version': 1},
}
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text()
    | strategies.sampled_from((10**25, -1, '10.0.0.1:99999', '\x00:80', 'a')),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=6,
)
BODIES = (
    strategies.binary()
    | strategies.sampled_from(NESTED)
    | VALUES.map(lambda value: json.dumps(value).encode())
    | strategies.dictionaries(strategies.sampled_from(tuple(SERVER)), VALUES)
    .map(lambda changes: SERVER | changes)
    .map(lambda value: json.dumps(value).encode())
)


def _entry(value, key='servers/i-1'):
    return stores.Entry(key, value, 5)


def _response(body, status=200):
    return http_calls.Response(status, body)


# Guards against one entry whose nesting raises and so hides all others.
@pytest.mark.parametrize('value', NESTED)
def test_nested_bytes_name_no_target_and_no_configuration(value):
    assert entries.decode_target(_entry(value)) is None
    assert documents.decode_state(_entry(value)) is None


@hypothesis.given(BODIES)
def test_any_bytes_are_an_entry_or_none(value):
    found = entries.decode_target(_entry(value))
    assert found is None or isinstance(found, targets.Target)
    documents.decode_state(_entry(value))


@hypothesis.given(BODIES)
def test_any_bytes_are_a_report_or_a_failure(value):
    target = sample_engine.target('i-1', address='10.0.0.1:80')
    reported = engines._decode_report(target, _response(value))
    assert isinstance(reported, result.Success | result.Failure)
    assert isinstance(engines._address_at_fault(_response(value, 409)), str)


class _ScriptedCaller:
    def __init__(self, response):
        self._response = response

    def call(self, method, path, body, deadline_s):
        return result.Success(self._response)


def _store(body, status=200):
    eras = store_eras.StoreEras(timers.GeventTimers())
    store = kv_store.KvStore('127.0.0.1:1', eras)
    store._calls = _ScriptedCaller(_response(body, status))
    store._watches = store._calls
    return store


STORE_BODIES = BODIES | strategies.fixed_dictionaries(
    {},
    optional={
        'items': VALUES | strategies.lists(VALUES),
        'events': VALUES
        | strategies.lists(
            strategies.dictionaries(
                strategies.sampled_from(
                    ('key', 'revision', 'value', 'lease', 'tombstone')
                ),
                VALUES,
            )
        ),
        'current_rev': VALUES,
        'more_pages': VALUES,
        'revision': VALUES,
        'lease': VALUES,
        'key': VALUES,
    },
).map(lambda value: json.dumps(value).encode())


@hypothesis.given(STORE_BODIES, strategies.sampled_from((200, 404, 412, 503)))
def test_any_answer_of_the_store_is_a_result(body, status):
    store = _store(body, status)
    transaction = stores.Transaction(
        (stores.Condition('k', 1),), (stores.Write('k', b'v', 0),)
    )
    for found in (
        store.get('k'),
        store.read_prefix('servers/'),
        store.watch('servers/', 1, 0.1),
        store.transact(transaction),
        store.grant_lease(1.0),
    ):
        assert isinstance(found, result.Success | result.Failure)


# Guards against an unreadable answer that counts as an empty store.
@pytest.mark.parametrize('body', [b'[', b'[]', b'{}', NESTED[3], b'\xff'])
def test_unreadable_answer_is_not_an_empty_store(body):
    store = _store(body)
    assert isinstance(store.read_prefix('servers/'), result.Failure)
    assert isinstance(store.watch('servers/', 1, 0.1), result.Failure)
    written = store.transact(
        stores.Transaction((stores.Condition('k', 1),), deletes=('k',))
    )
    assert written == result.Failure(stores.OutcomeUnknown('k'))


# Guards against entries that fail in a later step: they can't be connected
# to, be named in a header or be told to peers.
@pytest.mark.parametrize(
    'changes, key',
    [
        ({'address': '10.0.0.1:65536'}, 'servers/i-1'),
        ({'address': '10.0.0.1:0'}, 'servers/i-1'),
        ({'address': '10.0.0.1:' + '9' * 5000}, 'servers/i-1'),
        ({'address': '10.0.0.1:²'}, 'servers/i-1'),
        ({'address': '\x00:80'}, 'servers/i-1'),
        ({'address': 'a..b:80'}, 'servers/i-1'),
        ({'born': 2**64}, 'servers/i-1'),
        ({'born': -1}, 'servers/i-1'),
        ({'sequence_number': 2**64}, 'servers/i-1'),
        ({'concurrency_slots': 10**24}, 'servers/i-1'),
        ({'layers': {'from': -5, 'target': 2**64}}, 'servers/i-1'),
        ({}, 'servers/'),
        ({}, 'servers/a\r\nb'),
        ({}, 'servers/\u00e9'),
    ],
)
def test_entry_out_of_range_names_no_target(changes, key):
    value = json.dumps(SERVER | changes).encode()
    assert entries.decode_target(_entry(value, key)) is None


def test_sound_entry_names_a_target():
    found = entries.decode_target(_entry(json.dumps(SERVER).encode()))
    assert found.address == '10.0.0.1:80'


@hypothesis.given(strategies.binary() | strategies.sampled_from(NESTED))
def test_decoders_raise_one_failure(data):
    for decode in (
        decoding.any_json,
        decoding.json_decoder(dict).decode,
        decoding.msgpack_decoder(dict).decode,
    ):
        try:
            decode(data)
        except decoding.Unreadable as unreadable:
            assert unreadable.cause
