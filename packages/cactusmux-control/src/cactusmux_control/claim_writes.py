"""Messages between instances and the owner of a hash range of claims."""

import abc
import enum
from typing import NamedTuple

from cactusmux_peers import transport
from returns import result

from . import claims

RANGES = 64


class ClaimWrite(NamedTuple):
    """A record that an instance asks the owner to write.

    With state ``CLAIMED`` it asks for the claim; with any other state it
    reports the outcome of a claim that the instance won or abandoned.
    """

    request: claims.ClaimRequest
    record: claims.ClaimRecord


class Verdict(enum.StrEnum):
    """The owner's decision on a claim write.

    After ``NOT_WRITTEN`` the sender should retry. ``UNSETTLED`` means that
    the write may have been stored, ``GONE`` that the claim of a reported
    outcome is not stored.
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
    """The reply to one claim write."""

    verdict: Verdict
    outcome: claims.Outcome | None = None
    retry_after_s: float = 0.0


class ClaimForwarder(abc.ABC):
    """Sends claim writes to the owner of their range."""

    @abc.abstractmethod
    def forward(
        self, range_number: int, writes: tuple[ClaimWrite, ...]
    ) -> result.Result[tuple[Reply, ...], transport.PeerError]:
        """Returns one reply for each write.

        After ``PeerNotSent`` and ``PeerRefused`` no write was accepted;
        after any other failure they may have been. The same writes may be
        forwarded again.
        """


def range_of(key: str, ranges: int) -> int:
    """Returns the number of the hash range of a claim's store key."""
    return int(key[-8:], 16) % ranges


def to_reply(failure: claims.ClaimError) -> Reply:
    """Returns the reply to a write that an existing claim excludes."""
    if isinstance(failure, claims.ClaimInProgress):
        return Reply(Verdict.IN_PROGRESS, retry_after_s=failure.retry_after_s)
    if isinstance(failure, claims.KeyReused):
        return Reply(Verdict.KEY_REUSED)
    return Reply(Verdict.OUTCOME_UNKNOWN)


def write_in_progress() -> Reply:
    """Returns the reply to a write whose key is in an open batch."""
    retry_after_s = claims.MIN_RETRY_AFTER_S
    return Reply(Verdict.IN_PROGRESS, retry_after_s=retry_after_s)
