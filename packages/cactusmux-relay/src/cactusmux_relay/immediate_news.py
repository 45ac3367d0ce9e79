"""Sends news at once when something changed that others wait for.

Periodic news of a large fleet need a second or more to reach all instances.
What is due at once is sent to a sample of them, who send it on in the same
way; a least time between two such sendings bounds the datagrams.
"""

from collections.abc import Callable
import random

from cactusmux_base import timers

from . import soft_exchange

# News that come within this time go together.
COLLECT_S = 0.02
# Least time between two sendings: at most 10 a second from an instance.
LEAST_PERIOD_S = 0.1


class ImmediateNews:
    """Sends our news soon after it was asked to.

    :param peers: addresses of the other instances.
    :param send_to: sends our news to such addresses.
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
        """Has our news sent soon, in a task of its own."""
        if self._is_due:
            return
        self._is_due = True
        left_s = self._sent_at + LEAST_PERIOD_S - self._timer.now()
        self._timer.after(max(COLLECT_S, left_s), self._send)

    def _send(self) -> None:
        self._is_due = False
        self._sent_at = self._timer.now()
        peers = self._peers()
        if len(peers) > soft_exchange.MAX_BROADCAST_PEERS:
            peers = self._rng.sample(peers, soft_exchange.SAMPLE_SIZE)
        if peers:
            self._send_to(peers)
