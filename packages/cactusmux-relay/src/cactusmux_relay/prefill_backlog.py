"""Prompt reading that this instance gave to targets and that is not done yet.

Where several streams get the same replacement target at once, it reads their
tokens one after another. Reports and news arrive too late to show this.
"""

from collections.abc import Mapping

from cactusmux_base import timers

from . import cost_model


class PrefillBacklog:
    """A queue for each target that empties as time passes."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._until_by_target: dict[str, float] = {}

    def add(self, ms_by_target: Mapping[str, float]) -> None:
        """Notes reading, in milliseconds, that targets are given now."""
        now = self._timer.now()
        for target_id, reading_ms in ms_by_target.items():
            begins_at = max(now, self._until_by_target.get(target_id, now))
            until = begins_at + reading_ms / cost_model.MS_PER_S
            self._until_by_target[target_id] = until

    def left_ms(self) -> dict[str, float]:
        """Returns what is still to be read, by target id."""
        now = self._timer.now()
        for target_id, until in list(self._until_by_target.items()):
            if until <= now:
                del self._until_by_target[target_id]
        return {
            target_id: (until - now) * cost_model.MS_PER_S
            for target_id, until in self._until_by_target.items()
        }
