"""The order in which streams that wait for room begin, at one instance.

It handles bursts above the capacity of a service. Requests of ranks that
hold less than they are assured of go first, then the more urgent ones, those
that were rejected before, those whose organisation holds less of its fair
part, and the older ones. A request that needs more room than is free isn't
overtaken, so that large requests begin too.
"""

from collections.abc import Callable, Mapping
import enum
from typing import NamedTuple

from . import service_load
from . import stream_admission

# Waiting requests of one service at one instance; bounds each review.
MAX_WAITING = 64

# Sorts the waiting requests; see :meth:`AdmissionQueue._order`.
Order = tuple[bool, int, bool, float, float]


class Reason(enum.StrEnum):
    """Why a request is rejected."""

    TOO_LATE = 'too_late'
    QUEUE_FULL = 'queue_full'
    WAITED_TOO_LONG = 'waited_too_long'


class Admitted(NamedTuple):
    """The request begins.

    :ivar pause_share: share of the caller's longest pause that the events
        of the chosen path may take.
    """

    pause_share: float


class Waiting(NamedTuple):
    """The request waits, at most until a monotonic time."""

    until: float


class Rejected(NamedTuple):
    """The request is rejected.

    :ivar expected_s: estimated time until there is room.
    """

    reason: Reason
    expected_s: float


Verdict = Admitted | Waiting | Rejected


class AdmissionQueue:
    """Requests that wait for room at one service.

    :param on_admitted: called as soon as a request may begin, which may be
        before its task learns of it.
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
        """The requests that wait, by number."""
        return self._candidate_by_number

    def submit(
        self,
        candidate: stream_admission.Candidate,
        pressure: service_load.Pressure,
        activity: stream_admission.Activity,
        now: float,
    ) -> tuple[int, Verdict]:
        """Decides a new request.

        :returns: a number for :meth:`verdict` and :meth:`withdraw`, and the
            first verdict.
        """
        number = self._next_number
        self._next_number += 1
        self._candidate_by_number[number] = candidate
        self.review(pressure, activity, now)
        if number in self._candidate_by_number:
            self._keep_or_reject(number, pressure, activity, now)
        return number, self.verdict(number)

    def verdict(self, number: int) -> Verdict:
        """Returns the verdict on a request.

        A final verdict can be read once only.
        """
        waiting = self._candidate_by_number.get(number)
        if waiting is not None:
            return Waiting(waiting.until)
        return self._verdict_by_number.pop(number)

    def withdraw(self, number: int) -> bool:
        """Forgets a request whose caller has gone.

        Returns whether it had been admitted.
        """
        self._candidate_by_number.pop(number, None)
        verdict = self._verdict_by_number.pop(number, None)
        return isinstance(verdict, Admitted)

    def review(
        self,
        pressure: service_load.Pressure,
        activity: stream_admission.Activity,
        now: float,
    ) -> None:
        """Admits waiting requests in their order while there is room."""
        if not self._candidate_by_number:
            return
        shares = stream_admission.divide(pressure, activity.hold_s)
        self._reject_late(pressure, shares, activity, now)
        while self._candidate_by_number:
            number = min(
                self._candidate_by_number,
                key=lambda each: self._order(each, pressure, shares),
            )
            candidate = self._candidate_by_number[number]
            if stream_admission.find_blocker(
                pressure, shares, candidate, activity
            ):
                return
            del self._candidate_by_number[number]
            self._verdict_by_number[number] = Admitted(
                stream_admission.pause_share(pressure, shares, candidate.rank)
            )
            self._on_admitted(candidate)
            pressure = pressure.with_stream(
                candidate.rank, candidate.organisation, candidate.tokens
            )

    def expected_wait_s(
        self,
        candidate: stream_admission.Candidate,
        pressure: service_load.Pressure,
        shares: stream_admission.Shares,
        activity: stream_admission.Activity,
    ) -> float:
        """Returns in how many seconds there will be room for a request."""
        ahead = sum(
            each.tokens
            for each in self._candidate_by_number.values()
            if each is not candidate and each.rank <= candidate.rank
        )
        return stream_admission.expected_wait_s(
            pressure, shares, candidate, activity, ahead * pressure.instances
        )

    def _order(
        self,
        number: int,
        pressure: service_load.Pressure,
        shares: stream_admission.Shares,
    ) -> Order:
        candidate = self._candidate_by_number[number]
        return (
            not stream_admission.is_assured(pressure, shares, candidate.rank),
            candidate.rank,
            not candidate.is_returning,
            stream_admission.part_used(
                pressure, shares, candidate.organisation
            ),
            candidate.asked_at,
        )

    def _keep_or_reject(
        self,
        number: int,
        pressure: service_load.Pressure,
        activity: stream_admission.Activity,
        now: float,
    ) -> None:
        """Rejects a hopeless new request, or the last of a full queue."""
        candidate = self._candidate_by_number[number]
        shares = stream_admission.divide(pressure, activity.hold_s)
        expected_s = self.expected_wait_s(
            candidate, pressure, shares, activity
        )
        tolerated_s = stream_admission.WAIT_TOLERANCE * (candidate.until - now)
        if candidate.until <= now or expected_s > tolerated_s:
            self._reject(number, Reason.TOO_LATE, expected_s)
        elif len(self._candidate_by_number) > MAX_WAITING:
            last = max(
                self._candidate_by_number,
                key=lambda each: self._order(each, pressure, shares),
            )
            self._reject(last, Reason.QUEUE_FULL, expected_s)

    def _reject_late(
        self,
        pressure: service_load.Pressure,
        shares: stream_admission.Shares,
        activity: stream_admission.Activity,
        now: float,
    ) -> None:
        """Rejects waiting requests that will miss their objective."""
        for number, candidate in list(self._candidate_by_number.items()):
            # New requests are judged by their expected wait instead.
            if candidate.until > now or candidate.asked_at >= now:
                continue
            expected_s = self.expected_wait_s(
                candidate, pressure, shares, activity
            )
            self._reject(number, Reason.WAITED_TOO_LONG, expected_s)

    def _reject(self, number: int, reason: Reason, expected_s: float) -> None:
        del self._candidate_by_number[number]
        self._verdict_by_number[number] = Rejected(reason, expected_s)
