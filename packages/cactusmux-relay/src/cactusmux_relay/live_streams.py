"""Running streams, and their recovery when targets of their paths are lost.

A target that goes silent stalls every stream through it. A periodic check
finds streams that are silent for longer than is usual for them and has the
targets of their paths probed. Stages that turn out to be down are replaced.
If that is impossible, the stream is interrupted, but only while it is silent
and once another path and a retry are reserved for it.
"""

from collections.abc import Callable, Mapping
import functools

from cactusmux_base import events
from cactusmux_base import ordered_set
from cactusmux_base import timers

from . import cost_model
from . import down_targets
from . import target_calls
from . import targets

# Callers allow a pause of 250 ms. Replacing a target that doesn't respond at
# all takes 235 ms of it: silence 60, check 20, probe 40
# (down_targets.PROBE_TIMEOUT_S), race 35, order 20, and prefill on the new
# target 60. A false alarm costs one probe.
CHECK_PERIOD_S = 0.02
MIN_SILENCE_S = 0.06
# A stream is silent after its usual pause times this factor: early enough for
# its next event to come by another path within the longest pause allowed.
SILENCE_FACTOR = 1.6
# A target that stalls a stream for longer may be slow rather than down.
SLOW_SILENCE_S = 0.25
# Before its first event a request may wait for the prefill of others.
FIRST_EVENT_SILENCE_S = 0.2
PAUSE_SMOOTHING = 0.3
# A target that refuses connections has lost its streams: an event that is
# overdue after the stream's usual pause, or after this time, won't come.
# Waiting for silence as with other targets would take 20 ms of the longest
# pause allowed.
OVERDUE_S = 0.04
# How often recovery is attempted for a stream through a lost target.
RECOVERY_PERIOD_S = 0.2


# Called with the path of a stream and its expected pause in milliseconds.
PathCallback = Callable[[cost_model.Path, float], None]


def _return_true() -> bool:
    return True


def _return_false(stream: 'LiveStream') -> bool:
    return False


class LiveStream:
    """One attempt of a stream on its present path.

    :param reserve_next: reserves another path and a retry; returns whether
        both are reserved.
    :param replace_lost: begins to replace the lost stages; returns whether
        an order is in progress, and must not block.
    :ivar response_at: when the head of the response arrived, which a target
        sends when it begins to write; ``None`` before it.
    """

    def __init__(
        self,
        path: cost_model.Path,
        expected_pause_ms: float,
        now: float,
        reserve_next: Callable[[], bool] = _return_true,
        replace_lost: Callable[['LiveStream'], bool] = _return_false,
    ) -> None:
        self._path_callbacks: list[PathCallback] = []
        self.reserve_next = reserve_next
        self.replace_lost = replace_lost
        self.is_replacing = False
        self.restarted_ids: frozenset[str] = frozenset()
        self.next_replacement_at = now
        self.next_resume_check_at = now
        self.expected_pause_ms = expected_pause_ms
        self.target_ids = tuple(stage.target.id for stage in path)
        self.path = path
        self.was_interrupted = False
        self.call: target_calls.TargetCall | None = None
        self.response_at: float | None = None
        self.last_event_at = now
        self.first_event_at = now
        self.smoothed_pause_s = 0.0
        self.event_count = 0
        self.has_started = False

    def use_path(
        self, path: cost_model.Path, expected_pause_ms: float, now: float
    ) -> None:
        """Switches to another path with the same first target."""
        self.path = path
        self.target_ids = tuple(stage.target.id for stage in path)
        self.restarted_ids &= frozenset(self.target_ids)
        self.expected_pause_ms = expected_pause_ms
        self.next_replacement_at = now
        for callback in self._path_callbacks:
            callback(path, expected_pause_ms)

    def subscribe_path(self, callback: PathCallback) -> None:
        """Has ``callback`` called with each later path of the stream."""
        self._path_callbacks.append(callback)

    def record_changed_targets(
        self, target_by_id: Mapping[str, targets.Target]
    ) -> None:
        """Records targets of the path that no longer hold their stage."""
        self.restarted_ids |= {
            stage.target.id
            for stage in self.path
            if stage.target.id in target_by_id
            and not target_by_id[stage.target.id].retains_state_of(
                stage.target._replace(layers=stage.layers)
            )
        }

    def record_event(self, now: float) -> None:
        """Records the arrival of an event."""
        if self.has_started:
            pause_s = now - self.last_event_at
            self.smoothed_pause_s += PAUSE_SMOOTHING * (
                pause_s - self.smoothed_pause_s
            )
        else:
            self.first_event_at = now
        self.has_started = True
        self.last_event_at = now
        self.event_count += 1

    @property
    def mean_pause_s(self) -> float:
        """Mean time between events."""
        return (self.last_event_at - self.first_event_at) / max(
            1, self.event_count - 1
        )

    def may_have_lost_stage(self, now: float) -> bool:
        """Whether the stream may wait for a stage that is down."""
        return not self.has_started or self.is_silent(now)

    def time_until_overdue_s(self, now: float) -> float:
        """Returns the time until the next event is overdue, 0 if it is."""
        if not self.has_started:
            return 0.0
        # Not the smoothed pause: it begins at 0 and is too short at first.
        usual_s = self.mean_pause_s or OVERDUE_S
        due_at = self.last_event_at + min(usual_s, OVERDUE_S)
        return max(0.0, due_at - now)

    def is_silent(self, now: float) -> bool:
        """Whether the last event is longer ago than usual."""
        silence_s = now - self.last_event_at
        if not self.has_started:
            return silence_s > FIRST_EVENT_SILENCE_S
        return silence_s > max(
            MIN_SILENCE_S, SILENCE_FACTOR * self.smoothed_pause_s
        )


