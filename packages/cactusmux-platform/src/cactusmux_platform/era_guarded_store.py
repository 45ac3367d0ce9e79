"""Makes conditional writes safe when the store is restored meanwhile.

A restored store assigns revisions again. A condition that was read in one
era may therefore hold by chance in the next one, for a key that somebody
else has written. Two measures prevent that such a write does harm:

- The first write of an instance in an era also writes a marker key of that
  era, and each write requires that no marker of a later era exists. A write
  prepared in an earlier era fails as soon as anybody has written in the
  present one.
- If a new era becomes known during a call, the call doesn't count as done.
  The outcome of a write is settled by reading the value back.
"""

from cactusmux_base import events
from returns import result

from . import store_eras
from . import stores

MARKER_PREFIX = 'cactusmux/eras/'
# How many later eras a write is checked against, and for how many eras up to
# the present one markers are written. An instance may miss restores that
# follow each other, and a restore may lose the markers of earlier eras.
MARKED_ERAS = 4


def marker_key(era: int) -> str:
    """Returns the key that exists once somebody has written in an era."""
    return f'{MARKER_PREFIX}{era}'


class EraGuardedStore(stores.ConfigStore):
    """Forwards calls to a store and checks writes against its eras."""

    def __init__(
        self, store: stores.TransactionalStore, eras: store_eras.StoreEras
    ) -> None:
        self._store = store
        self._eras = eras
        self._marked_era = 0

    def get(
        self, key: str
    ) -> result.Result[stores.Entry | None, stores.StoreError]:
        """Returns the entry of ``key``, or ``None`` if it is absent."""
        return self._store.get(key)

    def get_prefix(
        self, prefix: str
    ) -> result.Result[tuple[stores.Entry, ...], stores.StoreError]:
        """Returns all entries whose key starts with ``prefix``, by key."""
        return self._store.get_prefix(prefix)

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
    ) -> result.Result[stores.Entry, stores.StoreError]:
        """Writes ``value`` if the key is at ``expected_revision``.

        Fails with :class:`stores.EraEnded` if the store was restored since
        the revision was read.
        """
        era = self._eras.current
        changes = self._eras.change_count
        write = stores.Write(key, value, lease_id)
        outcome = self._transact(
            era,
            stores.Transaction(
                (stores.Condition(key, expected_revision),), (write,)
            ),
        ).map(lambda revision: stores.Entry(key, value, revision, lease_id))
        if self._eras.change_count == changes:
            return outcome
        return self._settle_write(write, era)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[int, stores.StoreError]:
        """Deletes the key if it is at ``expected_revision``."""
        era = self._eras.current
        changes = self._eras.change_count
        outcome = self._transact(
            era,
            stores.Transaction(
                (stores.Condition(key, expected_revision),), deletes=(key,)
            ),
        )
        if self._eras.change_count == changes:
            return outcome
        return result.Failure(stores.EraEnded(key, era))

    def grant_lease(
        self, ttl_s: float
    ) -> result.Result[int, stores.StoreError]:
        """Returns the id of a new lease that ends after ``ttl_s``."""
        era = self._eras.current
        changes = self._eras.change_count
        outcome = self._store.grant_lease(ttl_s)
        if self._eras.change_count == changes:
            return outcome
        # It may be a lease of the earlier era; if not, it expires unused.
        return result.Failure(stores.EraEnded('lease', era))

    def renew_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        """Extends a lease of the present era to its full time from now."""
        changes = self._eras.change_count
        outcome = self._store.renew_lease(lease_id)
        if self._eras.change_count == changes:
            return outcome
        # The id may already stand for another instance's lease.
        return result.Failure(stores.LeaseLost(lease_id))

    def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        """Ends a lease of the present era and deletes its keys."""
        return self._store.revoke_lease(lease_id)

    def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> result.Result[stores.Watched, stores.StoreError]:
        """Waits up to ``wait_s`` for changes after ``after_revision``."""
        return self._store.watch(prefix, after_revision, wait_s)

    def _transact(
        self, era: int, transaction: stores.Transaction
    ) -> result.Result[int, stores.StoreError]:
        (condition,) = transaction.conditions
        outcome = self._store.transact(self._guarded(era, transaction))
        match outcome:
            case result.Success(_):
                if self._eras.current == era:
                    self._marked_era = era
            case result.Failure(stores.Conflict() as conflict) if (
                conflict.key != condition.key
            ):
                return result.Failure(stores.EraEnded(condition.key, era))
        return outcome

    def _guarded(
        self, era: int, transaction: stores.Transaction
    ) -> stores.Transaction:
        later = range(era + 1, era + 1 + MARKED_ERAS)
        absent = [
            stores.Condition(marker_key(each), stores.ABSENT) for each in later
        ]
        marked: list[stores.Write] = []
        if self._marked_era != era:
            marked = [
                stores.Write(marker_key(each), str(each).encode())
                for each in range(max(1, era + 1 - MARKED_ERAS), era + 1)
            ]
        return transaction._replace(
            conditions=(*transaction.conditions, *absent),
            writes=(*transaction.writes, *marked),
        )

    def _settle_write(
        self, write: stores.Write, era: int
    ) -> result.Result[stores.Entry, stores.StoreError]:
        """Reads back whether a write took effect in the present era."""
        found = self._store.get(write.key).value_or(None)
        is_done = (
            found is not None
            and found.value == write.value
            and found.lease_id == write.lease_id
        )
        events.info(
            'write_settled',
            key=write.key,
            era=era,
            current=self._eras.current,
            done=is_done,
        )
        if found is not None and is_done:
            return result.Success(found)
        return result.Failure(stores.EraEnded(write.key, era))
