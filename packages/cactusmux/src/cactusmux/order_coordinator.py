"""Placement of models on the targets of a region."""

from collections.abc import Callable

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_control import in_force
from cactusmux_control import leases
from cactusmux_control import orders
from cactusmux_control import pool
from cactusmux_peers import peer_service
from cactusmux_peers import rendezvous
from cactusmux_platform import instances

from . import external_clients

CANDIDATES_PER_REGION = 3


class OrderCoordinator:
    """Holds a region's order lease, and dispatches orders under it.

    Regions are planned independently, since reports and routes don't leave
    their region. Only a few instances compete for the lease, so that the
    others make no store calls for it.

    :param services: services whose documents must be known before any order.
    :param listed: returns the platform's instance list as last read.
    :param weight_part: fraction of the weight store's rate for the loads of
        this region.
    """

    def __init__(
        self,
        clients: external_clients.ExternalClients,
        timer: timers.TimerService,
        sink: metrics.Metrics,
        peers: peer_service.PeerService,
        held: in_force.DocumentsInForce,
        services: tuple[str, ...],
        listed: Callable[[], tuple[instances.ListedInstance, ...]],
        weight_part: float,
    ) -> None:
        own = peers.view.own
        self._peers = peers
        self._held = held
        self._services = services
        self._listed = listed
        self.lease = leases.LeaseHolder(
            clients.store,
            timer,
            sink,
            leases.order_lease(own.region),
            own.address,
            may_acquire=self._is_candidate,
        )
        self._dispatcher = orders.OrderDispatcher(
            clients.store,
            timer,
            sink,
            clients.targets,
            clients.weight_store,
            orders.Sources(
                self.lease.authority,
                self._documents,
                self._known_targets,
            ),
            own.region,
            weight_part=weight_part,
        )

    def start(self) -> None:
        """Competes for the lease; sends orders while it is held."""
        self.lease.start()
        self._dispatcher.start()

    def stop(self) -> None:
        """Stops sending orders and releases the lease."""
        self._dispatcher.stop()
        self.lease.stop()

    def _is_candidate(self) -> bool:
        own = self._peers.view.own
        eligible = [
            member
            for member in self._peers.view.live()
            if member.region == own.region and member.is_eligible
        ]
        name = leases.order_lease(own.region)
        chosen = rendezvous.choose(name, eligible, CANDIDATES_PER_REGION)
        return any(m.instance_id == own.instance_id for m in chosen)

    def _documents(self) -> tuple[documents.ServiceDocument, ...] | None:
        in_force_by_service = self._held.all_in_force()
        if any(name not in in_force_by_service for name in self._services):
            return None
        return tuple(held.document for held in in_force_by_service.values())

    def _known_targets(self) -> tuple[pool.KnownTarget, ...]:
        own = self._peers.view.own
        aged_by_address = self._peers.soft_state.report_by_address()
        known = []
        for listed in self._listed():
            if listed.role is not instances.Role.ENGINE:
                continue
            if listed.region != own.region:
                continue
            aged = aged_by_address.get(listed.address)
            report = aged.report if aged else None
            age_s = aged.age_s if aged else 0.0
            known.append(pool.KnownTarget(listed, report, age_s))
        return tuple(known)
