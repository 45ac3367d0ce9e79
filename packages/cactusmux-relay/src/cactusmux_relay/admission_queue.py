"""Priority queue of streams that wait for capacity at one instance.

It handles bursts above the capacity of a service. The queue is ordered by
these criteria: the rank holds less than its assured share; higher urgency;
the request was rejected before; its organisation uses less of its fair share;
the earlier arrival. A request that needs more than the free capacity blocks
the requests behind it, so that large requests aren't starved by small ones.
"""

from collections.abc import Callable, Mapping
import enum
from typing import NamedTuple

from . import service_load
from . import stream_admission

# Maximum queue length per service and instance; bounds the cost of a review.
MAX_WAITING = 64

# Sort key of the waiting requests; see :meth:`AdmissionQueue._sort_key`.
SortKey = tuple[bool, int, bool, float, float]


class Reason(enum.StrEnum):
    """Why a request is rejected."""

    TOO_LATE = 'too_late'
    QUEUE_FULL = 'queue_full'
    WAITED_TOO_LONG = 'waited_too_long'


class Admitted(NamedTuple):
    """The request may start.

    :ivar pause_share: fraction of the longest pause allowed between events
        that the chosen path may use.
    """

    pause_share: float


class Waiting(NamedTuple):
    """The request is queued, at most until a monotonic time."""

    until: float


class Rejected(NamedTuple):
    """The request is rejected.

    :ivar expected_s: estimated seconds until there is capacity.
    """

    reason: Reason
    expected_s: float


Verdict = Admitted | Waiting | Rejected


class AdmissionQueue:
    """Requests that wait for capacity at one service.

    :param on_admitted: called as soon as a request is admitted, which may be
        before its task reads the verdict.
    """

    def __init__(
        self, on_admitted: Callable[[stream_admission.Candidate], None]
    ) -> None:
        self._on_admitted = on_admitted
        self._next_number = 0
        self._candidate_by_number: dict[int, stream_admission.Candidate] = {}
        self._verdict_by_number: dict[int, Verdict] = {}

    @property
    def waiting(self) -> Mapping[int, stream_admission.Candidate]:
        """Queued requests by number."""
        return self._candidate_by_number

    def submit(
        self,
        candidate: stream_admission.Candidate,
        load: service_load.ServiceLoad,
        activity: stream_admission.Activity,
        now: float,
    ) -> tuple[int, Verdict]:
        """Admits, queues or rejects a new request.

        :returns: a number for :meth:`verdict` and :meth:`withdraw`, and the
            first verdict.
        """
        number = self._next_number
        self._next_number += 1
        self._candidate_by_number[number] = candidate
        self.review(load, activity, now)
        if number in self._candidate_by_number:
            self._keep_or_reject(number, load, activity, now)
        return number, self.verdict(number)

    def verdict(self, number: int) -> Verdict:
        """Returns the verdict on a request.

        A final verdict can be read only once.
        """
        waiting = self._candidate_by_number.get(number)
        if waiting is not None:
            return Waiting(waiting.until)
        return self._verdict_by_number.pop(number)

    def withdraw(self, number: int) -> bool:
        """Removes a request whose caller has disconnected.

        Returns whether it had been admitted.
        """
        self._candidate_by_number.pop(number, None)
        verdict = self._verdict_by_number.pop(number, None)
        return isinstance(verdict, Admitted)

    def review(
        self,
        load: service_load.ServiceLoad,
        activity: stream_admission.Activity,
        now: float,
    ) -> None:
        """Admits queued requests in order while there is capacity."""
        if not self._candidate_by_number:
            return
        shares = stream_admission.divide_capacity(load, activity.hold_s)
        self._reject_overdue(load, shares, activity, now)
        while self._candidate_by_number:
            number = min(
                self._candidate_by_number,
                key=lambda each: self._sort_key(each, load, shares),
            )
            candidate = self._candidate_by_number[number]
            if stream_admission.find_blocker(
                load, shares, candidate, activity
            ):
                return
            del self._candidate_by_number[number]
            self._verdict_by_number[number] = Admitted(
                stream_admission.pause_share(load, shares, candidate.rank)
            )
            self._on_admitted(candidate)
            load = load.with_stream(
                candidate.rank, candidate.organisation, candidate.tokens
            )

    def expected_wait_s(
        self,
        candidate: stream_admission.Candidate,
        load: service_load.ServiceLoad,
        shares: stream_admission.Shares,
        activity: stream_admission.Activity,
    ) -> float:
        """Estimates the seconds until there is capacity for a request."""
        ahead_tokens = sum(
            each.tokens
            for each in self._candidate_by_number.values()
            if each is not candidate and each.rank <= candidate.rank
        )
        return stream_admission.expected_wait_s(
            load, shares, candidate, activity, ahead_tokens * load.instances
        )

    def _sort_key(
        self,
        number: int,
        load: service_load.ServiceLoad,
        shares: stream_admission.Shares,
    ) -> SortKey:
        candidate = self._candidate_by_number[number]
        return (
            not stream_admission.is_assured(load, shares, candidate.rank),
            candidate.rank,
            not candidate.is_returning,
            stream_admission.fair_share_used(
                load, shares, candidate.organisation
            ),
            candidate.asked_at,
        )

    def _keep_or_reject(
        self,
        number: int,
        load: service_load.ServiceLoad,
        activity: stream_admission.Activity,
        now: float,
    ) -> None:
        """Rejects a new request that can't start in time.

        If the queue is too long instead, rejects its last request.
        """
        candidate = self._candidate_by_number[number]
        shares = stream_admission.divide_capacity(load, activity.hold_s)
        expected_s = self.expected_wait_s(candidate, load, shares, activity)
        max_wait_s = stream_admission.WAIT_TOLERANCE * (candidate.until - now)
        if candidate.until <= now or expected_s > max_wait_s:
            self._reject(number, Reason.TOO_LATE, expected_s)
        elif len(self._candidate_by_number) > MAX_WAITING:
            last = max(
                self._candidate_by_number,
                key=lambda each: self._sort_key(each, load, shares),
            )
            self._reject(last, Reason.QUEUE_FULL, expected_s)

    def _reject_overdue(
        self,
        load: service_load.ServiceLoad,
        shares: stream_admission.Shares,
        activity: stream_admission.Activity,
        now: float,
    ) -> None:
        """Rejects queued requests that will miss their objective."""
        for number, candidate in list(self._candidate_by_number.items()):
            # New requests are decided by their expected wait instead.
            if candidate.until > now or candidate.asked_at >= now:
                continue
            expected_s = self.expected_wait_s(
                candidate, load, shares, activity
            )
            self._reject(number, Reason.WAITED_TOO_LONG, expected_s)

    def _reject(self, number: int, reason: Reason, expected_s: float) -> None:
        del self._candidate_by_number[number]
        self._verdict_by_number[number] = Rejected(reason, expected_s)
