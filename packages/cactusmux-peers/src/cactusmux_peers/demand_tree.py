"""Aggregates demand over a tree of the members of a zone.

Each member sends the sum of its subtree to its parent; the root publishes
the sum of the zone. The tree is computed from the membership view alone:
members are ordered by id and each has up to ``FANOUT`` children.
"""

from collections.abc import Mapping
from typing import NamedTuple
import zlib

from cactusmux_base import timers

from . import levels
from . import members
from . import membership
from . import payloads
from . import peers_pb2

FANOUT = 2
# The sum of a child that has not reported for longer is dropped.
CHILD_TTL_S = 7.0
# While views differ, parent links may form a cycle; this bounds how far a
# sum travels.
MAX_HEIGHT = 8


class _Child(NamedTuple):
    stamp: float
    height: int
    rate_by_key: Mapping[int, float]


class DemandTree:
    """The position of this instance in its zone's tree, and child sums."""

    def __init__(
        self, view: membership.Membership, timer: timers.TimerService
    ) -> None:
        self._view = view
        self._timer = timer
        self._own_rate_by_key: dict[int, float] = {}
        self._name_by_key: dict[int, payloads.DemandKey] = {}
        self._child_by_id: dict[str, _Child] = {}
        self._requested_keys: set[int] = set()
        self._ordered_view: tuple[members.Member, ...] = ()
        self._ordered: list[members.Member] = []

    def set_own_rates(
        self, rate_by_organisation: Mapping[payloads.DemandKey, float]
    ) -> None:
        """Replaces the rates of this instance, in requests per second."""
        self._own_rate_by_key = {}
        for name, rate in rate_by_organisation.items():
            key = key_of(payloads.DemandKey(*name))
            self._name_by_key[key] = payloads.DemandKey(*name)
            if rate > 0:
                self._own_rate_by_key[key] = rate

    def parent(self) -> members.Member | None:
        """Returns the parent of this instance; ``None`` for the root."""
        return self._parent_of(self._view.own.instance_id)

    def receive(
        self, child_id: str, subtree: peers_pb2.SubtreeDemand
    ) -> list[int]:
        """Stores the sum of a child; returns keys whose name is unknown."""
        if not self._is_child(child_id) or subtree.height >= MAX_HEIGHT:
            return []
        if len(subtree.keys) != len(subtree.levels):
            raise ValueError(f'demand of {child_id!r} has unequal lists')
        for name in subtree.names:
            demand_key = payloads.DemandKey(name.service, name.organisation)
            self._name_by_key[key_of(demand_key)] = demand_key
        rates = {
            key: levels.from_level(level, levels.RATE_UNIT_PER_S)
            for key, level in zip(subtree.keys, subtree.levels, strict=True)
        }
        self._child_by_id[child_id] = _Child(
            self._timer.now(), subtree.height, rates
        )
        return [key for key in rates if key not in self._name_by_key]

    def subtree(self) -> peers_pb2.SubtreeDemand:
        """Returns the sum to send to the parent."""
        rate_by_key = self.subtree_rates()
        heights = [child.height for child in self._child_by_id.values()]
        names = [
            self._name_by_key[key]
            for key in self._requested_keys
            if key in self._name_by_key
        ]
        # If this message is lost, the parent requests the names again.
        self._requested_keys = set()
        return peers_pb2.SubtreeDemand(
            height=1 + max(heights, default=0),
            keys=list(rate_by_key),
            levels=bytes(
                levels.to_level(rate, levels.RATE_UNIT_PER_S)
                for rate in rate_by_key.values()
            ),
            names=[
                peers_pb2.DemandName(
                    service=name.service, organisation=name.organisation
                )
                for name in names
            ],
        )

    def set_requested_keys(self, keys: set[int]) -> None:
        """Records the keys whose names the parent has requested."""
        self._requested_keys = keys

    def subtree_rates(self) -> dict[int, float]:
        """Returns the rates of the subtree by key, in requests per second."""
        self._drop_expired_children()
        rate_by_key = dict(self._own_rate_by_key)
        for child in self._child_by_id.values():
            for key, rate in child.rate_by_key.items():
                rate_by_key[key] = rate_by_key.get(key, 0.0) + rate
        return rate_by_key

    def named_subtree_rates(self) -> dict[payloads.DemandKey, float]:
        """Returns the subtree rates of keys whose name is known."""
        return {
            self._name_by_key[key]: rate
            for key, rate in self.subtree_rates().items()
            if key in self._name_by_key
        }

    def _is_child(self, instance_id: str) -> bool:
        parent = self._parent_of(instance_id)
        return parent is not None and parent == self._view.own

    def _drop_expired_children(self) -> None:
        oldest = self._timer.now() - CHILD_TTL_S
        expired = [
            child_id
            for child_id, child in self._child_by_id.items()
            if child.stamp < oldest or not self._is_child(child_id)
        ]
        for child_id in expired:
            del self._child_by_id[child_id]

    def _parent_of(self, instance_id: str) -> members.Member | None:
        ordered = self._zone_members()
        for index, member in enumerate(ordered):
            if member.instance_id == instance_id and index > 0:
                return ordered[(index - 1) // FANOUT]
        return None

    def _zone_members(self) -> list[members.Member]:
        live = self._view.live()
        if live is not self._ordered_view:
            zone = self._view.own.zone
            self._ordered_view = live
            self._ordered = [m for m in live if m.zone == zone]
        return self._ordered


def key_of(name: payloads.DemandKey) -> int:
    """Returns a 32-bit hash of the service and organisation names."""
    return zlib.crc32(f'{name.service}/{name.organisation}'.encode())
