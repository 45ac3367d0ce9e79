"""Sends gossip at once after a change that peers need immediately.

Periodic gossip takes a second or more to reach all instances of a large
fleet. Urgent changes go at once to a sample of peers, which forward them in
the same way. A minimum period between such messages limits the datagrams.
"""

from collections.abc import Callable
import random

from cactusmux_base import timers

from . import soft_exchange

# Changes within this time are sent in one message.
COLLECT_S = 0.02
# Minimum time between two messages: at most 10 a second from an instance.
MIN_PERIOD_S = 0.1


class ImmediateNews:
    """Sends a gossip message soon after a request, outside the period.

    :param peers: returns the peers' addresses.
    :param send_to: sends the current message to the given addresses.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        peers: Callable[[], list[str]],
        send_to: Callable[[list[str]], None],
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._peers = peers
        self._send_to = send_to
        self._is_due = False
        self._sent_at = float('-inf')

    def request_send(self) -> None:
        """Schedules a message, unless one is already due."""
        if self._is_due:
            return
        self._is_due = True
        left_s = self._sent_at + MIN_PERIOD_S - self._timer.now()
        self._timer.after(max(COLLECT_S, left_s), self._send)

    def _send(self) -> None:
        self._is_due = False
        self._sent_at = self._timer.now()
        peers = self._peers()
        if len(peers) > soft_exchange.MAX_BROADCAST_PEERS:
            peers = self._rng.sample(peers, soft_exchange.SAMPLE_SIZE)
        if peers:
            self._send_to(peers)
