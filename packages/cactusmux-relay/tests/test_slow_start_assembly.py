"""Tests that an assembled relay limits recovered targets for each cause."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import plain_dialect
from cactusmux_fakes import relay_rig
from cactusmux_fakes import silent_orders
from cactusmux_fakes import single_limiter
from cactusmux_relay import backoffs
from cactusmux_relay import cost_model
from cactusmux_relay import down_targets
from cactusmux_relay import ejection_reports
from cactusmux_relay import failing_targets
from cactusmux_relay import handler_assembly
from cactusmux_relay import instance_rank
from cactusmux_relay import live_streams
from cactusmux_relay import load_tracker
from cactusmux_relay import pipe_quota
from cactusmux_relay import quarantine
from cactusmux_relay import recoveries
from cactusmux_relay import refusal_gossip
from cactusmux_relay import refused_callers
from cactusmux_relay import request_handling
from cactusmux_relay import retry_budget
from cactusmux_relay import service_load
from cactusmux_relay import slow_start
from cactusmux_relay import slow_targets
from cactusmux_relay import target_paces
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from cactusmux_routing import breakers
import msgspec
import pytest

NAMES = ('one', 'two', 'three')
EJECTION_S = breakers.MAX_EJECTION_S


def _target(name, born_ms=1):
    service = relay_rig.PLAIN_SERVICE
    return targets.Target(name, service, f'{name}:80', 'a', 6, False, born_ms)


class _Core:
    def __init__(self, monkeypatch):
        timer = timers.ManualTimers()
        rng = random.Random(1)
        metric = metrics.MemoryMetrics()
        self.timer = timer
        self.book = target_registry.TargetRegistry()
        self.held = backoffs.Backoffs(self.book, timer, metric)
        self.down = down_targets.DownTargets(timer, rng)
        ledger = load_tracker.LoadTracker(timer)
        in_force = request_handling.ConfigurationInForce()
        in_force.replace(relay_rig.make_desired_state())
        self.paces = target_paces.TargetPaces(
            self.book,
            ledger,
            in_force,
            lambda: instance_rank.InstanceRank(0, 1),
            timer,
            metric,
        )
        orders = silent_orders.SilentOrders()
        reports = ejection_reports.EjectionReports(
            'own', self.book, timer, metric, rng
        )
        self.reports = reports
        self.failing = failing_targets.FailingTargets(
            self.book, ledger, reports, timer, metric, rng
        )
        made = []
        real = breakers.Breakers
        monkeypatch.setattr(
            breakers,
            'Breakers',
            lambda *args: made.append(real(*args)) or made[-1],
        )
        refused = refused_callers.RefusedCallers(timer, rng)
        handler_assembly.build_request_handler(
            handler_assembly.SharedParts(
                zone='a',
                header_dialect=plain_dialect.PlainDialect(),
                in_force=in_force,
                book=self.book,
                ledger=ledger,
                down=self.down,
                paces=slow_targets.SlowTargets(orders, timer),
                held=self.held,
                budget=retry_budget.RetryBudget(timer, 1.0, 10.0, 10.0),
                live=live_streams.LiveStreams(
                    timer, self.down, self.down.probe, self.down.probe
                ),
                orders=orders,
                refused=refused,
                refused_news=refusal_gossip.RefusalGossip(timer, refused),
                pressures=service_load.ServiceLoadTracker(timer, lambda: 1),
                failing=self.failing,
                timer=timer,
                metric=metric,
                rng=rng,
                takes_work=lambda longest_s: True,
                quota=pipe_quota.PipeQuota(timer, metric, rng),
                limits=self.paces,
                quarantine=quarantine.Quarantine(timer, metric),
                rates=single_limiter.build_limiter(self.book, timer, metric),
            )
        )
        self.health = made[0]
        self.set_targets(*map(_target, NAMES))
        timer.advance(recoveries.INITIAL_DISCOVERY_S)
        assert self.causes() == {}

    def set_targets(self, *found):
        self.book.replace(found, {})
        self.down.update(self.book.target_by_id)
        self.paces.review()

    def causes(self):
        self.paces.review()
        return {
            start.target_id: limit.cause
            for start, limit in self.paces._limit_by_start.items()
        }

    def eject_plain(self, name, times):
        """Lets a plain target fail ``times`` times, with a probe between."""
        address = self.book.target_by_id[name].address
        for _ in range(times):
            self.health.record_started(address)
            self.health.record_failure(address, certain=True)
            assert self.causes() == {}
            self.timer.advance(EJECTION_S)

    def eject_stream(self, name, times):
        """Lets a model target fail ``times`` times, with a probe between."""
        target = self.book.target_by_id[name]
        path = (cost_model.Stage(target, target.layers),)
        for _ in range(times):
            trial = self.failing.begin('r1', path, 0.0, 1.0)
            trial.record_error_response(500, target.address)
            assert self.causes() == {}
            self.timer.advance(EJECTION_S)

    def hear_ejections(self, name, reporters):
        """Takes ejection reports of ``reporters`` peers."""
        ages_ms = dict.fromkeys(range(reporters), 0)
        told = [ejection_reports.TargetReports(name, ages_ms)]
        self.reports.take('other', msgspec.msgpack.encode(told))
        assert self.causes() == {}

    def accept(self, name):
        """Lets a probe find that a target accepts connections again."""
        self.down._mark_up(name, 'accepted')


@pytest.fixture(name='core')
def _core(monkeypatch):
    return _Core(monkeypatch)


def test_target_that_refused_connections_is_limited_when_back(core):
    core.down.mark(_target('one'), 'refused')
    assert core.causes() == {}
    core.accept('one')
    assert core.causes() == {'one': slow_start.Cause.DOWN}


def test_target_that_was_only_silent_is_not_limited(core):
    """A short network interruption doesn't make a target cold."""
    core.down.mark(_target('one'), 'timed out', is_refused=False)
    assert core.causes() == {}
    core.accept('one')
    assert core.causes() == {}


