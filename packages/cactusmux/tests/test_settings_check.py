"""Tests of the validation of settings."""

import json
import pathlib
from typing import Any

from cactusmux import settings_check
import pytest

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
GOOD: dict[str, Any] = {
    'instance_id': 'kz-a-1',
    'address': '127.0.0.1:8080',
    'peer_address': '127.0.0.1:8081',
    'region': 'kz-central',
    'zone': 'kz-central-a',
    'services': ['steppe-thread'],
    'platform': {
        'config_store': '127.0.0.1:1',
        'instance_list': '127.0.0.1:2',
        'weight_store': '127.0.0.1:3',
    },
}
BAD = [
    ({'address': 'localhost:80'}, ['$.address: ']),
    ({'address': '127.0.0.1:0'}, ['$.address: ']),
    ({'instance_id': 7}, ['$.instance_id: ']),
    ({'zones': 'x'}, ['$.zones: unknown key']),
    ({'services': []}, ['$.services: ']),
    ({'policy': 'best'}, ['$.policy: ']),
    (
        {'limits': {'token_gap_s': '400ms', 'max_requests': 0}},
        ['$.limits.token_gap_s: ', '$.limits.max_requests: '],
    ),
    (
        {'limits': {'token_gap_s': float('nan')}},
        ['$.limits.token_gap_s: not a finite number'],
    ),
    (
        {'limits': {'max_held_bytes': 4_194_304}},
        ['$.limits: Value error, max_held_bytes 4194304 is less than 2'],
    ),
    (
        {'limits': {'max_head_bytes': 0, 'max_connections': 0}},
        ['$.limits.max_head_bytes: ', '$.limits.max_connections: '],
    ),
    ({'platform': {}}, ['$.platform.config_store: required key is missing']),
]


def test_good_settings_are_accepted() -> None:
    checked = settings_check.check_settings(json.dumps(GOOD).encode())
    loaded = checked.unwrap()
    assert loaded.services == ('steppe-thread',)
    assert loaded.limits.max_requests == 2_000


@pytest.mark.parametrize('change, starts', BAD)
def test_each_fault_is_reported_with_its_path(
    change: dict[str, Any], starts: list[str]
) -> None:
    text = json.dumps({**GOOD, **change}).encode()
    faults = settings_check.check_settings(text).failure().faults
    lines = [f'{fault.path}: {fault.message}' for fault in faults]
    for start in starts:
        assert any(line.startswith(start) for line in lines), lines


def test_duplicate_key_is_a_fault() -> None:
    text = json.dumps(GOOD)[:-1] + ', "zone": "kz-central-b"}'
    faults = settings_check.check_settings(text.encode()).failure().faults
    assert [fault.path for fault in faults] == ['$.zone']


@pytest.mark.parametrize(
    'path', sorted(EXAMPLES.glob('settings/*.json')), ids=lambda p: p.name
)
def test_example_settings_are_valid(path: pathlib.Path) -> None:
    settings_check.check_settings(path.read_bytes()).unwrap()
