"""This instance's part of the pool, by service and organisation.

Every instance divides the whole pool alone, from the demand that it has
heard of and its own, and takes the part of each organisation's share that
matches its part of that organisation's demand.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_control import documents

from . import demand
from . import max_min

STALE_AFTER_S = 3.0
# So long after an organisation begins to ask, others may not have told.
SETTLE_S = 1.5
REFRESH_S = 0.1
UNLIMITED_TPS = 1e12
NOTHING = max_min.Portion(0.0, 0.0)


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

    def set_members(self, others_by_zone: Mapping[str, int]) -> None:
        """Takes in how many other instances live in each zone."""
        self._others_by_zone = dict(others_by_zone)
        for zone in self._heard_by_zone.keys() - others_by_zone.keys():
            del self._heard_by_zone[zone]
        self._refresh_at = 0.0

    def hear(self, zones: Iterable[demand.ZoneDemand]) -> None:
        """Takes in what other instances say; older news is ignored."""
        for heard in zones:
            known = self._heard_by_zone.get(heard.zone)
            if known is None or known.taken_at <= heard.taken_at:
                self._heard_by_zone[heard.zone] = heard
        self._refresh_at = 0.0

    def shares(self) -> Shares:
        """Returns this instance's parts; at most ``REFRESH_S`` old."""
        if self._timer.now() >= self._refresh_at:
            return self.renew()
        return self._shares

    def renew(self) -> Shares:
        """Returns this instance's parts as of now."""
        now = self._timer.now()
        self._refresh_at = now + REFRESH_S
        self._shares = self._divide(now)
        return self._shares

    def _divide(self, now: float) -> Shares:
        own = self._meter.tps_by_leaf()
        others = self._others(own)
        whole_by_leaf = self._grant(own, others, now)
        part_by_leaf = {
            leaf: self._part(leaf, own[leaf], others.get(leaf, 0.0), now)
            for leaf in own
        }
        portion_by_leaf = {}
        for leaf, part in part_by_leaf.items():
            whole = whole_by_leaf.get(leaf, NOTHING)
            portion_by_leaf[leaf] = max_min.Portion(
                whole.granted * part, whole.potential * part
            )
        granted_tps = sum(x.granted for x in whole_by_leaf.values())
        spare_tps = max(self._capacity_tps - granted_tps, 0.0)
        limit_tps = sum(x.granted for x in portion_by_leaf.values())
        limit_tps += spare_tps / self._members()
        entitled = self._entitle(own, part_by_leaf)
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
        total_by_service: dict[str, float] = {}
        for leaf, tps in total.items():
            known = total_by_service.get(leaf.service, 0.0)
            total_by_service[leaf.service] = known + tps
        portion_by_leaf: dict[demand.Leaf, max_min.Portion] = {}
        services = self._by_service(total_by_service, now)
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

    def _entitle(
        self,
        own: Mapping[demand.Leaf, float],
        part_by_leaf: Mapping[demand.Leaf, float],
    ) -> dict[str, float]:
        """Splits entitlements by this instance's part of the demand."""
        entitled = {}
        for service, tps in self._entitlement().items():
            asked = {leaf: x for leaf, x in own.items() if x > 0}
            asked = {x: asked[x] for x in asked if x.service == service}
            # Own demand over everybody's, leaf by leaf.
            total = sum(asked[x] / max(part_by_leaf[x], 1e-9) for x in asked)
            part = sum(asked.values()) / total if total > 0 else 0.0
            entitled[service] = tps * part
        return entitled

    def _part(
        self, leaf: demand.Leaf, own: float, others: float, now: float
    ) -> float:
        if now - self._meter.since(leaf) < SETTLE_S:
            # The same callers may just have come to others too.
            others = max(others, own * (self._members() - 1))
        return own / (own + others) if own > 0 else 0.0

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


def _without_stale_loans(tps: float, entitled: float, fresh: float) -> float:
    return min(tps, entitled) + max(tps - entitled, 0.0) * fresh
