"""What those that send requests ask of, and tell, the limits of targets."""

import abc
from collections.abc import Iterable
from typing import NamedTuple

from . import slow_start
from . import targets


class Sent(NamedTuple):
    """A request as it was sent, as far as limits are concerned.

    :ivar starts: the targets on its path that were limited.
    :ivar used: those of them of which we used our part well, so that a good
        answer tells something of a higher limit.
    :ivar fully_used: those that all instances together used well.
    """

    starts: tuple[targets.Start, ...]
    used: frozenset[targets.Start]
    fully_used: frozenset[targets.Start]
    at: float


NOTHING_SENT = Sent((), frozenset(), frozenset(), 0.0)


class Answer(NamedTuple):
    """What the answer to a request says, and by which times.

    :ivar target_id: of the target that it is about, ``None`` for all that
        the request passed through.
    """

    verdict: slow_start.Verdict
    measured_s: float = 0.0
    expected_s: float = 0.0
    target_id: str | None = None


class TargetLimits(abc.ABC):
    """Limits of targets that have started or recovered."""

    @abc.abstractmethod
    def at_limit(self) -> frozenset[str]:
        """Returns ids of targets that others are to be preferred to now."""

    @abc.abstractmethod
    def note_sent(self, stages: Iterable[targets.Target]) -> Sent:
        """Notes a request, after it was added to the load."""

    @abc.abstractmethod
    def note_answer(self, sent: Sent, answer: Answer) -> None:
        """Takes what the answer to a request says."""


class UnlimitedTargets(TargetLimits):
    """All targets are sent what they have room for."""

    def at_limit(self) -> frozenset[str]:
        return frozenset()

    def note_sent(self, stages: Iterable[targets.Target]) -> Sent:
        return NOTHING_SENT

    def note_answer(self, sent: Sent, answer: Answer) -> None:
        pass
