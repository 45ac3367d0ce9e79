"""Tests of ``cactusmux check`` for the platform's configurations.

Instances accept the harmful ones, and log only the first fault of others.
"""

import copy
import time

from adapter import configuration_reader
from cactusmux import configuration_report
from cactusmux import program
from cactusmux_relay import configuration_changes
import msgspec
import pytest

READER = configuration_reader.READER
MODULE = 'adapter.configuration_reader'
GOOD = {
    'version': 7,
    'routes': [
        {
            'name': 'chat',
            'host_name': 'h.example',
            'path_prefix': '/a/',
            'route_kind': 'stream',
            'service_name': 's1',
            'max_attempts': 2,
            'stream_resumption': True,
        },
        {
            'name': 'pay',
            'host_name': 'h.example',
            'path_prefix': '/b/',
            'route_kind': 'unsafe',
            'traffic_split': [{'service_name': 's2', 'weight': 3}],
        },
    ],
    'services': [{'name': 's1'}, {'name': 's2'}],
    'limits': {},
    'tenants': [
        {'name': 'almaty', 'api_keys': ['k-1', 'k-2'], 'priority': 3},
        {'name': 'oskemen', 'api_keys': ['k-3']},
    ],
}
# A configuration of this size must be checked within this time.
LARGE_BYTES = 10_000_000
LARGE_S = 20.0


def _changed(*path_and_value):
    """Returns the good configuration with one value changed."""
    *path, value = path_and_value
    changed = copy.deepcopy(GOOD)
    place = changed
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return changed


def _report(config, in_force=None):
    text = config if isinstance(config, bytes) else msgspec.json.encode(config)
    present = msgspec.json.encode(in_force) if in_force else None
    return configuration_report.make('f', text, present, READER)


def _route(**fields):
    return {**GOOD['routes'][0], 'name': 'more', **fields}


def test_valid_configuration_has_status_0_and_no_findings():
    report = _report(GOOD)
    assert (report.exit_status, report.findings) == (0, ())
    assert report.as_text() == 'f: ok'


HARMFUL = [
    (
        _changed('routes', [*GOOD['routes'], _route(host_name='H.example')]),
        '$.routes[2]',
        '$.routes[0] has the same host and prefix',
    ),
    (
        _changed('routes', 0, 'host_name', 'h.example:443'),
        '$.routes[0]',
        'never matches',
    ),
    (
        _changed('routes', 0, 'path_prefix', 'a/'),
        '$.routes[0]',
        'never matches',
    ),
    (
        _changed('routes', 1, 'traffic_split', 0, 'weight', 0),
        '$.routes[1]',
        'no weight',
    ),
    (
        _changed('routes', 1, 'traffic_split', 0, 'service_name', 's9'),
        '$.routes[1]',
        "'s9' does not exist",
    ),
    (
        _changed('routes', 1, 'traffic_split', []),
        '$.routes[1]',
        'all are refused',
    ),
    (
        _changed('routes', 0, 'timeout_ms', 400),
        '$.routes[0]',
        'below the objective',
    ),
    (
        _changed('routes', 1, 'max_attempts', 3),
        '$.routes[1]',
        'may not be repeated',
    ),
    (
        _changed('routes', 0, 'gap_aim_ms', 20001),
        '$.routes[0]',
        'longer than the time limit',
    ),
    (
        _changed('limits', 'max_header_bytes', 5 << 20),
        '$.limits',
        'above the body limit',
    ),
    (
        _changed('tenants', 1, 'api_keys', ['k-3', 'k-1']),
        '$.tenants[1]',
        "has a key of 'almaty'",
    ),
    (_changed('services', 1, 'name', 's1'), '$.services[1]', 'stands twice'),
]


@pytest.mark.parametrize('config, place, message', HARMFUL)
def test_harmful_entries_are_reported_with_their_path(config, place, message):
    report = _report(config)
    assert report.exit_status == 1
    found = [each for each in report.findings if each.is_harmful]
    assert any(
        each.place == place and message in each.message for each in found
    ), found


def test_pause_limit_of_a_route_without_streams_is_ignored():
    """Otherwise its default would be reported for each short plain route."""
    report = _report(_changed('routes', 1, 'timeout_ms', 600))
    config = _changed('routes', 1, 'timeout_ms', 200)
    config['routes'][1]['target_latency_ms'] = 100
    assert report.exit_status == 0
    assert _report(config).exit_status == 0


