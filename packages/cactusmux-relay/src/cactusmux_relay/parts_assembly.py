"""Makes the parts that the request core shares with its instance."""

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
from . import refusal_gossip
from . import refused_callers
from . import relay_settings
from . import request_handling
from . import retry_budget
from . import service_load
from . import slow_targets
from . import target_paces
from . import target_registry
from . import target_roster


class PartLinks(NamedTuple):
    """What the parts ask of their instance, and tell it.

    :ivar instances: how many instances are known.
    :ivar turn: this instance's turn among them.
    :ivar takes_work: whether a new request that may last so many seconds may
        still be begun.
    :ivar tell_soon: tells the other instances of ejected targets.
    """

    instances: Callable[[], int]
    turn: Callable[[], instance_rank.InstanceRank]
    takes_work: Callable[[float], bool]
    tell_soon: Callable[[], None]


class InstanceParts(NamedTuple):
    """Parts of an instance that know targets, callers and loads."""

    shared: handler_assembly.SharedParts
    roster: target_roster.TargetRoster
    ejections: ejection_reports.EjectionReports


def make_parts(
    settings: relay_settings.RelaySettings,
    given: relay_settings.Translations,
    links: PartLinks,
    timer: timers.TimerService,
    metric: metrics.Metrics,
    rng: random.Random,
) -> InstanceParts:
    """Returns the parts of one instance, which aren't started yet."""
    in_force = request_handling.ConfigurationInForce()
    book = target_registry.TargetRegistry()
    held = backoffs.Backoffs(book, timer, metric)
    orders = backoff_orders.BackoffLayerOrders(
        leaving_reports.LeavingReports(given.orders, book), held
    )
    ledger = load_tracker.LoadTracker(timer)
    down = down_targets.DownTargets(timer, rng, links.instances)
    paces = slow_targets.SlowTargets(orders, timer, links.instances, rng)
    live = live_streams.LiveStreams(timer, down, down.probe, paces.suspect)
    book.subscribe_state_lost(live.note_changed)
    refused = refused_callers.RefusedCallers(timer, rng)
    ejections = ejection_reports.EjectionReports(
        settings.name, book, timer, metric, rng, links.tell_soon
    )
    shared = handler_assembly.SharedParts(
        zone=settings.zone,
        header_dialect=given.header_dialect,
        in_force=in_force,
        book=book,
        ledger=ledger,
        down=down,
        paces=paces,
        held=held,
        budget=_repeat_budget(settings, timer),
        live=live,
        orders=orders,
        refused=refused,
        failing=failing_targets.FailingTargets(
            book, ledger, ejections, timer, metric, rng
        ),
        refused_news=refusal_gossip.RefusalGossip(timer, refused),
        pressures=service_load.ServiceLoadTracker(
            timer, lambda: ledger.instances
        ),
        timer=timer,
        metric=metric,
        rng=rng,
        takes_work=links.takes_work,
        quota=pipe_quota.PipeQuota(timer, metric, rng),
        limits=target_paces.TargetPaces(
            book, ledger, in_force, links.turn, timer, metric
        ),
    )
    roster = target_roster.TargetRoster(
        book, down, in_force, timer, given.decode_target
    )
    return InstanceParts(shared, roster, ejections)


def _repeat_budget(
    settings: relay_settings.RelaySettings, timer: timers.TimerService
) -> retry_budget.RetryBudget:
    return retry_budget.RetryBudget(
        timer,
        settings.repeat_ratio,
        settings.repeat_allowance,
        settings.repeat_window_s,
    )
