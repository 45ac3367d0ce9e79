"""Supplies admission with documents, pool capacity and demand."""

import collections
from collections.abc import Mapping

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_control import in_force
from cactusmux_peers import payloads
from cactusmux_peers import peer_service
from cactusmux_routing import admission
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from cactusmux_routing import model_capacity

from . import pool_view

PERIOD_S = 0.5


class AdmissionFeed:
    """Publishes local demand to peers, and passes theirs to admission.

    The pool consists of the targets in this instance's region, since routes
    don't leave it.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        sink: metrics.Metrics,
        meter: demand.DemandMeter,
        share: fair_share.FairShare,
        controller: admission.AdmissionController,
        peers: peer_service.PeerService,
        held: in_force.DocumentsInForce,
        pool: pool_view.PoolView,
    ) -> None:
        self._timer = timer
        self._metrics = sink
        self._meter = meter
        self._share = share
        self._controller = controller
        self._peers = peers
        self._held = held
        self._pool = pool

    def tick(self) -> None:
        """Exchanges demand with peers."""
        own = self._meter.tps_by_leaf()
        self._peers.soft_state.publish_demand(
            {payloads.DemandKey(*leaf): tps for leaf, tps in own.items()}
        )
        self._update_members()
        self._update_demand(own)

    def _update_members(self) -> None:
        others_by_zone: collections.Counter[str] = collections.Counter()
        view = self._peers.view
        for member in view.live():
            if member.instance_id == view.own.instance_id:
                continue
            if member.region == view.own.region:
                others_by_zone[member.zone] += 1
        self._share.set_peer_counts(others_by_zone)

    def _update_demand(self, own: Mapping[demand.Leaf, float]) -> None:
        view = self._peers.view
        now = self._timer.now()
        peer_count_by_zone = collections.Counter(
            member.zone
            for member in view.live()
            if member.region == view.own.region
            and member.instance_id != view.own.instance_id
        )
        peer_demand = []
        for zone, tps_by_key in self._peers.soft_state.demand().items():
            if not peer_count_by_zone[zone]:
                continue
            tps_by_leaf = {
                demand.Leaf(*key): tps for key, tps in tps_by_key.items()
            }
            if zone == view.own.zone:
                tps_by_leaf = _subtract(tps_by_leaf, own)
            peer_demand.append(
                demand.ZoneDemand(
                    zone, peer_count_by_zone[zone], tps_by_leaf, now
                )
            )
        self._share.update_demand(peer_demand)

    def feed_capacity(self) -> None:
        """Updates admission; to be called when documents or targets change."""
        known = self._pool.table.target_by_address.values()
        total_tps = 0.0
        policy_by_service = {}
        for service, held in self._held.all_in_force().items():
            policy_by_service[service] = _policy(held.document)
            for name, model in held.document.model_by_name.items():
                capacity_tps = model_capacity.model_capacity_tps(
                    known, name, model.version, model.layers
                )
                total_tps += capacity_tps
                self._controller.set_model_capacity(name, capacity_tps)
                self._metrics.gauge(f'pool.capacity_tps.{name}', capacity_tps)
        self._share.set_pool(total_tps, policy_by_service)


def _policy(
    document: documents.ServiceDocument,
) -> fair_share.ServicePolicy:
    return fair_share.ServicePolicy(
        document.pool,
        {
            name: organisation.weight
            for name, organisation in document.organisation_by_name.items()
        },
    )


def _subtract(
    total: Mapping[demand.Leaf, float], own: Mapping[demand.Leaf, float]
) -> dict[demand.Leaf, float]:
    """Subtracts this instance's own demand from its zone's total."""
    return {
        leaf: max(tps - own.get(leaf, 0.0), 0.0) for leaf, tps in total.items()
    }
