"""The list of instances, which of them watch, and which get notified."""

from cactusmux_base import timers
from cactusmux_platform import stores
from cactusmux_relay import fleet
from cactusmux_relay import membership
import msgspec

PREFIX = 'p/'


def _instance(name, zone='a'):
    return membership.Instance(name, zone, 'r', f'{name}:1', f'{name}:2')


def _entries(instances):
    return [
        stores.Entry(
            membership.PREFIX + each.name, msgspec.json.encode(each), 1, 0
        )
        for each in instances
    ]


def _large():
    zones = 'abc'
    return [
        _instance(f'i{number:02}', zones[number % 3]) for number in range(30)
    ]


def test_followers_of_a_watcher_are_the_others_of_its_zone():
    instances = _large()
    found = fleet.Fleet(instances[0], timers.ManualTimers())
    found.update(_entries(instances), True)
    notified = found.follower_addresses()
    zone = [each for each in instances if each.zone == 'a']
    assert notified == [each.exchange_address for each in zone[2:]]


def test_all_of_a_small_fleet_watch_without_followers():
    instances = _large()[:8]
    found = fleet.Fleet(instances[5], timers.ManualTimers())
    found.update(_entries(instances), True)
    assert found.should_watch(PREFIX)
    assert found.follower_addresses() == []


def _notified_by(own, is_from_peer):
    instances = _large()
    found = fleet.Fleet(instances[own], timers.ManualTimers())
    found.update(_entries(instances), True)
    return found.addresses_to_notify(is_from_peer)


def test_configuration_that_watches_missed_is_not_pulled_from_finder():
    """Guards against 194 peers fetching from the one small finder."""
    finder = 20
    assert len(_notified_by(finder, is_from_peer=False)) == 6
    assert _notified_by(finder, is_from_peer=True) == []


def test_configuration_reaches_every_instance_through_watchers():
    notified = set()
    for watcher in range(6):
        notified.update(_notified_by(watcher, is_from_peer=True))
    followers = _large()[6:]
    assert notified == {each.exchange_address for each in followers}


def test_watcher_that_reads_a_configuration_notifies_other_watchers():
    notified = _notified_by(0, is_from_peer=False)
    assert len(notified) == 8 + 5


def test_all_of_a_small_fleet_are_notified():
    instances = _large()[:8]
    found = fleet.Fleet(instances[5], timers.ManualTimers())
    found.update(_entries(instances), True)
    assert len(found.addresses_to_notify(is_from_peer=False)) == 7
    assert found.addresses_to_notify(is_from_peer=True) == []


def test_instance_keeps_watching_while_its_own_entry_has_expired():
    instances = _large()[:8]
    found = fleet.Fleet(instances[5], timers.ManualTimers())
    found.update(_entries(instances), True)
    found.update(_entries(instances[:2]), False)
    assert found.should_watch(PREFIX)


def test_unlisted_instance_watches_the_list_alone_at_first():
    """Guards against all instances watching everything after a joint start."""
    timer = timers.ManualTimers()
    found = fleet.Fleet(_instance('new'), timer)
    found.update(_entries(_large()), True)
    assert found.should_watch(membership.PREFIX)
    assert not found.should_watch(PREFIX)
    timer.advance(fleet.MAX_UNLISTED_S + 0.1)
    assert found.should_watch(PREFIX)


def test_update_returns_whether_the_instance_has_gained_followers():
    instances = _large()
    found = fleet.Fleet(instances[6], timers.ManualTimers())
    assert not found.update(_entries(instances), True)
    left = instances[6:]
    assert found.update(_entries(left), True)
    assert not found.update(_entries(left), True)


def test_instances_are_kept_while_entries_may_still_be_rewritten():
    """Otherwise answers name only the first to return after an outage."""
    instances = _large()
    found = fleet.Fleet(instances[0], timers.ManualTimers())
    found.update(_entries(instances), True)
    found.update(_entries(instances[:2]), False)
    assert len(found.instances) == 30
    found.update(_entries(instances[:2]), True)
    assert len(found.instances) == 2


def test_fleet_is_small_while_all_watch():
    instances = _large()
    found = fleet.Fleet(instances[0], timers.ManualTimers())
    assert found.is_small
    found.update(_entries(instances[:12]), True)
    assert found.is_small
    found.update(_entries(instances), True)
    assert not found.is_small
