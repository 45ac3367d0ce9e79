"""Interface between senders of requests and the limits on targets."""

import abc
from collections.abc import Iterable
from typing import NamedTuple

from . import slow_start
from . import targets


class SentRequest(NamedTuple):
    """State of the limits when a request was sent.

    :ivar starts: the limited targets on its path.
    :ivar used: those of them whose permits this instance used sufficiently,
        so that a good response justifies a higher limit.
    :ivar fully_used: those whose permits all instances together used
        sufficiently.
    :ivar at: monotonic time at which the request was sent.
    """

    starts: tuple[targets.Start, ...]
    used: frozenset[targets.Start]
    fully_used: frozenset[targets.Start]
    at: float


NOTHING_LIMITED = SentRequest((), frozenset(), frozenset(), 0.0)


class Assessment(NamedTuple):
    """Assessment of a response, with the times behind it.

    :ivar measured_s: measured time, 0 if none was measured.
    :ivar expected_s: expected time, 0 if none was measured.
    :ivar target_id: id of the target concerned, ``None`` for all targets on
        the request's path.
    """

    verdict: slow_start.Verdict
    measured_s: float = 0.0
    expected_s: float = 0.0
    target_id: str | None = None


class TargetLimits(abc.ABC):
    """Limits on targets that have started or recovered."""

    @abc.abstractmethod
    def ids_at_limit(self) -> frozenset[str]:
        """Returns ids of the targets to use only if there is no other."""

    @abc.abstractmethod
    def record_sent(self, stages: Iterable[targets.Target]) -> SentRequest:
        """Records a request after it was added to the load."""

    @abc.abstractmethod
    def record_response(
        self, sent: SentRequest, assessment: Assessment
    ) -> None:
        """Adapts the limits to the assessment of a response."""


class UnlimitedTargets(TargetLimits):
    """Implementation without limits."""

    def ids_at_limit(self) -> frozenset[str]:
        return frozenset()

    def record_sent(self, stages: Iterable[targets.Target]) -> SentRequest:
        return NOTHING_LIMITED

    def record_response(
        self, sent: SentRequest, assessment: Assessment
    ) -> None:
        pass
