import random

from cactusmux_base import timers
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_platform import http_calls
from cactusmux_platform import stores
from cactusmux_relay import copies
from cactusmux_relay import http_server
from cactusmux_relay import store_mirror
from cactusmux_relay import watch_batching
import gevent
import pytest

PREFIX = 'p/'
WAIT_S = 10.0


class _Timers(timers.ManualTimers):
    """Delivers a watch's change during the first sleep that is long enough."""

    def __init__(self):
        super().__init__()
        self.watch_s = None
        self.deliver_change = lambda: None

    def sleep(self, seconds):
        super().sleep(seconds)
        if self.watch_s is not None and seconds >= self.watch_s:
            self.watch_s = None
            self.deliver_change()


class _World:
    """One instance that serves its copy and one that may fetch it."""

    def __init__(self):
        self.timer = _Timers()
        self.memory = memory_store.MemoryStore(self.timer)
        self.store = faulty_store.FaultyStore(
            self.memory, self.timer, random.Random(1)
        )
        self.watches = True
        self.source = self._new_mirror()
        self.mirror = self._new_mirror(lambda: self.watches)
        self.timer.deliver_change = self.mirror.step
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

    def _new_mirror(self, should_watch=lambda: True):
        return store_mirror.StoreMirror(
            self.store,
            self.store,
            PREFIX,
            self.timer,
            lambda: None,
            should_watch=should_watch,
        )

    def _handle(self, request, answerer):
        self.pulls += 1
        self.handler.handle(request, answerer)

    def write(self, key, value=b'1', prefix=PREFIX):
        self.memory.compare_and_swap(prefix + key, value, 0).unwrap()

    def announce(self):
        self.puller.handle_peer_changes(
            self.address, {PREFIX: self.source.last_change}
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


def test_change_that_the_store_does_not_deliver_is_pulled(world):
    world.mirror.step()
    world.write('a')
    world.source.step()
    world.announce()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key
    assert world.pulls == 1


def test_higher_store_revision_alone_causes_no_pull(world):
    """Changes under other prefixes must not cause instances to fetch."""
    world.write('a')
    world.mirror.step()
    world.source.step()
    world.write('x', prefix='q/')
    world.source.reconcile()
    assert world.source.position > world.mirror.position
    world.announce()
    world.wait_until_pulled()
    assert world.pulls == 0


def test_change_announced_by_several_peers_is_pulled_once(world):
    world.mirror.step()
    world.write('a')
    world.source.step()
    for _ in range(3):
        world.announce()
    world.wait_until_pulled()
    assert world.pulls == 1


def test_large_copy_is_compressed_for_the_transfer(world):
    """Uncompressed copies of 0.5 MB take the bandwidth that streams need."""
    world.mirror.step()
    world.write('a', b'{"host_name":"h.example"}' * 20000)
    world.source.step()
    body = world.fetch()
    assert len(body) < 500_000 / 5
    world.announce()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_served_copy_is_up_to_date_with_the_mirror(world):
    world.source.step()
    first = world.fetch()
    world.write('a')
    world.source.step()
    assert world.fetch() != first
    world.announce()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_unreadable_copy_is_not_applied(world):
    world.mirror.step()
    world.write('a')
    world.source.step()
    world.handler = _DamagedCopyHandler()
    world.announce()
    world.wait_until_pulled()
    assert world.pulls == 1
    assert world.mirror.entry_by_key == {}


class _DamagedCopyHandler:
    def handle(self, request, answerer):
        answerer.answer(200, [], b'torn')


def test_change_that_the_watch_is_delivering_is_not_pulled(world):
    """Guards against fetching what the store is already sending."""
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.source.step()
    world.timer.watch_s = 0.45
    world.announce()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key
    assert world.pulls == 0


def test_change_that_the_watch_misses_is_pulled(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.source.step()
    world.announce()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_pull_waits_briefly_for_a_watch_that_missed_a_change(world):
    """After an outage without errors a watch hangs until its timeout."""
    world.mirror.step()
    world.answered_at = world.timer.now()
    assert world.puller.pull_delay_s(PREFIX) > copies.PULL_DELAY_S
    world.write('a')
    world.source.step()
    world.announce()
    world.wait_until_pulled()
    world.answered_at = world.timer.now()
    assert world.puller.pull_delay_s(PREFIX) == copies.PULL_DELAY_S
    world.write('b')
    world.mirror.step()
    assert world.puller.pull_delay_s(PREFIX) > copies.PULL_DELAY_S


def test_pull_waits_briefly_after_a_check_found_a_missed_change(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.mirror.reconcile()
    assert world.puller.pull_delay_s(PREFIX) == copies.PULL_DELAY_S


def test_pull_waits_briefly_for_a_store_that_stopped_answering(world):
    """A watch on a dead connection looks like one without changes."""
    world.mirror.step()
    world.answered_at = world.timer.now()
    assert world.puller.pull_delay_s(PREFIX) > copies.PULL_DELAY_S
    world.timer.advance(copies.MAX_ANSWER_AGE_S + 0.1)
    assert world.puller.pull_delay_s(PREFIX) == copies.PULL_DELAY_S


def test_pull_waits_briefly_for_a_store_that_refuses_calls(world):
    world.mirror.step()
    world.store.faults = faulty_store.Faults(down=True)
    world.mirror.step()
    world.answered_at = world.timer.now()
    assert world.puller.pull_delay_s(PREFIX) == copies.PULL_DELAY_S


def test_next_peer_is_asked_at_once_after_a_failed_pull(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    world.write('a')
    world.source.step()
    world.handler = _DamagedCopyHandler()
    world.announce()
    world.wait_until_pulled()
    assert world.puller.pull_delay_s(PREFIX) == 0.0
    world.handler = copies.CopyHandler({PREFIX: world.source})
    world.announce()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key
    assert world.puller.pull_delay_s(PREFIX) == copies.PULL_DELAY_S


def test_pull_waits_for_a_watch_that_has_not_begun(world):
    world.mirror.step()
    world.answered_at = world.timer.now()
    delay_s = watch_batching.MAX_DELAY_S
    world.mirror._next_watch_at = world.timer.now() + delay_s
    pull_delay_s = world.puller.pull_delay_s(PREFIX)
    assert pull_delay_s >= delay_s + copies.ANSWERED_PULL_DELAY_S[0]


def test_mirror_that_does_not_watch_is_updated_by_copies(world):
    """Otherwise a large configuration fills all instances' links at once."""
    world.mirror.step()
    world.watches = False
    before = world.store.calls_by_kind.get('watch', 0)
    world.write('a')
    world.mirror.step()
    assert world.store.calls_by_kind.get('watch', 0) == before
    world.source.step()
    world.announce()
    world.wait_until_pulled()
    assert world.mirror.entry_by_key == world.source.entry_by_key


def test_mirror_that_begins_to_watch_continues_from_its_copy(world):
    world.mirror.step()
    world.watches = False
    world.write('a')
    world.source.step()
    world.announce()
    world.wait_until_pulled()
    world.write('b')
    world.watches = True
    world.mirror.step()
    assert set(world.mirror.entry_by_key) == {'p/a', 'p/b'}


def test_copies_are_fetched_from_all_announcing_peers(world):
    """If all asked the first peer that announced it, its link would fill."""
    fetched_from = set()
    for seed in range(20):
        puller = copies.CopyPuller(
            {PREFIX: world.mirror},
            world.timer,
            random.Random(seed),
            lambda: 0.0,
        )
        puller._fetch = lambda prefix, address: fetched_from.add(address)
        for address in ('x:1', 'y:1', 'z:1'):
            puller.handle_peer_changes(
                address, {PREFIX: stores.Position(0, 5)}
            )
        with gevent.Timeout(WAIT_S):
            while puller.is_pulling(PREFIX):
                gevent.sleep(0.01)
    assert fetched_from == {'x:1', 'y:1', 'z:1'}
