from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import held_bytes
from cactusmux_relay import room_choice
import pytest

MB = 1 << 20
LIMIT_BYTES = 8 * MB
HEAVY_BYTES = 6 * MB


class _World:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.account = held_bytes.HeldBytes(
            LIMIT_BYTES, self.timer, self.metric
        )
        self.ended = []

    def open(self, name):
        return self.account.open(lambda: self.ended.append(name))


@pytest.fixture(name='world')
def _world():
    return _World()


def test_limit_follows_the_memory_of_the_machine():
    assert held_bytes.callers_bytes(300) == 118 * MB
    assert held_bytes.callers_bytes(0) == 118 * MB
    assert held_bytes.callers_bytes(32) == held_bytes.MIN_LIMIT_BYTES


def test_eight_bodies_of_the_default_limit_fit_by_default(world):
    account = held_bytes.unshared(world.timer)
    for _ in range(8):
        account.open(lambda: None).resize(4 * MB)
    assert account.total_bytes == 32 * MB


def test_stalled_body_gives_way_to_one_that_arrives(world):
    stalled = world.open('stalled')
    stalled.resize(4 * MB)
    world.timer.advance(3.0)
    arriving = world.open('arriving')
    for size in range(MB, 5 * MB, MB):
        arriving.resize(size)
    assert world.ended == ['stalled']
    assert world.account.total_bytes == 4 * MB
    with pytest.raises(held_bytes.NoRoom):
        stalled.resize(4 * MB)


def test_new_body_is_refused_while_all_others_arrive(world):
    for name in ('first', 'second', 'third'):
        world.open(name).resize(2 * MB)
    world.timer.advance(0.1)
    late = world.open('late')
    with pytest.raises(held_bytes.NoRoom):
        late.expect(4 * MB)
    with pytest.raises(held_bytes.NoRoom):
        late.resize(2 * MB)
    assert world.ended == []


def test_what_the_limit_does_is_counted_and_logged_now_and_then(world, caplog):
    caplog.set_level('INFO', logger='absl')
    world.open('stalled').resize(4 * MB)
    world.timer.advance(3.0)
    asker = world.open('asker')
    asker.resize(4 * MB)
    for _ in range(1000):
        asker.record_refused()
    assert world.metric.counter_by_name['callers.memory.ended'] == 1
    assert world.metric.counter_by_name['callers.memory.refused'] == 1000
    assert caplog.text.count('callers_memory_limited') == 1
    world.timer.advance(held_bytes.REPORT_PERIOD_S)
    asker.record_refused()
    assert 'refused=1001 ended=0' in caplog.text


def test_ordinary_request_has_room_beside_heavy_ones_in_service(world):
    heavy = world.open('heavy')
    heavy.resize(HEAVY_BYTES)
    heavy.enter(room_choice.Phase.IN_SERVICE)
    world.timer.advance(60.0)
    world.open('ordinary').resize(2_000)
    with pytest.raises(held_bytes.NoRoom):
        world.open('another').resize(MB)
    assert world.ended == []


def test_unread_answer_gives_way(world):
    unread = world.open('unread')
    unread.enter(room_choice.Phase.ANSWERING)
    unread.resize(HEAVY_BYTES)
    world.timer.advance(1.0)
    unread.record_progress(65536)
    asker = world.open('asker')
    with pytest.raises(held_bytes.NoRoom):
        asker.resize(MB)
    world.timer.advance(2.0)
    asker.resize(MB)
    assert world.ended == ['unread']


def test_closed_holdings_hold_nothing(world):
    holding = world.open('one')
    holding.resize(MB)
    holding.close()
    assert world.account.total_bytes == 0


def test_next_request_begins_without_what_the_last_held(world):
    holding = world.open('one')
    holding.resize(MB)
    holding.enter(room_choice.Phase.IN_SERVICE)
    holding.begin()
    assert world.account.total_bytes == 0
    assert holding.phase is room_choice.Phase.ARRIVING


def test_what_can_never_have_room_is_known(world):
    holding = world.open('one')
    assert holding.can_ever_hold(HEAVY_BYTES)
    assert not holding.can_ever_hold(HEAVY_BYTES + 1)


def test_request_whose_caller_sends_ahead_gives_way(world):
    ahead = world.open('ahead')
    ahead.resize(HEAVY_BYTES - 65536)
    ahead.enter(room_choice.Phase.IN_SERVICE)
    ahead.read_ahead(65536)
    world.open('asker').resize(MB)
    assert world.ended == ['ahead']
    assert world.account.total_bytes == MB


def test_next_request_begins_without_what_was_sent_ahead(world):
    holding = world.open('one')
    holding.read_ahead(65536)
    holding.begin()
    assert holding.held.ahead_bytes == 0


# Guards against a running request that ends for the head of the next one.
def test_ordinary_bytes_sent_ahead_are_held_without_room(world):
    heavy = world.open('heavy')
    heavy.resize(HEAVY_BYTES)
    heavy.enter(room_choice.Phase.IN_SERVICE)
    ordinary = world.open('ordinary')
    ordinary.resize(65536)
    ordinary.enter(room_choice.Phase.IN_SERVICE)
    while world.account.total_bytes < LIMIT_BYTES:
        filling = world.open('filling')
        filling.resize(65536)
        filling.enter(room_choice.Phase.IN_SERVICE)
    ordinary.read_ahead(2_000)
    with pytest.raises(held_bytes.NoRoom):
        ordinary.read_ahead(room_choice.ORDINARY_AHEAD_BYTES)
    assert world.ended == []
