"""Creates the components that the request handler shares with its instance."""

from collections.abc import Callable
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers

from . import backoff_orders
from . import backoffs
from . import down_targets
from . import ejection_reports
from . import failing_targets
from . import handler_assembly
from . import instance_rank
from . import leaving_reports
from . import live_streams
from . import load_tracker
from . import pipe_quota
from . import quarantine
from . import rate_limiter
from . import rate_limits
from . import refusal_gossip
from . import refused_callers
from . import relay_settings
from . import request_handling
from . import retry_budget
from . import service_demand
from . import service_load
from . import slow_targets
from . import target_paces
from . import target_registry
from . import target_roster


class InstanceCallbacks(NamedTuple):
    """Callbacks of the components into their instance.

    :ivar instances: returns the number of known instances.
    :ivar turn: returns this instance's position among them.
    :ivar takes_work: whether a new request that may last for this many seconds
        is still accepted.
    :ivar send_gossip_soon: sends gossip of ejected targets to peers soon.
    """

    instances: Callable[[], int]
    turn: Callable[[], instance_rank.InstanceRank]
    takes_work: Callable[[float], bool]
    send_gossip_soon: Callable[[], None]


class InstanceParts(NamedTuple):
    """Components of an instance with state of targets, callers and loads."""

    shared: handler_assembly.SharedParts
    roster: target_roster.TargetRoster
    ejections: ejection_reports.EjectionReports


def build_parts(
    settings: relay_settings.RelaySettings,
    bindings: relay_settings.Translations,
    callbacks: InstanceCallbacks,
    timer: timers.TimerService,
    metric: metrics.Metrics,
    rng: random.Random,
) -> InstanceParts:
    """Returns the components of one instance; doesn't start them."""
    in_force = request_handling.ConfigurationInForce()
    registry = target_registry.TargetRegistry()
    target_backoffs = backoffs.Backoffs(registry, timer, metric)
    orders = backoff_orders.BackoffLayerOrders(
        leaving_reports.LeavingReports(bindings.orders, registry),
        target_backoffs,
    )
    tracker = load_tracker.LoadTracker(timer)
    down = down_targets.DownTargets(timer, rng, callbacks.instances)
    slow = slow_targets.SlowTargets(orders, timer, callbacks.instances, rng)
    live = live_streams.LiveStreams(
        timer, down, down.probe, slow.check_suspect
    )
    registry.subscribe_state_lost(live.handle_changed_targets)
    refused = refused_callers.RefusedCallers(timer, rng)
    ejections = ejection_reports.EjectionReports(
        settings.name, registry, timer, metric, rng, callbacks.send_gossip_soon
    )
    shared = handler_assembly.SharedParts(
        zone=settings.zone,
        header_dialect=bindings.header_dialect,
        in_force=in_force,
        book=registry,
        ledger=tracker,
        down=down,
        paces=slow,
        held=target_backoffs,
        budget=_retry_budget(settings, timer),
        live=live,
        orders=orders,
        refused=refused,
        failing=failing_targets.FailingTargets(
            registry, tracker, ejections, timer, metric, rng
        ),
        refused_news=refusal_gossip.RefusalGossip(timer, refused),
        pressures=service_load.ServiceLoadTracker(
            timer, lambda: tracker.instances
        ),
        timer=timer,
        metric=metric,
        rng=rng,
        takes_work=callbacks.takes_work,
        quota=pipe_quota.PipeQuota(timer, metric, rng),
        limits=target_paces.TargetPaces(
            registry, tracker, in_force, callbacks.turn, timer, metric
        ),
        quarantine=quarantine.Quarantine(
            timer, metric, callbacks.send_gossip_soon
        ),
        rates=_rate_limiter(registry, callbacks, timer, metric),
    )
    roster = target_roster.TargetRoster(
        registry, down, in_force, timer, bindings.decode_target
    )
    return InstanceParts(shared, roster, ejections)


def _rate_limiter(
    registry: target_registry.TargetRegistry,
    callbacks: InstanceCallbacks,
    timer: timers.TimerService,
    metric: metrics.Metrics,
) -> rate_limiter.RateLimiter:
    limits = rate_limits.RateLimits(
        registry, timer, metric, callbacks.send_gossip_soon
    )

    def announce() -> None:
        if limits.limit_by_start:
            callbacks.send_gossip_soon()

    return rate_limiter.RateLimiter(
        limits,
        service_demand.ServiceDemand(timer, announce),
        registry,
        callbacks.turn,
        timer,
        metric,
    )


def _retry_budget(
    settings: relay_settings.RelaySettings, timer: timers.TimerService
) -> retry_budget.RetryBudget:
    return retry_budget.RetryBudget(
        timer,
        settings.repeat_ratio,
        settings.repeat_allowance,
        settings.repeat_window_s,
    )
