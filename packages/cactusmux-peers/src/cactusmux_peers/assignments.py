"""Assigns jobs to instances by the membership view.

Views may differ for a few seconds; meanwhile a job may have two holders or
none. Jobs that require exactly one holder need a lease in addition.
"""

from collections.abc import Iterable

from cactusmux_platform import instances

from . import members
from . import membership
from . import rendezvous

POLLERS_PER_TARGET = 2
WATCHERS_PER_ZONE = 2


class JobAssignments:
    """Assigns jobs to members that are alive and not about to stop."""

    def __init__(self, view: membership.Membership) -> None:
        self._view = view
        self._pollers_by_target: dict[
            tuple[str, str, str], tuple[members.Member, ...]
        ] = {}
        self._cached_view: tuple[members.Member, ...] = ()

    def pollers_of(
        self, target: instances.ListedInstance
    ) -> tuple[members.Member, ...]:
        """Returns the members that poll a target.

        They are chosen from its zone, or from its region if the zone has
        fewer than ``POLLERS_PER_TARGET`` members; empty if the region has
        no member.
        """
        if self._cached_view is not self._view.live():
            self._cached_view = self._view.live()
            self._pollers_by_target.clear()
        cache_key = (target.address, target.region, target.zone)
        pollers = self._pollers_by_target.get(cache_key)
        if pollers is None:
            pollers = self._choose_pollers(target)
            self._pollers_by_target[cache_key] = pollers
        return pollers

    def targets_to_poll(
        self, listed: Iterable[instances.ListedInstance]
    ) -> list[instances.ListedInstance]:
        """Returns the listed engines that this instance has to poll."""
        own = self._view.own
        return [
            target
            for target in listed
            if target.role is instances.Role.ENGINE
            and target.region == own.region
            and any(
                poller.instance_id == own.instance_id
                for poller in self.pollers_of(target)
            )
        ]

    def watchers_of(self, zone: str) -> tuple[members.Member, ...]:
        """Returns the members that watch the document store for a zone."""
        candidates = [m for m in self._eligible() if m.zone == zone]
        return rendezvous.choose(
            f'watch/{zone}', candidates, WATCHERS_PER_ZONE
        )

    def is_watcher(self) -> bool:
        """Returns whether this instance is a watcher of its zone."""
        own = self._view.own
        return any(
            member.instance_id == own.instance_id
            for member in self.watchers_of(own.zone)
        )

    def owner_of(self, key_range: str) -> members.Member | None:
        """Returns the owner of a key range; ``None`` without members."""
        owners = rendezvous.choose(f'own/{key_range}', self._eligible(), 1)
        return owners[0] if owners else None

    def _eligible(self) -> list[members.Member]:
        return [member for member in self._view.live() if member.is_eligible]

    def _choose_pollers(
        self, target: instances.ListedInstance
    ) -> tuple[members.Member, ...]:
        in_region = [m for m in self._eligible() if m.region == target.region]
        in_zone = [m for m in in_region if m.zone == target.zone]
        candidates = (
            in_zone if len(in_zone) >= POLLERS_PER_TARGET else in_region
        )
        return rendezvous.choose(
            f'poll/{target.address}', candidates, POLLERS_PER_TARGET
        )
