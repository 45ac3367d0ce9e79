"""Publishes the demand of a zone, at the root of the zone's tree.

Rates measured over a few seconds are noisy. A rate is published again when
it changes enough to matter in the zone, else every ``REFRESH_S``.
"""

from collections.abc import Mapping

from cactusmux_base import timers

from . import levels
from . import payloads
from . import publisher

PUBLISH_PERIOD_S = 1.0
REFRESH_S = 12.0
# A rate that has been zero for this long is removed.
ZERO_RETENTION_S = 30.0
_MIN_CHANGE_FRACTION = 0.2
_MIN_CHANGE_FRACTION_OF_ZONE = 0.01


class ZoneDemand:
    """Decides which rates of organisations to publish, and when."""

    def __init__(
        self, writer: publisher.Publisher, timer: timers.TimerService
    ) -> None:
        self._writer = writer
        self._timer = timer
        self._zero_since_by_key: dict[payloads.DemandKey, float] = {}
        self._next_at = 0.0

    def is_due(self) -> bool:
        """Returns whether a period has passed, and starts the next one."""
        now = self._timer.now()
        if now < self._next_at:
            return False
        self._next_at = now + PUBLISH_PERIOD_S
        return True

    def publish(self, rate_by_key: Mapping[payloads.DemandKey, float]) -> None:
        """Publishes rates in requests per second; absent ones are zero."""
        min_change = _MIN_CHANGE_FRACTION_OF_ZONE * sum(rate_by_key.values())
        for key in self._published_keys():
            if key not in rate_by_key:
                self._publish_zero(key, min_change)
        for key, rate in rate_by_key.items():
            self._zero_since_by_key.pop(key, None)
            self._write(key, rate, min_change)

    def withdraw(self) -> None:
        """Removes all rates, as another member has become the root."""
        for key in self._published_keys():
            self._remove(key)

    def _published_keys(self) -> list[payloads.DemandKey]:
        return [
            key.name
            for key in self._writer.keys(payloads.Tag.DEMAND_NAME)
            if isinstance(key.name, payloads.DemandKey)
        ]

    def _publish_zero(
        self, key: payloads.DemandKey, min_change: float
    ) -> None:
        now = self._timer.now()
        since = self._zero_since_by_key.setdefault(key, now)
        if now - since >= ZERO_RETENTION_S:
            self._remove(key)
            return
        self._write(key, 0.0, min_change)

    def _remove(self, key: payloads.DemandKey) -> None:
        self._zero_since_by_key.pop(key, None)
        self._writer.remove(publisher.Key(payloads.Tag.DEMAND_NAME, key))

    def _write(
        self, key: payloads.DemandKey, rate: float, min_change: float
    ) -> None:
        def has_changed(last: bytes, now: bytes) -> bool:
            published_rate = levels.from_level(last[1], levels.RATE_UNIT_PER_S)
            return levels.has_changed(
                published_rate, rate, _MIN_CHANGE_FRACTION, min_change
            )

        level = levels.to_level(rate, levels.RATE_UNIT_PER_S)
        self._writer.write_level(
            publisher.Key(payloads.Tag.DEMAND_NAME, key),
            payloads.encode_demand_name(key),
            payloads.encode(payloads.Tag.DEMAND_RATE, bytes((level,))),
            has_changed,
            REFRESH_S,
        )
