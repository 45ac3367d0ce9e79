"""In-memory state of a hash range of claims, at its owner."""

from typing import NamedTuple

from gevent import event
from gevent import lock
from returns import result

from . import claim_log
from . import claim_writes
from . import claims

# The store accepts values of up to 1 MB.
MAX_ENTRY_BYTES = 512 * 1024
RECORD_BYTES = 300
BASE64_FACTOR = 1.4


class KnownClaim(NamedTuple):
    """A key's record without its outcome, and the number of its entry."""

    record: claims.ClaimRecord
    number: int


class Batch:
    """Claim writes of one log entry; ``written`` is set to its number.

    They were checked against the claims known after the log was opened for
    the ``open_count``-th time.
    """

    def __init__(self, open_count: int) -> None:
        self.open_count = open_count
        self.size_bytes = 0
        self.record_by_key: dict[str, claims.ClaimRecord] = {}
        self.written: event.AsyncResult = event.AsyncResult()

    def add(self, key: str, record: claims.ClaimRecord) -> bool:
        """Adds a record unless the entry would become too large."""
        body = record.outcome.body if record.outcome else b''
        size_bytes = RECORD_BYTES + int(len(body) * BASE64_FACTOR)
        if self.size_bytes + size_bytes > MAX_ENTRY_BYTES:
            return False
        self.size_bytes += size_bytes
        self.record_by_key[key] = record
        return True

    def reply_to(self, write: claim_writes.ClaimWrite) -> claim_writes.Reply:
        """Waits until the batch is stored and replies to one of its writes."""
        written = self.written.get()
        if isinstance(written, result.Failure):
            if isinstance(written.failure(), claim_log.Unsettled):
                return claim_writes.Reply(claim_writes.Verdict.UNSETTLED)
            return claim_writes.Reply(claim_writes.Verdict.NOT_WRITTEN)
        if write.record.state is claims.ClaimState.CLAIMED:
            return claim_writes.Reply(claim_writes.Verdict.WON)
        return claim_writes.Reply(claim_writes.Verdict.WRITTEN)


class Range:
    """Known claims and write state of a range; valid while ``is_open``."""

    def __init__(self, log: claim_log.ClaimLog) -> None:
        self.log = log
        self.is_open = False
        self.open_count = 0
        self.known_by_key: dict[str, KnownClaim] = {}
        self.batch = Batch(0)
        self.writing: Batch | None = None
        # Claims of an unsettled entry; their senders got ``UNSETTLED``.
        self.abandoned_by_key: dict[str, claims.ClaimRecord] = {}
        self.write_lock = lock.BoundedSemaphore()
        self.next_write_at = 0.0
        self.next_purge_at = 0.0

    def apply(
        self, number: int, records: tuple[claim_log.LogRecord, ...]
    ) -> None:
        """Applies the records of a log entry."""
        for key, record in records:
            kept = record._replace(outcome=None)
            self.known_by_key[key] = KnownClaim(kept, number)

    def purge_before(self, oldest: float) -> None:
        """Drops claims whose ``settled_by`` is not after ``oldest``."""
        self.known_by_key = {
            key: known
            for key, known in self.known_by_key.items()
            if known.record.settled_by > oldest
        }
