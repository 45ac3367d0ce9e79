"""Which instance does which job, as far as the view of members says.

Views may differ for a few seconds, and then two instances or none hold a
job. What must have one holder needs a lease besides.
"""

from collections.abc import Iterable

from cactusmux_platform import instances

from . import members
from . import membership
from . import rendezvous

POLLERS_PER_TARGET = 2
WATCHERS_PER_ZONE = 2


class JobAssignments:
    """Chooses among the members that are not about to stop."""

    def __init__(self, view: membership.Membership) -> None:
        self._view = view
        self._pollers_by_target: dict[
            tuple[str, str, str], tuple[members.Member, ...]
        ] = {}
        self._chosen_for: tuple[members.Member, ...] = ()

    def pollers_of(
        self, target: instances.ListedInstance
    ) -> tuple[members.Member, ...]:
        """Returns who polls a target.

        Members of its zone, or of its region if the zone has too few; none
        if the region has no member.
        """
        if self._chosen_for is not self._view.live():
            self._chosen_for = self._view.live()
            self._pollers_by_target.clear()
        place = (target.address, target.region, target.zone)
        pollers = self._pollers_by_target.get(place)
        if pollers is None:
            pollers = self._choose_pollers(target)
            self._pollers_by_target[place] = pollers
        return pollers

    def targets_to_poll(
        self, listed: Iterable[instances.ListedInstance]
    ) -> list[instances.ListedInstance]:
        """Returns the listed engines that this instance polls."""
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
        """Returns who watches documents in the store for a zone."""
        candidates = [m for m in self._staying() if m.zone == zone]
        return rendezvous.choose(
            f'watch/{zone}', candidates, WATCHERS_PER_ZONE
        )

    def is_watcher(self) -> bool:
        """Tells whether this instance watches for its zone."""
        own = self._view.own
        return any(
            member.instance_id == own.instance_id
            for member in self.watchers_of(own.zone)
        )

    def owner_of(self, key_range: str) -> members.Member | None:
        """Returns who owns a range of keys; ``None`` without members."""
        owners = rendezvous.choose(f'own/{key_range}', self._staying(), 1)
        return owners[0] if owners else None

    def _staying(self) -> list[members.Member]:
        return [member for member in self._view.live() if member.is_eligible]

    def _choose_pollers(
        self, target: instances.ListedInstance
    ) -> tuple[members.Member, ...]:
        near = [m for m in self._staying() if m.region == target.region]
        nearest = [m for m in near if m.zone == target.zone]
        candidates = nearest if len(nearest) >= POLLERS_PER_TARGET else near
        return rendezvous.choose(
            f'poll/{target.address}', candidates, POLLERS_PER_TARGET
        )
