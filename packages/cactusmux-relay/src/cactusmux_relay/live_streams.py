"""Streams under way, by the targets that they pass through.

A target that goes silent holds up every stream through it. The watch looks
for streams that are silent for longer than is usual for them, has the
targets of their paths probed, and has the stages that turn out to be down
replaced. A stream for which that is impossible is interrupted: only while it
is silent, and once it is certain that it can go on elsewhere.
"""

from collections.abc import Callable, Mapping
import functools

from cactusmux_base import events
from cactusmux_base import timers

from . import cost_model
from . import down_targets
from . import target_calls
from . import targets

# Callers allow a pause of 250 ms. A target that is dark takes 235 ms of it:
# silence 60, check 20, probe 40 (down_targets.PROBE_TIMEOUT_S), race 35,
# order 20, and reading by the new target 60. A false alarm costs a probe.
CHECK_PERIOD_S = 0.02
MIN_SILENCE_S = 0.06
# A stream is silent after this many of its usual pauses: early enough for
# its next event to come from another path within the longest pause allowed.
SILENT_PAUSES = 1.6
# A target that holds up a stream for so long may be slow rather than down.
SLOW_SILENCE_S = 0.25
# Before its first event a request may wait for others' prompts.
FIRST_EVENT_SILENCE_S = 0.2
PAUSE_SMOOTHING = 0.3
# A target that refuses connections has lost its streams: an event that is
# overdue by the stream's usual pause, or by this time, won't come. Waiting
# for silence as with other targets would take 20 ms of the longest pause.
OVERDUE_S = 0.04
# How often a stream through a target that is down is looked at for a way on.
RECOVERY_PERIOD_S = 0.2


# Takes the path of a stream and the expected pause in milliseconds.
PathCallback = Callable[[cost_model.Path, float], None]


def _always() -> bool:
    return True


def _never(stream: 'LiveStream') -> bool:
    return False


class LiveStream:
    """One attempt of a stream on one path.

    :param secure_next: secures what the stream needs to go on elsewhere;
        tells whether all of it was had.
    :param replace_lost: begins to replace the stages that are down; tells
        whether an order is under way, and must not block.
    """

    def __init__(
        self,
        path: cost_model.Path,
        expected_pause_ms: float,
        now: float,
        secure_next: Callable[[], bool] = _always,
        replace_lost: Callable[['LiveStream'], bool] = _never,
    ) -> None:
        self._path_callbacks: list[PathCallback] = []
        self.reserve_next = secure_next
        self.replace_lost = replace_lost
        self.is_replacing = False
        self.restarted_ids: frozenset[str] = frozenset()
        self.next_replacement_at = now
        self.next_look_at = now
        self.expected_pause_ms = expected_pause_ms
        self.target_ids = tuple(stage.target.id for stage in path)
        self.path = path
        self.was_interrupted = False
        self.call: target_calls.TargetCall | None = None
        self.last_at = now
        self.first_at = now
        self.pause_s = 0.0
        self.events = 0
        self.has_started = False

    def use_path(
        self, path: cost_model.Path, expected_pause_ms: float, now: float
    ) -> None:
        """Goes by another path with the same first target from now on."""
        self.path = path
        self.target_ids = tuple(stage.target.id for stage in path)
        self.restarted_ids &= frozenset(self.target_ids)
        self.expected_pause_ms = expected_pause_ms
        self.next_replacement_at = now
        for callback in self._path_callbacks:
            callback(path, expected_pause_ms)

    def subscribe_path(self, callback: PathCallback) -> None:
        """Calls ``callback`` with each later path and its expected pause."""
        self._path_callbacks.append(callback)

    def note_changed(self, target_by_id: Mapping[str, targets.Target]) -> None:
        """Takes it that targets have lost something, perhaps our stage."""
        self.restarted_ids |= {
            stage.target.id
            for stage in self.path
            if stage.target.id in target_by_id
            and not target_by_id[stage.target.id].retains_state_of(
                stage.target._replace(layers=stage.layers)
            )
        }

    def note_event(self, now: float) -> None:
        """Notes that an event has arrived."""
        if self.has_started:
            pause_s = now - self.last_at
            self.pause_s += PAUSE_SMOOTHING * (pause_s - self.pause_s)
        else:
            self.first_at = now
        self.has_started = True
        self.last_at = now
        self.events += 1

    @property
    def mean_pause_s(self) -> float:
        """Returns the mean time between events."""
        return (self.last_at - self.first_at) / max(1, self.events - 1)

    def may_be_dead(self, now: float) -> bool:
        """Whether nothing speaks against a stage that is down."""
        return not self.has_started or self.is_silent(now)

    def overdue_in_s(self, now: float) -> float:
        """Returns when the next event is overdue, 0 if it is now."""
        if not self.has_started:
            return 0.0
        # The smoothed pause begins at 0 and is too short at first.
        usual_s = self.mean_pause_s or OVERDUE_S
        due_at = self.last_at + min(usual_s, OVERDUE_S)
        return max(0.0, due_at - now)

    def is_silent(self, now: float) -> bool:
        """Whether the stream waits for longer than is usual for it."""
        silence_s = now - self.last_at
        if not self.has_started:
            return silence_s > FIRST_EVENT_SILENCE_S
        return silence_s > max(MIN_SILENCE_S, SILENT_PAUSES * self.pause_s)


