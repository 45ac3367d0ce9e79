"""This instance's share of the pool, by service and organisation.

Every instance divides the whole pool independently, from its own demand and
the demand reported by peers. Of each organisation's share it takes the
fraction that corresponds to its fraction of that organisation's demand.
"""

from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_control import documents

from . import demand
from . import max_min

STALE_AFTER_S = 3.0
# An instance's fraction of a service's demand is averaged over this time,
# which is about the duration of a stream. It starts as an equal fraction.
PART_WINDOW_S = 6.0
# A fraction that changes by this factor is not noise and is applied at once.
PART_JUMP = 3.0
# Reports of peers count once they are this much newer than the first local
# demand for the service.
SETTLE_S = 0.5
REFRESH_S = 0.5
UNLIMITED_TPS = 1e12
ZERO_PORTION = max_min.Portion(0.0, 0.0)


class ServicePolicy(NamedTuple):
    """The settings of a service's document that concern its share."""

    pool: documents.Pool
    weight_by_organisation: Mapping[str, float]


class Shares(NamedTuple):
    """This instance's shares, in tokens per second.

    A leaf's potential is the rate it would be granted if it alone asked for
    more. ``entitled_by_service`` is the rate guaranteed when every service has
    unlimited demand; anything granted beyond it is borrowed. ``limit_tps`` is
    the total that this instance may use, ``capacity_tps`` the whole pool.
    """

    portion_by_leaf: dict[demand.Leaf, max_min.Portion]
    entitled_by_service: dict[str, float]
    limit_tps: float
    capacity_tps: float


