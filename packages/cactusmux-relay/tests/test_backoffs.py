"""Duration of backoffs, measured with a manual timer."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import silent_orders
from cactusmux_relay import backoff_orders
from cactusmux_relay import backoffs
from cactusmux_relay import layer_orders
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest


def _target(name, born_ms=1, service=relay_rig.PLAIN_SERVICE):
    return targets.Target(name, service, f'{name}:80', 'a', 6, False, born_ms)


class _Setup:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.registry = target_registry.TargetRegistry()
        self.backoffs = backoffs.Backoffs(
            self.registry, self.timer, self.metric
        )
        self.one = _target('one')
        self.two = _target('two')
        self.set_targets(self.one, self.two)

    def set_targets(self, *current):
        self.registry.replace(current, {})

    def record_retry_after(self, target, seconds, at_fault=None):
        self.backoffs.record_retry_after(target, seconds, at_fault)

    def wait_s(self):
        return self.backoffs.wait_s([self.one, self.two])


@pytest.fixture(name='held')
def _held():
    return _Setup()


def test_target_is_in_backoff_until_its_time_ends(held):
    held.record_retry_after(held.one, 2.0)
    held.timer.advance(1.9)
    assert held.backoffs.ids == {'one'}
    held.timer.advance(0.1)
    assert held.backoffs.ids == frozenset()
    assert held.backoffs.left_s(held.one) == 0.0


def test_longest_backoff_applies(held):
    held.record_retry_after(held.one, 2.0)
    held.timer.advance(0.5)
    held.record_retry_after(held.one, 0.5)
    assert held.backoffs.left_s(held.one) == 1.5
    held.record_retry_after(held.one, 4.0)
    assert held.backoffs.left_s(held.one) == 4.0
    assert held.metric.counter_by_name['relay.target_backs_off'] == 1


def test_backoff_is_limited(held):
    held.record_retry_after(held.one, 1e300)
    assert held.backoffs.left_s(held.one) == backoffs.MAX_BACK_OFF_S


def test_backoff_applies_to_the_target_named_as_the_cause(held):
    held.record_retry_after(held.one, 2.0, 'two:80')
    assert held.backoffs.ids == {'one', 'two'}


def test_unknown_cause_is_ignored(held):
    held.record_retry_after(held.one, 2.0, 'three:80')
    assert held.backoffs.ids == {'one'}


def test_restarted_target_is_not_in_backoff(held):
    held.record_retry_after(held.one, 2.0)
    restarted = _target('one', born_ms=2)
    held.set_targets(restarted, held.two)
    assert held.backoffs.ids == frozenset()
    assert held.backoffs.left_s(restarted) == 0.0


def test_backoff_survives_a_lapse_of_the_entry(held):
    held.record_retry_after(held.one, 2.0)
    held.set_targets(held.two)
    assert held.backoffs.ids == frozenset()
    held.set_targets(held.one, held.two)
    assert held.backoffs.ids == {'one'}


def test_wait_ends_with_the_shortest_backoff(held):
    held.record_retry_after(held.one, 2.0)
    assert held.wait_s() == 0.0
    held.record_retry_after(held.two, 1.5)
    assert held.wait_s() == pytest.approx(1.5)
    held.timer.advance(1.5)
    assert held.wait_s() == 0.0


def test_wait_is_zero_if_all_targets_would_not_suffice(held):
    held.record_retry_after(held.one, 2.0)
    assert held.backoffs.wait_s([held.one], lambda free: False) == 0.0
    assert held.backoffs.wait_s([]) == 0.0


class _Orders(layer_orders.LayerOrders):
    def __init__(self):
        self.asked = []

    def set_layers(self, target, layers, number):
        self.asked.append(('hold', target.id))
        return silent_orders.SilentOrders().set_layers(target, layers, number)

    def change_path(self, first, request_id, path):
        self.asked.append(('change_path', first.id))
        return silent_orders.SilentOrders().change_path(
            first, request_id, path
        )

    def report(self, target):
        self.asked.append(('report', target.id))
        return silent_orders.SilentOrders().report(target)


def test_orders_and_reports_skip_targets_in_backoff(held):
    orders = _Orders()
    wrapped = backoff_orders.BackoffLayerOrders(orders, held.backoffs)
    held.record_retry_after(held.one, 2.0)
    for target in (held.one, held.two):
        wrapped.report(target)
        wrapped.set_layers(target, targets.LayerRange(0, 8), 1)
        wrapped.change_path(target, 'r1', ())
    assert orders.asked == [
        ('report', 'two'),
        ('hold', 'two'),
        ('change_path', 'two'),
    ]
    for answer in (
        wrapped.report(held.one),
        wrapped.change_path(held.one, 'r1', ()),
    ):
        assert isinstance(answer.failure(), layer_orders.OrderNotSent)
    held.timer.advance(2.0)
    wrapped.report(held.one)
    assert orders.asked[-1] == ('report', 'one')
