"""Shares the rate limits of targets among instances by gossip.

An instance that hasn't got a response of a limited target yet, or has just
started, learns the limit from its peers. What is received is forwarded, so
that it reaches all instances of a large fleet in a few datagrams, also those
that can't reach the store.
"""

import random
from typing import Annotated

from cactusmux_base import decoding
from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import rate_limits
from . import service_demand
from . import targets

# Limits in one message; each takes about 30 bytes.
MAX_LIMITS_PER_MESSAGE = 32
MS_PER_S = 1000.0

_Rate = Annotated[float, msgspec.Meta(ge=0.0, le=rate_limits.MAX_PER_S)]
_Age = Annotated[int, msgspec.Meta(ge=0)]


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """The latest that is known of a target's limit.

    :ivar per_s: requests a second, ``None`` if the limit has ended.
    """

    start: targets.Start
    per_s: _Rate | None
    age_ms: _Age


class LimitsReport(msgspec.Struct, array_like=True, frozen=True):
    """What an instance knows, first-hand or not.

    :ivar services: services for which it has requests.
    """

    limits: list[LimitReport]
    services: list[str]


class RateLimitTopic(gossip_topics.GossipTopic):
    """Sends the limits, those that have changed last first."""

    name = 'rates'

    def __init__(
        self,
        limits: rate_limits.RateLimits,
        demand: service_demand.ServiceDemand,
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._demand = demand
        self._timer = timer
        self._rng = rng
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = decoding.msgpack_decoder(LimitsReport)

    def own(self) -> bytes:
        """Returns the known limits, encoded."""
        limit_by_start = self._limits.limit_by_start
        if not limit_by_start:
            return b''
        now = self._timer.now()
        reports = [
            LimitReport(start, limit.per_s, int((now - limit.at) * MS_PER_S))
            for start, limit in self._selected()
        ]
        return self._encoder.encode(
            LimitsReport(reports, self._demand.active_services())
        )

    def take(self, sender: str, data: bytes) -> None:
        """Adds what a peer knows."""
        now = self._timer.now()
        report = self._decoder.decode(data)
        self._demand.record_peer(sender, report.services)
        for each in report.limits[:MAX_LIMITS_PER_MESSAGE]:
            at = now - each.age_ms / MS_PER_S
            self._limits.merge(
                each.start,
                rate_limits.RateLimit(each.per_s, at, now),
                rate_limits.Source.PEER,
            )

    def _selected(self) -> list[tuple[targets.Start, rate_limits.RateLimit]]:
        """Returns the latest changes and a sample of the others."""
        found = sorted(
            self._limits.limit_by_start.items(),
            key=lambda each: -each[1].changed_at,
        )
        if len(found) <= MAX_LIMITS_PER_MESSAGE:
            return found
        newest = MAX_LIMITS_PER_MESSAGE // 2
        rest = self._rng.sample(
            found[newest:], MAX_LIMITS_PER_MESSAGE - newest
        )
        return found[:newest] + rest
