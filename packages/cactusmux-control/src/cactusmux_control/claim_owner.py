"""Owns ranges of claims: many bids become one write to a range's log.

Any instance may take bids of any range. Whoever opens a range's log fences
off the one before, so two that both think they own it only cost writes.
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
FORGET_PERIOD_S = 60.0

_Written = result.Result[int, claim_log.LogError]

Reply = claim_writes.Reply
Verdict = claim_writes.Verdict


class ClaimOwner:
    """Takes bids, writes them in batches and replies when they stand."""

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
        return sum(len(owned.known_by_key) for owned in ranges)

    def is_writing(self, range_number: int) -> bool:
        """Tells whether an entry of the range is being written."""
        owned = self._range_by_number.get(range_number)
        return owned is not None and owned.write_lock.locked()

    def forget(self, range_number: int) -> None:
        """Drops what is known of a range that another instance owns."""
        owned = self._range_by_number.get(range_number)
        if owned is None or owned.write_lock.locked():
            return
        if not owned.batch.record_by_key:
            del self._range_by_number[range_number]

    def submit(
        self, range_number: int, bids: Sequence[claim_writes.ClaimWrite]
    ) -> tuple[Reply, ...]:
        """Takes bids; blocks until those that need it are written."""
        owned = self._range(range_number)
        if not self._open(owned):
            return tuple(Reply(Verdict.NOT_WRITTEN) for _ in bids)
        led: list[claim_ranges.Batch] = []
        try:
            placed = [self._place(owned, bid, led) for bid in bids]
            for batch in led:
                self._write_when_due(owned, batch)
        finally:
            for batch in led:
                self._end(owned, batch)
        return tuple(
            place.reply_to(bid)
            if isinstance(place, claim_ranges.Batch)
            else place
            for bid, place in zip(bids, placed, strict=True)
        )

    def _range(self, number: int) -> claim_ranges.Range:
        owned = self._range_by_number.get(number)
        if owned is None:
            log = claim_log.ClaimLog(
                self._store,
                self._timer,
                self._retention,
                self._settings,
                number,
            )
            owned = claim_ranges.Range(log)
            self._range_by_number[number] = owned
        return owned

    def _open(self, owned: claim_ranges.Range) -> bool:
        if owned.is_open:
            return True
        with owned.write_lock:
            if owned.is_open:
                return True
            opened = owned.log.open()
            if isinstance(opened, result.Failure):
                self._metric.count('claims.owner.not_opened')
                return False
            owned.known_by_key = {}
            owned.abandoned_by_key = {}
            for number, entry in opened.unwrap():
                owned.apply(number, entry.records)
            owned.is_open = True
            owned.open_count += 1
            owned.batch = claim_ranges.Batch(owned.open_count)
            self._metric.count('claims.owner.opened')
            return True

    def _place(
        self,
        owned: claim_ranges.Range,
        bid: claim_writes.ClaimWrite,
        led: list[claim_ranges.Batch],
    ) -> Reply | claim_ranges.Batch:
        """Replies at once, or puts a bid into the batch that is open.

        A reply may need the store; a bid is put without waiting for it, as
        other tasks may change what is known meanwhile. Whoever puts the
        first bid into a batch leads it: that task writes it.
        """
        key = claims.claim_key(bid.request)
        record = bid.record
        if self._is_being_written(owned, key):
            return claim_writes.write_in_progress()
        given_up = owned.abandoned_by_key.get(key)
        if given_up is not None:
            record = claims.released(given_up)
        else:
            reply = self._reply_at_once(owned, key, bid)
            if reply is not None:
                return reply
        batch = owned.batch
        is_first = not batch.record_by_key
        if not batch.add(key, record):
            return Reply(Verdict.NOT_WRITTEN)
        if is_first:
            led.append(batch)
        return (
            claim_writes.write_in_progress() if given_up is not None else batch
        )

    def _reply_at_once(
        self, owned: claim_ranges.Range, key: str, bid: claim_writes.ClaimWrite
    ) -> Reply | None:
        known = owned.known_by_key.get(key)
        is_same = (
            known is not None and known.record.claim_id == bid.record.claim_id
        )
        if bid.record.state is not claims.ClaimState.CLAIMED:
            if known is None or not is_same:
                return self._unless_stale(owned, Reply(Verdict.GONE))
            if known.record.state is not claims.ClaimState.CLAIMED:
                return Reply(Verdict.WRITTEN)
            return None
        if known is None:
            return None
        if is_same and known.record.state is claims.ClaimState.CLAIMED:
            return Reply(Verdict.WON)
        return self._judge(owned, key, bid, known)

    def _is_being_written(self, owned: claim_ranges.Range, key: str) -> bool:
        if key in owned.batch.record_by_key:
            return True
        writing = owned.writing
        return writing is not None and key in writing.record_by_key

    def _judge(
        self,
        owned: claim_ranges.Range,
        key: str,
        bid: claim_writes.ClaimWrite,
        known: claim_ranges.KnownClaim,
    ) -> Reply | None:
        record = known.record
        if record.state is claims.ClaimState.FINISHED:
            read = owned.log.read(known.number)
            if isinstance(read, result.Failure):
                return Reply(Verdict.NOT_WRITTEN)
            record = claim_log.find_record(read.unwrap(), key, record)
        judged = claim_resolution.resolve(
            record, bid.request, is_abandoned=False, wall=self._timer.wall()
        )
        if isinstance(judged, result.Failure):
            reply = claim_writes.to_reply(judged.failure())
            if record.state is claims.ClaimState.CLAIMED:
                return self._unless_stale(owned, reply)
            return reply
        outcome = judged.unwrap()
        if outcome is None:
            return None
        return Reply(Verdict.FINISHED, outcome)

    def _unless_stale(self, owned: claim_ranges.Range, reply: Reply) -> Reply:
        """Gives a reply that another owner's later entry might change."""
        if owned.log.is_current():
            return reply
        self._metric.count('claims.owner.stale')
        owned.is_open = False
        return Reply(Verdict.NOT_WRITTEN)

    def _write_when_due(
        self, owned: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> None:
        wait_s = owned.next_write_at - self._timer.now()
        if wait_s > 0:
            self._timer.sleep(wait_s)
        with owned.write_lock:
            batch.written.set(self._take_turn(owned, batch))

    def _end(
        self, owned: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> None:
        """Lets other tasks go on if the one that led a batch ended early."""
        if not batch.written.ready():
            owned.is_open = False
            batch.written.set(result.Failure(claim_log.Unsettled(0)))

    def _take_turn(
        self, owned: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> _Written:
        if not owned.is_open or batch.open_count != owned.open_count:
            # The bids were judged by what was known before.
            return result.Failure(claim_log.NotWritten(0))
        owned.batch = claim_ranges.Batch(owned.open_count)
        owned.writing = batch
        owned.next_write_at = self._timer.now() + self._interval_s
        try:
            return self._write(owned, batch)
        finally:
            owned.writing = None

    def _write(
        self, owned: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> _Written:
        records = tuple(
            claim_log.LogRecord(key, record)
            for key, record in batch.record_by_key.items()
        )
        given_up = tuple(
            claim_log.LogRecord(key, claims.released(record))
            for key, record in owned.abandoned_by_key.items()
        )
        self._metric.count('claims.owner.writes')
        written = owned.log.append(given_up + records)
        if isinstance(written, result.Success):
            owned.abandoned_by_key = {}
            owned.apply(written.unwrap(), given_up + records)
            self._forget_expired(owned)
            return written
        failure = written.failure()
        self._metric.count(f'claims.owner.failed.{failure.reason}')
        if isinstance(failure, claim_log.Superseded):
            owned.is_open = False
        if isinstance(failure, claim_log.Unsettled):
            self._give_up(owned, batch)
        return written

    def _forget_expired(self, owned: claim_ranges.Range) -> None:
        """Forgets claims that the store has deleted too."""
        if self._timer.now() < owned.next_purge_at:
            return
        owned.next_purge_at = self._timer.now() + FORGET_PERIOD_S
        settings = self._settings
        kept_s = settings.retention_s + settings.slot_s
        owned.purge_before(self._timer.wall() - kept_s)

    def _give_up(
        self, owned: claim_ranges.Range, batch: claim_ranges.Batch
    ) -> None:
        """Releases, once the log is settled, what nobody was granted."""
        for key, record in batch.record_by_key.items():
            if record.state is claims.ClaimState.CLAIMED:
                owned.abandoned_by_key[key] = record
            else:
                # Which outcome stands is read anew from the log.
                owned.is_open = False
