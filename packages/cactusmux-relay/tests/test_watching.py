import random

from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_relay import cost_model
from cactusmux_relay import directory
from cactusmux_relay import down_targets
from cactusmux_relay import layer_orders
from cactusmux_relay import live_streams
from cactusmux_relay import membership
from cactusmux_relay import pace_book
from cactusmux_relay import soft_exchange
from cactusmux_relay import targets
import gevent
import msgspec
from returns import result


class _Call:
    def __init__(self):
        self.is_cut = False

    def cut(self):
        self.is_cut = True


class _Watched:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.down = down_targets.DownTargets(self.timer)
        self.suspected = []
        self.live = live_streams.LiveStreams(
            self.timer,
            self.down,
            lambda each: self.suspected.append(each.id),
            lambda each: None,
        )

    def add(self, *ids):
        path = tuple(
            cost_model.Stage(sample_engine.target(each), targets.NO_LAYERS)
            for each in ids
        )
        stream = live_streams.LiveStream(path, 40.0, self.timer.now())
        stream.call = _Call()
        self.live.add(stream)
        return stream

    def play(self, stream, pauses_s):
        for pause_s in pauses_s:
            self.timer.advance(pause_s)
            stream.note_event(self.timer.now())


def test_silent_stream_has_its_targets_suspected():
    watched = _Watched()
    stream = watched.add('x', 'y')
    watched.play(stream, [0.05] * 6)
    watched.live.check()
    assert watched.suspected == []
    watched.timer.advance(0.2)
    watched.live.check()
    assert watched.suspected == ['x', 'y']


def test_target_on_which_another_stream_goes_on_is_not_suspected():
    watched = _Watched()
    silent = watched.add('x', 'shared')
    busy = watched.add('shared', 'z')
    watched.play(silent, [0.05] * 4)
    watched.play(busy, [0.05] * 6)
    watched.live.check()
    assert watched.suspected == ['x']


def test_slow_but_steady_stream_is_not_silent():
    watched = _Watched()
    stream = watched.add('x')
    watched.play(stream, [0.4] * 12)
    watched.timer.advance(0.4)
    watched.live.check()
    assert watched.suspected == []


def test_streams_through_a_target_that_is_down_are_cut():
    watched = _Watched()
    through = watched.add('x', 'y')
    other = watched.add('z')
    watched.down.mark(sample_engine.target('y'), 'test')
    assert through.call.is_cut
    assert through.was_interrupted
    assert not other.call.is_cut


def test_down_target_is_up_again_when_it_started_anew_or_is_gone():
    timer = timers.ManualTimers()
    down = down_targets.DownTargets(timer)
    target = sample_engine.target('x')
    down.mark(target, 'test')
    down.update({'x': target})
    assert down.ids == {'x'}
    down.update({'x': target._replace(born_ms=2)})
    assert down.ids == frozenset()
    down.mark(target, 'test')
    down.update({})
    assert down.ids == frozenset()


def test_connection_tells_whether_a_target_is_there():
    target = scripted_target.ScriptedTarget(lambda sock, request: False)
    assert down_targets.connect_failure(target.address) is None
    target.stop()
    assert down_targets.connect_failure(target.address) is not None


class _Orders(layer_orders.LayerOrders):
    def __init__(self):
        self.pace = 1.0
        self.asked = 0

    def hold(self, target, layers, number):
        raise AssertionError('no order is due')

    def report(self, target):
        self.asked += 1
        return result.Success(
            layer_orders.LayerReport(targets.NO_LAYERS, 0, False, self.pace)
        )


def test_slow_target_is_known_until_it_reports_otherwise_or_age():
    timer = timers.ManualTimers()
    orders = _Orders()
    book = pace_book.PaceBook(orders, timer)
    target = sample_engine.target('x')
    orders.pace = 3.0
    book.ask(target)
    book.ask(target)
    gevent.sleep(0)
    assert orders.asked == 1
    assert book.slow() == {'x': 3.0}
    timer.advance(pace_book.LEAST_AGE_S + 0.1)
    orders.pace = 1.0
    book.ask(target)
    gevent.sleep(0)
    assert book.slow() == {}
    orders.pace = 3.0
    timer.advance(1.0)
    book.ask(target)
    gevent.sleep(0)
    timer.advance(pace_book.MAX_AGE_S + 0.1)
    assert book.slow() == {}


def test_what_others_say_of_slow_targets_counts_for_a_short_time():
    timer = timers.ManualTimers()
    book = pace_book.PaceBook(_Orders(), timer)
    book.note_told({'x': 2.0})
    assert book.slow() == {'x': 2.0}
    timer.advance(pace_book.LEAST_AGE_S + 0.1)
    assert book.slow() == {}


