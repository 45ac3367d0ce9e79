"""The watch for ends of targets where no target ends, for tests."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import down_targets
from cactusmux_relay import quarantine
from cactusmux_relay import target_crashes
from cactusmux_relay import target_registry


def build_crashes(
    registry: target_registry.TargetRegistry,
    timer: timers.TimerService,
    metric: metrics.Metrics,
    down: down_targets.DownTargets | None = None,
) -> target_crashes.TargetCrashes:
    """Returns the watch of one instance with a quarantine of its own."""
    return target_crashes.TargetCrashes(
        quarantine.Quarantine(timer, metric),
        down or down_targets.DownTargets(timer, random.Random(1)),
        registry,
        timer,
    )
