"""What instances tell the owner of a range of claims, and its replies."""

import abc
import enum
from typing import NamedTuple

from cactusmux_peers import transport
from returns import result

from . import claims

RANGES = 64


class ClaimWrite(NamedTuple):
    """A record that an instance wants written.

    With state ``CLAIMED`` it wants to win the claim, with any other it
    tells the outcome of the claim that it won or gave up.
    """

    request: claims.ClaimRequest
    record: claims.ClaimRecord


class Verdict(enum.StrEnum):
    """What the owner says of a bid.

    ``NOT_WRITTEN`` asks to try again, ``UNSETTLED`` leaves open whether the
    bid stands, ``GONE`` says that an outcome's claim does not stand.
    """

    WON = 'won'
    WRITTEN = 'written'
    FINISHED = 'finished'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    KEY_REUSED = 'key_reused'
    NOT_WRITTEN = 'not_written'
    GONE = 'gone'
    UNSETTLED = 'unsettled'


class Reply(NamedTuple):
    """The answer to one bid."""

    verdict: Verdict
    outcome: claims.Outcome | None = None
    retry_after_s: float = 0.0


class ClaimForwarder(abc.ABC):
    """Carries bids to the owner of their range."""

    @abc.abstractmethod
    def forward(
        self, range_number: int, bids: tuple[ClaimWrite, ...]
    ) -> result.Result[tuple[Reply, ...], transport.PeerError]:
        """Returns one reply for each bid.

        After ``PeerNotSent`` and ``PeerRefused`` no bid was taken; after
        any other failure they may have been. The same bids may be
        forwarded again.
        """


def range_of(key: str, ranges: int) -> int:
    """Returns the number of the range that a claim's store key is in."""
    return int(key[-8:], 16) % ranges


def to_reply(failure: claims.ClaimError) -> Reply:
    """Returns the reply to a bid that an earlier claim rules out."""
    if isinstance(failure, claims.ClaimInProgress):
        return Reply(Verdict.IN_PROGRESS, retry_after_s=failure.retry_after_s)
    if isinstance(failure, claims.KeyReused):
        return Reply(Verdict.KEY_REUSED)
    return Reply(Verdict.OUTCOME_UNKNOWN)


def write_in_progress() -> Reply:
    """Returns the reply to a bid whose key is in an open batch."""
    retry_after_s = claims.MIN_RETRY_AFTER_S
    return Reply(Verdict.IN_PROGRESS, retry_after_s=retry_after_s)
