"""Publishes a zone's demand, as the root of the zone's tree.

Rates counted over a few seconds are noisy. A rate is told again when it
moved far enough to matter in the zone, else at a slow clock.
"""

from collections.abc import Mapping

from cactusmux_base import timers

from . import levels
from . import payloads
from . import publisher

PUBLISH_PERIOD_S = 1.0
REFRESH_S = 12.0
# A rate that stays at zero for this long is removed.
ZERO_RETENTION_S = 30.0
_MOVED_FRACTION = 0.2
_MOVED_PART_OF_ZONE = 0.01


class ZoneDemand:
    """Decides which organisations' rates are told, and when."""

    def __init__(
        self, writer: publisher.Publisher, timer: timers.TimerService
    ) -> None:
        self._writer = writer
        self._timer = timer
        self._zero_since_by_key: dict[payloads.DemandKey, float] = {}
        self._next_at = 0.0

    def is_due(self) -> bool:
        """Tells whether a period has gone by, and starts the next one."""
        now = self._timer.now()
        if now < self._next_at:
            return False
        self._next_at = now + PUBLISH_PERIOD_S
        return True

    def publish(self, rate_by_key: Mapping[payloads.DemandKey, float]) -> None:
        """Tells rates in requests a second; absent ones count as zero."""
        least = _MOVED_PART_OF_ZONE * sum(rate_by_key.values())
        for key in self._told():
            if key not in rate_by_key:
                self._publish_zero(key, least)
        for key, rate in rate_by_key.items():
            self._zero_since_by_key.pop(key, None)
            self._write(key, rate, least)

    def withdraw(self) -> None:
        """Removes all rates: another member is the root now."""
        for key in self._told():
            self._remove(key)

    def _told(self) -> list[payloads.DemandKey]:
        return [
            key.name
            for key in self._writer.keys(payloads.Tag.DEMAND_NAME)
            if isinstance(key.name, payloads.DemandKey)
        ]

    def _publish_zero(self, key: payloads.DemandKey, least: float) -> None:
        now = self._timer.now()
        since = self._zero_since_by_key.setdefault(key, now)
        if now - since >= ZERO_RETENTION_S:
            self._remove(key)
            return
        self._write(key, 0.0, least)

    def _remove(self, key: payloads.DemandKey) -> None:
        self._zero_since_by_key.pop(key, None)
        self._writer.remove(publisher.Key(payloads.Tag.DEMAND_NAME, key))

    def _write(
        self, key: payloads.DemandKey, rate: float, least: float
    ) -> None:
        def has_moved(last: bytes, now: bytes) -> bool:
            told = levels.from_level(last[1], levels.RATE_UNIT_PER_S)
            return levels.has_changed(told, rate, _MOVED_FRACTION, least)

        level = levels.to_level(rate, levels.RATE_UNIT_PER_S)
        self._writer.write_level(
            publisher.Key(payloads.Tag.DEMAND_NAME, key),
            payloads.encode_demand_name(key),
            payloads.encode(payloads.Tag.DEMAND_RATE, bytes((level,))),
            has_moved,
            REFRESH_S,
        )
