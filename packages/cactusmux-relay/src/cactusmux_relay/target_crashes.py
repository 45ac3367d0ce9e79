"""Relates the ends of targets to the requests that they began to write on.

A stream that breaks off just after its target began to write is suspect. It
is evidence only once the target is known to have ended: it refuses
connections, two instances find it down, or it has started anew. A reset
connection alone is none, nor is the end of a target that was leaving. A
target may also end as it begins to write, before the head of its answer has
left; then all requests that wait there are suspect, but for their parts that
are known to be sound. For a plain request that holds at any time.
"""

from collections.abc import Collection
from typing import NamedTuple

from cactusmux_base import ordered_set
from cactusmux_base import timers

from . import connection_probes
from . import down_targets
from . import live_streams
from . import prompt_parts
from . import quarantine
from . import target_registry
from . import targets

# A target that ends within this time after it began to write may have ended
# because of the request.
START_WINDOW_S = 0.3
# A target that has written a request for this long doesn't end because of it.
SERVED_AFTER_S = 1.0
MIN_SERVED_EVENTS = 3
# How long it is waited for a sign that a target has ended.
SUSPICION_S = 2.0
REVIEW_PERIOD_S = 0.02
# Within this time a probe finds that a target refuses connections.
PROBE_WAIT_S = 0.1


class _Suspicion(NamedTuple):
    """A request that broke off, and the target that may have ended.

    :ivar at: when it broke off, in monotonic seconds.
    :ivar sent_at: when it was sent to the target.
    """

    requester: prompt_parts.Requester
    request_id: str
    target: targets.Target
    at: float
    sent_at: float


class WatchedAttempt:
    """One attempt of a stream, watched for the end of its targets."""

    def __init__(
        self,
        crashes: 'TargetCrashes',
        requester: prompt_parts.Requester,
        request_id: str,
        live: live_streams.LiveStream,
        sent_at: float,
    ) -> None:
        self._crashes = crashes
        self.sent_at = sent_at
        self.requester = requester
        self.request_id = request_id
        self.live = live
        self._was_served = False

    def record_event(self, now: float) -> None:
        """Records an event; after some time it clears the request's parts."""
        if self._was_served or self.live.response_at is None:
            return
        written_s = now - self.live.response_at
        has_events = self.live.event_count >= MIN_SERVED_EVENTS
        if has_events and written_s >= SERVED_AFTER_S:
            self._record_served()

    def record_complete(self) -> None:
        """Records that the answer is complete."""
        if self.live.event_count and not self._was_served:
            self._record_served()

    def record_broken(self) -> None:
        """Records that the first target broke the stream off."""
        self._crashes.suspect(self, self.live.path[0].target)

    @property
    def has_just_begun(self) -> bool:
        """Whether the target has written for a short time only."""
        response_at = self.live.response_at
        if response_at is None:
            return False
        last_at = max(response_at, self.live.last_event_at)
        return last_at - response_at <= START_WINDOW_S

    @property
    def suspect_requester(self) -> prompt_parts.Requester | None:
        """What is suspect if a target ends now, ``None`` if nothing is.

        Before the head of an answer nothing tells which of the requests that
        wait has begun, so parts that are known to be sound are left out.
        """
        if self.has_just_begun:
            return self.requester
        if self.live.response_at is None:
            return self._crashes.quarantine.without_proven(self.requester)
        return None

    @property
    def is_suspect(self) -> bool:
        """Whether a target that ends now may end because of the request."""
        return self.has_just_begun and self._crashes.is_suspect(self.requester)

    def abort(self) -> None:
        """Interrupts the attempt unless its target has begun to write.

        The target isn't to blame for it.
        """
        if self.live.response_at is not None:
            return
        if self.live.call is not None and not self.live.was_interrupted:
            self.live.was_interrupted = True
            self.live.call.abort()

    def end(self) -> None:
        """Ends the watch."""
        self._crashes.remove(self)

    def _record_served(self) -> None:
        self._was_served = True
        self._crashes.record_served(self.requester)