def test_target_that_was_silent_and_has_restarted_is_limited(core):
    core.down.mark(_target('one'), 'timed out', is_refused=False)
    core.causes()
    core.set_targets(_target('one', 2), _target('two'), _target('three'))
    assert core.causes() == {'one': slow_start.Cause.STARTED}


EJECT = [_Core.eject_plain, _Core.eject_stream]


@pytest.mark.parametrize('eject', EJECT)
def test_target_that_was_ejected_repeatedly_is_limited_when_back(core, eject):
    eject(core, 'one', breakers.REPEATED_EJECTIONS)
    assert core.causes() == {'one': slow_start.Cause.EJECTED}
    (limit,) = core.paces._limit_by_start.values()
    assert limit.share == slow_start.BACKED_OFF_SHARE


@pytest.mark.parametrize('eject', EJECT)
def test_target_that_failed_one_request_is_not_limited(core, eject):
    """Guards against a failing request that limits each target it reaches."""
    eject(core, 'one', breakers.REPEATED_EJECTIONS - 1)
    eject(core, 'two', breakers.REPEATED_EJECTIONS - 1)
    assert core.causes() == {}


def test_target_that_worked_between_two_ejections_is_not_limited(core):
    core.eject_plain('one', 1)
    core.health.record_started('one:80')
    core.health.record_success('one:80')
    core.eject_plain('one', 1)
    assert core.causes() == {}


def test_target_that_two_peers_ejected_is_limited_when_back(core):
    core.hear_ejections('one', ejection_reports.MIN_REPORTERS)
    core.timer.advance(ejection_reports.MAX_REPORT_LIFETIME_S)
    assert core.causes() == {'one': slow_start.Cause.EJECTED}


def test_target_of_one_report_and_one_own_failure_is_not_limited(core):
    """A caller whose request always fails may have tried two instances."""
    core.hear_ejections('one', ejection_reports.MIN_REPORTERS - 1)
    core.eject_stream('one', 1)
    assert core.causes() == {}


def test_target_that_backed_off_is_limited_when_back(core):
    core.held.record_retry_after(_target('one'), 1.0, None)
    assert core.causes() == {}
    assert core.held.ids == {'one'}
    core.timer.advance(1.0)
    assert core.causes() == {'one': slow_start.Cause.BACKED_OFF}
