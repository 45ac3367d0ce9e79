import random

from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_relay import cost_model
from cactusmux_relay import down_targets
from cactusmux_relay import live_streams
from cactusmux_relay import prompt_parts
from cactusmux_relay import target_crashes
from cactusmux_relay import target_registry
from cactusmux_relay import targets

REQUESTER = prompt_parts.Requester('org', ())


class _Call:
    is_cut = False

    def abort(self):
        self.is_cut = True


class _AllQuarantined:
    """A quarantine that holds each request once it says so."""

    def __init__(self):
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def find(self, requester):
        return requester


def _watched_stream(timer, quarantine):
    crashes = target_crashes.TargetCrashes(
        quarantine,
        down_targets.DownTargets(timer, random.Random(1)),
        target_registry.TargetRegistry(),
        timer,
    )
    path = (cost_model.Stage(sample_engine.target('x'), targets.NO_LAYERS),)
    stream = live_streams.LiveStream(path, 40.0, timer.now())
    stream.call = _Call()
    crashes.begin(REQUESTER, 'r1', stream)
    return stream


def test_stream_that_waits_for_its_response_is_taken_back():
    timer = timers.ManualTimers()
    quarantine = _AllQuarantined()
    stream = _watched_stream(timer, quarantine)
    quarantine.callbacks[0]()
    timer.advance(0.01)
    assert stream.call.is_cut


def test_stream_that_begins_before_its_late_abort_goes_on():
    timer = timers.ManualTimers()
    quarantine = _AllQuarantined()
    stream = _watched_stream(timer, quarantine)
    quarantine.callbacks[0]()
    stream.response_at = timer.now()
    timer.advance(0.01)
    assert not stream.call.is_cut
    assert not stream.was_interrupted
