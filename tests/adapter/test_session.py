"""End-to-end tests over sockets: store, model servers, callers."""

import functools
import time

from adapter import documents
from cactusmux_fakes import scripted_target
from cactusmux_relay import membership
from cactusmux_relay import placement_storage
import gevent
import msgspec
import pytest

from . import session_world

# Time for orders that are under way when a store is restored.
RESTORE_AFTER_S = 2.0
# Instances renew their registration each 1.2 s, and agree within as long.
RESTORED_WITHIN_S = 3.0
HEARTBEAT_AFTER_REQUESTS = 60


@pytest.fixture(name='world')
def _world():
    world = session_world.World()
    yield world
    for instance, _ in world.instances:
        instance._entry.stop()
    world.store.stop()


def _is_denied(settings):
    return b' 401 ' in session_world.ask(settings, '/plain/x')[:20]


def _layers_are_there(world):
    return lambda: sum(each.layers['target'] for each in world.engines) > 0


def test_from_an_empty_store_to_a_served_stream(world):
    world.configure()
    instance, settings = world.start('front-a-1')
    session_world.until(lambda: instance.is_ready)
    session_world.until(_layers_are_there(world))
    session_world.until(
        lambda: b'200 ' in session_world.ask(settings, '/drafts/x')[:20]
    )
    received = session_world.ask(settings, '/drafts/x')
    for number in range(1, 7):
        assert scripted_target.event(number) in received
    stream = next(each.streams[-1] for each in world.engines if each.streams)
    passed = stream.value_by_header
    assert passed['x-cactusmux-tenant'] == 'hule930'
    assert 'authorization' not in passed
    assert passed['x-cactusmux-hop-count'].endswith('-8')
    assert stream.body == b'hi'


def test_unsafe_request_denied_and_served(world):
    world.configure()
    instance, settings = world.start('front-a-1')
    session_world.until(
        lambda: instance.is_ready and instance._book.ready('portal')
    )
    served = session_world.ask(settings, '/plain/x')
    assert served.startswith(b'HTTP/1.1 200')
    assert served.endswith(b'bought')
    assert session_world.ask(settings, '/plain/x', 'other').startswith(
        b'HTTP/1.1 401'
    )
    assert session_world.ask(settings, '/none/x').startswith(b'HTTP/1.1 404')
    assert len(world.portal.received) == 1


def test_instance_gets_configuration_from_a_peer_without_the_store(world):
    world.configure()
    first, _ = world.start('front-a-1')
    second, _ = world.start('front-a-2')
    session_world.until(lambda: first.is_ready and second.is_ready)
    session_world.until(lambda: len(second.directory.addresses('a')) == 2)
    # The second instance's watch no longer returns changes.
    prefix = documents.PREFIX
    mirror = second._mirror_by_prefix[prefix]
    mirror._watch = lambda: gevent.sleep(session_world.WAIT_S) or True
    world.store.put('op/config', {**session_world.CONFIG, 'version': 9})
    session_world.until(lambda: second.in_force.state.version == 9)


def test_revoked_key_is_rejected_by_all_instances(world):
    world.configure()
    pair = [world.start('front-a-1'), world.start('front-a-2')]
    session_world.until(lambda: all(instance.is_ready for instance, _ in pair))
    without = {**session_world.CONFIG, 'version': 4, 'tenants': []}
    world.store.put('op/config', without)
    for _, settings in pair:
        session_world.until(functools.partial(_is_denied, settings))


def test_stopping_instance_leaves_the_directory(world):
    world.configure()
    first, _ = world.start('front-a-1')
    second, settings = world.start('front-a-2')
    session_world.until(lambda: len(first.directory.addresses('a')) == 2)
    gevent.spawn(second.stop)
    left = [first._settings.entry_address]
    session_world.until(lambda: first.directory.addresses('a') == left)
    assert not second.is_ready


def test_leaving_server_gets_no_requests_until_it_restarts(world):
    world.configure()
    world.portal_leaves = True
    first, settings = world.start('front-a-1')
    second, _ = world.start('front-a-2')
    pair = (first, second)
    session_world.until(
        lambda: all(each._book.ready('portal') for each in pair)
    )
    said = session_world.ask(settings, '/plain/x')
    assert said.startswith(b'HTTP/1.1 200')
    assert b'server-leaving: 1' in said.lower()
    # The entry still has the state "ready", and is written again.
    world.register_portal(1790228837515)
    for number in range(3):
        refused = session_world.ask(
            settings, '/plain/x', request_id=f'r{number}'
        )
        assert refused.startswith(b'HTTP/1.1 503')
    assert len(world.portal.received) == 1
    session_world.until(lambda: not second._book.ready('portal'))
    world.portal_leaves = False
    world.register_portal(1790228837516)
    session_world.until(
        lambda: all(each._book.ready('portal') for each in pair)
    )
    assert session_world.ask(settings, '/plain/x').startswith(b'HTTP/1.1 200')


def test_server_with_a_leaving_report_gets_no_new_work(world):
    world.configure()
    instance, _ = world.start('front-a-1')
    session_world.until(_layers_are_there(world))
    world.engines[0].leaves = True
    session_world.until(lambda: instance._book.leaving())
    ready = {each.id for each in instance._book.ready('drafters')}
    assert ready == {'i-1', 'i-2'}