def test_service_without_a_route_is_reported_as_harmless():
    config = _changed('services', [*GOOD['services'], {'name': 's3'}])
    report = _report(config)
    assert report.exit_status == 0
    assert [each.place for each in report.findings] == ['$.services[2]']


def test_all_faults_are_reported_at_once():
    """An instance logs only the first one."""
    config = _changed('routes', 0, 'timeout_ms', 'soon')
    config['routes'][0]['route_kind'] = 'strea'
    del config['routes'][1]['name']
    config['routes'][1]['traffic_split'][0]['weight'] = None
    config['tenants'][1]['api_keys'] = [7]
    report = _report(config)
    assert report.exit_status == 2
    assert [each.path for each in report.faults] == [
        '$.routes[0].route_kind',
        '$.routes[0].timeout_ms',
        '$.routes[1].name',
        '$.routes[1].traffic_split[0].weight',
        '$.tenants[1].api_keys[0]',
    ]


@pytest.mark.parametrize('text', [b'', b'{', b'\xff', b'[]', b'7', b'null'])
def test_invalid_text_is_unreadable(text):
    assert _report(text).exit_status == 2


def test_duplicate_keys_are_faults():
    """The decoder silently uses the last one."""
    report = _report(b'{"version": 1, "version": 2}')
    assert report.exit_status == 2
    assert report.faults[0].message == 'duplicate key'


def test_differences_from_the_version_in_force_have_an_effect():
    config = _changed('version', 8)
    config['routes'][0]['timeout_ms'] = 9000
    config['routes'][1]['name'] = 'paid'
    report = _report(config, GOOD)
    assert report.exit_status == 0
    places = [each.place for each in report.changes]
    assert places == [
        '$.routes.chat.timeout_s',
        '$.routes.paid',
        '$.routes.pay',
    ]
    assert (report.changes[0].before, report.changes[0].after) == (20.0, 9.0)
    assert 'kept waiting' in report.changes[0].effect
    assert report.changes[1].before is None
    assert report.changes[2].after is None


def test_each_field_has_an_effect_of_its_own():
    tree = READER.read(msgspec.json.encode(GOOD)).unwrap().tree
    for section in ('routes', 'services', 'organisations'):
        for entry in tree[section].values():
            for field in set(entry) - {'name'}:
                effect = READER.effect((section, 'x', field))
                assert effect != configuration_changes.UNKNOWN_EFFECT, field


def test_outdated_version_is_harmful():
    config = _changed('routes', 0, 'timeout_ms', 9000)
    report = _report(config, GOOD)
    assert report.exit_status == 1
    assert report.findings[0].place == '$.version'
    assert _report(GOOD, GOOD).exit_status == 0


def test_keys_are_never_shown():
    config = _changed('tenants', 1, 'api_keys', ['k-1', 'secret-key'])
    config['version'] = 8
    report = _report(config, GOOD)
    for told in (report.as_text(), report.as_json()):
        assert 'secret-key' not in told
        assert 'k-1' not in told
    assert any('.keys.' in each.place for each in report.changes)


def test_large_configuration_is_checked_within_seconds():
    """The search for faults must stay fast, as it visits each value."""
    config = copy.deepcopy(GOOD)
    number = 0
    size = 0
    while size < LARGE_BYTES:
        number += 1
        more = _route(name=f'r{number}', path_prefix=f'/p{number}/')
        config['routes'].append(more)
        size += len(msgspec.json.encode(more)) + 1
    text = msgspec.json.encode(config)
    begun = time.process_time()
    report = configuration_report.make('f', text, text, READER)
    assert report.exit_status == 0
    assert time.process_time() - begun < LARGE_S


@pytest.mark.parametrize(
    'config, status',
    [(GOOD, 0), (_changed('routes', 0, 'timeout_ms', 4), 1), ({}, 2)],
)
def test_command_exits_with_the_status_and_prints_json(
    tmp_path, capsys, config, status
):
    file = tmp_path / 'config.json'
    file.write_bytes(msgspec.json.encode(config))
    words = ['check', str(file), f'--reader={MODULE}']
    assert program.run(words) == status
    capsys.readouterr()
    assert program.run([*words, f'--in-force={file}', '--json']) == status
    told = msgspec.json.decode(capsys.readouterr().out)
    assert told['exit_status'] == status
    assert bool(told['faults']) == (status == 2)


def test_missing_reader_is_reported(tmp_path, capsys):
    file = tmp_path / 'config.json'
    file.write_bytes(b'{}')
    for module in ('adapter.nothing', 'adapter.documents'):
        assert program.run(['check', str(file), f'--reader={module}']) == 2
        assert module in capsys.readouterr().err
