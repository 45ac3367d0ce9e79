"""Ready-made weighted draws of the next stage of a route."""

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

    ``ring`` are hash points in order, ``ring_holders`` the holder of each.
    """

    holders: tuple[route_index.Holder, ...]
    cumulative: tuple[float, ...]
    ring: tuple[int, ...]
    ring_holders: tuple[route_index.Holder, ...]

    def holder_for_prefix(self, prefix_hash: int) -> route_index.Holder:
        """Returns the holder that all instances send this prefix to."""
        place = bisect.bisect(self.ring, prefix_hash & 0xFFFFFFFF)
        return self.ring_holders[place % len(self.ring_holders)]


class StagePlan:
    """Draws by boundary and by the zone that activations come from.

    :param index: holders that lie on a route; there must be one.
    :param shares: how the traffic is to be spread; ``None`` goes by
        capacity, and by nearness where activations are passed on.
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
        self._draw_by_place: dict[tuple[int, str], HolderDistribution] = {}

    def distribution(self, boundary: int, before: str) -> HolderDistribution:
        """Returns the draw at a boundary; made when first asked for."""
        draw = self._draw_by_place.get((boundary, before))
        if draw is None:
            draw = self._make(boundary, before)
            self._draw_by_place[boundary, before] = draw
        return draw

    def _make(self, boundary: int, before: str) -> HolderDistribution:
        holders = self._index.holders_by_first[boundary]
        stages = {_stage(holder) for holder in holders}
        weight_by_stage = self._weights(stages, boundary, before)
        if not any(weight_by_stage.values()):
            # All holders are newer than the shares.
            weight_by_stage = self.capacity_by_stage
        drawn = []
        weights = []
        for holder in holders:
            stage = _stage(holder)
            part = _capacity_tps(holder) / self.capacity_by_stage[stage]
            if weight_by_stage[stage] * part > 0:
                drawn.append(holder)
                weights.append(weight_by_stage[stage] * part)
        points = sorted(
            (_ring_point(holder.load.target.address), place)
            for place, holder in enumerate(drawn)
        )
        return HolderDistribution(
            tuple(drawn),
            tuple(itertools.accumulate(weights)),
            tuple(point for point, _ in points),
            tuple(drawn[place] for _, place in points),
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
            # Only the prompt comes here: the link hardly matters.
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
    """Adds up the holders of a zone that hold the same layers."""
    capacity_by_stage: dict[traffic_assignment.Stage, float] = {}
    for held in index.holders_by_first.values():
        for holder in held:
            stage = _stage(holder)
            known = capacity_by_stage.get(stage, 0.0)
            capacity_by_stage[stage] = known + _capacity_tps(holder)
    return capacity_by_stage


def _capacity_tps(holder: route_index.Holder) -> float:
    # What a target gives one of several holdings is taken to be equal.
    return holder.load.capacity_tps / len(holder.load.target.holdings)


def _stage(holder: route_index.Holder) -> traffic_assignment.Stage:
    zone = holder.load.target.zone
    return traffic_assignment.Stage(holder.first, holder.last, zone)


@functools.lru_cache(maxsize=16384)
def _ring_point(address: str) -> int:
    digest = hashlib.blake2b(address.encode(), digest_size=4).digest()
    return int.from_bytes(digest)
