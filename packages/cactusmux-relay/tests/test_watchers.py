from cactusmux_relay import membership
from cactusmux_relay import watch_batching
from cactusmux_relay import watchers
import msgspec

ZONES = ('a', 'b', 'c')


def _fleet(count):
    return [
        membership.Instance(f'i{number}', ZONES[number % 3], 'r', 'e', 'x')
        for number in range(count)
    ]


def _watching(fleet):
    names = watchers.watcher_names(fleet)
    return [each for each in fleet if each.name in names]


def test_all_of_a_small_fleet_watch():
    fleet = _fleet(watch_batching.SMALL_FLEET_SIZE)
    assert _watching(fleet) == fleet


def test_few_of_each_zone_of_a_large_fleet_watch():
    zones = [each.zone for each in _watching(_fleet(58))]
    assert sorted(zones) == sorted(ZONES * watchers.WATCHERS_PER_ZONE)


def test_another_instance_replaces_a_lost_watcher():
    fleet = _fleet(58)
    lost = _watching(fleet)[0]
    remaining = [each for each in fleet if each != lost]
    zones = [each.zone for each in _watching(remaining)]
    assert sorted(zones) == sorted(ZONES * watchers.WATCHERS_PER_ZONE)


def test_instances_with_the_widest_links_watch():
    """All other instances of a zone fetch their copies from these."""
    fleet = [
        msgspec.structs.replace(each, link_mbps=200.0)
        if each.name in ('i55', 'i56', 'i57')
        else each
        for each in _fleet(58)
    ]
    assert {'i55', 'i56', 'i57'} <= set(watchers.watcher_names(fleet))
