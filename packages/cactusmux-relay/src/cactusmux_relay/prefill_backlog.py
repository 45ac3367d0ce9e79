"""Tracks the unfinished prefill that this instance has assigned to targets.

A target that replaces a stage of several streams at once prefills their
tokens one after another. Load reports arrive too late to show this.
"""

from collections.abc import Mapping

from cactusmux_base import timers

from . import cost_model


class PrefillBacklog:
    """Estimated end of the assigned prefill of each target."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._until_by_target: dict[str, float] = {}

    def add(self, ms_by_target: Mapping[str, float]) -> None:
        """Adds prefill times, in milliseconds, by target id."""
        now = self._timer.now()
        for target_id, prefill_ms in ms_by_target.items():
            starts_at = max(now, self._until_by_target.get(target_id, now))
            until = starts_at + prefill_ms / cost_model.MS_PER_S
            self._until_by_target[target_id] = until

    def left_ms(self) -> dict[str, float]:
        """Returns the remaining prefill in milliseconds, by target id."""
        now = self._timer.now()
        for target_id, until in list(self._until_by_target.items()):
            if until <= now:
                del self._until_by_target[target_id]
        return {
            target_id: (until - now) * cost_model.MS_PER_S
            for target_id, until in self._until_by_target.items()
        }
