"""A store whose call failures and delays are scripted by a test."""

from collections.abc import Callable
from typing import Any, NamedTuple

from cactusmux_base import timers
from cactusmux_platform import stores
from returns import result

from . import memory_store


class Script(NamedTuple):
    """What happens to one call to the store.

    The call takes effect unless ``dropped``; its response is lost if
    ``unanswered``. A write that is ``late`` takes effect only when
    :meth:`ScriptedStore.deliver_late` is called.
    """

    before_s: float = 0.0
    after_s: float = 0.0
    dropped: bool = False
    unanswered: bool = False
    late: bool = False


class ScriptedStore(stores.ConfigStore):
    """One caller's access to the store; ``scripts`` apply to calls in order.

    ``meanwhile`` runs during a call, after the clock has advanced.
    """

    def __init__(
        self, store: memory_store.MemoryStore, clock: timers.ManualTimers
    ) -> None:
        self._store = store
        self._clock = clock
        self.scripts: list[Script] = []
        self.meanwhile: Callable[[], None] = lambda: None
        self.writes = 0
        self._late_writes: list[Callable[[], object]] = []

    def deliver_late(self) -> None:
        """Applies the delayed writes."""
        late, self._late_writes = self._late_writes, []
        for write in late:
            write()

    def get(self, key: str) -> Any:
        return self._call(key, lambda: self._store.get(key), False)

    def get_prefix(self, prefix: str) -> Any:
        return self._call(
            prefix, lambda: self._store.get_prefix(prefix), False
        )

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
    ) -> Any:
        return self._call(
            key,
            lambda: self._store.compare_and_swap(
                key, value, expected_revision, lease_id
            ),
            True,
        )

    def delete(self, key: str, expected_revision: int) -> Any:
        return self._call(
            key, lambda: self._store.delete(key, expected_revision), True
        )

    def grant_lease(self, ttl_s: float) -> Any:
        return self._call('', lambda: self._store.grant_lease(ttl_s), True)

    def renew_lease(self, lease_id: int) -> Any:
        return self._call('', lambda: self._store.renew_lease(lease_id), True)

    def revoke_lease(self, lease_id: int) -> Any:
        return self._call('', lambda: self._store.revoke_lease(lease_id), True)

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Any:
        return self._store.watch(prefix, after_revision, wait_s)

    def _call(
        self, key: str, call: Callable[[], Any], is_write: bool
    ) -> result.Result[Any, stores.StoreError]:
        self.writes += is_write
        script = self.scripts.pop(0) if self.scripts else Script()
        self._advance(script.before_s)
        if script.dropped:
            return result.Failure(stores.StoreUnavailable(key))
        if script.late and is_write:
            self._late_writes.append(call)
            return result.Failure(stores.OutcomeUnknown(key))
        answer = call()
        self._advance(script.after_s)
        if not script.unanswered:
            return answer
        if is_write:
            return result.Failure(stores.OutcomeUnknown(key))
        return result.Failure(stores.StoreUnavailable(key))

    def _advance(self, seconds: float) -> None:
        if seconds:
            self._clock.advance(seconds)
            self.meanwhile()
