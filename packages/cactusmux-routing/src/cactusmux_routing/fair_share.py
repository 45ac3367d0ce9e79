"""This instance's part of the pool, by service and organisation.

Every instance divides the whole pool alone, from the demand that it has
heard of and its own, and takes the part of each organisation's share that
matches its part of that organisation's demand.
"""

from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_control import documents

from . import demand
from . import max_min

STALE_AFTER_S = 3.0
# An instance's part of a service's demand is averaged over this time, as
# streams last about as long; it starts as an equal part.
PART_WINDOW_S = 6.0
# A part that is off by this factor is not noise: it is followed at once.
PART_JUMP = 3.0
# News of others counts once it is so much younger than our own asking.
SETTLE_S = 0.5
REFRESH_S = 0.5
UNLIMITED_TPS = 1e12
ZERO_PORTION = max_min.Portion(0.0, 0.0)


class ServicePolicy(NamedTuple):
    """What a service's document says of its share."""

    pool: documents.Pool
    weight_by_organisation: Mapping[str, float]


class Shares(NamedTuple):
    """This instance's parts, in tokens a second.

    A leaf's potential is what it would be granted if it alone asked for
    more. ``entitled_by_service`` holds when everybody asks for everything;
    the rest of what a service is granted is lent to it. ``limit_tps`` is
    all that this instance may use, ``capacity_tps`` the whole pool.
    """

    portion_by_leaf: dict[demand.Leaf, max_min.Portion]
    entitled_by_service: dict[str, float]
    limit_tps: float
    capacity_tps: float


