"""Quarantines the parts of prompts that end the targets that write on them.

It keeps the evidence of this instance and of its peers, tells whether a
request is to be refused or its repeat delayed, and logs each decision. The
decision itself is in :mod:`part_evidence`.
"""

from collections.abc import Callable, Iterable

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

from . import part_evidence
from . import prompt_parts
from . import targets

PRUNE_PERIOD_S = 1.0
# How long a request waits before its repeat after a target has ended under
# it: within this time peers report what they know of its parts.
REPEAT_DELAY_S = 0.5
# Ends under a part after which its requests aren't repeated any more.
MAX_CRASHES_TO_REPEAT = 1
# Retry-After of refused requests: a quarantine holds for minutes.
RETRY_AFTER_S = 60.0
# Error of times that peers tell by their age: the way of the message.
AGE_ERROR_S = 0.05
MS_PER_S = 1000.0


def _do_nothing() -> None:
    return


class Quarantine:
    """The evidence on parts of prompts, and what follows for requests.

    :param request_send: called when the evidence should be sent to peers
        immediately.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        request_send: Callable[[], None] = _do_nothing,
    ) -> None:
        self._timer = timer
        self._metric = metric
        self._request_send = request_send
        self.evidence = part_evidence.PartEvidence()
        self._reported: frozenset[prompt_parts.PartKey] = frozenset()
        self._callbacks: list[Callable[[], None]] = []

    def start(self) -> None:
        """Starts the periodic removal of expired evidence."""
        self._timer.every(PRUNE_PERIOD_S, self.prune)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls ``callback`` when a further part is quarantined."""
        self._callbacks.append(callback)

    def find(
        self, requester: prompt_parts.Requester
    ) -> prompt_parts.PartKey | None:
        """Returns the part for which a request is to be refused, if any."""
        return self.evidence.find_quarantined(requester)

    def record_refusal(
        self, request_id: str, key: prompt_parts.PartKey
    ) -> None:
        """Records and logs that a request is refused for a part."""
        self.evidence.record_request(key, self._timer.now())
        events.info(
            'request_quarantined',
            id=request_id,
            service=key.service,
            part=key.part,
            crashes=len(self.evidence.crashes(key)),
            ages_ms=self._ages_ms(key),
        )

    def is_suspect(self, keys: Iterable[prompt_parts.PartKey]) -> bool:
        """Whether some of these aren't known to be sound."""
        now = self._timer.now()
        return any(not self.evidence.is_proven(each, now) for each in keys)

    def without_proven(
        self, requester: prompt_parts.Requester
    ) -> prompt_parts.Requester:
        """Returns a request without its parts that are known to be sound."""
        now = self._timer.now()
        return requester._replace(
            parts=tuple(
                each
                for each in requester.parts
                if not self.evidence.is_proven(each, now)
            )
        )

    def repeat_delay_s(self, keys: Iterable[prompt_parts.PartKey]) -> float:
        """Returns how long a repeat of a request with these has to wait."""
        now = self._timer.now()
        delays_s = [
            crashes[-1].at + REPEAT_DELAY_S - now
            for crashes in self._suspect_crashes(keys)
        ]
        return max(delays_s, default=0.0)

    def may_repeat(self, requester: prompt_parts.Requester) -> bool:
        """Whether a request that was sent may be sent to another target."""
        return all(
            len(crashes) <= MAX_CRASHES_TO_REPEAT
            for crashes in self._suspect_crashes(requester.keys)
        )

    def record_served(self, requester: prompt_parts.Requester) -> None:
        """Records that a target has written on a request and lived on."""
        if self.evidence.record_served(requester.keys, self._timer.now()):
            self._report_changes()
            self._request_send()

    def record_crash(
        self,
        requester: prompt_parts.Requester,
        request_id: str,
        start: targets.Start,
        sent_at: float | None = None,
        ended_at: float | None = None,
    ) -> None:
        """Records that a target ended while it ran a request.

        :param sent_at: when the request was sent to it, in monotonic seconds;
            ``None`` if it isn't known.
        :param ended_at: when the target broke it off; now if it isn't given.
        """
        now = self._timer.now()
        if ended_at is None:
            ended_at = now
        if sent_at is None:
            sent_at = ended_at
        keys = sorted(requester.keys, key=self._suspicion_order)
        keys = keys[: part_evidence.MAX_PARTS_PER_CRASH]
        crash = part_evidence.Crash(
            start,
            ended_at,
            dict.fromkeys(keys, requester.organisation),
            sent_at_by_key=dict.fromkeys(keys, sent_at),
        )
        if not self.evidence.record_crash(crash, now):
            return
        self._metric.count('relay.target_ended_at_start')
        events.info(
            'parts_suspected',
            id=request_id,
            target=start.target_id,
            born_ms=start.born_ms,
            parts=','.join(each.part for each in requester.keys),
            crashes=[len(self.evidence.crashes(e)) for e in requester.keys],
            proven=[self.evidence.is_proven(e, now) for e in requester.keys],
        )
        self._report_changes()
        self._request_send()

    def merge_crash(self, crash: part_evidence.Crash) -> None:
        """Adds an end that a peer has told, or that was stored."""
        if self.evidence.record_crash(crash, self._timer.now()):
            self._report_changes()
            self._request_send()

    def merge_served(self, key: prompt_parts.PartKey, at: float) -> None:
        """Adds the time at which a peer has served a part.

        Each message adds its own time to what it forwards. A time that is
        hardly later is the known one, which has been around.
        """
        known_at = self.evidence.served_at(key)
        if at - known_at <= AGE_ERROR_S:
            at = known_at
        if self.evidence.record_served((key,), at):
            self._report_changes()
            self._request_send()

    def prune(self) -> None:
        """Drops expired evidence."""
        self.evidence.prune(self._timer.now())
        self._report_changes()

    def _suspect_crashes(
        self, keys: Iterable[prompt_parts.PartKey]
    ) -> list[list[part_evidence.Crash]]:
        """Returns the ends under each of these not known to be sound."""
        now = self._timer.now()
        found = [
            self.evidence.crashes(key)
            for key in keys
            if not self.evidence.is_proven(key, now)
        ]
        return [crashes for crashes in found if crashes]

    def _suspicion_order(self, key: prompt_parts.PartKey) -> tuple[bool, int]:
        """Sorts the parts that are most suspect first."""
        is_proven = self.evidence.is_proven(key, self._timer.now())
        return is_proven, -len(self.evidence.crashes(key))

    def _report_changes(self) -> None:
        """Logs which parts are quarantined or released since the last time."""
        found = self.evidence.quarantined
        if found == self._reported:
            return
        added = found - self._reported
        for key in sorted(self._reported - found):
            self._log_released(key)
        for key in sorted(added):
            self._log_quarantined(key)
        self._reported = found
        self._metric.gauge('believed.parts_quarantined', len(found))
        if added:
            for callback in self._callbacks:
                callback()

    def _log_quarantined(self, key: prompt_parts.PartKey) -> None:
        crashes = self.evidence.crashes(key)
        self._metric.count('relay.part_quarantined')
        events.warning(
            'part_quarantined',
            service=key.service,
            part=key.part,
            crashes=len(crashes),
            targets=','.join(each.start.target_id for each in crashes),
            organisations=','.join(
                sorted({each.organisation_by_key[key] for each in crashes})
            ),
            ages_ms=self._ages_ms(key),
            is_proven=self.evidence.is_proven(key, self._timer.now()),
        )

    def _log_released(self, key: prompt_parts.PartKey) -> None:
        self._metric.count('relay.part_released')
        reason = 'expired'
        if key in self.evidence.cleared_at_by_key:
            reason = 'served'
        elif self.evidence.all_crashes:
            reason = 'explained'
        events.warning(
            'part_released',
            service=key.service,
            part=key.part,
            reason=reason,
        )

    def _ages_ms(self, key: prompt_parts.PartKey) -> list[int]:
        now = self._timer.now()
        crashes = self.evidence.crashes(key)
        return [int((now - each.at) * MS_PER_S) for each in crashes]
