"""Tests of the timer services, including the one for other tests."""

import time

from cactusmux_base import timers
import gevent


def test_manual_timers_call_in_order_of_due_time() -> None:
    clock = timers.ManualTimers()
    calls: list[str] = []
    clock.after(2.0, lambda: calls.append('once'))
    clock.every(1.5, lambda: calls.append('periodic'))
    clock.advance(3.0)
    assert calls == ['periodic', 'once', 'periodic']


def test_manual_timers_skip_cancelled_subscription() -> None:
    clock = timers.ManualTimers()
    calls: list[str] = []
    subscription = clock.every(1.0, lambda: calls.append('periodic'))
    clock.advance(1.0)
    subscription.cancel()
    clock.advance(5.0)
    assert calls == ['periodic']


def test_periodic_callback_continues_after_failure() -> None:
    calls: list[int] = []

    def fail_once() -> None:
        calls.append(len(calls))
        if len(calls) == 1:
            raise KeyError('unforeseen')

    subscription = timers.GeventTimers().every(0.001, fail_once)
    with gevent.Timeout(5.0):
        while len(calls) < 3:
            gevent.sleep(0.001)
    subscription.cancel()


def test_callback_failure_is_logged_with_name(caplog) -> None:
    def fail_always() -> None:
        raise KeyError('unforeseen')

    with gevent.Timeout(5.0):
        timers.GeventTimers().after(0.0, fail_always)
        while not caplog.records:
            gevent.sleep(0.001)
    line = caplog.records[0].getMessage()
    assert line.startswith('event=callback_failed')
    assert 'fail_always' in line
    assert 'unforeseen' in line


def test_time_goes_on_while_the_machine_is_suspended(monkeypatch):
    """Leases must expire during suspension; CLOCK_MONOTONIC stops then."""
    timer = timers.GeventTimers()
    before = timer.now()
    clock = time.clock_gettime

    def after_suspension(kind):
        return clock(kind) + (7.0 if kind == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, 'clock_gettime', after_suspension)
    assert timer.now() - before >= 7.0
