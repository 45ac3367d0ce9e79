"""An entry that can't be applied holds up no other."""

from cactusmux_base import events
from cactusmux_fakes import sample_engine
from cactusmux_platform import stores
from cactusmux_relay import desired_state
from cactusmux_relay import request_handling
from cactusmux_relay import segments
from cactusmux_relay import target_registry
from cactusmux_relay import target_roster
import pytest

SERVICE = 'drafters'


class _Mirror:
    is_settled = True
    position = stores.Position(1, 5)

    def __init__(self):
        self.entry_by_key = {}

    def put(self, name, value, revision):
        key = f'servers/{name}'
        self.entry_by_key[key] = stores.Entry(key, value, revision)


class _Down:
    def update(self, target_by_id):
        pass


class _Timer:
    def every(self, seconds, callback):
        pass


def _decode(entry):
    if entry.value == b'raise':
        raise RecursionError('too deep')
    target = sample_engine.target(entry.key.removeprefix('servers/'))
    return target._replace(is_leaving=entry.value == b'leaving')


@pytest.fixture(name='logged')
def _logged(monkeypatch):
    logged = []
    monkeypatch.setattr(
        events, 'error', lambda name, **fields: logged.append(name)
    )
    return logged


@pytest.fixture(name='registry')
def _registry():
    return target_registry.TargetRegistry()


@pytest.fixture(name='mirror')
def _mirror():
    return _Mirror()


@pytest.fixture(name='roster')
def _roster(registry, mirror):
    roster = target_roster.TargetRoster(
        registry,
        _Down(),
        request_handling.ConfigurationInForce(),
        _Timer(),
        _decode,
    )
    roster.read_from(mirror)
    return roster


# Guards against a target that leaves unheard beside an entry that raises.
def test_entry_that_raises_hides_no_other(registry, mirror, roster, logged):
    mirror.put('i-0', b'raise', 1)
    mirror.put('i-1', b'ready', 2)
    roster.update()
    assert not registry.target_by_id['i-1'].is_leaving
    mirror.put('i-1', b'leaving', 3)
    mirror.put('i-2', b'ready', 4)
    roster.update()
    assert registry.target_by_id['i-1'].is_leaving
    assert 'i-2' in registry.target_by_id
    assert 'i-0' not in registry.target_by_id


def test_entry_that_raises_is_logged_once(mirror, roster, logged):
    mirror.put('i-0', b'raise', 1)
    for revision in range(2, 6):
        mirror.put('i-1', b'ready', revision)
        roster.update()
    assert logged == ['target_entry_failed']
    mirror.put('i-0', b'raise', 9)
    roster.update()
    assert logged == ['target_entry_failed'] * 2


# Guards against one service whose segments fail and so hides the others.
def test_service_whose_segments_fail_hides_no_other(
    monkeypatch, registry, logged
):
    engine = sample_engine.ENGINE
    service_by_name = {
        name: desired_state.Service(name, '/health', 100, engine)
        for name in ('broken', SERVICE)
    }
    real = segments.SegmentGraph

    def make(engine, ready):
        if any(each.service == 'broken' for each in ready):
            raise OverflowError('out of range')
        return real(engine, ready)

    monkeypatch.setattr(segments, 'SegmentGraph', make)
    registry.replace(
        [
            sample_engine.target('i-0')._replace(service='broken'),
            sample_engine.target('i-1')._replace(service=SERVICE),
        ],
        service_by_name,
    )
    assert registry.graph(SERVICE) is not None
    assert registry.graph('broken') is None
    assert registry.ready(SERVICE)
    assert logged == ['segments_not_computed']
