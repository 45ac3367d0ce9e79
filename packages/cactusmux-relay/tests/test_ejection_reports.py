"""Whose word it takes for a target to be left out, and for how long."""

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

KNOWN = [f't{index:03}' for index in range(100)]
# Bytes of the topic with as many targets as it may tell of.
MOST_BYTES = 600


class _Fleet:
    """Instances that hear of each other only what a test lets them."""

    def __init__(self, *names):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.news_asked = []
        self._book = target_registry.TargetRegistry()
        self._book.replace(
            [sample_engine.target(each) for each in KNOWN],
            relay_rig.make_desired_state().service_by_name,
        )
        self.by_name = {name: self._make(name) for name in names}

    def _make(self, name):
        return ejection_reports.EjectionReports(
            name,
            self._book,
            self.timer,
            self.metric,
            random.Random(name),
            lambda: self.news_asked.append(name),
        )

    def tell(self, sender, taker):
        data = self.by_name[sender].own()
        if data:
            self.by_name[taker].take(sender, data)

    def eject(self, name, target_id='t001'):
        self.by_name[name].note_failure(target_id, is_ejected=True)

    def left_out(self, name):
        return self.by_name[name].left_out()


def test_report_of_one_instance_changes_nothing():
    """It may be the one that is at fault, and tells it again and again."""
    fleet = _Fleet('a', 'b')
    for _ in range(5):
        fleet.eject('a')
        fleet.tell('a', 'b')
        fleet.timer.advance(0.3)
    assert not fleet.left_out('b')


def test_reports_of_two_instances_leave_a_target_out_for_a_short_time():
    fleet = _Fleet('a', 'b', 'c')
    fleet.eject('a')
    fleet.eject('b')
    fleet.tell('a', 'c')
    fleet.tell('b', 'c')
    assert fleet.left_out('c') == {'t001'}
    assert fleet.metric.counter_by_name['relay.target_left_out'] == 1
    fleet.timer.advance(ejection_reports.MOST_REPORT_S)
    assert not fleet.left_out('c')
    assert fleet.metric.counter_by_name['relay.target_let_in'] == 1


def test_report_counts_where_our_own_last_request_failed():
    fleet = _Fleet('a', 'b')
    fleet.by_name['b'].note_failure('t001', is_ejected=False)
    assert not fleet.left_out('b')
    fleet.eject('a')
    fleet.tell('a', 'b')
    assert fleet.left_out('b') == {'t001'}


def test_success_of_our_own_outweighs_older_reports():
    fleet = _Fleet('a', 'b', 'c')
    fleet.eject('a')
    fleet.eject('b')
    fleet.timer.advance(0.1)
    fleet.by_name['c'].note_success('t001')
    fleet.tell('a', 'c')
    fleet.tell('b', 'c')
    assert not fleet.left_out('c')


def test_reports_go_on_through_others_and_count_once_each():
    """News reach a sample only: whoever was told tells it on."""
    fleet = _Fleet('a', 'b', 'c', 'd')
    fleet.eject('a')
    fleet.tell('a', 'b')
    fleet.tell('a', 'c')
    fleet.tell('b', 'd')
    fleet.tell('c', 'd')
    assert not fleet.left_out('d')
    fleet.eject('c')
    fleet.tell('c', 'd')
    assert fleet.left_out('d') == {'t001'}


def test_our_own_report_that_comes_back_is_nobody_elses():
    fleet = _Fleet('a', 'b')
    fleet.eject('a')
    fleet.tell('a', 'b')
    fleet.tell('b', 'a')
    assert not fleet.left_out('a')


def test_reports_do_not_circle_beyond_their_time():
    """Each hop keeps the age, so two instances don't keep one alive."""
    fleet = _Fleet('a', 'b', 'c')
    fleet.eject('a')
    fleet.tell('a', 'b')
    for _ in range(40):
        fleet.tell('b', 'c')
        fleet.tell('c', 'b')
        fleet.timer.advance(0.1)
    assert fleet.by_name['b'].own() == b''
    assert fleet.by_name['c'].own() == b''


def test_news_stay_small():
    fleet = _Fleet('a', 'b')
    for target_id in KNOWN:
        fleet.eject('a', target_id)
        fleet.eject('b', target_id)
    fleet.tell('a', 'b')
    fleet.timer.advance(2.9)
    data = fleet.by_name['b'].own()
    assert len(data) <= MOST_BYTES
    told = msgspec.msgpack.decode(data)
    assert len(told) == ejection_reports.MAX_TOLD


def test_targets_that_nobody_knows_are_not_remembered():
    fleet = _Fleet('a', 'b')
    fleet.eject('a', 'unheard-of')
    fleet.tell('a', 'b')
    assert fleet.by_name['b'].own() == b''


def test_unreadable_news_are_refused_as_such():
    with pytest.raises(msgspec.MsgspecError):
        _Fleet('a').by_name['a'].take('b', b'\xc1')


def test_others_are_told_at_once_until_there_are_enough_reports():
    fleet = _Fleet('a', 'b', 'c', 'd')
    for name in 'abc':
        fleet.eject(name)
        fleet.tell(name, 'd')
        fleet.tell(name, 'd')
    assert fleet.news_asked.count('d') == ejection_reports.ENOUGH_REPORTERS


def test_immediate_news_are_bounded_in_number():
    """A storm of failures must not become a storm of datagrams."""
    timer = timers.ManualTimers()
    sent = []
    peers = [f'10.0.0.{index}:1' for index in range(96)]
    immediate = immediate_news.ImmediateNews(
        timer, random.Random(1), lambda: peers, sent.append
    )
    timer.every(0.001, immediate.request_send)
    timer.advance(1.0)
    assert 1 <= len(sent) <= 1.0 / immediate_news.LEAST_PERIOD_S
    assert all(len(each) == soft_exchange.SAMPLE_SIZE for each in sent)
