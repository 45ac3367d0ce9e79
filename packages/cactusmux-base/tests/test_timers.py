"""Tests of the timer service that tests elsewhere rely on."""

from cactusmux_base import timers


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
