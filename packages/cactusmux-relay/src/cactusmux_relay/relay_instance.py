"""Assembles one instance of the relay for a deployment."""

import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import lease_types
from cactusmux_control import leases
from cactusmux_platform import era_guarded_store
from cactusmux_platform import store_eras
from cactusmux_platform import stores
import gevent

from . import connection_limits
from . import copies
from . import descriptor_budget
from . import directory
from . import fleet
from . import gauges
from . import gossip_handler
from . import graceful_shutdown
from . import handler_assembly
from . import http_server
from . import immediate_news
from . import instance_mirrors
from . import instance_trouble
from . import membership
from . import mirror_checks
from . import parts_assembly
from . import placement_controller
from . import placement_storage
from . import quarantine_storage
from . import quarantine_topic
from . import rate_limit_topic
from . import recovery_topic
from . import relay_settings
from . import request_ends
from . import soft_exchange
from . import store_availability
from . import trouble_topic

LEASE_NAME = 'placement'
LEASE_SETTINGS = lease_types.LeaseSettings(
    ttl_s=2.0, margin_s=0.4, period_s=0.5, delivery_s=0.8
)
# How often instances that are kept after an outage are reviewed.
REVIEW_PERIOD_S = 0.5


class RelayInstance:
    """One instance of the relay with all its components."""

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        bindings: relay_settings.Translations,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._bindings = bindings
        self._timer = timer
        self._shutdown = graceful_shutdown.GracefulShutdown(settings, timer)
        parts = parts_assembly.build_parts(
            settings,
            bindings,
            parts_assembly.InstanceCallbacks(
                instances=self._instance_count,
                turn=lambda: self._fleet.turn,
                takes_work=self._shutdown.accepts_request,
                send_gossip_soon=self._send_gossip_soon,
            ),
            timer,
            metric,
            rng,
        )
        self._shared = parts.shared
        self._roster = parts.roster
        self.in_force = parts.shared.in_force
        self._book = parts.shared.book
        self._down = parts.shared.down
        self._failing = parts.shared.failing
        self._ejections = parts.ejections
        self._budget = descriptor_budget.divide(
            descriptor_budget.limit(settings.descriptors),
            settings.descriptors_for_files,
        )
        self._connections = connection_limits.ConnectionAccount(
            self._budget.shared, timer, metric
        )
        self._entry = http_server.HttpServer(
            settings.entry_address,
            handler_assembly.build_request_handler(parts.shared).handle,
            timer,
            lambda: self.in_force.limits,
            request_ends.EndLog(bindings.header_dialect.request_id, metric),
            self._connections.listener('entry'),
        )
        own = membership.Instance(
            settings.name,
            settings.zone,
            settings.region,
            settings.entry_address,
            settings.exchange_address,
            settings.link_mbps,
            settings.cores,
        )
        self._fleet = fleet.Fleet(own, timer)
        self._eras = bindings.eras
        self._store = era_guarded_store.EraGuardedStore(
            bindings.store, self._eras
        )
        self._store_availability = store_availability.StoreAvailability(timer)
        self._mirrors = self._make_mirrors()
        self._mirror_by_prefix = self._mirrors.by_prefix
        self._roster.read_from(self._mirror_by_prefix[settings.target_prefix])
        self._trouble = instance_trouble.InstanceTrouble(
            self._book,
            self._down,
            self._store_availability,
            timer,
            metric,
            self._send_gossip,
        )
        trouble = trouble_topic.TroubleTopic(
            settings.name, lambda: self._trouble.is_troubled, timer, metric
        )
        self._gossip_handler = gossip_handler.GossipHandler(
            settings.name,
            lambda: self.is_stopping,
            self._mirror_by_prefix,
            parts.shared.ledger,
            self._book,
            self._down,
            parts.shared.paces,
            parts.shared.refused,
            topics=(
                self._ejections,
                recovery_topic.RecoveryTopic(self._down),
                trouble,
                parts.shared.limits,
                parts.shared.pressures,
                parts.shared.refused_news,
                quarantine_topic.QuarantineTopic(
                    parts.shared.quarantine, timer, rng
                ),
                rate_limit_topic.RateLimitTopic(
                    parts.shared.rates.limits,
                    parts.shared.rates.demand,
                    timer,
                    rng,
                ),
            ),
        )
        self._mirror_checks = mirror_checks.MirrorChecks(
            tuple(self._mirror_by_prefix.values()),
            lambda: self._fleet.turn,
            timer,
            rng,
        )
        self._registration = membership.Registration(
            self._store, timer, own, self._store_availability, self._eras
        )
        self._exchange = soft_exchange.SoftExchange(
            settings.exchange_address,
            timer,
            self._gossip_handler.build_message,
            self._fleet.peer_addresses,
            self._apply_gossip,
            rng,
            self._mirrors.apply_delta,
        )
        self._immediate_news = immediate_news.ImmediateNews(
            timer, rng, self._fleet.peer_addresses, self._exchange.send_to
        )
        self._copy_server = http_server.HttpServer(
            settings.exchange_address,
            copies.CopyHandler(self._mirror_by_prefix).handle,
            timer,
            listener=self.listener('copies'),
            end_log=request_ends.without_ids(metric),
        )
        self._copy_puller = copies.CopyPuller(
            self._mirror_by_prefix, timer, rng, self._mirrors.store_answered_at
        )
        self._down.subscribe(self._on_target_down)
        self._down.subscribe_up(self._send_gossip_soon)
        self.directory = directory.Directory(
            self._exchange, timer, settings.name, trouble.troubled_names, rng
        )
        self._lease = leases.LeaseHolder(
            self._store,
            timer,
            metric,
            LEASE_NAME,
            settings.name,
            LEASE_SETTINGS,
            may_acquire=self._may_acquire_lease,
            eras=self._eras,
        )
        self._quarantine_storage = quarantine_storage.QuarantineStorage(
            self._store,
            parts.shared.quarantine,
            self._lease.authority,
            timer,
            self._eras,
        )
        self._gauges = gauges.Gauges(
            self.in_force,
            self._book,
            self._mirror_by_prefix,
            self._eras,
            timer,
            metric,
        )
        self._placement_keeper = placement_controller.PlacementController(
            placement_storage.PlacementStorage(self._store, self._eras),
            self.in_force,
            self._book,
            parts.shared.orders,
            self._lease.authority,
            timer,
            metric,
            rng,
            self._roster.record_report,
            self._down,
            parts.shared.paces,
            lambda: self._instance_count() <= 1,
        )

    def _make_mirrors(self) -> instance_mirrors.InstanceMirrors:
        return instance_mirrors.InstanceMirrors(
            self._settings,
            self._bindings,
            self._timer,
            self._fleet,
            self._store_availability,
            self._eras,
            instance_mirrors.MirrorCallbacks(
                is_stopping=lambda: self.is_stopping,
                is_isolated=lambda: self._exchange.is_isolated,
                send_delta=lambda delta, addresses: self._exchange.send_delta(
                    delta, addresses
                ),
            ),
            {
                self._settings.state_prefix: self._apply_state,
                self._settings.target_prefix: self._roster.update,
                membership.PREFIX: self._update_instances,
                leases.LEASE_PREFIX: self._on_leases_changed,
            },
        )

    def start(self) -> None:
        """Starts to mirror the store and to serve."""
        self._mirrors.start()
        self._mirror_checks.start()
        self._timer.every(REVIEW_PERIOD_S, self._review_instances)
        self._copy_server.start()
        self._exchange.start()
        self._entry.start()
        self._registration.start()
        self._down.start()
        self._shared.limits.start()
        self._shared.live.start()
        self._failing.start()
        self._shared.quarantine.start()
        self._shared.rates.limits.start()
        self._lease.start()
        self._gauges.start()
        self._trouble.start()
        self._placement_keeper.start()
        self._quarantine_storage.start()

    def listener(self, name: str) -> connection_limits.Listener:
        """Returns the connections of one more listening address.

        It shares the room of all callers, and has some of its own.

        :param name: what it serves, for logs.
        """
        reserved = self._budget.reserved_per_listener
        return self._connections.listener(name, reserved)

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._shutdown.has_begun

    @property
    def is_ready(self) -> bool:
        """Whether the instance can serve callers."""
        return self.in_force.state is not None and not self.is_stopping

    def stop(self) -> None:
        """Stops without aborting requests; returns when all are served.

        Those that aren't served in the time for a stop are logged.
        """
        self._shutdown.begin()
        events.info('stop_begun', busy=self._entry.busy_count)
        self._registration.stop()
        self._exchange.send()
        self._entry.close_after_answers()
        self._lease.stop()
        self._shutdown.wait(lambda: self._entry.busy_count)
        events.info('stop_done', busy=self._entry.busy_count)
        self._entry.stop()
        self._entry.log_unfinished()

    def _send_gossip_soon(self) -> None:
        """Sends ejected and recovered targets to peers within 0.1 s."""
        self._immediate_news.request_send()

    def _instance_count(self) -> int:
        return len(self._fleet.instance_by_name)

    def _on_target_down(self, _target_id: str) -> None:
        """Makes the other instances probe a target at once."""
        self._send_gossip()

    def _send_gossip(self) -> None:
        gevent.spawn(self._exchange.send)

    def _apply_state(self) -> None:
        prefix = self._settings.state_prefix
        mirror = self._mirror_by_prefix[prefix]
        for entry in mirror.entry_by_key.values():
            self._apply_state_entry(entry)
        addresses = self._fleet.addresses_to_notify(mirror.is_from_peer)
        if addresses:
            gevent.spawn(self._exchange.send_to, addresses)

    def _apply_state_entry(self, entry: stores.Entry) -> None:
        """Applies one entry; if that fails, the others still apply."""
        try:
            state = self._bindings.decode_state(entry)
            if state is not None:
                self.in_force.replace(state)
                self._roster.update()
        except Exception as error:
            events.error(
                'configuration_failed',
                key=entry.key,
                revision=entry.revision,
                cause=repr(error),
            )

    def _on_leases_changed(self) -> None:
        """Tries to acquire the lease as soon as it has become free."""
        if not self.is_stopping and self._may_acquire_lease():
            gevent.spawn(self._lease.step)

    def _may_acquire_lease(self) -> bool:
        mirror = self._mirror_by_prefix[leases.LEASE_PREFIX]
        key = leases.LEASE_PREFIX + LEASE_NAME
        if not mirror.is_watching or not mirror.is_connected:
            return False
        return key not in mirror.entry_by_key

    def _update_instances(self) -> None:
        mirror = self._mirror_by_prefix[membership.PREFIX]
        entries = mirror.entry_by_key.values()
        if self._fleet.update(entries, mirror.is_settled):
            self._mirrors.announce_all()
        instances = self._fleet.instances
        self._shared.budget.set_instances(len(instances))
        self._shared.ledger.set_instances(len(instances))
        self._shared.quota.set_instances(len(instances))
        self._shared.rates.set_instances(len(instances))
        self.directory.update(instances)

    def _review_instances(self) -> None:
        """Drops instances that haven't returned after a store outage."""
        mirror = self._mirror_by_prefix[membership.PREFIX]
        is_kept = len(mirror.entry_by_key) < len(self._fleet.instance_by_name)
        if is_kept and mirror.is_settled:
            self._update_instances()

    def _apply_gossip(self, message: soft_exchange.GossipMessage) -> None:
        eras = message.era_by_prefix.values()
        self._eras.record(max(eras, default=0), store_eras.Source.PEER)
        self._gossip_handler.handle_message(message)
        self.directory.record_stopping(message.name, message.is_stopping)
        peer = self._fleet.instance_by_name.get(message.name)
        if peer is not None:
            self._copy_puller.handle_peer_changes(
                peer.exchange_address, message.last_change_by_prefix
            )
