"""Owns hash ranges of claims and batches their writes into a range's log.

Any instance may accept writes of any range. Opening a range's log fences off
the previous owner, so two instances that both consider themselves the owner
only cost additional store writes.
"""

from collections.abc import Sequence

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import stores
from returns import result

from . import claim_log
from . import claim_ranges
from . import claim_resolution
from . import claim_retention
from . import claim_writes
from . import claims

BATCH_INTERVAL_S = 0.2
PURGE_PERIOD_S = 60.0

_Written = result.Result[int, claim_log.LogError]

Reply = claim_writes.Reply
Verdict = claim_writes.Verdict


class ClaimOwner:
    """Writes claims in batches and replies once they are stored."""

    def __init__(
        self,
        store: stores.ConfigStore,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        settings: claims.ClaimSettings,
        interval_s: float = BATCH_INTERVAL_S,
    ) -> None:
        self._store = store
        self._timer = timer
        self._metric = metric
        self._settings = settings
        self._interval_s = interval_s
        self._retention = claim_retention.RetentionLease(
            store, timer, settings
        )
        self._range_by_number: dict[int, claim_ranges.Range] = {}

    def known_count(self) -> int:
        """Counts the claims that are kept in memory."""
        ranges = self._range_by_number.values()
        return sum(len(claim_range.known_by_key) for claim_range in ranges)

    def is_writing(self, range_number: int) -> bool:
        """Returns whether an entry of the range is being written."""
        claim_range = self._range_by_number.get(range_number)
        return claim_range is not None and claim_range.write_lock.locked()

    def forget(self, range_number: int) -> None:
        """Drops the state of a range that another instance owns."""
        claim_range = self._range_by_number.get(range_number)
        if claim_range is None or claim_range.write_lock.locked():
            return
        if not claim_range.batch.record_by_key:
            del self._range_by_number[range_number]

    def submit(
        self, range_number: int, writes: Sequence[claim_writes.ClaimWrite]
    ) -> tuple[Reply, ...]:
        """Accepts writes; blocks until those that need it are stored."""
        claim_range = self._range(range_number)
        if not self._open(claim_range):
            return tuple(Reply(Verdict.NOT_WRITTEN) for _ in writes)
        own_batches: list[claim_ranges.Batch] = []
        try:
            decisions = [
                self._reply_or_enqueue(claim_range, write, own_batches)
                for write in writes
            ]
            for batch in own_batches:
                self._write_when_due(claim_range, batch)
        finally:
            for batch in own_batches:
                self._fail_unfinished(claim_range, batch)
        return tuple(
            decision.reply_to(write)
            if isinstance(decision, claim_ranges.Batch)
            else decision
            for write, decision in zip(writes, decisions, strict=True)
        )

    def _range(self, number: int) -> claim_ranges.Range:
        claim_range = self._range_by_number.get(number)
        if claim_range is None:
            log = claim_log.ClaimLog(
                self._store,
                self._timer,
                self._retention,
                self._settings,
                number,
            )
            claim_range = claim_ranges.Range(log)
            self._range_by_number[number] = claim_range
        return claim_range

    def _open(self, claim_range: claim_ranges.Range) -> bool:
        if claim_range.is_open:
            return True
        with claim_range.write_lock:
            if claim_range.is_open:
                return True
            opened = claim_range.log.open()
            if isinstance(opened, result.Failure):
                self._metric.count('claims.owner.not_opened')
                return False
            claim_range.known_by_key = {}
            claim_range.abandoned_by_key = {}
            for number, entry in opened.unwrap():
                claim_range.apply(number, entry.records)
            claim_range.is_open = True
            claim_range.open_count += 1
            claim_range.batch = claim_ranges.Batch(claim_range.open_count)
            self._metric.count('claims.owner.opened')
            return True

    def _reply_or_enqueue(
        self,
        claim_range: claim_ranges.Range,
        write: claim_writes.ClaimWrite,
        own_batches: list[claim_ranges.Batch],
    ) -> Reply | claim_ranges.Batch:
        """Replies at once, or adds a write to the open batch.

        A reply may need a store call. Adding to the batch must not wait for
        one, as other tasks could change the known claims meanwhile. The
        task that adds the first write to a batch stores the batch.
        """
        key = claims.claim_key(write.request)
        record = write.record
        if self._is_being_written(claim_range, key):
            return claim_writes.write_in_progress()
        abandoned = claim_range.abandoned_by_key.get(key)
        if abandoned is not None:
            record = claims.released(abandoned)
        else:
            reply = self._reply_from_memory(claim_range, key, write)
            if reply is not None:
                return reply
        batch = claim_range.batch
        is_first = not batch.record_by_key
        if not batch.add(key, record):
            return Reply(Verdict.NOT_WRITTEN)
        if is_first:
            own_batches.append(batch)
        return (
            claim_writes.write_in_progress()
            if abandoned is not None
            else batch
        )

    def _reply_from_memory(
        self,
        claim_range: claim_ranges.Range,
        key: str,
        write: claim_writes.ClaimWrite,
    ) -> Reply | None:
        known = claim_range.known_by_key.get(key)
        is_same = (
            known is not None
            and known.record.claim_id == write.record.claim_id
        )
        if write.record.state is not claims.ClaimState.CLAIMED:
            if known is None or not is_same:
                return self._reply_if_current(claim_range, Reply(Verdict.GONE))
            if known.record.state is not claims.ClaimState.CLAIMED:
                return Reply(Verdict.WRITTEN)
            return None
        if known is None:
            return None
        if is_same and known.record.state is claims.ClaimState.CLAIMED:
            return Reply(Verdict.WON)
        return self._reply_to_existing(claim_range, key, write, known)

    def _is_being_written(
        self, claim_range: claim_ranges.Range, key: str
    ) -> bool:
        if key in claim_range.batch.record_by_key:
            return True
        writing = claim_range.writing
        return writing is not None and key in writing.record_by_key

    def _reply_to_existing(
        self,
        claim_range: claim_ranges.Range,
        key: str,
        write: claim_writes.ClaimWrite,
        known: claim_ranges.KnownClaim,
    ) -> Reply | None:
        record = known.record
        if record.state is claims.ClaimState.FINISHED:
            read = claim_range.log.read(known.number)
            if isinstance(read, result.Failure):
                return Reply(Verdict.NOT_WRITTEN)
            record = claim_log.find_record(read.unwrap(), key, record)
        resolved = claim_resolution.resolve(
            record, write.request, is_abandoned=False, wall=self._timer.wall()
        )
        if isinstance(resolved, result.Failure):
            reply = claim_writes.to_reply(resolved.failure())
            if record.state is claims.ClaimState.CLAIMED:
                return self._reply_if_current(claim_range, reply)
            return reply
        outcome = resolved.unwrap()
        if outcome is None:
            return None
        return Reply(Verdict.FINISHED, outcome)

    def _reply_if_current(
        self, claim_range: claim_ranges.Range, reply: Reply
    ) -> Reply:
        """Returns ``reply`` unless a later entry of another owner exists."""
        if claim_range.log.is_current():
            return reply
        self._metric.count('claims.owner.stale')
        claim_range.is_open = False
        return Reply(Verdict.NOT_WRITTEN)

    def _write_when_due(
        self, claim_range: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> None:
        wait_s = claim_range.next_write_at - self._timer.now()
        if wait_s > 0:
            self._timer.sleep(wait_s)
        with claim_range.write_lock:
            batch.written.set(self._store_batch(claim_range, batch))

    def _fail_unfinished(
        self, claim_range: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> None:
        """Wakes waiting tasks if the task that stores a batch ended early."""
        if not batch.written.ready():
            claim_range.is_open = False
            batch.written.set(result.Failure(claim_log.Unsettled(0)))

    def _store_batch(
        self, claim_range: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> _Written:
        if (
            not claim_range.is_open
            or batch.open_count != claim_range.open_count
        ):
            # The writes were checked against claims known before a reopening.
            return result.Failure(claim_log.NotWritten(0))
        claim_range.batch = claim_ranges.Batch(claim_range.open_count)
        claim_range.writing = batch
        claim_range.next_write_at = self._timer.now() + self._interval_s
        try:
            return self._write(claim_range, batch)
        finally:
            claim_range.writing = None

    def _write(
        self, claim_range: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> _Written:
        records = tuple(
            claim_log.LogRecord(key, record)
            for key, record in batch.record_by_key.items()
        )
        abandoned = tuple(
            claim_log.LogRecord(key, claims.released(record))
            for key, record in claim_range.abandoned_by_key.items()
        )
        self._metric.count('claims.owner.writes')
        written = claim_range.log.append(abandoned + records)
        if isinstance(written, result.Success):
            claim_range.abandoned_by_key = {}
            claim_range.apply(written.unwrap(), abandoned + records)
            self._purge_expired(claim_range)
            return written
        failure = written.failure()
        self._metric.count(f'claims.owner.failed.{failure.reason}')
        if isinstance(failure, claim_log.Superseded):
            claim_range.is_open = False
        if isinstance(failure, claim_log.Unsettled):
            self._abandon_unsettled(claim_range, batch)
        return written

    def _purge_expired(self, claim_range: claim_ranges.Range) -> None:
        """Drops claims that the store has deleted as well."""
        if self._timer.now() < claim_range.next_purge_at:
            return
        claim_range.next_purge_at = self._timer.now() + PURGE_PERIOD_S
        settings = self._settings
        kept_s = settings.retention_s + settings.slot_s
        claim_range.purge_before(self._timer.wall() - kept_s)

    def _abandon_unsettled(
        self, claim_range: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> None:
        """Marks unsettled claims for release once the log is settled."""
        for key, record in batch.record_by_key.items():
            if record.state is claims.ClaimState.CLAIMED:
                claim_range.abandoned_by_key[key] = record
            else:
                # The stored outcome is read from the log when it is reopened.
                claim_range.is_open = False
