"""Wires one instance of the relay from a deployment's translations."""

import functools
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import lease_types
from cactusmux_control import leases
import gevent

from . import backoffs
from . import copies
from . import core_assembly
from . import deltas
from . import directory
from . import down_targets
from . import ejection_reports
from . import failing_targets
from . import fleet
from . import fleet_news
from . import gauges
from . import held_orders
from . import http_server
from . import immediate_news
from . import instance_trouble
from . import layer_orders
from . import leaving_reports
from . import live_streams
from . import load_ledger
from . import membership
from . import mirror_checks
from . import pace_book
from . import pipe_quota
from . import placement_keeper
from . import recovery_news
from . import refused_callers
from . import refused_news
from . import relay_settings
from . import repeat_budget
from . import request_core
from . import service_pressure
from . import soft_exchange
from . import store_contact
from . import store_mirror
from . import target_book
from . import target_paces
from . import target_roster
from . import trouble_news
from . import watch_pace

LEASE_NAME = 'placement'
LEASE_SETTINGS = lease_types.LeaseSettings(
    ttl_s=2.0, margin_s=0.4, period_s=0.5, delivery_s=0.8
)
STOP_POLL_S = 0.05
# How often instances that are kept after an outage are looked at again.
REVIEW_PERIOD_S = 0.5
# After the begin of a planned stop long requests are taken for so long.
LATEST_LONG_WORK_S = 2.8


