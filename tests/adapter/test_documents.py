from adapter import documents
from adapter import entries
from cactusmux_platform import stores
from cactusmux_relay import desired_state
from cactusmux_relay import targets
import msgspec
import pytest

ROUTE = {
    'name': 'r-1',
    'host_name': 'h.example',
    'path_prefix': '/a/',
    'route_kind': 'stream',
    'timeout_ms': 20000,
    'target_latency_ms': 500,
    'priority': 1,
    'traffic_split': [
        {'service_name': 's1', 'weight': 90},
        {'service_name': 's2', 'weight': 10},
    ],
    'max_attempts': 2,
    'anonymous_access': False,
    'session_affinity': True,
    'stream_resumption': True,
    'gap_aim_ms': 250,
}
ENGINE = {
    'concurrency_slots': 96,
    'kv_cache_tokens': 50000,
    'kv_token_bytes': 1180000,
    'stride': 4,
    'models': [{'name': 'm', 'pace': 1.0, 'load_s': 14.0}],
    'step_ms': 1.02,
    'per_seq_ms': 0.00918,
    'context_per_k': 0.0123,
    'read_per_s': 164000.0,
    'loads_at_once': 6,
    'usual': {'prompt': 774, 'answer': 210},
    'layers': 80,
    'layer_mb': 1750.0,
    'act_bytes': 59000,
    'pipe_mbps': 19000.0,
    'kinds': [{'name': 'l4', 'size_mb': 21600.0, 'pace': 16.0, 'read_x': 8.2}],
}
CONFIG = {
    'version': 7,
    'routes': [
        ROUTE,
        {
            'name': 'r-2',
            'host_name': 'h.example',
            'path_prefix': '/b/',
            'route_kind': 'unsafe',
            'service_name': 's2',
        },
    ],
    'services': [
        {'name': 's1', 'health_check_path': '/health', 'engine': ENGINE},
        {'name': 's2', 'connection_limit': 51},
    ],
    'limits': {'max_header_bytes': 16384, 'idle_timeout_ms': 15000},
    'tenants': [{'name': 'almaty', 'api_keys': ['k1', 'k2'], 'priority': 1}],
    'something_new': {'x': 1},
}


def _entry(value, key='op/config'):
    return stores.Entry(key, value, 3)


def _decode(config):
    return documents.decode_state(_entry(msgspec.json.encode(config)))


def test_desired_state_is_read():
    state = _decode(CONFIG)
    stream, unsafe = state.routes
    assert state.version == 7
    assert stream.kind is desired_state.RequestKind.STREAM
    assert stream.services == (('s1', 90.0), ('s2', 10.0))
    assert (stream.timeout_s, stream.objective_s, stream.gap_s) == (
        20.0,
        0.5,
        0.25,
    )
    assert stream.can_resume
    assert not stream.is_open
    assert unsafe.services == (('s2', 1.0),)
    assert not unsafe.is_idempotent
    assert state.organisation_by_key['k2'] == ('almaty', 1)
    assert state.needs_keys
    assert state.limits.idle_timeout_s == 15.0


def test_engine_is_converted_to_internal_units():
    engine = _decode(CONFIG).service_by_name['s1'].engine
    assert engine.token_mb == 1.18
    assert engine.load_s == 14.0
    assert engine.event_tokens == 4
    assert round(engine.pipe_tokens_per_s) == 40254
    assert engine.card_by_name['l4'] == ('l4', 21600.0, 16.0, 8.2)
    assert _decode(CONFIG).service_by_name['s2'].engine is None


def test_state_without_organisations_needs_no_keys():
    config = {name: CONFIG[name] for name in CONFIG if name != 'tenants'}
    assert not _decode(config).needs_keys


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'{"version": "seven"}',
        b'{"version": 7, "routes": [{}]}',
        b'\xff\xfe',
        b'[]',
    ],
)
def test_unreadable_state_is_none(value):
    assert documents.decode_state(_entry(value)) is None


SERVER = {
    'service_name': 's1',
    'address': '10.128.0.9:8080',
    'availability_zone': 'a',
    'version': 'v1',
    'concurrency_slots': 96,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'stage': 'both',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'sequence_number': 4,
    'born': 1790228837515,
    'route_kind': 'l4',
    'layers': {'from': 8, 'target': 16, 'version': 1},
}


def _target(**changes):
    value = msgspec.json.encode({**SERVER, **changes})
    return entries.decode_target(_entry(value, 'servers/i-1'))


def test_server_entry_is_read():
    target = _target()
    assert target.id == 'i-1'
    assert target.card == 'l4'
    assert target.layers == targets.LayerRange(8, 16)
    assert target.order_number == 4
    assert target.born_ms == 1790228837515
    assert not target.is_leaving
    assert _target(state='draining').is_leaving


def test_server_without_layers_holds_none():
    assert _target(layers=None).layers == targets.NO_LAYERS
    empty = {'from': 0, 'target': 0, 'version': 0}
    assert _target(layers=empty).layers == targets.NO_LAYERS


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'sleeping'},
        {'state': 3},
        {'address': 'nowhere'},
        {'address': None},
        {'service_name': ['s1']},
        {'concurrency_slots': 'many'},
        {'layers': {'from': 'a', 'target': 3}},
    ],
)
def test_invalid_entry_is_ignored(changes):
    assert _target(**changes) is None


@pytest.mark.parametrize('value', [b'', b'{"serv', b'\xff\xff', b'null'])
def test_truncated_entry_is_ignored(value):
    assert entries.decode_target(_entry(value, 'servers/i-1')) is None
