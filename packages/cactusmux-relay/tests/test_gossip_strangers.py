"""Gossip of ever new senders doesn't fill the memory of an instance."""

import random

from cactusmux_base import timers
from cactusmux_base import turns
from cactusmux_relay import gossip_senders
from cactusmux_relay import soft_exchange
import gevent
from gevent import socket
import msgspec

STRANGERS = 3000
MAX_HELD_NAMES = 1000


def _message(name):
    return soft_exchange.GossipMessage(name, False, {}, {}, {}, {}, [], {})


def test_ever_new_senders_are_not_all_remembered():
    exchange = soft_exchange.SoftExchange(
        '127.0.0.1:0',
        timers.GeventTimers(),
        lambda: _message('own'),
        lambda: [],
        lambda message: None,
        random.Random(1),
    )
    exchange.start()
    encode = msgspec.msgpack.Encoder().encode
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(STRANGERS):
            data = encode(_message(f'stranger-{number}'))
            sender.sendto(data, ('127.0.0.1', exchange.port))
            turns.pause()
        gevent.sleep(0.5)
    assert len(exchange.heard_at_by_name) <= MAX_HELD_NAMES


def _full_senders(clock, listed):
    senders = gossip_senders.GossipSenders(clock, listed.__contains__)
    for number in range(gossip_senders.MAX_UNLISTED):
        assert senders.record(f'stranger-{number}')
    return senders


def test_listed_instances_are_heard_however_many_strangers_there_are():
    listed = {'i1', 'i2'}
    senders = _full_senders(timers.ManualTimers(), listed)
    assert not senders.record('one more')
    assert senders.record('i1')
    assert senders.record('i2')
    assert senders.record('stranger-0')
    assert 'one more' not in senders.heard_at_by_name


def test_silent_strangers_make_room_and_listed_ones_stay():
    clock = timers.ManualTimers()
    senders = _full_senders(clock, {'i1'})
    assert senders.record('i1')
    clock.advance(gossip_senders.FORGET_S + 1.0)
    assert senders.record('one more')
    assert set(senders.heard_at_by_name) == {'i1', 'one more'}


def test_listed_instances_take_no_room_of_strangers():
    names = {f'i{number}' for number in range(gossip_senders.MAX_UNLISTED)}
    senders = gossip_senders.GossipSenders(
        timers.ManualTimers(), names.__contains__
    )
    assert all(senders.record(name) for name in names)
    assert senders.record('stranger')
