import importlib
import subprocess
import sys

from adapter import settings
import pytest
from returns import result

TEXT = """node_name=front-a-1
role=router
ip_address=10.1.0.40
availability_zone=a
region=r
listen_addresses.frontend=10.1.0.40:8227
listen_addresses.ready=10.1.0.40:8220
listen_addresses.directory_service=10.1.0.40:8224
internal_port_range=7340,7355
bounds.retry_budget_ratio=0.2
bounds.extra_retries=200
bounds.retry_window_s=10
bounds.grace_period_s=8
bounds.ttl_max_s=5
platform_api.address=10.200.1.7:8223
something.new=1,2,3
# a comment=1
"""


def test_settings_are_read_and_unknown_ones_ignored():
    read = settings.parse(TEXT).unwrap()
    assert read.node_name == 'front-a-1'
    assert read.entry_address == '10.1.0.40:8227'
    assert (read.exchange_port, read.metrics_port) == (7340, 7341)
    assert read.repeat_ratio == 0.2
    assert read.repeat_allowance == 200.0


def test_cores_are_scaled_by_the_cpu_fraction():
    assert settings.parse(TEXT).unwrap().cores == 0.0
    limits = 'limits.cpu_fraction=0.25\nlimits.cpu_cores=2\n'
    assert settings.parse(TEXT + limits).unwrap().cores == 0.5


def test_limit_on_descriptors_is_read():
    assert settings.parse(TEXT).unwrap().descriptors == 0
    limit = 'limits.file_descriptors=4200\n'
    assert settings.parse(TEXT + limit).unwrap().descriptors == 4200


@pytest.mark.parametrize('value', ['many', '-1', '4200.5', '1e3', '9' * 5000])
def test_invalid_limit_on_descriptors_is_reported(value):
    found = settings.parse(TEXT + f'limits.file_descriptors={value}\n')
    invalid = settings.SettingInvalid('limits.file_descriptors', value)
    assert found.failure() == invalid


def test_memory_of_the_machine_is_read_and_unknown_without_it():
    assert settings.parse(TEXT).unwrap().memory_mb == 0.0
    limit = 'limits.memory_mb=300\n'
    assert settings.parse(TEXT + limit).unwrap().memory_mb == 300.0


@pytest.mark.parametrize('value', ['much', '-1', 'nan', 'inf'])
def test_invalid_memory_of_the_machine_is_reported(value):
    match settings.parse(f'{TEXT}limits.memory_mb={value}\n'):
        case result.Failure(settings.SettingInvalid(name='limits.memory_mb')):
            return
    pytest.fail(value)


@pytest.mark.parametrize(
    'name, value',
    [
        ('node_name', ''),
        ('ip_address', ''),
        ('listen_addresses.frontend', '10.1.0.40'),
        ('listen_addresses.ready', '10.1.0.40:http'),
        ('internal_port_range', '7340'),
        ('bounds.grace_period_s', 'long'),
    ],
)
def test_invalid_setting_is_reported(name, value):
    lines = [
        f'{name}={value}' if line.startswith(name + '=') else line
        for line in TEXT.splitlines()
    ]
    match settings.parse('\n'.join(lines)):
        case result.Failure(settings.SettingInvalid() as failure):
            assert failure.name == name
            assert name in str(failure)
        case other:
            raise AssertionError(other)


def test_missing_file_is_a_typed_failure(monkeypatch, tmp_path):
    path = str(tmp_path / 'missing')
    monkeypatch.setenv(settings.PATH_VARIABLE, path)
    match settings.read():
        case result.Failure(settings.SettingsUnreadable() as failure):
            assert failure.path == path
        case other:
            raise AssertionError(other)


def test_standard_library_module_platform_is_not_shadowed():
    """The adapter's tests are in tests/adapter for the same reason."""
    assert importlib.import_module('platform').python_version()
    command = 'import platform; print(platform.python_version())'
    shown = subprocess.run(
        [sys.executable, '-c', command], capture_output=True, check=True
    )
    assert shown.stdout.decode().strip() == sys.version.split()[0]