class RelayInstance:
    """All parts of one instance."""

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        given: relay_settings.Translations,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._given = given
        self._timer = timer
        self.is_stopping = False
        self._stop_begun_at = 0.0
        self.in_force = request_core.InForce()
        self._book = target_book.TargetBook()
        self._held = backoffs.Backoffs(self._book, timer, metric)
        reports = leaving_reports.LeavingReports(given.orders, self._book)
        orders = held_orders.HeldOrders(reports, self._held)
        self._ledger = load_ledger.LoadLedger(timer)
        self._down = down_targets.DownTargets(timer, rng, self._count)
        self._roster = target_roster.TargetRoster(
            self._book, self._down, self.in_force, timer, given.decode_target
        )
        self._budget = repeat_budget.RepeatBudget(
            timer,
            settings.repeat_ratio,
            settings.repeat_allowance,
            settings.repeat_window_s,
        )
        self._paces = pace_book.PaceBook(orders, timer, self._count, rng)
        self._live = live_streams.LiveStreams(
            timer, self._down, self._down.probe, self._paces.suspect
        )
        self._book.subscribe_changed(self._live.note_changed)
        self._refused = refused_callers.RefusedCallers(timer, rng)
        self._quota = pipe_quota.PipeQuota(timer, metric, rng)
        self._ejections = ejection_reports.EjectionReports(
            settings.name, self._book, timer, metric, rng, self._tell_soon
        )
        self._failing = failing_targets.FailingTargets(
            self._book, self._ledger, self._ejections, timer, metric, rng
        )
        self._limits = target_paces.TargetPaces(
            self._book,
            self._ledger,
            self.in_force,
            lambda: self._fleet.turn,
            timer,
            metric,
        )
        self._refused_news = refused_news.RefusedNews(timer, self._refused)
        self._pressures = service_pressure.PressureBook(
            timer, lambda: self._ledger.instances
        )
        core = self._make_core(metric, rng, orders)
        self._entry = http_server.HttpServer(
            settings.entry_address,
            core.handle,
            timer,
            lambda: self.in_force.limits,
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
        self._contact = store_contact.StoreContact(timer)
        self._mirror_by_prefix = self._make_mirrors()
        self._trouble = instance_trouble.InstanceTrouble(
            self._book, self._down, self._contact, timer, metric, self._tell
        )
        trouble = trouble_news.TroubleNews(
            settings.name, lambda: self._trouble.is_troubled, timer, metric
        )
        self._news = fleet_news.FleetNews(
            settings.name,
            lambda: self.is_stopping,
            self._mirror_by_prefix,
            self._ledger,
            self._book,
            self._down,
            self._paces,
            self._refused,
            topics=(
                self._ejections,
                recovery_news.RecoveryNews(self._down),
                trouble,
                self._limits,
                self._pressures,
                self._refused_news,
            ),
        )
        self._checks = mirror_checks.MirrorChecks(
            tuple(self._mirror_by_prefix.values()),
            lambda: self._fleet.turn,
            timer,
            rng,
        )
        self._registration = membership.Registration(
            given.store, timer, own, self._contact
        )
        self._exchange = soft_exchange.SoftExchange(
            settings.exchange_address,
            timer,
            self._news.own,
            self._fleet.peer_addresses,
            self._take_news,
            rng,
            self._take_delta,
        )
        self._immediate_news = immediate_news.ImmediateNews(
            timer, rng, self._fleet.peer_addresses, self._exchange.send_to
        )
        self._copy_server = http_server.HttpServer(
            settings.exchange_address,
            copies.CopyHandler(self._mirror_by_prefix).handle,
            timer,
        )
        self._puller = copies.CopyPuller(
            self._mirror_by_prefix, timer, rng, self._store_answered_at
        )
        self._down.subscribe(self._tell_down)
        self._down.subscribe_up(self._tell_soon)
        self.directory = directory.Directory(
            self._exchange, timer, settings.name, trouble.troubled, rng
        )
        self._lease = leases.LeaseHolder(
            given.store,
            timer,
            metric,
            LEASE_NAME,
            settings.name,
            LEASE_SETTINGS,
            may_acquire=self._may_acquire_lease,
        )
        self._gauges = gauges.Gauges(
            self.in_force, self._book, self._mirror_by_prefix, timer, metric
        )
        self._keeper = placement_keeper.PlacementKeeper(
            given.store,
            self.in_force,
            self._book,
            orders,
            self._lease.authority,
            timer,
            metric,
            rng,
            self._roster.note_report,
            self._down,
            self._paces,
            lambda: len(self._fleet.instance_by_name) <= 1,
        )

    def _make_core(
        self,
        metric: metrics.Metrics,
        rng: random.Random,
        orders: layer_orders.LayerOrders,
    ) -> request_core.RequestCore:
        return core_assembly.assemble(
            core_assembly.SharedParts(
                zone=self._settings.zone,
                spelling=self._given.spelling,
                in_force=self.in_force,
                book=self._book,
                ledger=self._ledger,
                down=self._down,
                paces=self._paces,
                held=self._held,
                budget=self._budget,
                live=self._live,
                orders=orders,
                refused=self._refused,
                failing=self._failing,
                refused_news=self._refused_news,
                pressures=self._pressures,
                timer=self._timer,
                metric=metric,
                rng=rng,
                takes_work=self._takes_work,
                quota=self._quota,
                limits=self._limits,
            )
        )

    def _make_mirrors(self) -> dict[str, store_mirror.StoreMirror]:
        change_by_prefix = {
            self._settings.state_prefix: self._take_state,
            self._settings.target_prefix: self._roster.update,
            membership.PREFIX: self._take_instances,
            leases.LEASE_PREFIX: self._take_leases,
        }
        mirrors = {}
        for prefix, on_change in change_by_prefix.items():
            mirrors[prefix] = store_mirror.StoreMirror(
                self._given.store,
                self._given.reader,
                prefix,
                self._timer,
                on_change,
                functools.partial(self._batch_s, prefix),
                functools.partial(self._watches, prefix),
                self._tell_delta,
                self._contact,
            )
        self._roster.follow(mirrors[self._settings.target_prefix])
        return mirrors

    def start(self) -> None:
        """Starts to mirror the store and to serve."""
        for mirror in self._mirror_by_prefix.values():
            mirror.start()
        self._checks.start()
        self._timer.every(REVIEW_PERIOD_S, self._review_instances)
        self._copy_server.start()
        self._exchange.start()
        self._entry.start()
        self._registration.start()
        self._down.start()
        self._limits.start()
        self._live.start()
        self._failing.start()
        self._lease.start()
        self._gauges.start()
        self._trouble.start()
        self._keeper.start()

    @property
    def is_ready(self) -> bool:
        """Whether callers may come."""
        return self.in_force.state is not None and not self.is_stopping

    def stop(self) -> None:
        """Ends without cutting a request; returns when all are answered."""
        started_at = self._timer.now()
        self._stop_begun_at = started_at
        self.is_stopping = True
        events.info('stop_begun', busy=self._entry.busy_count)
        self._registration.stop()
        self._exchange.send()
        self._entry.close_after_answers()
        self._lease.stop()
        end_s = self._settings.stop_within_s
        while True:
            age_s = self._timer.now() - started_at
            callers_gone = age_s >= self._settings.callers_come_s
            if age_s >= end_s or (callers_gone and not self._entry.busy_count):
                break
            self._timer.sleep(STOP_POLL_S)
        events.info('stop_done', busy=self._entry.busy_count)
        self._entry.stop()

    def _tell_soon(self) -> None:
        """Tells others of ejected and recovered targets within 0.1 s."""
        self._immediate_news.ask()

    def _count(self) -> int:
        return len(self._fleet.instance_by_name)

    def _tell_down(self, _target_id: str) -> None:
        """Lets the other instances probe a target at once."""
        self._tell()

    def _tell(self) -> None:
        gevent.spawn(self._exchange.send)

    def _takes_work(self, longest_s: float) -> bool:
        """Whether a request of that length ends before a planned stop."""
        if not self.is_stopping:
            return True
        age_s = self._timer.now() - self._stop_begun_at
        if age_s < LATEST_LONG_WORK_S:
            return True
        return age_s + longest_s < self._settings.stop_within_s

    def _take_state(self) -> None:
        prefix = self._settings.state_prefix
        mirror = self._mirror_by_prefix[prefix]
        for entry in mirror.entry_by_key.values():
            state = self._given.decode_state(entry)
            if state is not None:
                self.in_force.replace(state)
                self._roster.update()
        addresses = self._fleet.addresses_to_tell(mirror.is_copied)
        if addresses:
            gevent.spawn(self._exchange.send_to, addresses)

    def _batch_s(self, prefix: str) -> float:
        """Changes of the configuration and of leases come at once."""
        if prefix in (self._settings.target_prefix, membership.PREFIX):
            return watch_pace.batch_s(self._fleet.watcher_count)
        return watch_pace.SHORTEST_S

    def _watches(self, prefix: str) -> bool:
        if self.is_stopping and not self._fleet.is_small:
            # It isn't listed any more, and takes no new callers.
            return False
        return self._exchange.is_deaf or self._fleet.watches(prefix)

    def _tell_delta(self, delta: deltas.Delta) -> None:
        """Sends what our watch has brought to those that don't watch.

        A configuration is too large for a datagram: its copies are pulled.
        """
        if delta.prefix != self._settings.state_prefix:
            addresses = self._fleet.follower_addresses()
            self._exchange.send_delta(delta, addresses)

    def _take_delta(self, delta: deltas.Delta) -> None:
        mirror = self._mirror_by_prefix.get(delta.prefix)
        if mirror is not None:
            mirror.take_delta(delta)

    def _store_answered_at(self) -> float:
        heard_at = [
            mirror.heard_at for mirror in self._mirror_by_prefix.values()
        ]
        return max(self._contact.answered_at, *heard_at)

    def _take_leases(self) -> None:
        """Takes over at once when the lease has become free."""
        if not self.is_stopping and self._may_acquire_lease():
            gevent.spawn(self._lease.step)

    def _may_acquire_lease(self) -> bool:
        mirror = self._mirror_by_prefix[leases.LEASE_PREFIX]
        key = leases.LEASE_PREFIX + LEASE_NAME
        if not mirror.is_watching or not mirror.is_connected:
            return False
        return key not in mirror.entry_by_key

    def _take_instances(self) -> None:
        mirror = self._mirror_by_prefix[membership.PREFIX]
        entries = mirror.entry_by_key.values()
        if self._fleet.update(entries, mirror.is_settled):
            self._tell_all()
        instances = self._fleet.instances
        self._budget.set_instances(len(instances))
        self._ledger.set_instances(len(instances))
        self._quota.set_instances(len(instances))
        self.directory.update(instances)

    def _tell_all(self) -> None:
        """Has others take our copies, where entries may have gone unseen."""
        for prefix, mirror in self._mirror_by_prefix.items():
            if prefix != self._settings.state_prefix:
                mirror.tell_all()

    def _review_instances(self) -> None:
        """Drops instances that haven't come back after an outage."""
        mirror = self._mirror_by_prefix[membership.PREFIX]
        is_kept = len(mirror.entry_by_key) < len(self._fleet.instance_by_name)
        if is_kept and mirror.is_settled:
            self._take_instances()

    def _take_news(self, news: soft_exchange.News) -> None:
        self._news.take(news)
        self.directory.note_stopping(news.name, news.is_stopping)
        peer = self._fleet.instance_by_name.get(news.name)
        if peer is not None:
            self._puller.note_changes(
                peer.exchange_address, news.changed_by_prefix
            )
