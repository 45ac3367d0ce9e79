"""What many instances ask of the same target is shared among them."""

import random

from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_relay import connection_probes
from cactusmux_relay import down_targets
from cactusmux_relay import layer_orders
from cactusmux_relay import recovery_topic
from cactusmux_relay import shared_checks
from cactusmux_relay import slow_targets
from cactusmux_relay import targets
import gevent
import pytest
from returns import result

TARGET = sample_engine.target('t', 'a100', 'a', targets.LayerRange(0, 80))
# With all instances asking each 0.7 s, 72 of them open 103 connections/s.
MOST_CONNECTIONS_S = 30.0
LOOK_S = 10.0
# How often each instance hears which targets others hold for down.
HEARD_S = 0.5
FLEET = 97


class _Pool:
    """Instances that hold one target for down, and its connections.

    All of a fleet hold it for down and tell each other, or only so many as
    are given: the links of the others are sound, and news change nothing.
    """

    def __init__(self, count, monkeypatch, holders=None):
        self.timer = timers.ManualTimers()
        self.connections = 0
        self.is_up = False
        rng = random.Random(count)
        self.books = [
            down_targets.DownTargets(
                self.timer, random.Random(rng.random()), lambda: count
            )
            for _ in range(count)
        ]
        monkeypatch.setattr(connection_probes, 'probe_address', self._connect)
        monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
        for book in self.books:
            book.start()
        self._holders = self.books[:holders]
        for book in self._holders:
            book.mark(TARGET, 'refused')
        self._tell()
        self.timer.every(HEARD_S, self._tell)

    def _tell(self):
        """Has each instance tell all others what it holds for down."""
        tellers = [book for book in self._holders if book.ids]
        for book in self._holders:
            if any(teller is not book for teller in tellers):
                book.note_peer_report(TARGET)

    def _connect(self, address, timeout_s, timer):
        self.connections += 1
        if self.is_up:
            return connection_probes.ProbeResult(
                connection_probes.Outcome.ACCEPTED, 'ok', 0.0
            )
        return connection_probes.ProbeResult(
            connection_probes.Outcome.REFUSED, 'no', 0.0
        )

    def exchange_news(self):
        """Has each instance tell all others."""
        topics = [recovery_topic.RecoveryTopic(book) for book in self.books]
        for teller in topics:
            data = teller.own()
            for hearer in topics:
                if data and hearer is not teller:
                    hearer.take('other', data)

    def seconds_until_up(self, most, with_news):
        """Returns when the last instance knows that the target is up."""
        self.is_up = True
        begun = self.timer.now()
        while any(book.ids for book in self.books):
            self.timer.advance(0.1)
            if with_news:
                self.exchange_news()
            if self.timer.now() - begun > most:
                break
        return self.timer.now() - begun


@pytest.mark.parametrize('count', [72, 195])
def test_large_fleet_shares_the_rechecks_of_a_target_that_is_down(
    count, monkeypatch
):
    """Each instance opened a connection each 0.7 s to each such target."""
    pool = _Pool(count, monkeypatch)
    pool.timer.advance(LOOK_S)
    longest = shared_checks.LONGEST_S * (1.0 - shared_checks.SPREAD)
    allowed = max(MOST_CONNECTIONS_S, count / longest)
    assert pool.connections / LOOK_S < allowed


def test_small_fleet_rechecks_as_often_as_ever(monkeypatch):
    pool = _Pool(4, monkeypatch)
    pool.timer.advance(LOOK_S)
    rounds = LOOK_S / down_targets.RECHECK_PERIOD_S
    assert pool.connections >= 4 * (rounds - 2)


@pytest.mark.parametrize('count', [8, 72, 195])
def test_one_recheck_lets_all_use_a_target_that_is_up_again(
    count, monkeypatch
):
    pool = _Pool(count, monkeypatch)
    pool.timer.advance(3.0)
    assert pool.seconds_until_up(6.0, with_news=True) <= 1.0


def test_instance_that_hears_nothing_finds_a_target_up_by_itself(monkeypatch):
    pool = _Pool(195, monkeypatch)
    pool.timer.advance(3.0)
    longest = shared_checks.LONGEST_S * (1.0 + shared_checks.SPREAD)
    assert pool.seconds_until_up(20.0, with_news=False) <= longest + 0.2


def test_target_that_one_instance_holds_for_down_is_rechecked_soon(
    monkeypatch,
):
    """After a hiccup of its own link it waited up to 5.7 s for the others."""
    pool = _Pool(FLEET, monkeypatch, holders=1)
    longest = (
        down_targets.RECHECK_PERIOD_S + down_targets.RECHECK_POLL_PERIOD_S
    )
    assert pool.seconds_until_up(20.0, with_news=True) <= longest + 0.01


def test_target_that_one_instance_holds_for_down_is_rechecked_often(
    monkeypatch,
):
    pool = _Pool(FLEET, monkeypatch, holders=1)
    pool.timer.advance(LOOK_S)
    rounds = LOOK_S / down_targets.RECHECK_PERIOD_S
    assert pool.connections >= rounds - 2


class _Reports(layer_orders.LayerOrders):
    """Counts the reports that are asked for."""

    def __init__(self):
        self.asked = 0

    def set_layers(self, target, layers, number):
        raise AssertionError

    def change_path(self, first, request_id, path):
        raise AssertionError

    def report(self, target):
        self.asked += 1
        return result.Failure(layer_orders.OrderUnanswered(target.id))


def test_large_fleet_shares_the_reports_of_a_suspected_target(monkeypatch):
    """All streams through a slow target make all instances suspect it."""
    monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
    timer = timers.ManualTimers()
    reports = _Reports()
    books = [
        slow_targets.SlowTargets(
            reports, timer, lambda: 72, random.Random(number)
        )
        for number in range(72)
    ]
    for _ in range(100):
        timer.advance(0.1)
        for book in books:
            book.suspect(TARGET)
    # All 72 at their least distance would be 900.
    assert 72 <= reports.asked <= 300


def test_target_that_one_instance_suspects_is_asked_at_once(monkeypatch):
    """Nobody else asks; the first report came after up to 5 s."""
    monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
    for seed in range(20):
        reports = _Reports()
        book = slow_targets.SlowTargets(
            reports, timers.ManualTimers(), lambda: FLEET, random.Random(seed)
        )
        book.suspect(TARGET)
        assert reports.asked == 1


def test_target_that_others_tell_to_be_slow_is_not_asked_by_all(monkeypatch):
    """All instances suspect it at the same moment."""
    monkeypatch.setattr(gevent, 'spawn', lambda call, *args: call(*args))
    reports = _Reports()
    timer = timers.ManualTimers()
    for number in range(FLEET):
        book = slow_targets.SlowTargets(
            reports, timer, lambda: FLEET, random.Random(number)
        )
        book.note_told({TARGET.id: 2.0})
        book.suspect(TARGET)
    assert reports.asked <= FLEET / 10
