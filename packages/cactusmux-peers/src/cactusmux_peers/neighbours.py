"""Selection of gossip peers, cached until the membership view changes."""

import enum
import random

from . import members
from . import membership
from . import records


class Scope(enum.IntEnum):
    """The members whose records a pull requests."""

    REGION = 0
    ELSEWHERE = 1


class Neighbours:
    """The other live members of each scope, and their record origins."""

    def __init__(
        self, view: membership.Membership, rng: random.Random
    ) -> None:
        self._view = view
        self._rng = rng
        self._order_by_scope: dict[Scope, list[str]] = {}
        self._live: tuple[members.Member, ...] = ()
        self._others_by_scope: dict[Scope, list[members.Member]] = {}
        self._origins_by_scope: dict[Scope, list[int]] = {}

    def scope_of(self, member: members.Member) -> Scope:
        """Returns the scope of a pull from ``member``."""
        if member.region == self._view.own.region:
            return Scope.REGION
        return Scope.ELSEWHERE

    def origins(self, scope: Scope) -> list[int]:
        """Returns the origins whose records are exchanged in a scope."""
        self._refresh()
        return self._origins_by_scope[scope]

    def sample(self, scope: Scope, count: int) -> list[members.Member]:
        """Returns up to ``count`` random members, including suspects.

        Message loss alone can make a member suspect, and it still needs
        the notices.
        """
        self._refresh()
        others = self._others_by_scope[scope]
        return self._rng.sample(others, min(count, len(others)))

    def next(self, scope: Scope) -> members.Member | None:
        """Returns the next member of a round-robin order.

        The order is shuffled anew for each round; ``None`` if the scope
        has no other member.
        """
        order = self._order_by_scope.setdefault(scope, [])
        for _ in range(2):
            while order:
                member = self._view.get(order.pop())
                if member is not None and member.is_live:
                    return member
            self._refresh()
            order.extend(
                member.instance_id for member in self._others_by_scope[scope]
            )
            self._rng.shuffle(order)
        return None

    def _refresh(self) -> None:
        live = self._view.live()
        if live is self._live:
            return
        self._live = live
        in_region = [m for m in live if m.region == self._view.own.region]
        self._set(Scope.REGION, in_region)
        elsewhere = [m for m in live if m.region != self._view.own.region]
        self._set(Scope.ELSEWHERE, elsewhere)

    def _set(self, scope: Scope, within: list[members.Member]) -> None:
        own_id = self._view.own.instance_id
        self._others_by_scope[scope] = [
            member for member in within if member.instance_id != own_id
        ]
        self._origins_by_scope[scope] = [
            records.origin_of(member.instance_id) for member in within
        ]
