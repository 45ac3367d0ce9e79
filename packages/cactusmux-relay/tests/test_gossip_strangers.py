"""Gossip of ever new senders doesn't fill the memory of an instance."""

import random

from cactusmux_base import timers
from cactusmux_base import turns
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