class TargetCrashes:
    """Watches attempts, and waits for signs that their targets have ended.

    :ivar quarantine: what is told of the ends.
    """

    def __init__(
        self,
        parts: quarantine.Quarantine,
        down: down_targets.DownTargets,
        registry: target_registry.TargetRegistry,
        timer: timers.TimerService,
    ) -> None:
        self.quarantine = parts
        self._down = down
        self._registry = registry
        self._timer = timer
        self._attempts = ordered_set.OrderedSet[WatchedAttempt]()
        self._suspicions: list[_Suspicion] = []
        self._is_reviewing = False
        down.subscribe(self._on_target_down)
        parts.subscribe(self._abort_quarantined)

    def begin(
        self,
        requester: prompt_parts.Requester,
        request_id: str,
        live: live_streams.LiveStream,
    ) -> WatchedAttempt:
        """Starts to watch an attempt until its ``end`` is called."""
        attempt = WatchedAttempt(
            self, requester, request_id, live, self._timer.now()
        )
        self._attempts.add(attempt)
        return attempt

    def remove(self, attempt: WatchedAttempt) -> None:
        """Ends the watch of an attempt."""
        self._attempts.discard(attempt)

    def is_suspect(self, requester: prompt_parts.Requester) -> bool:
        """Whether a request has parts that aren't known to be sound."""
        return self.quarantine.is_suspect(requester.parts)

    def record_served(self, requester: prompt_parts.Requester) -> None:
        """Clears the parts of a request that was served."""
        self.quarantine.record_served(requester)

    def repeat_delay_s(self, keys: Collection[prompt_parts.PartKey]) -> float:
        """Returns how long a repeat has to wait for signs and for peers.

        :param keys: what it has in common with requests that broke off.
        """
        delay_s = self.quarantine.repeat_delay_s(keys)
        if not self.quarantine.is_suspect(keys):
            return delay_s
        now = self._timer.now()
        for each in self._suspicions:
            if not set(each.requester.keys).isdisjoint(keys):
                delay_s = max(delay_s, each.at + PROBE_WAIT_S - now)
        return delay_s

    def check_end(
        self,
        requester: prompt_parts.Requester,
        request_id: str,
        target: targets.Target,
        sent_at: float,
    ) -> None:
        """Suspects a plain request, unless its target accepts connections.

        Blocks for the time of one probe.

        :param sent_at: monotonic time at which the request was sent.
        """
        ended_at = self._timer.now()
        outcome = self._down.probe_now(target)
        if outcome is connection_probes.Outcome.ACCEPTED:
            return
        self._suspicions.append(
            _Suspicion(requester, request_id, target, ended_at, sent_at)
        )
        self._review()

    def suspect(self, attempt: WatchedAttempt, target: targets.Target) -> None:
        """Waits for a sign that a target has ended under an attempt."""
        requester = attempt.suspect_requester
        if requester is None:
            return
        suspicion = _Suspicion(
            requester,
            attempt.request_id,
            target,
            self._timer.now(),
            attempt.sent_at,
        )
        self._suspicions.append(suspicion)
        self._review()

    def _on_target_down(self, target_id: str) -> None:
        """Suspects the streams that a silent target had just begun."""
        for attempt in list(self._attempts):
            for stage in attempt.live.path:
                if stage.target.id == target_id:
                    self.suspect(attempt, stage.target)
        self._review()

    def _review(self) -> None:
        """Records the suspicions that have proved right; drops old ones."""
        now = self._timer.now()
        left = []
        for each in self._suspicions:
            if self._has_ended(each.target):
                self.quarantine.record_crash(
                    each.requester,
                    each.request_id,
                    each.target.start,
                    each.sent_at,
                    each.at,
                )
            elif now - each.at < SUSPICION_S:
                left.append(each)
        self._suspicions = left
        if left and not self._is_reviewing:
            self._is_reviewing = True
            self._timer.after(REVIEW_PERIOD_S, self._review_again)

    def _review_again(self) -> None:
        self._is_reviewing = False
        self._review()

    def _has_ended(self, target: targets.Target) -> bool:
        """Whether a start of a target has certainly ended, unannounced."""
        current = self._registry.target_by_id.get(target.id)
        if target.is_leaving or (current is not None and current.is_leaving):
            return False
        if current is None or current.start != target.start:
            return True
        return target.id in self._down.confirmed_ids(False)

    def _abort_quarantined(self) -> None:
        """Takes back the requests on which no target has begun to write."""
        for attempt in list(self._attempts):
            if attempt.live.response_at is not None:
                continue
            if self.quarantine.find(attempt.requester) is not None:
                self._timer.after(0.0, attempt.abort)
