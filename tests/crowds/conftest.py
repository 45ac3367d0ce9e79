"""Fixtures of the crowd tests."""

import pytest

from . import crowd
from . import process_rig


@pytest.fixture(name='machine')
def _machine():
    """The machine of the process; a test may name another."""
    return process_rig.Machine()


@pytest.fixture(name='rig')
def _rig(tmp_path, machine):
    rig = process_rig.ProcessRig(tmp_path, machine)
    try:
        rig.start()
        yield rig
    finally:
        rig.stop()


@pytest.fixture(name='port_index')
def _port_index():
    """Which address the crowd connects to; a test may name another."""
    return 0


@pytest.fixture(name='clients')
def _clients(rig, port_index):
    gathered = crowd.Crowd(rig, rig.ports[port_index])
    yield gathered
    gathered.leave()