class LiveStreams:
    """The running streams of this instance; checks them periodically."""

    def __init__(
        self,
        timer: timers.TimerService,
        down: down_targets.DownTargets,
        suspect_down: Callable[[targets.Target], None],
        suspect_slow: Callable[[targets.Target], None],
    ) -> None:
        """Creates an empty set of streams.

        :param suspect_down: begins to check whether a target is down; must
            not block, and may be called often.
        :param suspect_slow: likewise for a target that may be slow.
        """
        self._timer = timer
        self._down = down
        self._suspect_down = suspect_down
        self._suspect_slow = suspect_slow
        # Ordered, so that the oldest stream is recovered first.
        self._streams = ordered_set.OrderedSet[LiveStream]()
        self._has_restarts = False
        down.subscribe(self._on_target_down)

    def start(self) -> None:
        """Starts the periodic check."""
        self._timer.every(CHECK_PERIOD_S, self.check)

    def add(self, stream: LiveStream) -> None:
        """Adds a stream to the checks."""
        self._streams.add(stream)

    def remove(self, stream: LiveStream) -> None:
        """Removes a stream from the checks."""
        self._streams.discard(stream)

    def check(self) -> None:
        """Recovers streams, and has targets of silent streams probed."""
        self._recover_lost()
        now = self._timer.now()
        silent = [each for each in self._streams if each.is_silent(now)]
        if not silent:
            return
        last_at_by_target: dict[str, float] = {}
        for stream in self._streams:
            if not stream.has_started:
                continue
            for target_id in stream.target_ids:
                last_at = last_at_by_target.get(target_id, 0.0)
                last_at_by_target[target_id] = max(
                    last_at, stream.last_event_at
                )
        down_ids = self._down.ids
        for stream in silent:
            if _has_lost(stream, down_ids):
                # The cause of its silence is known; its recovery goes on.
                continue
            for stage in stream.path:
                last_event_at = last_at_by_target.get(stage.target.id, 0.0)
                if now - last_event_at <= MIN_SILENCE_S:
                    continue
                self._suspect_down(stage.target)
                if now - stream.last_event_at > SLOW_SILENCE_S:
                    self._suspect_slow(stage.target)

    def handle_changed_targets(
        self, target_by_id: Mapping[str, targets.Target]
    ) -> None:
        """Handles targets that have restarted or have dropped layers.

        Such a target accepts connections, so that probes don't show that it
        has lost the streams that ran on it.
        """
        for stream in self._streams:
            stream.record_changed_targets(target_by_id)
            if stream.restarted_ids:
                self._has_restarts = True
        for target_id in target_by_id:
            self._recheck_when_overdue(target_id)
        self._recover_lost()

    def lost_ids(self, stream: LiveStream) -> frozenset[str]:
        """Returns the targets of a stream that are down or were restarted."""
        down_ids = self._down.ids.intersection(stream.target_ids)
        return down_ids | stream.restarted_ids

    def _on_target_down(self, target_id: str) -> None:
        self._recover_lost()
        if target_id in self._down.refused_ids:
            self._recheck_when_overdue(target_id)

    def _recheck_when_overdue(self, target_id: str) -> None:
        """Rechecks each stream when it is overdue; a check may be later."""
        now = self._timer.now()
        for stream in self._streams:
            left_s = stream.time_until_overdue_s(now)
            if left_s and target_id in stream.target_ids:
                self._timer.after(
                    left_s, functools.partial(self.look_again, stream)
                )

    def look_again(self, stream: LiveStream) -> None:
        """Recovers a stream now if it passes through a lost target."""
        if stream not in self._streams:
            return
        if self.lost_ids(stream):
            self._recover(stream)

    def _recover_lost(self) -> None:
        """Recovers the streams that have lost a target of their path."""
        down_ids = self._down.ids
        if not down_ids and not self._has_restarts:
            return
        for stream in list(self._streams):
            if _has_lost(stream, down_ids):
                self._try_recover(stream)
        self._has_restarts = any(each.restarted_ids for each in self._streams)

    def _try_recover(self, stream: LiveStream) -> None:
        """Recovers a stream; an exception must not stop the others."""
        try:
            self._recover(stream)
        except Exception as error:
            events.error(
                'hand_over_failed',
                path=','.join(stream.target_ids),
                error=repr(error),
            )

    def _recover(self, stream: LiveStream) -> None:
        """Replaces the lost stages, else resumes on another path."""
        if not self._replace(stream):
            self.resume_on_other_path(stream)

    def _replace(self, stream: LiveStream) -> bool:
        """Begins a replacement if one is due; whether one is in progress."""
        if not self._is_due(stream, self._may_replace):
            return stream.is_replacing
        stream.next_replacement_at = self._timer.now() + RECOVERY_PERIOD_S
        return stream.replace_lost(stream)

    def _may_replace(self, stream: LiveStream) -> bool:
        if stream.is_replacing or stream.was_interrupted:
            return False
        is_early = self._timer.now() < stream.next_replacement_at
        return not is_early and self._is_lost(stream)

    def _is_lost(self, stream: LiveStream) -> bool:
        """Whether a stream can be assumed to wait for a lost stage."""
        now = self._timer.now()
        if stream.may_have_lost_stage(now):
            return True
        certainly_lost = self._down.refused_ids | stream.restarted_ids
        if certainly_lost.isdisjoint(stream.target_ids):
            return False
        return not stream.time_until_overdue_s(now)

    def _is_due(
        self, stream: LiveStream, check: Callable[[LiveStream], bool]
    ) -> bool:
        """Whether a check holds for a stream that has no unread bytes.

        Unread bytes show that this instance's event loop or the caller is
        slow, not the target. Other tasks may run while they are looked for;
        they may recover or end the stream.
        """
        if stream.call is None or not self._holds(stream, check):
            return False
        return not stream.call.has_unread() and self._holds(stream, check)

    def _holds(
        self, stream: LiveStream, check: Callable[[LiveStream], bool]
    ) -> bool:
        return stream in self._streams and check(stream)

    def resume_on_other_path(self, stream: LiveStream) -> None:
        """Interrupts a stream if it is silent and can be resumed."""
        if not self._is_due(stream, self._may_resume):
            return
        stream.next_resume_check_at = self._timer.now() + RECOVERY_PERIOD_S
        if stream.reserve_next() and stream.call is not None:
            stream.was_interrupted = True
            stream.call.abort()

    def _may_resume(self, stream: LiveStream) -> bool:
        if stream.is_replacing or stream.was_interrupted:
            return False
        now = self._timer.now()
        is_early = now < stream.next_resume_check_at
        return not is_early and stream.may_have_lost_stage(now)


def _has_lost(stream: LiveStream, down_ids: frozenset[str]) -> bool:
    if stream.restarted_ids:
        return True
    return not down_ids.isdisjoint(stream.target_ids)
