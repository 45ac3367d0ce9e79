"""Builds an instance from its settings, and runs its components."""

import random

from cactusmux_base import events
from cactusmux_base import ids
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import in_force
from cactusmux_control import peer_documents
from cactusmux_entry import address_handlers
from cactusmux_entry import addresses
from cactusmux_entry import document_handlers
from cactusmux_entry import draining
from cactusmux_entry import explain
from cactusmux_entry import generations
from cactusmux_entry import leaving_watch
from cactusmux_entry import plain_calls
from cactusmux_entry import plain_handlers
from cactusmux_entry import plain_targets
from cactusmux_entry import service_handlers
from cactusmux_entry import stall_watch
from cactusmux_entry import state_handlers
from cactusmux_entry import surface
from cactusmux_peers import assignments
from cactusmux_peers import grpc_transport
from cactusmux_peers import peer_service
from cactusmux_peers import polling
from cactusmux_routing import admission
from cactusmux_routing import breakers
from cactusmux_routing import choosers
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from cactusmux_routing import policies
from cactusmux_routing import retries
from cactusmux_routing import target_table

from . import admission_feed
from . import claim_factory
from . import external_clients
from . import instance_state
from . import order_coordinator
from . import pool_view
from . import settings as settings_lib

PROCESS_ID_CHARS = 8


