"""Assembles the request handler from the components of an instance."""

from collections.abc import Callable
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_routing import breakers

from . import backoffs
from . import dialect
from . import down_targets
from . import failing_targets
from . import layer_orders
from . import live_streams
from . import load_tracker
from . import path_finder
from . import pipe_quota
from . import plain_relay
from . import quarantine
from . import rate_limiter
from . import refusal_gossip
from . import refused_callers
from . import request_handling
from . import retry_budget
from . import sending
from . import service_load
from . import slow_start
from . import slow_targets
from . import stage_replacer
from . import stream_gate
from . import stream_run
from . import target_calls
from . import target_crashes
from . import target_paces
from . import target_registry


class SharedParts(NamedTuple):
    """Components that the request handler shares with others of an instance.

    :ivar takes_work: whether a new request that may last for the given number
        of seconds is still accepted.
    """

    zone: str
    header_dialect: dialect.Dialect
    in_force: request_handling.ConfigurationInForce
    book: target_registry.TargetRegistry
    ledger: load_tracker.LoadTracker
    down: down_targets.DownTargets
    paces: slow_targets.SlowTargets
    held: backoffs.Backoffs
    budget: retry_budget.RetryBudget
    live: live_streams.LiveStreams
    orders: layer_orders.LayerOrders
    refused: refused_callers.RefusedCallers
    failing: failing_targets.FailingTargets
    refused_news: refusal_gossip.RefusalGossip
    pressures: service_load.ServiceLoadTracker
    timer: timers.TimerService
    metric: metrics.Metrics
    rng: random.Random
    takes_work: Callable[[float], bool]
    quota: pipe_quota.PipeQuota
    limits: target_paces.TargetPaces
    quarantine: quarantine.Quarantine
    rates: rate_limiter.RateLimiter


def build_request_handler(
    shared: SharedParts,
) -> request_handling.RequestHandler:
    """Returns a handler that serves plain requests and streams."""
    connections = target_calls.TargetConnections(shared.timer)
    connections.start()
    sender = sending.Sender(
        connections,
        shared.header_dialect,
        shared.timer,
        shared.held,
        shared.book,
        shared.rates,
    )
    crashes = target_crashes.TargetCrashes(
        shared.quarantine, shared.down, shared.book, shared.timer
    )
    return request_handling.RequestHandler(
        shared.in_force,
        shared.header_dialect,
        _plain_relay(shared, sender, crashes),
        _stream_parts(shared, sender, crashes),
        shared.budget,
        shared.timer,
        shared.metric,
        shared.rng,
        shared.takes_work,
    )


def _plain_relay(
    shared: SharedParts,
    sender: sending.Sender,
    crashes: target_crashes.TargetCrashes,
) -> plain_relay.PlainRelay:
    health = breakers.Breakers(
        shared.timer, shared.rng, shared.metric, lambda lost: True
    )
    _watch_outages(shared, health)
    return plain_relay.PlainRelay(
        shared.book,
        shared.ledger,
        sender,
        shared.budget,
        health,
        shared.timer,
        shared.metric,
        shared.rng,
        shared.zone,
        shared.held,
        shared.limits,
        shared.rates,
        crashes=crashes,
    )


def _watch_outages(shared: SharedParts, health: breakers.Breakers) -> None:
    """Has targets limited that return after they were left out."""

    def ejected_ids() -> frozenset[str]:
        plain_ids = shared.book.ids_at(health.ejected_repeatedly())
        return plain_ids | shared.failing.confirmed_ids()

    causes = slow_start.Cause
    shared.limits.add_cause(causes.DOWN, lambda: shared.down.refused_ids)
    shared.limits.add_cause(causes.BACKED_OFF, lambda: shared.held.ids)
    shared.limits.add_cause(causes.EJECTED, ejected_ids)


def _stream_parts(
    shared: SharedParts,
    sender: sending.Sender,
    crashes: target_crashes.TargetCrashes,
) -> stream_run.StreamParts:
    finder = path_finder.PathFinder(
        shared.book,
        shared.ledger,
        shared.down,
        shared.paces,
        shared.timer,
        shared.metric,
        shared.held,
        shared.rng,
        quota=shared.quota,
        soft_exclusions=(shared.failing.ids,),
        at_limit=shared.limits.ids_at_limit,
        rates=shared.rates,
    )
    return stream_run.StreamParts(
        finder=finder,
        ledger=shared.ledger,
        sender=sender,
        header_dialect=shared.header_dialect,
        budget=shared.budget,
        down=shared.down,
        refused=shared.refused,
        live=shared.live,
        replacer=_stage_replacer(shared, finder),
        timer=shared.timer,
        metric=shared.metric,
        failing=shared.failing,
        quarantine=shared.quarantine,
        crashes=crashes,
        limits=shared.limits,
        gate=stream_gate.UrgencyGate(
            shared.book,
            shared.down,
            shared.pressures,
            shared.refused_news,
            shared.timer,
            shared.metric,
            shared.rng,
        ),
    )


def _stage_replacer(
    shared: SharedParts, finder: path_finder.PathFinder
) -> stage_replacer.StageReplacer:
    return stage_replacer.StageReplacer(
        stage_replacer.ReplacerDependencies(
            finder=finder,
            book=shared.book,
            ledger=shared.ledger,
            paces=shared.paces,
            orders=shared.orders,
            down=shared.down,
            live=shared.live,
            timer=shared.timer,
            metric=shared.metric,
            rng=shared.rng,
            quota=shared.quota,
        )
    )
