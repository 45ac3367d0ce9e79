"""Components that all streams of an instance share."""

from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers

from . import dialect
from . import down_targets
from . import failing_targets
from . import live_streams
from . import load_tracker
from . import path_finder
from . import quarantine
from . import refused_callers
from . import retry_budget
from . import sending
from . import stage_replacer
from . import stream_gate
from . import target_crashes
from . import target_limits


class StreamParts(NamedTuple):
    """Components that all streams of an instance share."""

    finder: path_finder.PathFinder
    ledger: load_tracker.LoadTracker
    sender: sending.Sender
    header_dialect: dialect.Dialect
    budget: retry_budget.RetryBudget
    down: down_targets.DownTargets
    refused: refused_callers.RefusedCallers
    live: live_streams.LiveStreams
    replacer: stage_replacer.StageReplacer
    timer: timers.TimerService
    metric: metrics.Metrics
    failing: failing_targets.FailingTargets
    quarantine: quarantine.Quarantine
    crashes: target_crashes.TargetCrashes
    limits: target_limits.TargetLimits = target_limits.UnlimitedTargets()
    gate: stream_gate.Gate = stream_gate.UnrestrictedGate()
