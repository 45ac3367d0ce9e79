"""Whom this instance exchanges records with, kept until the view changes."""

import random

from . import members
from . import membership
from . import publisher
from . import records


class Neighbours:
    """The other live members of each scope, and the origins of records."""

    def __init__(self, view: membership.Membership) -> None:
        self._view = view
        self._live: tuple[members.Member, ...] = ()
        self._candidates_by_scope: dict[
            publisher.Scope, list[members.Member]
        ] = {}
        self._origins_by_scope: dict[publisher.Scope, list[int]] = {}

    def origins(self, scope: publisher.Scope) -> list[int]:
        """Returns the origins whose records a scope exchanges."""
        self._refresh()
        return self._origins_by_scope[scope]

    def sample(
        self, scope: publisher.Scope, count: int, rng: random.Random
    ) -> list[members.Member]:
        """Returns up to ``count`` members; suspects only if no other."""
        self._refresh()
        candidates = self._candidates_by_scope[scope]
        return rng.sample(candidates, min(count, len(candidates)))

    def _refresh(self) -> None:
        live = self._view.live()
        if live is self._live:
            return
        self._live = live
        near = [m for m in live if m.region == self._view.own.region]
        self._set(publisher.Scope.REGION, near)
        self._set(publisher.Scope.EVERYWHERE, list(live))

    def _set(
        self, scope: publisher.Scope, within: list[members.Member]
    ) -> None:
        own_id = self._view.own.instance_id
        others = [m for m in within if m.instance_id != own_id]
        trusted = [m for m in others if m.state is not members.State.SUSPECT]
        self._candidates_by_scope[scope] = trusted or others
        self._origins_by_scope[scope] = [
            records.origin_of(member.instance_id) for member in within
        ]