class FairShare:
    """Divides the pool by share and floor of services, then by organisation.

    :param meter: the demand at this instance.
    """

    def __init__(
        self, timer: timers.TimerService, meter: demand.DemandMeter
    ) -> None:
        self._timer = timer
        self._meter = meter
        self._capacity_tps = 0.0
        self._policy_by_service: dict[str, ServicePolicy] = {}
        self._demand_by_zone: dict[str, demand.ZoneDemand] = {}
        self._peers_by_zone: dict[str, int] = {}
        self._shares = Shares({}, {}, 0.0, 0.0)
        self._part_by_service: dict[str, _Part] = {}
        self._averaged_at = timer.now()
        self._refresh_at = 0.0

    def set_pool(
        self,
        capacity_tps: float,
        policy_by_service: Mapping[str, ServicePolicy],
    ) -> None:
        """Sets the pool's capacity and the service policies in force."""
        self._capacity_tps = capacity_tps
        self._policy_by_service = dict(policy_by_service)
        self._refresh_at = 0.0

    def set_peer_counts(self, peers_by_zone: Mapping[str, int]) -> None:
        """Sets the number of peers in each zone."""
        self._peers_by_zone = dict(peers_by_zone)
        for zone in self._demand_by_zone.keys() - peers_by_zone.keys():
            del self._demand_by_zone[zone]
        self._refresh_at = 0.0

    def update_demand(self, zones: Iterable[demand.ZoneDemand]) -> None:
        """Stores the demand reported by peers; older reports are ignored."""
        for reported in zones:
            known = self._demand_by_zone.get(reported.zone)
            if known is None or known.taken_at <= reported.taken_at:
                self._demand_by_zone[reported.zone] = reported
        self._refresh_at = 0.0

    def shares(self) -> Shares:
        """Returns this instance's shares, at most ``REFRESH_S`` old."""
        if self._timer.now() >= self._refresh_at:
            return self.refresh()
        return self._shares

    def refresh(self) -> Shares:
        """Recomputes and returns this instance's shares."""
        now = self._timer.now()
        self._refresh_at = now + REFRESH_S
        self._shares = self._divide(now)
        return self._shares

    def _divide(self, now: float) -> Shares:
        own = self._meter.tps_by_leaf()
        peer_tps = self._peer_demand(own)
        whole_by_leaf = self._grant(own, peer_tps, now)
        portion_by_leaf = {}
        for leaf, tps in own.items():
            part = tps / (tps + peer_tps.get(leaf, 0.0))
            whole = whole_by_leaf.get(leaf, ZERO_PORTION)
            portion_by_leaf[leaf] = max_min.Portion(
                whole.granted * part, whole.potential * part
            )
        parts = self._service_parts(_sum(own), _sum(peer_tps), now)
        granted = _sum({x: y.granted for x, y in whole_by_leaf.items()})
        limit_tps = sum(granted.get(x, 0.0) * parts[x] for x in parts)
        spare_tps = max(self._capacity_tps - sum(granted.values()), 0.0)
        limit_tps += spare_tps / self._instance_count()
        entitlement = self._entitlement()
        entitled = {x: entitlement.get(x, 0.0) * parts[x] for x in parts}
        return Shares(portion_by_leaf, entitled, limit_tps, self._capacity_tps)

    def _peer_demand(
        self, own: Mapping[demand.Leaf, float]
    ) -> dict[demand.Leaf, float]:
        """Sums the demand of peers.

        Peers of a zone without a report are assumed to have this instance's
        demand.
        """
        peer_tps: dict[demand.Leaf, float] = {}
        for zone, instances in self._peers_by_zone.items():
            reported = self._demand_by_zone.get(zone)
            if reported is None:
                for leaf, tps in own.items():
                    peer_tps[leaf] = peer_tps.get(leaf, 0.0) + tps * instances
                continue
            for leaf, tps in reported.tps_by_leaf.items():
                peer_tps[leaf] = peer_tps.get(leaf, 0.0) + tps
        return peer_tps

    def _grant(
        self,
        own: Mapping[demand.Leaf, float],
        peer_tps: Mapping[demand.Leaf, float],
        now: float,
    ) -> dict[demand.Leaf, max_min.Portion]:
        total = dict(peer_tps)
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
                _limit_loans(granted, entitled[service], fresh),
                _limit_loans(potential, entitled[service], fresh),
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
        with_potential = max_min.divide(portion.potential, claims)
        return {
            leaf: max_min.Portion(
                granted[leaf].granted, with_potential[leaf].potential
            )
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
        peer_tps: Mapping[str, float],
        now: float,
    ) -> dict[str, float]:
        """Averages this instance's fraction of each service's demand.

        Without averaging, the fractions of all instances would add up to more
        than one: streams that start at a peak of the fraction are still
        running after it.
        """
        kept = math.exp((self._averaged_at - now) / PART_WINDOW_S)
        self._averaged_at = now
        parts = {}
        for service, tps in own.items():
            known = self._part_by_service.get(service)
            if known is None:
                known = _Part(1.0 / self._instance_count(), now)
            elsewhere = peer_tps.get(service, 0.0)
            if self._oldest_report_at() < known.since + SETTLE_S:
                # The same callers may just have reached peers too.
                elsewhere = max(elsewhere, tps * (self._instance_count() - 1))
            part = tps / (tps + elsewhere)
            if 1.0 / PART_JUMP < part / known.part < PART_JUMP:
                part += (known.part - part) * kept
            parts[service] = _Part(part, known.since)
        self._part_by_service = parts
        return {service: part.part for service, part in parts.items()}

    def _oldest_report_at(self) -> float:
        """Returns the time of the least recent report of any zone."""
        return min(
            (
                reported.taken_at
                for zone, reported in self._demand_by_zone.items()
                if zone in self._peers_by_zone
            ),
            default=math.inf,
        )

    def _fresh_fraction(self, now: float) -> float:
        """Returns the fraction of the fleet with fresh reports, by instances.

        Lending relies on reports that the owners do not need their share. An
        instance that receives few reports lends little, and almost nothing
        when it is isolated.
        """
        fresh = 1
        for zone, instances in self._peers_by_zone.items():
            reported = self._demand_by_zone.get(zone)
            if reported and now - reported.taken_at <= STALE_AFTER_S:
                fresh += instances
        return fresh / self._instance_count()

    def _instance_count(self) -> int:
        return 1 + sum(self._peers_by_zone.values())


class _Part(NamedTuple):
    part: float
    since: float


def _sum(tps_by_leaf: Mapping[demand.Leaf, float]) -> dict[str, float]:
    tps_by_service: dict[str, float] = {}
    for leaf, tps in tps_by_leaf.items():
        known = tps_by_service.get(leaf.service, 0.0)
        tps_by_service[leaf.service] = known + tps
    return tps_by_service


def _limit_loans(tps: float, entitled: float, fresh: float) -> float:
    return min(tps, entitled) + max(tps - entitled, 0.0) * fresh