def _instance(name, zone='a', port=80):
    return membership.Instance(
        name, zone, 'r', f'127.0.0.1:{port}', f'127.0.0.1:{port + 1}'
    )


class _Heard:
    def __init__(self):
        self.heard_at_by_name = {}


def _directory(*instances):
    timer = timers.ManualTimers()
    heard = _Heard()
    found = directory.Directory(heard, timer)
    found.update(list(instances))
    return found, heard, timer


def test_callers_get_the_instances_of_their_zone():
    found, _, _ = _directory(
        _instance('i', 'a', 1), _instance('j', 'a', 2), _instance('k', 'b', 3)
    )
    assert found.addresses('a') == ['127.0.0.1:1', '127.0.0.1:2']
    assert len(found.addresses('b')) == 3
    assert len(found.addresses('elsewhere')) == 3


def test_stopping_and_silent_instances_are_left_out():
    found, heard, timer = _directory(
        _instance('i', 'a', 1), _instance('j', 'a', 2), _instance('k', 'a', 3)
    )
    found.note_stopping('i', True)
    assert found.addresses('a') == ['127.0.0.1:2', '127.0.0.1:3']
    timer.advance(directory.SILENT_S + 0.1)
    heard.heard_at_by_name = {'j': timer.now(), 'k': timer.now()}
    assert found.addresses('a') == ['127.0.0.1:2', '127.0.0.1:3']
    heard.heard_at_by_name = {'k': timer.now()}
    assert found.addresses('a') == ['127.0.0.1:3']


def test_without_any_sign_of_life_the_last_list_is_given():
    found, _, timer = _directory(
        _instance('i', 'a', 1), _instance('j', 'a', 2)
    )
    timer.advance(directory.SILENT_S + 0.1)
    assert len(found.addresses('a')) == 2


def _news(name, **changes):
    news = soft_exchange.News(name, False, {}, {}, {}, {}, [], {})
    return soft_exchange.News(
        **{
            field: changes.get(field, getattr(news, field))
            for field in news.__struct_fields__
        }
    )


def test_news_reach_the_other_instances():
    heard = []
    timer = timers.GeventTimers()
    receiver = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timer,
        lambda: _news('b'),
        lambda: [],
        heard.append,
        random.Random(1),
    )
    receiver.start()
    news = _news('a', down=['x'], tokens_by_target={'t': 5})
    sender = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timer,
        lambda: news,
        lambda: [f'127.0.0.1:{receiver.port}'],
        heard.append,
        random.Random(1),
    )
    sender.start()
    sender.send()
    for _ in range(400):
        if heard:
            break
        gevent.sleep(0.005)
    assert heard[0] == news
    assert 'a' in receiver.heard_at_by_name
    receiver._receive(b'garbage', None)
    assert heard[-1] == news


def test_large_fleet_is_told_by_samples():
    timer = timers.ManualTimers()
    asked = []
    peers = [f'127.0.0.1:{port}' for port in range(20001, 20101)]
    exchange = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timer,
        lambda: _news('a'),
        lambda: peers,
        lambda news: None,
        random.Random(1),
    )
    exchange._send_to = lambda data, peer: asked.append(peer)
    for _ in range(40):
        timer.advance(soft_exchange.PERIOD_S)
        exchange.send()
    sendings = 40 * soft_exchange.PERIOD_S / soft_exchange.SAMPLE_PERIOD_S
    assert len(asked) == sendings * soft_exchange.SAMPLE
    assert len(set(asked)) > 60


def test_in_a_large_fleet_directories_go_by_leases():
    instances = [_instance(f'i{n}', 'a', n) for n in range(1, 41)]
    found, _, timer = _directory(*instances)
    timer.advance(directory.SILENT_S + 0.1)
    found.note_stopping('i1', True)
    assert len(found.addresses('a')) == 39


def test_targets_that_are_gone_are_forgotten():
    """A pool that changes all day must not fill the memory."""
    watched = _Watched()
    gone = sample_engine.target('gone')
    watched.down.probe(gone)
    watched.down.update({})
    assert watched.down.known_count == 0


def test_news_carry_who_leaves_and_older_news_do_not():
    news = soft_exchange.News(
        'i', False, {}, {}, {}, {}, [], {}, [], [targets.Start('x', 7)]
    )
    decode = msgspec.msgpack.Decoder(soft_exchange.News).decode
    encoded = msgspec.msgpack.encode(news)
    assert decode(encoded).leaving == [targets.Start('x', 7)]
    fields = msgspec.msgpack.decode(encoded)
    assert decode(msgspec.msgpack.encode(fields[:-1])).leaving == []
