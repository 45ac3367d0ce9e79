"""Load of an attempt, and the prefill backlog of replacement targets."""

from cactusmux_base import timers
from cactusmux_relay import attempt_load
from cactusmux_relay import load_tracker
from cactusmux_relay import prefill_backlog
import pytest


def _create_load():
    tracker = load_tracker.LoadTracker(timers.ManualTimers())
    return attempt_load.AttemptLoad(tracker, 100.0), tracker


def test_load_follows_a_changed_path():
    load, tracker = _create_load()
    tracker.add(['lost', 'kept'], 7.0)
    load.set_targets(['kept', 'lost'])
    load.set_targets(['kept', 'new'])
    assert tracker.own_loads().tokens_by_target == {
        'kept': 107.0,
        'lost': 7.0,
        'new': 100.0,
    }
    load.end()
    assert tracker.own_loads().tokens_by_target == {'kept': 7.0, 'lost': 7.0}


def test_order_that_completes_after_its_attempt_adds_no_load():
    load, tracker = _create_load()
    load.set_targets(['lost'])
    load.end()
    load.set_targets(['new'])
    assert tracker.own_loads().tokens_by_target == {}


def test_reading_is_queued_by_target_and_done_as_time_passes():
    timer = timers.ManualTimers()
    backlog = prefill_backlog.PrefillBacklog(timer)
    backlog.add({'x': 30.0})
    backlog.add({'x': 20.0, 'y': 10.0})
    remaining_ms = backlog.left_ms()
    assert (remaining_ms['x'], remaining_ms['y']) == pytest.approx(
        (50.0, 10.0)
    )
    timer.advance(0.02)
    assert backlog.left_ms() == {'x': pytest.approx(30.0)}
