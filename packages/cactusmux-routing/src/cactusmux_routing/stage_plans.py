"""Precomputed weighted distributions for the next stage of a route."""

import bisect
import functools
import hashlib
import itertools
from typing import NamedTuple

from . import links
from . import route_index
from . import traffic_assignment


class HolderDistribution(NamedTuple):
    """Holders of a next stage with their cumulative weights.

    ``ring`` holds the sorted points of a consistent hash ring,
    ``ring_holders`` the holder of each point.
    """

    holders: tuple[route_index.Holder, ...]
    cumulative: tuple[float, ...]
    ring: tuple[int, ...]
    ring_holders: tuple[route_index.Holder, ...]

    def holder_for_prefix(self, prefix_hash: int) -> route_index.Holder:
        """Returns the holder to which all instances send this prefix."""
        place = bisect.bisect(self.ring, prefix_hash & 0xFFFFFFFF)
        return self.ring_holders[place % len(self.ring_holders)]


class StagePlan:
    """Holder distributions by layer boundary and previous zone.

    :param index: holders that are part of a route; there must be one.
    :param shares: the intended spread of the traffic; if ``None``, holders are
        weighted by capacity, and by link delay after the first stage.
    """

    def __init__(
        self,
        index: route_index.RouteIndex,
        shares: traffic_assignment.TrafficShares | None,
        link_table: links.LinkTable,
    ) -> None:
        self._links = link_table
        self._index = index
        self.capacity_by_stage = stage_capacities(index)
        self._shares = shares or traffic_assignment.TrafficShares(
            self.capacity_by_stage, {}
        )
        self._distribution_by_place: dict[
            tuple[int, str], HolderDistribution
        ] = {}

    def distribution(self, boundary: int, before: str) -> HolderDistribution:
        """Returns the distribution at a boundary, computed on first use."""
        distribution = self._distribution_by_place.get((boundary, before))
        if distribution is None:
            distribution = self._make(boundary, before)
            self._distribution_by_place[boundary, before] = distribution
        return distribution

    def _make(self, boundary: int, before: str) -> HolderDistribution:
        holders = self._index.holders_by_first[boundary]
        stages = {_stage(holder) for holder in holders}
        weight_by_stage = self._weights(stages, boundary, before)
        if not any(weight_by_stage.values()):
            # None of the holders existed when the shares were computed.
            weight_by_stage = self.capacity_by_stage
        usable = []
        weights = []
        for holder in holders:
            stage = _stage(holder)
            fraction = _capacity_tps(holder) / self.capacity_by_stage[stage]
            if weight_by_stage[stage] * fraction > 0:
                usable.append(holder)
                weights.append(weight_by_stage[stage] * fraction)
        points = sorted(
            (_ring_point(holder.load.target.address), place)
            for place, holder in enumerate(usable)
        )
        return HolderDistribution(
            tuple(usable),
            tuple(itertools.accumulate(weights)),
            tuple(point for point, _ in points),
            tuple(usable[place] for _, place in points),
        )

    def _weights(
        self, stages: set[traffic_assignment.Stage], boundary: int, before: str
    ) -> dict[traffic_assignment.Stage, float]:
        shares = self._shares
        share_by_zone: dict[str, float] = {}
        for stage in stages:
            share = shares.share_by_stage.get(stage, 0.0)
            known = share_by_zone.get(stage.zone, 0.0)
            share_by_zone[stage.zone] = known + share
        hop_by_zone = {
            zone: shares.share_by_hop.get(
                traffic_assignment.Hop(boundary, before, zone), 0.0
            )
            for zone in share_by_zone
        }
        if boundary == 0:
            # Only the prompt is sent to the first stage, so that the link
            # hardly matters.
            hop_by_zone = share_by_zone
        elif not any(hop_by_zone.values()):
            hop_by_zone = {
                zone: share / self._links.between(before, zone).delay_s
                for zone, share in share_by_zone.items()
            }
        return {
            stage: hop_by_zone[stage.zone]
            * shares.share_by_stage.get(stage, 0.0)
            / max(share_by_zone[stage.zone], 1e-12)
            for stage in stages
        }


def stage_capacities(
    index: route_index.RouteIndex,
) -> dict[traffic_assignment.Stage, float]:
    """Sums the capacity of the holders of a zone with the same layers."""
    capacity_by_stage: dict[traffic_assignment.Stage, float] = {}
    for held in index.holders_by_first.values():
        for holder in held:
            stage = _stage(holder)
            known = capacity_by_stage.get(stage, 0.0)
            capacity_by_stage[stage] = known + _capacity_tps(holder)
    return capacity_by_stage


def _capacity_tps(holder: route_index.Holder) -> float:
    # A target's capacity is taken to be split equally between its holdings.
    return holder.load.capacity_tps / len(holder.load.target.holdings)


def _stage(holder: route_index.Holder) -> traffic_assignment.Stage:
    zone = holder.load.target.zone
    return traffic_assignment.Stage(holder.first, holder.last, zone)


@functools.lru_cache(maxsize=16384)
def _ring_point(address: str) -> int:
    digest = hashlib.blake2b(address.encode(), digest_size=4).digest()
    return int.from_bytes(digest)
