"""Tells whether a socket has input now, without a task switch.

The patched functions of gevent always let other tasks run, even with a
timeout of 0, and its ``select`` refuses descriptors from 1,024 on.
"""

import select

from gevent import monkey
from gevent import socket

_poll = monkey.get_original('select', 'poll')


def has_input(sock: socket.socket) -> bool:
    """Whether unread bytes, the end of the data or an error have arrived.

    False for a socket that has been closed on this side.
    """
    descriptor = sock.fileno()
    if descriptor < 0:
        return False
    poll = _poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