class FairShare:
    """Divides the pool: services by share and floor, then organisations.

    :param meter: the demand at this instance.
    """

    def __init__(
        self, timer: timers.TimerService, meter: demand.DemandMeter
    ) -> None:
        self._timer = timer
        self._meter = meter
        self._capacity_tps = 0.0
        self._policy_by_service: dict[str, ServicePolicy] = {}
        self._heard_by_zone: dict[str, demand.ZoneDemand] = {}
        self._others_by_zone: dict[str, int] = {}
        self._shares = Shares({}, {}, 0.0, 0.0)
        self._part_by_service: dict[str, _Part] = {}
        self._parted_at = timer.now()
        self._refresh_at = 0.0

    def set_pool(
        self,
        capacity_tps: float,
        policy_by_service: Mapping[str, ServicePolicy],
    ) -> None:
        """Takes in the pool's capacity and the documents in force."""
        self._capacity_tps = capacity_tps
        self._policy_by_service = dict(policy_by_service)
        self._refresh_at = 0.0

    def set_peer_counts(self, others_by_zone: Mapping[str, int]) -> None:
        """Takes in how many other instances live in each zone."""
        self._others_by_zone = dict(others_by_zone)
        for zone in self._heard_by_zone.keys() - others_by_zone.keys():
            del self._heard_by_zone[zone]
        self._refresh_at = 0.0

    def update_demand(self, zones: Iterable[demand.ZoneDemand]) -> None:
        """Takes in what other instances say; older news is ignored."""
        for heard in zones:
            known = self._heard_by_zone.get(heard.zone)
            if known is None or known.taken_at <= heard.taken_at:
                self._heard_by_zone[heard.zone] = heard
        self._refresh_at = 0.0

    def shares(self) -> Shares:
        """Returns this instance's parts; at most ``REFRESH_S`` old."""
        if self._timer.now() >= self._refresh_at:
            return self.refresh()
        return self._shares

    def refresh(self) -> Shares:
        """Returns this instance's parts as of now."""
        now = self._timer.now()
        self._refresh_at = now + REFRESH_S
        self._shares = self._divide(now)
        return self._shares

    def _divide(self, now: float) -> Shares:
        own = self._meter.tps_by_leaf()
        others = self._others(own)
        whole_by_leaf = self._grant(own, others, now)
        portion_by_leaf = {}
        for leaf, tps in own.items():
            part = tps / (tps + others.get(leaf, 0.0))
            whole = whole_by_leaf.get(leaf, ZERO_PORTION)
            portion_by_leaf[leaf] = max_min.Portion(
                whole.granted * part, whole.potential * part
            )
        parts = self._service_parts(_sum(own), _sum(others), now)
        granted = _sum({x: y.granted for x, y in whole_by_leaf.items()})
        limit_tps = sum(granted.get(x, 0.0) * parts[x] for x in parts)
        spare_tps = max(self._capacity_tps - sum(granted.values()), 0.0)
        limit_tps += spare_tps / self._members()
        entitlement = self._entitlement()
        entitled = {x: entitlement.get(x, 0.0) * parts[x] for x in parts}
        return Shares(portion_by_leaf, entitled, limit_tps, self._capacity_tps)

    def _others(
        self, own: Mapping[demand.Leaf, float]
    ) -> dict[demand.Leaf, float]:
        """Adds up what others ask; unheard ones are taken to be like us."""
        others: dict[demand.Leaf, float] = {}
        for zone, instances in self._others_by_zone.items():
            heard = self._heard_by_zone.get(zone)
            if heard is None:
                for leaf, tps in own.items():
                    others[leaf] = others.get(leaf, 0.0) + tps * instances
                continue
            for leaf, tps in heard.tps_by_leaf.items():
                others[leaf] = others.get(leaf, 0.0) + tps
        return others

    def _grant(
        self,
        own: Mapping[demand.Leaf, float],
        others: Mapping[demand.Leaf, float],
        now: float,
    ) -> dict[demand.Leaf, max_min.Portion]:
        total = dict(others)
        for leaf, tps in own.items():
            total[leaf] = total.get(leaf, 0.0) + tps
        portion_by_leaf: dict[demand.Leaf, max_min.Portion] = {}
        services = self._by_service(_sum(total), now)
        for service, portion in services.items():
            portion_by_leaf.update(
                self._by_organisation(service, portion, total)
            )
        return portion_by_leaf

    def _by_service(
        self, total_by_service: Mapping[str, float], now: float
    ) -> dict[str, max_min.Portion]:
        claims = {}
        for service, policy in self._policy_by_service.items():
            asked = total_by_service.get(service, 0.0)
            floor = policy.pool.floor * self._capacity_tps
            if not policy.pool.lend:
                asked = max(asked, floor)
            claims[service] = max_min.Claim(asked, policy.pool.share, floor)
        portions = max_min.divide(self._capacity_tps, claims)
        entitled = self._entitlement()
        fresh = self._fresh_fraction(now)
        return {
            service: max_min.Portion(
                _without_stale_loans(granted, entitled[service], fresh),
                _without_stale_loans(potential, entitled[service], fresh),
            )
            for service, (granted, potential) in portions.items()
        }

    def _by_organisation(
        self,
        service: str,
        portion: max_min.Portion,
        total: Mapping[demand.Leaf, float],
    ) -> dict[demand.Leaf, max_min.Portion]:
        weights = self._policy_by_service[service].weight_by_organisation
        claims = {
            leaf: max_min.Claim(asked, weights.get(leaf.organisation, 0.0))
            for leaf, asked in total.items()
            if leaf.service == service
            and weights.get(leaf.organisation, 0.0) > 0
        }
        granted = max_min.divide(portion.granted, claims)
        more = max_min.divide(portion.potential, claims)
        return {
            leaf: max_min.Portion(granted[leaf].granted, more[leaf].potential)
            for leaf in claims
        }

    def _entitlement(self) -> dict[str, float]:
        claims = {
            service: max_min.Claim(
                UNLIMITED_TPS,
                policy.pool.share,
                policy.pool.floor * self._capacity_tps,
            )
            for service, policy in self._policy_by_service.items()
        }
        portions = max_min.divide(self._capacity_tps, claims)
        return {service: x.granted for service, x in portions.items()}

    def _service_parts(
        self,
        own: Mapping[str, float],
        others: Mapping[str, float],
        now: float,
    ) -> dict[str, float]:
        """Averages this instance's part of each service's demand.

        Parts that changed with every request would add up to more than
        one: what starts at a peak of the part still runs after it.
        """
        kept = math.exp((self._parted_at - now) / PART_WINDOW_S)
        self._parted_at = now
        parts = {}
        for service, tps in own.items():
            known = self._part_by_service.get(service)
            if known is None:
                known = _Part(1.0 / self._members(), now)
            elsewhere = others.get(service, 0.0)
            if self._oldest_news_at() < known.since + SETTLE_S:
                # The same callers may just have come to others too.
                elsewhere = max(elsewhere, tps * (self._members() - 1))
            part = tps / (tps + elsewhere)
            if 1.0 / PART_JUMP < part / known.part < PART_JUMP:
                part += (known.part - part) * kept
            parts[service] = _Part(part, known.since)
        self._part_by_service = parts
        return {service: part.part for service, part in parts.items()}

    def _oldest_news_at(self) -> float:
        """Returns when the least recent news of any zone was made."""
        return min(
            (
                heard.taken_at
                for zone, heard in self._heard_by_zone.items()
                if zone in self._others_by_zone
            ),
            default=math.inf,
        )

    def _fresh_fraction(self, now: float) -> float:
        """Returns how much of the fleet is heard of, by instances.

        What is lent rests on news that owners don't need it; an instance
        that hears of few lends little, down to nothing when cut off.
        """
        fresh = 1
        for zone, instances in self._others_by_zone.items():
            heard = self._heard_by_zone.get(zone)
            if heard and now - heard.taken_at <= STALE_AFTER_S:
                fresh += instances
        return fresh / self._members()

    def _members(self) -> int:
        return 1 + sum(self._others_by_zone.values())


class _Part(NamedTuple):
    part: float
    since: float


def _sum(tps_by_leaf: Mapping[demand.Leaf, float]) -> dict[str, float]:
    tps_by_service: dict[str, float] = {}
    for leaf, tps in tps_by_leaf.items():
        known = tps_by_service.get(leaf.service, 0.0)
        tps_by_service[leaf.service] = known + tps
    return tps_by_service


def _without_stale_loans(tps: float, entitled: float, fresh: float) -> float:
    return min(tps, entitled) + max(tps - entitled, 0.0) * fresh