def test_ejections_of_two_instances_reach_a_third(world):
    """Ejections are exchanged: one has no effect, two exclude softly."""
    world.configure()
    instances = [world.start(f'n{index}')[0] for index in range(3)]
    for each in instances:
        session_world.until(
            lambda it=each: len(it._fleet.instances) == len(instances)
        )
        session_world.until(lambda it=each: it._book.target_by_id)
    *ejecting, third = instances
    target = next(iter(third._book.target_by_id.values()))
    ejecting[0]._failing.record_failure(target, is_answered=True)
    session_world.until(lambda: third._ejections.own())
    assert third._failing.ids() == frozenset()
    ejecting[1]._failing.record_failure(target, is_answered=True)
    session_world.until(lambda: third._failing.ids() == {target.id})


# Memory for half of the layers besides the KV cache of requests.
SMALL_CARD_MB = 3000.0


def _config_with_small_cards():
    """Returns a configuration in which no card holds all layers."""
    config = msgspec.json.decode(msgspec.json.encode(session_world.CONFIG))
    for kind in config['services'][1]['engine']['kinds']:
        kind['size_mb'] = SMALL_CARD_MB
    return config


def _hold_each_layer_twice(world):
    """Returns whether each range of layers is on at least two servers."""

    def hold():
        held = [
            (each.layers['from'], each.layers['target'])
            for each in world.engines
        ]
        return (0, 0) not in held and all(
            held.count(each) > 1 for each in held
        )

    return hold


def test_stream_continues_after_a_stage_of_its_path_stops(world):
    """Covers all components, with the order sent over HTTP."""
    world.engines = [session_world.Engine('small') for _ in range(8)]
    world.configure()
    world.store.put('op/config', _config_with_small_cards())
    instance, settings = world.start('front-a-1')
    session_world.until(lambda: instance.is_ready)
    session_world.until(_hold_each_layer_twice(world))
    engine_by_address = {each.target.address: each for each in world.engines}

    def lose(request):
        path = request.value_by_header['x-cactusmux-hop-count']
        stage = path.split(',')[1].partition('=')[0]
        engine_by_address[stage].target.stop()

    for each in world.engines:
        each.lose = lose
    session_world.until(
        lambda: session_world.ask(settings, '/drafts/x').startswith(
            b'HTTP/1.1 200'
        )
    )
    (first,) = [each for each in world.engines if each.paths]
    assert len(first.streams) == 1
    sent = first.streams[0].value_by_header['x-cactusmux-hop-count']
    changed = first.paths[0]
    assert changed.split(',')[0] == sent.split(',')[0]
    lost, taken_over = (each.split(',')[1] for each in (sent, changed))
    assert lost.partition('=')[2] == taken_over.partition('=')[2]
    assert lost != taken_over


def _agree(world, era):
    """Whether all mirrors of all instances equal the restored store."""
    for instance, _ in world.instances:
        for prefix, mirror in instance._mirror_by_prefix.items():
            found = world.store.memory.get_prefix(prefix).unwrap()
            if mirror.position.era != era:
                return False
            if mirror.entry_by_key != {each.key: each for each in found}:
                return False
    return True


def _serves(settings):
    return b'200 ' in session_world.ask(settings, '/drafts/x')[:20]


def _registered_names(world):
    found = world.store.memory.get_prefix(membership.PREFIX).unwrap()
    return {each.name for each in membership.decode_instances(list(found))}


def test_requests_are_served_while_the_store_is_restored(world):
    """What the instances wrote is written again; no layers are moved."""
    world.configure()
    saved = world.store.memory.save()
    names = {'front-a-1', 'front-a-2', 'front-a-3'}
    for name in sorted(names):
        world.start(name)
    instances = [instance for instance, _ in world.instances]
    session_world.until(lambda: all(each.is_ready for each in instances))
    session_world.until(_layers_are_there(world))
    gevent.sleep(RESTORE_AFTER_S)
    world.write_entries()
    for _, settings in world.instances:
        session_world.until(lambda given=settings: _serves(given))
    session_world.until(lambda: _registered_names(world) == names)
    orders = [each.orders for each in world.engines]

    world.store.memory.restore(saved)
    statuses = []
    begun = time.monotonic()
    while time.monotonic() - begun < RESTORED_WITHIN_S:
        if len(statuses) == HEARTBEAT_AFTER_REQUESTS:
            world.write_entries()
        for _, settings in world.instances:
            statuses.append(session_world.ask(settings, '/drafts/x')[9:12])
            statuses.append(session_world.ask(settings, '/plain/x')[9:12])
        gevent.sleep(0.05)
    assert set(statuses) == {b'200'}
    assert _registered_names(world) == names
    session_world.until(lambda: _agree(world, 1))
    session_world.until(
        lambda: world.store.memory.get_prefix(
            placement_storage.PREFIX
        ).unwrap()
    )
    assert [each.orders for each in world.engines] == orders


def test_configuration_of_a_restored_store_does_not_go_back(world):
    world.configure()
    saved = world.store.memory.save()
    instance, settings = world.start('front-a-1')
    session_world.until(lambda: instance.is_ready)
    world.store.put(
        'op/config', {**session_world.CONFIG, 'version': 9, 'tenants': []}
    )
    session_world.until(lambda: _is_denied(settings))
    world.store.memory.restore(saved)
    session_world.until(lambda: _agree(world, 1))
    for _ in range(5):
        assert _is_denied(settings)
        gevent.sleep(0.05)
    world.store.put('op/config', {**session_world.CONFIG, 'version': 10})
    session_world.until(lambda: not _is_denied(settings))
