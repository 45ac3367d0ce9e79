import random

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import http_calls
from cactusmux_relay import copies
from cactusmux_relay import http_server
from cactusmux_relay import store_mirror
from cactusmux_relay import watch_pace
import gevent
import pytest

PREFIX = 'p/'
WAIT_S = 10.0


class _Timers(timers.ManualTimers):
    """Brings a change on the watch to who sleeps long enough for it."""

    def __init__(self):
        super().__init__()
        self.watch_s = None
        self.bring = lambda: None

    def sleep(self, seconds):
        super().sleep(seconds)
        if self.watch_s is not None and seconds >= self.watch_s:
            self.watch_s = None
            self.bring()


class _World:
    """One instance that serves its copy, another that may pull it."""

    def __init__(self):
        self.timer = _Timers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.store = faulty_store.FaultyStore(
            self.memory, self.timer, random.Random(1)
        )
        self.watches = True
        self.source = self._new_mirror()
        self.mirror = self._new_mirror(lambda: self.watches)
        self.timer.bring = self.mirror.step
        self.answered_at = 0.0
        self.puller = copies.CopyPuller(
            {PREFIX: self.mirror},
            self.timer,
            random.Random(1),
            lambda: self.answered_at,
        )
        self.handler = copies.CopyHandler({PREFIX: self.source})
        self.pulls = 0
        self.write('x', prefix='other/')
        self.server = http_server.HttpServer(
            '127.0.0.1:0', self._handle, timers.GeventTimers()
        )
        self.server.start()

    @property
    def address(self):
        return f'127.0.0.1:{self.server.port}'

    def _new_mirror(self, watches=lambda: True):
        return store_mirror.StoreMirror(
            self.store,
            self.store,
            PREFIX,
            self.timer,
            lambda: None,
            watches=watches,
        )

    def _handle(self, request, answerer):
        self.pulls += 1
        self.handler.handle(request, answerer)

    def write(self, key, value=b'1', prefix=PREFIX):
        self.memory.compare_and_swap(prefix + key, value, 0).unwrap()

    def tell(self):
        self.puller.note_changes(
            self.address, {PREFIX: self.source.last_change_revision}
        )

    def fetch(self):
        caller = http_calls.HttpCaller(self.address, 1, WAIT_S)
        path = copies.PATH + PREFIX
        answer = caller.call('GET', path, b'', WAIT_S).unwrap()
        caller.close()
        return answer.body

    def wait_until_pulled(self):
        with gevent.Timeout(WAIT_S):
            while self.puller.is_pulling(PREFIX):
                gevent.sleep(0.01)


@pytest.fixture(name='world')
def _world():
    world = _World()
    yield world
    world.server.stop()


def test_change_that_the_store_does_not_tell_is_pulled(world):
    world.mirror.step()
    world.write('a')
    world.source.step()
    world.tell()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key
    assert world.pulls == 1


def test_rise_of_the_counter_alone_is_not_pulled(world):
    """Each change of another prefix had all instances pull the same."""
    world.write('a')
    world.mirror.step()
    world.source.step()
    world.write('x', prefix='q/')
    world.source.check()
    assert world.source.revision > world.mirror.revision
    world.tell()
    world.wait_until_pulled()
    assert world.pulls == 0


def test_change_told_by_several_is_pulled_once(world):
    world.mirror.step()
    world.write('a')
    world.source.step()
    for _ in range(3):
        world.tell()
    world.wait_until_pulled()
    assert world.pulls == 1


def test_large_copy_fills_the_link_for_a_short_time(world):
    """Copies of half a megabyte left no room for streams."""
    world.mirror.step()
    world.write('a', b'{"host_name":"h.example"}' * 20000)
    world.source.step()
    body = world.fetch()
    assert len(body) < 500_000 / 5
    world.tell()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_served_copy_follows_the_mirror(world):
    world.source.step()
    first = world.fetch()
    world.write('a')
    world.source.step()
    assert world.fetch() != first
    world.tell()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_unreadable_copy_is_not_taken(world):
    world.mirror.step()
    world.write('a')
    world.source.step()
    world.handler = _Torn()
    world.tell()
    world.wait_until_pulled()
    assert world.pulls == 1
    assert world.mirror.entry_by_key == {}


