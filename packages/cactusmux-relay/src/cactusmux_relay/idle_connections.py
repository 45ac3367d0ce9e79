"""Idle connections to targets that are kept for further requests."""

import collections
from typing import NamedTuple

from cactusmux_base import timers
from gevent import socket

from . import unread_input

MAX_IDLE_PER_TARGET = 32
SWEEP_PERIOD_S = 2.0


class _Idle(NamedTuple):
    sock: socket.socket
    expires_at: float


class IdleConnections:
    """Keeps the idle connections of each target until they expire."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._idle_by_address: dict[str, collections.deque[_Idle]] = {}

    def start(self) -> None:
        """Starts the periodic closing of expired connections."""
        self._timer.every(SWEEP_PERIOD_S, self.close_expired)

    @property
    def count(self) -> int:
        """Number of idle connections."""
        return sum(len(idle) for idle in self._idle_by_address.values())

    def put(
        self, address: str, sock: socket.socket, keep_alive_s: float
    ) -> None:
        """Keeps a connection that has no pending request, or closes it."""
        idle = self._idle_by_address.setdefault(address, collections.deque())
        if keep_alive_s <= 0 or len(idle) >= MAX_IDLE_PER_TARGET:
            sock.close()
            return
        idle.append(_Idle(sock, self._timer.now() + keep_alive_s))

    def take(self, address: str) -> socket.socket | None:
        """Returns the latest usable connection, ``None`` without one."""
        while True:
            # The sweep may have replaced the queue.
            idle = self._idle_by_address.get(address)
            if not idle:
                return None
            newest = idle.pop()
            expired = newest.expires_at <= self._timer.now()
            if not expired and not unread_input.has_input(newest.sock):
                return newest.sock
            newest.sock.close()

    def close_all(self) -> int:
        """Closes all idle connections; returns how many there were."""
        count = self.count
        for idle in self._idle_by_address.values():
            while idle:
                idle.pop().sock.close()
        self._idle_by_address = {}
        return count

    def close_expired(self) -> None:
        """Closes the connections whose time is over."""
        now = self._timer.now()
        kept_by_address = {}
        for address, all_idle in self._idle_by_address.items():
            kept: collections.deque[_Idle] = collections.deque()
            for idle in all_idle:
                if idle.expires_at <= now:
                    idle.sock.close()
                else:
                    kept.append(idle)
            if kept:
                kept_by_address[address] = kept
        self._idle_by_address = kept_by_address
