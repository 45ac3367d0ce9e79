"""Which reports exclude a target, and for how long."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_relay import ejection_reports
from cactusmux_relay import immediate_news
from cactusmux_relay import soft_exchange
from cactusmux_relay import target_registry
import msgspec
import pytest

TARGET_IDS = [f't{index:03}' for index in range(100)]
# Upper limit of the encoded reports of the maximum number of targets.
MAX_BYTES = 600


class _Fleet:
    """Instances that exchange reports only when a test sends them."""

    def __init__(self, *names):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.send_requests = []
        self._registry = target_registry.TargetRegistry()
        self._registry.replace(
            [sample_engine.target(each) for each in TARGET_IDS],
            relay_rig.make_desired_state().service_by_name,
        )
        self.by_name = {name: self._create_reports(name) for name in names}

    def _create_reports(self, name):
        return ejection_reports.EjectionReports(
            name,
            self._registry,
            self.timer,
            self.metric,
            random.Random(name),
            lambda: self.send_requests.append(name),
        )

    def send(self, sender, receiver):
        data = self.by_name[sender].own()
        if data:
            self.by_name[receiver].take(sender, data)

    def eject(self, name, target_id='t001'):
        self.by_name[name].record_failure(target_id, is_ejected=True)

    def excluded_ids(self, name):
        return self.by_name[name].excluded_ids()


def test_reports_of_a_single_instance_exclude_nothing():
    """The instance may be at fault itself, however often it reports."""
    fleet = _Fleet('a', 'b')
    for _ in range(5):
        fleet.eject('a')
        fleet.send('a', 'b')
        fleet.timer.advance(0.3)
    assert not fleet.excluded_ids('b')


def test_reports_of_two_instances_exclude_a_target_for_a_short_time():
    fleet = _Fleet('a', 'b', 'c')
    fleet.eject('a')
    fleet.eject('b')
    fleet.send('a', 'c')
    fleet.send('b', 'c')
    assert fleet.excluded_ids('c') == {'t001'}
    assert fleet.metric.counter_by_name['relay.target_left_out'] == 1
    fleet.timer.advance(ejection_reports.MAX_REPORT_LIFETIME_S)
    assert not fleet.excluded_ids('c')
    assert fleet.metric.counter_by_name['relay.target_let_in'] == 1


def test_one_report_suffices_after_an_own_failure():
    fleet = _Fleet('a', 'b')
    fleet.by_name['b'].record_failure('t001', is_ejected=False)
    assert not fleet.excluded_ids('b')
    fleet.eject('a')
    fleet.send('a', 'b')
    assert fleet.excluded_ids('b') == {'t001'}


def test_own_success_overrides_older_reports():
    fleet = _Fleet('a', 'b', 'c')
    fleet.eject('a')
    fleet.eject('b')
    fleet.timer.advance(0.1)
    fleet.by_name['c'].record_success('t001')
    fleet.send('a', 'c')
    fleet.send('b', 'c')
    assert not fleet.excluded_ids('c')


def test_forwarded_reports_count_once_per_reporter():
    """Messages reach only a sample, so receivers forward the reports."""
    fleet = _Fleet('a', 'b', 'c', 'd')
    fleet.eject('a')
    fleet.send('a', 'b')
    fleet.send('a', 'c')
    fleet.send('b', 'd')
    fleet.send('c', 'd')
    assert not fleet.excluded_ids('d')
    fleet.eject('c')
    fleet.send('c', 'd')
    assert fleet.excluded_ids('d') == {'t001'}


def test_own_report_that_returns_is_not_counted_as_a_peer_report():
    fleet = _Fleet('a', 'b')
    fleet.eject('a')
    fleet.send('a', 'b')
    fleet.send('b', 'a')
    assert not fleet.excluded_ids('a')


def test_forwarding_does_not_extend_the_lifetime_of_reports():
    """Each hop keeps the age, so two instances can't renew a report."""
    fleet = _Fleet('a', 'b', 'c')
    fleet.eject('a')
    fleet.send('a', 'b')
    for _ in range(40):
        fleet.send('b', 'c')
        fleet.send('c', 'b')
        fleet.timer.advance(0.1)
    assert fleet.by_name['b'].own() == b''
    assert fleet.by_name['c'].own() == b''


def test_message_size_is_bounded():
    fleet = _Fleet('a', 'b')
    for target_id in TARGET_IDS:
        fleet.eject('a', target_id)
        fleet.eject('b', target_id)
    fleet.send('a', 'b')
    fleet.timer.advance(2.9)
    data = fleet.by_name['b'].own()
    assert len(data) <= MAX_BYTES
    reports = msgspec.msgpack.decode(data)
    assert len(reports) == ejection_reports.MAX_TARGETS_PER_MESSAGE


def test_reports_of_unknown_targets_are_dropped():
    fleet = _Fleet('a', 'b')
    fleet.eject('a', 'unheard-of')
    fleet.send('a', 'b')
    assert fleet.by_name['b'].own() == b''


def test_malformed_message_raises():
    with pytest.raises(msgspec.MsgspecError):
        _Fleet('a').by_name['a'].take('b', b'\xc1')


def test_immediate_sending_is_requested_until_enough_reports_exist():
    fleet = _Fleet('a', 'b', 'c', 'd')
    for name in 'abc':
        fleet.eject(name)
        fleet.send(name, 'd')
        fleet.send(name, 'd')
    assert fleet.send_requests.count('d') == ejection_reports.MIN_REPORTERS


def test_rate_of_immediate_messages_is_bounded():
    """Many failures at once must not cause as many datagrams."""
    timer = timers.ManualTimers()
    sent = []
    peers = [f'10.0.0.{index}:1' for index in range(96)]
    immediate = immediate_news.ImmediateNews(
        timer, random.Random(1), lambda: peers, sent.append
    )
    timer.every(0.001, immediate.request_send)
    timer.advance(1.0)
    assert 1 <= len(sent) <= 1.0 / immediate_news.MIN_PERIOD_S
    assert all(len(each) == soft_exchange.SAMPLE_SIZE for each in sent)