class Instance:
    """The components of an instance; one instance per process."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        timer: timers.TimerService,
        sink: metrics.MemoryMetrics,
        clients: external_clients.ExternalClients,
    ) -> None:
        self.settings = settings
        self.timer = timer
        self.metrics = sink
        # New at each start, so that peers and claims can detect a restart.
        self.process_id = (
            f'{settings.instance_id}-{ids.new_id()[:PROCESS_ID_CHARS]}'
        )
        self._rng = random.Random(self.process_id)
        self._clients = clients
        self._place = addresses.Place(settings.zone, settings.region)
        self._explain_log = explain.ExplainLog(timer)
        self.peers = self._make_peers()
        self.assignments = assignments.JobAssignments(self.peers.view)
        self.documents = self._make_documents()
        self.document_exchange = peer_documents.DocumentExchange(
            self.documents, self.peers, timer
        )
        self.chooser = _make_chooser(settings.policy, timer, self._rng)
        self.leaving = leaving_watch.LeavingWatch(
            timer,
            sink,
            self.peers.soft_state.mark_target_leaving,
            self.peers.soft_state.leaving_targets,
        )
        self.pool = pool_view.PoolView(
            timer,
            sink,
            clients.instance_list,
            self._aged_reports,
            self.leaving,
            self.chooser,
        )
        self.poller = polling.TargetPoller(
            self.assignments,
            self.peers.soft_state,
            clients.targets,
            lambda: self.pool.listed,
            timer,
            sink,
        )
        self.claims = claim_factory.make_claims(
            settings.claims,
            clients.store,
            timer,
            sink,
            self.process_id,
            self.peers,
        )
        meter = demand.DemandMeter(timer)
        share = fair_share.FairShare(timer, meter)
        self.admission = admission.AdmissionController(
            timer, self._rng, share, meter, sink
        )
        self._admission_feed = admission_feed.AdmissionFeed(
            timer,
            sink,
            meter,
            share,
            self.admission,
            self.peers,
            self.documents,
            self.pool,
        )
        self.orders = order_coordinator.OrderCoordinator(
            clients,
            timer,
            sink,
            self.peers,
            self.documents,
            settings.services,
            lambda: self.pool.listed,
            settings.platform.weight_part,
        )
        self._state = instance_state.InstanceState(
            settings,
            sink,
            self.peers,
            self.documents,
            self.pool,
            self.leaving,
            self.chooser,
        )
        self.surface = self._make_surface()
        self.drain = self._make_drain()
        self._state.surface = self.surface
        self._state.drain = self.drain
        self._jobs: list[timers.Subscription] = []

    def start(self) -> None:
        """Joins the fleet and starts the periodic work."""
        self.pool.start()
        self.peers.start()
        self.documents.start()
        self.document_exchange.start()
        self.poller.start()
        self.orders.start()
        feed = self._admission_feed
        self.documents.subscribe(lambda *_: feed.feed_capacity())
        self.pool.subscribe(feed.feed_capacity)
        self._jobs = [
            self.claims.start(),
            self.timer.every(admission_feed.PERIOD_S, feed.tick),
        ]
        events.info(
            'instance_started',
            instance=self.settings.instance_id,
            process=self.process_id,
            address=self.settings.address,
            zone=self.settings.zone,
        )

    def stop(self) -> None:
        """Stops all work; no requests may be in flight."""
        for job in self._jobs:
            job.cancel()
        self.claims.stop()
        self.orders.stop()
        self.poller.stop()
        self.document_exchange.stop()
        self.documents.stop()
        self.pool.stop()
        self.peers.stop()
        events.info('instance_stopped', instance=self.settings.instance_id)

    def _make_peers(self) -> peer_service.PeerService:
        settings = self.settings
        return peer_service.PeerService(
            peer_service.PeerSettings(
                settings.address,
                settings.region,
                settings.zone,
                settings.seeds,
            ),
            grpc_transport.GrpcTransport(settings.peer_address, self.metrics),
            self.timer,
            self.metrics,
            self._listed_peers,
            self._rng,
            self.process_id,
        )

    def _make_documents(self) -> in_force.DocumentsInForce:
        sources = peer_documents.PeerDocuments(self.peers)
        return in_force.DocumentsInForce(
            self._clients.store,
            sources,
            sources,
            self.timer,
            self.metrics,
            self._rng,
        )

    def _make_surface(self) -> surface.Surface:
        settings, timer = self.settings, self.timer
        budget = retries.RetryBudget(timer)
        backoff = retries.Backoff(timer, self._rng)
        plain = plain_calls.PlainCalls(
            self._clients.plain_services,
            plain_targets.ListedPlainTargets(
                lambda: self.pool.listed,
                self.leaving,
                self._place,
                timer,
                self._rng,
            ),
            self.claims,
            budget,
            backoff,
            timer,
            self.metrics,
        )
        services = service_handlers.ServiceHandlers(
            generations.GenerationServices(
                timer=timer,
                metrics=self.metrics,
                targets=self._clients.targets,
                chooser=self.chooser,
                budget=budget,
                backoff=backoff,
                stalls=stall_watch.StallWatch(timer),
                leaving=self.leaving,
                breakers=breakers.Breakers(
                    timer, self._rng, self.metrics, self._has_routes_without
                ),
                zone=settings.zone,
                token_gap_s=settings.limits.token_gap_s,
                first_token_s=settings.limits.first_token_s,
            ),
            self.documents.in_force,
            plain_handlers.PlainHandlers(plain, self._explain_log),
            self.admission,
            self._explain_log,
        )
        documents = document_handlers.DocumentHandlers(
            self._clients.store,
            timer,
            self.documents,
            self._state.revisions_by_instance,
        )
        state = state_handlers.StateHandlers(
            self._explain_log,
            self._state.not_ready_reason,
            self._state.as_json,
        )
        handler_by_segment = {
            'services': services.handle,
            'addresses': self._make_address_handlers().handle,
            'documents': documents.handle,
            'healthz': state.health,
            'readyz': state.ready,
            'state': state.state,
            'explain': state.explain,
        }
        return surface.Surface(
            settings.instance_id,
            handler_by_segment,
            timer,
            self.metrics,
            surface.Limits(
                settings.limits.max_requests,
                settings.limits.max_body_bytes,
                settings.limits.body_timeout_s,
            ),
            serves=lambda: self.drain.serves,
        )

    def _has_routes_without(self, lost: frozenset[str]) -> bool:
        return self.chooser.has_routes_without(
            lost, breakers.MAX_EJECTED_FRACTION
        )

    def _make_address_handlers(self) -> address_handlers.AddressHandlers:
        known = addresses.Addresses(
            self.peers.view.live,
            lambda member: 0.0,
            self._rng,
            self.settings.limits.address_lifetime_s,
        )
        return address_handlers.AddressHandlers(known, self._place)

    def _make_drain(self) -> draining.Drain:
        limits = self.settings.limits
        return draining.Drain(
            self.timer,
            self.metrics,
            draining.DrainSettings(
                limits.address_lifetime_s,
                limits.drain_margin_s,
                limits.drain_limit_s,
            ),
            leave=(self.orders.stop, self.peers.leave),
            close=(self.claims.stop,),
            unfinished=(
                lambda: self.surface.in_flight,
                self.claims.pending,
            ),
        )

    def _listed_peers(self) -> tuple[str, ...]:
        return tuple(
            listed.peer_address
            for listed in self.pool.listed
            if listed.peer_address and not listed.leaving
        )

    def _aged_reports(self) -> list[target_table.AgedReport]:
        reports = self.peers.soft_state.report_by_address().values()
        return [
            target_table.AgedReport(aged.report, aged.age_s)
            for aged in reports
        ]


def _make_chooser(
    policy: str, timer: timers.TimerService, rng: random.Random
) -> choosers.RouteChooser:
    """Makes the chooser; its name was validated with the settings."""
    return policies.make_chooser(policy, timer, rng).unwrap()
