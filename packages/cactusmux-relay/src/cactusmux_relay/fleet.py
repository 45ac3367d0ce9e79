"""The list of present instances and which of them watch the store."""

from collections.abc import Iterable

from cactusmux_base import timers
from cactusmux_platform import stores

from . import instance_rank
from . import membership
from . import watchers

# An instance missing from the list for longer than this watches all prefixes:
# its peers can't send it changes.
MAX_UNLISTED_S = 3.0


class Fleet:
    """Maintains the list of instances, including this one.

    Leases expire during an outage of the store, also those of healthy
    instances. So an instance whose entry is missing is kept until the store
    has been back for some seconds.

    :ivar instance_by_name: the present instances.
    """

    def __init__(
        self, own: membership.Instance, timer: timers.TimerService
    ) -> None:
        self._own = own
        self._timer = timer
        self._listed_at = timer.now()
        self.instance_by_name: dict[str, membership.Instance] = {}
        self._watcher_names: frozenset[str] = frozenset()

    def update(
        self, entries: Iterable[stores.Entry], is_settled: bool
    ) -> bool:
        """Updates the list from the entries in the store.

        :param is_settled: whether missing entries have really been removed.
        :returns: whether this instance has just become a watcher with
            followers.
        """
        found = membership.decode_instances(list(entries))
        instance_by_name = {each.name: each for each in found}
        if not is_settled:
            for name, known in self.instance_by_name.items():
                instance_by_name.setdefault(name, known)
        was_listed = self._own.name in self.instance_by_name
        if was_listed:
            self._listed_at = self._timer.now()
        self.instance_by_name = instance_by_name
        had_followers = self._has_followers
        self._watcher_names = watchers.watcher_names(self.instances)
        return self._has_followers and not had_followers

    @property
    def _has_followers(self) -> bool:
        return self._own.name in self._watcher_names and bool(
            self.follower_addresses()
        )

    @property
    def instances(self) -> list[membership.Instance]:
        """The present instances."""
        return list(self.instance_by_name.values())

    @property
    def turn(self) -> instance_rank.InstanceRank:
        """This instance's place in work that all instances share."""
        names = self.instance_by_name.keys()
        place = sum(name < self._own.name for name in names)
        return instance_rank.InstanceRank(place, len(names))

    @property
    def is_small(self) -> bool:
        """Whether all instances watch the store themselves."""
        return self.watcher_count == len(self.instance_by_name)

    @property
    def watcher_count(self) -> int:
        """Returns how many instances watch the store."""
        return len(self._watcher_names)

    def peer_addresses(self) -> list[str]:
        """Returns the exchange addresses of all peers."""
        return [
            each.exchange_address
            for each in self.instance_by_name.values()
            if each.name != self._own.name
        ]

    def follower_addresses(self) -> list[str]:
        """Returns the addresses of the zone's instances that don't watch."""
        return [
            each.exchange_address
            for each in self.instance_by_name.values()
            if each.zone == self._own.zone
            and each.name != self._own.name
            and each.name not in self._watcher_names
        ]

    def addresses_to_notify(self, is_from_peer: bool) -> list[str]:
        """Returns the peers to notify at once of a large change.

        Each of them fetches a copy. In a large fleet, no instance serves
        copies to all others: watchers notify the followers in their zone,
        and an instance that found a change missed by watches notifies the
        watchers.

        :param is_from_peer: whether the change came from a peer.
        """
        if self.is_small:
            return [] if is_from_peer else self.peer_addresses()
        addresses: list[str] = []
        if self._own.name in self._watcher_names:
            addresses = self.follower_addresses()
        if not is_from_peer:
            addresses = addresses + self._watcher_addresses()
        return addresses

    def _watcher_addresses(self) -> list[str]:
        return [
            each.exchange_address
            for each in self.instance_by_name.values()
            if each.name in self._watcher_names and each.name != self._own.name
        ]

    def should_watch(self, prefix: str) -> bool:
        """Whether this instance should watch a prefix itself.

        Until it is listed, it watches only the list of instances. Once
        listed, it knows whether peers can send it the other prefixes.
        """
        if self._own.name in self.instance_by_name:
            return self._own.name in self._watcher_names
        if prefix == membership.PREFIX:
            return True
        return self._timer.now() - self._listed_at > MAX_UNLISTED_S