class _Torn:
    def handle(self, request, answerer):
        answerer.answer(200, [], b'torn')


def test_change_that_the_watch_is_bringing_is_not_pulled(world):
    """Instances pulled what the store was just sending to all of them."""
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.source.step()
    world.timer.watch_s = 0.45
    world.tell()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key
    assert world.pulls == 0


def test_change_that_a_deaf_watch_does_not_bring_is_pulled(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.source.step()
    world.tell()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_deaf_watch_is_not_waited_for_long_again(world):
    """After a silent outage a watch hangs for up to its whole wait."""
    world.mirror.step()
    world.answered_at = world.timer.now()
    assert world.puller.patience_s(PREFIX) > copies.PATIENCE_S
    world.write('a')
    world.source.step()
    world.tell()
    world.wait_until_pulled()
    world.answered_at = world.timer.now()
    assert world.puller.patience_s(PREFIX) == copies.PATIENCE_S
    world.write('b')
    world.mirror.step()
    assert world.puller.patience_s(PREFIX) > copies.PATIENCE_S


def test_watch_that_a_check_has_found_deaf_is_not_waited_for_long(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.mirror.check()
    assert world.puller.patience_s(PREFIX) == copies.PATIENCE_S


def test_store_that_fell_silent_is_not_waited_for_long(world):
    """A watch that was cut off hangs as a quiet one does."""
    world.mirror.step()
    world.answered_at = world.timer.now()
    assert world.puller.patience_s(PREFIX) > copies.PATIENCE_S
    world.timer.advance(copies.ANSWER_AGE_S + 0.1)
    assert world.puller.patience_s(PREFIX) == copies.PATIENCE_S


def test_store_that_turns_us_away_is_not_waited_for_long(world):
    world.mirror.step()
    world.store.faults = faulty_store.Faults(down=True)
    world.mirror.step()
    world.answered_at = world.timer.now()
    assert world.puller.patience_s(PREFIX) == copies.PATIENCE_S


def test_next_instance_is_asked_at_once_when_one_fails(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.source.step()
    world.handler = _Torn()
    world.tell()
    world.wait_until_pulled()
    assert world.puller.patience_s(PREFIX) == 0.0
    world.handler = copies.CopyHandler({PREFIX: world.source})
    world.tell()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key
    assert world.puller.patience_s(PREFIX) == copies.PATIENCE_S


def test_pull_waits_for_a_watch_that_is_not_asked_yet(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    batch_s = watch_pace.LONGEST_S
    world.mirror._asks_at = world.timer.now() + batch_s
    patience_s = world.puller.patience_s(PREFIX)
    assert patience_s >= batch_s + copies.ANSWERED_PATIENCE_S[0]


def test_mirror_that_does_not_watch_lives_by_copies(world):
    """A large configuration filled the links of all instances at once."""
    world.mirror.step()
    world.watches = False
    before = world.store.calls_by_kind.get('watch', 0)
    world.write('a')
    world.mirror.step()
    assert world.store.calls_by_kind.get('watch', 0) == before
    world.source.step()
    world.tell()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_mirror_that_begins_to_watch_goes_on_from_its_copy(world):
    world.mirror.step()
    world.watches = False
    world.write('a')
    world.source.step()
    world.tell()
    world.wait_until_pulled()
    world.write('b')
    world.watches = True
    world.mirror.step()
    assert set(world.mirror.entry_by_key) == {'p/a', 'p/b'}


def test_copies_are_asked_of_all_instances_that_told(world):
    """All asked the first one that told, and filled its link."""
    asked = set()
    for seed in range(20):
        puller = copies.CopyPuller(
            {PREFIX: world.mirror},
            world.timer,
            random.Random(seed),
            lambda: 0.0,
        )
        puller._fetch = lambda prefix, address: asked.add(address)
        for address in ('x:1', 'y:1', 'z:1'):
            puller.note_changes(address, {PREFIX: 5})
        with gevent.Timeout(WAIT_S):
            while puller.is_pulling(PREFIX):
                gevent.sleep(0.01)
    assert asked == {'x:1', 'y:1', 'z:1'}
