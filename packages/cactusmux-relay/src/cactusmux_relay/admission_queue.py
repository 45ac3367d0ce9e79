"""The order in which streams that wait for room begin, at one instance.

It answers bursts above what a service can carry. Requests are served by
urgency, then those that were rejected before, then by what their
organisation holds of its part, then by age. Nobody overtakes a request that
waits for more room than is free, so that large requests begin too.
"""

from collections.abc import Callable, Mapping
import enum
from typing import NamedTuple

from . import service_pressure
from . import stream_admission

MAX_WAITING = 64

Order = tuple[bool, int, bool, float, float]


class Reason(enum.StrEnum):
    """Why a request is rejected."""

    TOO_LATE = 'too_late'
    QUEUE_FULL = 'queue_full'
    WAITED_TOO_LONG = 'waited_too_long'


class Admitted(NamedTuple):
    """The request begins.

    :ivar pause_share: of the longest pause that its path may take.
    """

    pause_share: float


class Waiting(NamedTuple):
    """The request waits, at most until a monotonic time."""

    until: float


class Rejected(NamedTuple):
    """The request is rejected.

    :ivar expected_s: after which there will be room.
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
        self, on_admitted: Callable[[stream_admission.Ask], None]
    ) -> None:
        self._on_admitted = on_admitted
        self._next_number = 0
        self._ask_by_number: dict[int, stream_admission.Ask] = {}
        self._verdict_by_number: dict[int, Verdict] = {}

    @property
    def waiting(self) -> Mapping[int, stream_admission.Ask]:
        """The requests that wait, by number."""
        return self._ask_by_number

    def ask(
        self,
        ask: stream_admission.Ask,
        pressure: service_pressure.Pressure,
        course: stream_admission.Course,
        now: float,
    ) -> tuple[int, Verdict]:
        """Decides a new request; one that waits is asked for by number."""
        number = self._next_number
        self._next_number += 1
        self._ask_by_number[number] = ask
        self.review(pressure, course, now)
        if number in self._ask_by_number:
            self._keep_or_reject(number, pressure, course, now)
        return number, self.verdict(number)

    def verdict(self, number: int) -> Verdict:
        """Returns what was decided of a request; an end is told once."""
        waiting = self._ask_by_number.get(number)
        if waiting is not None:
            return Waiting(waiting.until)
        return self._verdict_by_number.pop(number)

    def withdraw(self, number: int) -> bool:
        """Forgets a request whose caller has gone.

        Returns whether it had been admitted.
        """
        self._ask_by_number.pop(number, None)
        verdict = self._verdict_by_number.pop(number, None)
        return isinstance(verdict, Admitted)

    def review(
        self,
        pressure: service_pressure.Pressure,
        course: stream_admission.Course,
        now: float,
    ) -> None:
        """Admits those that wait, in their order, as far as there is room."""
        if not self._ask_by_number:
            return
        shares = stream_admission.divide(pressure, course.hold_s)
        self._reject_late(pressure, shares, course, now)
        while self._ask_by_number:
            number = min(
                self._ask_by_number,
                key=lambda each: self._order(each, pressure, shares),
            )
            ask = self._ask_by_number[number]
            if stream_admission.bar(pressure, shares, ask, course):
                return
            del self._ask_by_number[number]
            self._verdict_by_number[number] = Admitted(
                stream_admission.pause_share(pressure, shares, ask.rank)
            )
            self._on_admitted(ask)
            pressure = pressure.with_stream(
                ask.rank, ask.organisation, ask.tokens
            )

    def expected_wait_s(
        self,
        ask: stream_admission.Ask,
        pressure: service_pressure.Pressure,
        shares: stream_admission.Shares,
        course: stream_admission.Course,
    ) -> float:
        """Returns when there will be room for a request."""
        ahead = sum(
            each.tokens
            for each in self._ask_by_number.values()
            if each is not ask and each.rank <= ask.rank
        )
        return stream_admission.expected_wait_s(
            pressure, shares, ask, course, ahead * pressure.instances
        )

    def _order(
        self,
        number: int,
        pressure: service_pressure.Pressure,
        shares: stream_admission.Shares,
    ) -> Order:
        ask = self._ask_by_number[number]
        return (
            not stream_admission.is_assured(pressure, shares, ask.rank),
            ask.rank,
            not ask.is_returning,
            stream_admission.part_used(pressure, shares, ask.organisation),
            ask.asked_at,
        )

    def _keep_or_reject(
        self,
        number: int,
        pressure: service_pressure.Pressure,
        course: stream_admission.Course,
        now: float,
    ) -> None:
        """Rejects a request that would wait for nothing."""
        ask = self._ask_by_number[number]
        shares = stream_admission.divide(pressure, course.hold_s)
        expected_s = self.expected_wait_s(ask, pressure, shares, course)
        patience_s = stream_admission.PATIENCE * (ask.until - now)
        if ask.until <= now or expected_s > patience_s:
            self._reject(number, Reason.TOO_LATE, expected_s)
        elif len(self._ask_by_number) > MAX_WAITING:
            last = max(
                self._ask_by_number,
                key=lambda each: self._order(each, pressure, shares),
            )
            self._reject(last, Reason.QUEUE_FULL, expected_s)

    def _reject_late(
        self,
        pressure: service_pressure.Pressure,
        shares: stream_admission.Shares,
        course: stream_admission.Course,
        now: float,
    ) -> None:
        """Rejects those whose objective would be missed."""
        for number, ask in list(self._ask_by_number.items()):
            # A new request is decided by what is expected.
            if ask.until > now or ask.asked_at >= now:
                continue
            expected_s = self.expected_wait_s(ask, pressure, shares, course)
            self._reject(number, Reason.WAITED_TOO_LONG, expected_s)

    def _reject(self, number: int, reason: Reason, expected_s: float) -> None:
        del self._ask_by_number[number]
        self._verdict_by_number[number] = Rejected(reason, expected_s)