class LiveStreams:
    """All streams of this instance; checks them periodically."""

    def __init__(
        self,
        timer: timers.TimerService,
        down: down_targets.DownTargets,
        suspect_down: Callable[[targets.Target], None],
        suspect_slow: Callable[[targets.Target], None],
    ) -> None:
        """Prepares the watch.

        :param suspect_down: starts finding out whether a target is down;
            must not block, and may be called often.
        :param suspect_slow: likewise whether it is slow.
        """
        self._timer = timer
        self._down = down
        self._suspect_down = suspect_down
        self._suspect_slow = suspect_slow
        self._streams: set[LiveStream] = set()
        self._has_restarts = False
        down.subscribe(self._interrupt)

    def start(self) -> None:
        """Begins to check."""
        self._timer.every(CHECK_PERIOD_S, self.check)

    def add(self, stream: LiveStream) -> None:
        """Begins to watch a stream."""
        self._streams.add(stream)

    def remove(self, stream: LiveStream) -> None:
        """Ends watching a stream."""
        self._streams.discard(stream)

    def check(self) -> None:
        """Has the targets probed on which silent streams depend."""
        self._hand_over_lost()
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
                last_at_by_target[target_id] = max(last_at, stream.last_at)
        down_ids = self._down.ids
        for stream in silent:
            if _has_lost(stream, down_ids):
                # Why it is silent is known; it waits for another path.
                continue
            for stage in stream.path:
                heard_at = last_at_by_target.get(stage.target.id, 0.0)
                if now - heard_at <= MIN_SILENCE_S:
                    continue
                self._suspect_down(stage.target)
                if now - stream.last_at > SLOW_SILENCE_S:
                    self._suspect_slow(stage.target)

    def note_changed(self, target_by_id: Mapping[str, targets.Target]) -> None:
        """Takes it that targets have started anew or given up layers.

        Such a target accepts connections: nothing else tells that it has
        lost what ran on it.
        """
        for stream in self._streams:
            stream.note_changed(target_by_id)
            if stream.restarted_ids:
                self._has_restarts = True
        for target_id in target_by_id:
            self._look_when_overdue(target_id)
        self._hand_over_lost()

    def lost_ids(self, stream: LiveStream) -> frozenset[str]:
        """Returns the targets of a stream that are down or were restarted."""
        down_ids = self._down.ids.intersection(stream.target_ids)
        return down_ids | stream.restarted_ids

    def _interrupt(self, target_id: str) -> None:
        self._hand_over_lost()
        if target_id in self._down.refused_ids:
            self._look_when_overdue(target_id)

    def _look_when_overdue(self, target_id: str) -> None:
        """Looks at each stream in time: the next check may be late."""
        now = self._timer.now()
        for stream in self._streams:
            left_s = stream.overdue_in_s(now)
            if left_s and target_id in stream.target_ids:
                self._timer.after(
                    left_s, functools.partial(self.look_again, stream)
                )

    def look_again(self, stream: LiveStream) -> None:
        """Hands over a stream at once if it passes through a lost target."""
        if stream not in self._streams:
            return
        if self.lost_ids(stream):
            self._hand_over(stream)

    def _hand_over_lost(self) -> None:
        """Hands over the streams that have lost a target of their path."""
        down_ids = self._down.ids
        if not down_ids and not self._has_restarts:
            return
        for stream in list(self._streams):
            if _has_lost(stream, down_ids):
                self._try_hand_over(stream)
        self._has_restarts = any(each.restarted_ids for each in self._streams)

    def _try_hand_over(self, stream: LiveStream) -> None:
        """Hands over a stream; its failure must not keep others waiting."""
        try:
            self._hand_over(stream)
        except Exception as error:
            events.error(
                'hand_over_failed',
                path=','.join(stream.target_ids),
                error=repr(error),
            )

    def _hand_over(self, stream: LiveStream) -> None:
        """Replaces what a stream has lost, or else resumes it elsewhere."""
        if not self._replace(stream):
            self.resume_elsewhere(stream)

    def _replace(self, stream: LiveStream) -> bool:
        """Begins a replacement if it is time; tells whether one runs."""
        now = self._timer.now()
        if stream.is_replacing:
            return True
        if stream.call is None or stream.was_interrupted:
            return False
        if now < stream.next_replacement_at or not self._is_lost(stream):
            return False
        if stream.call.has_unread():
            return False
        stream.next_replacement_at = now + RECOVERY_PERIOD_S
        return stream.replace_lost(stream)

    def _is_lost(self, stream: LiveStream) -> bool:
        """Whether a stream can be taken to wait for a lost stage."""
        now = self._timer.now()
        if stream.may_be_dead(now):
            return True
        lost_for_certain = self._down.refused_ids | stream.restarted_ids
        if lost_for_certain.isdisjoint(stream.target_ids):
            return False
        return not stream.overdue_in_s(now)

    def resume_elsewhere(self, stream: LiveStream) -> None:
        """Interrupts a stream if it is silent and can go on elsewhere."""
        now = self._timer.now()
        if stream.call is None or stream.was_interrupted:
            return
        if stream.is_replacing:
            return
        if not stream.may_be_dead(now) or now < stream.next_look_at:
            return
        if stream.call.has_unread():
            # Our own loop or the caller is late, not the target.
            return
        stream.next_look_at = now + RECOVERY_PERIOD_S
        if stream.reserve_next():
            stream.was_interrupted = True
            stream.call.abort()


def _has_lost(stream: LiveStream, down_ids: frozenset[str]) -> bool:
    if stream.restarted_ids:
        return True
    return not down_ids.isdisjoint(stream.target_ids)
