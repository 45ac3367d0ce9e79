"""What an attempt, and the reading of replacements, count as load."""

from cactusmux_base import timers
from cactusmux_relay import attempt_load
from cactusmux_relay import load_tracker
from cactusmux_relay import prefill_backlog
import pytest


def _noted():
    ledger = load_tracker.LoadTracker(timers.ManualTimers())
    return attempt_load.AttemptLoad(ledger, 100.0), ledger


def test_load_follows_a_changed_path():
    noted, ledger = _noted()
    ledger.add(['lost', 'kept'], 7.0)
    noted.set_targets(['kept', 'lost'])
    noted.set_targets(['kept', 'new'])
    assert ledger.own_loads().tokens_by_target == {
        'kept': 107.0,
        'lost': 7.0,
        'new': 100.0,
    }
    noted.end()
    assert ledger.own_loads().tokens_by_target == {'kept': 7.0, 'lost': 7.0}


def test_order_that_ends_after_its_attempt_leaves_no_load():
    noted, ledger = _noted()
    noted.set_targets(['lost'])
    noted.end()
    noted.set_targets(['new'])
    assert ledger.own_loads().tokens_by_target == {}


def test_reading_is_queued_by_target_and_done_as_time_passes():
    timer = timers.ManualTimers()
    backlog = prefill_backlog.PrefillBacklog(timer)
    backlog.add({'x': 30.0})
    backlog.add({'x': 20.0, 'y': 10.0})
    left = backlog.left_ms()
    assert (left['x'], left['y']) == pytest.approx((50.0, 10.0))
    timer.advance(0.02)
    assert backlog.left_ms() == {'x': pytest.approx(30.0)}
