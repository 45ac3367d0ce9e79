"""Streams through a target that restarted before it was found down."""

import random

from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_relay import cost_model
from cactusmux_relay import down_targets
from cactusmux_relay import live_streams
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest

FIRST = sample_engine.target('first', 'a100', 'a', targets.LayerRange(0, 40))
SECOND = sample_engine.target(
    'second', 'a100', 'a', targets.LayerRange(40, 80)
)
PATH = (
    cost_model.Stage(FIRST, FIRST.layers),
    cost_model.Stage(SECOND, SECOND.layers),
)
PAUSE_S = 0.04
# The longest pause that callers may see, less the time of a replacement.
MAX_DETECTION_S = 0.1


class _Call:
    def has_unread(self):
        return False

    def abort(self):
        pass


class _StreamSetup:
    """One stream over two targets, with restarts seen by the registry."""

    def __init__(self):
        self.timer = timers.ManualTimers()
        down = down_targets.DownTargets(self.timer, random.Random(1))
        self.registry = target_registry.TargetRegistry()
        self.live = live_streams.LiveStreams(
            self.timer, down, lambda target: None, lambda target: None
        )
        self.registry.subscribe_state_lost(self.live.handle_changed_targets)
        self.registry.replace([FIRST, SECOND], {})
        self.live.start()
        self.replaced_at = []
        self.stream = live_streams.LiveStream(
            PATH, 40.0, self.timer.now(), lambda: False, self._replace
        )
        self.stream.call = _Call()
        self.live.add(self.stream)
        for _ in range(5):
            self.timer.advance(PAUSE_S)
            self.stream.record_event(self.timer.now())

    def _replace(self, stream):
        self.replaced_at.append((self.timer.now(), self.live.lost_ids(stream)))
        stream.is_replacing = True
        return True

    def restart(self, target):
        restarted = target._replace(born_ms=target.born_ms + 1000)
        unchanged = [each for each in (FIRST, SECOND) if each.id != target.id]
        self.registry.replace([restarted, *unchanged], {})


@pytest.fixture(name='world')
def _world():
    return _StreamSetup()


def test_stream_through_a_restarted_target_is_replaced_in_time(world):
    """It stalled until its first target ended it, after 2 to 3 s."""
    begun = world.timer.now()
    world.restart(SECOND)
    world.timer.advance(0.25)
    assert len(world.replaced_at) == 1
    at, lost_ids = world.replaced_at[0]
    assert at - begun <= MAX_DETECTION_S
    assert lost_ids == {'second'}


def test_stream_whose_layers_are_moved_is_replaced_in_time(world):
    """Moving layers breaks the target's streams, which stalled 2 to 3 s."""
    begun = world.timer.now()
    moved = SECOND._replace(layers=targets.LayerRange(40, 60))
    world.registry.replace([FIRST, moved], {})
    world.timer.advance(0.25)
    at, lost_ids = world.replaced_at[0]
    assert at - begun <= MAX_DETECTION_S
    assert lost_ids == {'second'}


def test_stream_whose_target_gains_layers_is_not_replaced(world):
    more = SECOND._replace(layers=targets.LayerRange(30, 80))
    world.registry.replace([FIRST, more], {})
    assert world.live.lost_ids(world.stream) == frozenset()


def test_stream_that_began_after_the_restart_is_not_replaced(world):
    world.restart(SECOND)
    restarted = world.registry.target_by_id['second']
    path = (PATH[0], cost_model.Stage(restarted, restarted.layers))
    later = live_streams.LiveStream(path, 40.0, world.timer.now())
    world.live.add(later)
    world.registry.replace([FIRST, restarted], {})
    assert world.live.lost_ids(later) == frozenset()


def test_restart_is_dropped_when_the_stage_is_replaced(world):
    """Otherwise the stream would be replaced repeatedly."""
    world.restart(SECOND)
    other = SECOND._replace(id='other')
    path = (PATH[0], cost_model.Stage(other, other.layers))
    world.stream.use_path(path, 40.0, world.timer.now())
    assert world.live.lost_ids(world.stream) == frozenset()


def test_streams_are_recovered_in_the_order_in_which_they_began(world):
    """The order followed memory addresses, other ones in each process."""
    replaced = []

    def replace(stream):
        replaced.append(stream)
        stream.is_replacing = True
        return True

    now = world.timer.now()
    streams = [
        live_streams.LiveStream(PATH, 40.0, now, lambda: False, replace)
        for _ in range(50)
    ]
    random.Random(1).shuffle(streams)
    for stream in streams:
        stream.call = _Call()
        world.live.add(stream)
    world.restart(SECOND)
    world.timer.advance(0.25)
    assert replaced == streams
