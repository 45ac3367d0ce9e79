"""Components of an instance are subscribed to each other when built."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import plain_dialect
from cactusmux_fakes import sample_engine
from cactusmux_fakes import silent_orders
from cactusmux_relay import cost_model
from cactusmux_relay import instance_rank
from cactusmux_relay import live_streams
from cactusmux_relay import parts_assembly
from cactusmux_relay import relay_settings
from cactusmux_relay import targets

LAYERS = targets.LayerRange(0, 80)
TARGET = sample_engine.target('whole', 'a100', 'a', LAYERS)
SETTINGS = relay_settings.RelaySettings(
    name='i',
    zone='a',
    region='r',
    entry_address='127.0.0.1:0',
    exchange_address='127.0.0.1:0',
    state_prefix='state',
    target_prefix='targets/',
    repeat_ratio=0.2,
    repeat_allowance=10.0,
    repeat_window_s=10.0,
    late_callers_s=1.0,
    stop_within_s=2.0,
)
BINDINGS = relay_settings.Translations(
    store=None,
    eras=None,
    reader=None,
    header_dialect=plain_dialect.PlainDialect(),
    decode_state=lambda entry: None,
    decode_target=lambda entry: None,
    orders=silent_orders.SilentOrders(),
)
CALLBACKS = parts_assembly.InstanceCallbacks(
    instances=lambda: 1,
    turn=lambda: instance_rank.InstanceRank(0, 1),
    takes_work=lambda longest_s: True,
    send_gossip_soon=lambda: None,
)


def test_streams_are_notified_of_restarted_targets():
    """Without notice, a restart stalls a stream until its target closes it."""
    timer = timers.ManualTimers()
    shared = parts_assembly.build_parts(
        SETTINGS,
        BINDINGS,
        CALLBACKS,
        timer,
        metrics.MemoryMetrics(),
        random.Random(1),
    ).shared
    shared.book.replace([TARGET], {})
    path = (cost_model.Stage(TARGET, LAYERS),)
    stream = live_streams.LiveStream(path, 40.0, timer.now())
    shared.live.add(stream)
    shared.book.replace([TARGET._replace(born_ms=TARGET.born_ms + 1)], {})
    assert shared.live.lost_ids(stream) == {TARGET.id}
