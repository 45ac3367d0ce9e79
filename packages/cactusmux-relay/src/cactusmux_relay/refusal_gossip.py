"""Gossips recent rejections of requests through the fleet.

A rejected caller may retry at any instance. In a large fleet, an instance
sends its gossip to a sample of its peers, so most of them would not recognise
the caller. Each instance therefore also forwards the rejections that it has
received, until they are too old. Only callers of services whose routes differ
in urgency are included.
"""

from cactusmux_base import decoding
from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import refused_callers

# Within this time, gossip reaches nearly all instances. Callers retry after a
# third of it at the earliest.
FORWARD_DURATION_S = 2.0
# Maximum number of rejections in a message, the newest ones, at eight bytes
# each.
MAX_REPORTED = 40
TENTHS_PER_S = 10.0


class RefusalGossip(gossip_topics.GossipTopic):
    """Keys of rejected requests, with their age in tenths of a second."""

    name = 'refused'

    def __init__(
        self,
        timer: timers.TimerService,
        callers: refused_callers.RefusedCallers,
    ) -> None:
        self._timer = timer
        self._callers = callers
        self._refused_at_by_key: dict[int, float] = {}

    def record_refusal(self, key: int | None) -> None:
        """Records a request that this instance has rejected."""
        if key is not None:
            self._remember(key, self._timer.now())

    def own(self) -> bytes:
        """Returns the newest known rejections, encoded."""
        now = self._timer.now()
        for key, refused_at in list(self._refused_at_by_key.items()):
            if now - refused_at > FORWARD_DURATION_S:
                del self._refused_at_by_key[key]
        if not self._refused_at_by_key:
            return b''
        newest = sorted(
            self._refused_at_by_key.items(), key=lambda each: -each[1]
        )[:MAX_REPORTED]
        return msgspec.msgpack.encode(
            [(key, round((now - at) * TENTHS_PER_S)) for key, at in newest]
        )

    def take(self, sender: str, data: bytes) -> None:
        """Takes rejections that a peer has made or received."""
        entries = decoding.from_msgpack(data, type=list[tuple[int, int]])
        now = self._timer.now()
        for key, age_tenths in entries[:MAX_REPORTED]:
            refused_at = now - max(0, age_tenths) / TENTHS_PER_S
            if now - refused_at > FORWARD_DURATION_S:
                continue
            if key not in self._refused_at_by_key:
                self._callers.record_peer_refusals([key])
                self._remember(key, refused_at)

    def _remember(self, key: int, refused_at: float) -> None:
        self._refused_at_by_key[key] = refused_at
        while len(self._refused_at_by_key) > refused_callers.MAX_REMEMBERED:
            del self._refused_at_by_key[next(iter(self._refused_at_by_key))]
