"""Builds the target list from store entries and more recent reports."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import stores

from . import down_targets
from . import request_handling
from . import store_mirror
from . import target_registry
from . import targets

# How often targets without an entry are checked for removal.
REVIEW_PERIOD_S = 0.5


class _Decoded(NamedTuple):
    """An entry and its decoded target; ``None`` if it holds no target."""

    entry: stores.Entry
    target: targets.Target | None


EntryDecoder = Callable[[stores.Entry], targets.Target | None]


class TargetRoster:
    """Updates the target registry from the mirror of the store entries.

    While the store is unavailable, entries of healthy targets expire too. A
    target without an entry is therefore kept until the store has been
    available again for some seconds.
    """

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        in_force: request_handling.ConfigurationInForce,
        timer: timers.TimerService,
        decode: EntryDecoder,
    ) -> None:
        self._registry = registry
        self._down = down
        self._in_force = in_force
        self._timer = timer
        self._decode = decode
        self._mirror: store_mirror.StoreMirror | None = None
        self._decoded_by_key: dict[str, _Decoded] = {}
        self._entry_target_by_id: dict[str, targets.Target] = {}
        self._reported_by_id: dict[str, targets.Target] = {}

    def read_from(self, mirror: store_mirror.StoreMirror) -> None:
        """Sets the mirror to read from; call before the mirror starts."""
        self._mirror = mirror
        self._timer.every(REVIEW_PERIOD_S, self._review)

    def update(self) -> None:
        """Rereads the entries; called on each change of the mirror."""
        if self._mirror is None:
            return
        target_by_id = self._read_entries(self._mirror.entry_by_key)
        if not self._mirror.is_settled:
            for target_id, known in self._entry_target_by_id.items():
                target_by_id.setdefault(target_id, known)
        for target_id in self._reported_by_id.keys() - target_by_id.keys():
            del self._reported_by_id[target_id]
        self._log_changes(target_by_id)
        self._entry_target_by_id = target_by_id
        self._publish()

    def _read_entries(
        self, entry_by_key: Mapping[str, stores.Entry]
    ) -> dict[str, targets.Target]:
        """Decodes the entries that have changed since the last call."""
        known_by_key = self._decoded_by_key
        self._decoded_by_key = {}
        target_by_id: dict[str, targets.Target] = {}
        for key, entry in entry_by_key.items():
            known = known_by_key.get(key)
            if known is None or known.entry != entry:
                known = _Decoded(entry, self._decode(entry))
            self._decoded_by_key[key] = known
            if known.target is not None:
                target_by_id[known.target.id] = known.target
        return target_by_id

    def record_report(self, target: targets.Target) -> None:
        """Applies reported layers before the target's entry contains them."""
        self._reported_by_id[target.id] = target
        self._publish()

    def _review(self) -> None:
        mirror = self._mirror
        if mirror is None or not mirror.is_settled:
            return
        if len(mirror.entry_by_key) < len(self._entry_target_by_id):
            self.update()

    def _publish(self) -> None:
        current = list(self._merge_reports())
        state = self._in_force.state
        services = state.service_by_name if state else {}
        self._registry.replace(current, services)
        self._down.update(self._registry.target_by_id)

    def _merge_reports(self) -> Iterable[targets.Target]:
        for target in self._entry_target_by_id.values():
            reported = self._reported_by_id.get(target.id)
            if reported is None:
                yield target
                continue
            same_start = reported.born_ms == target.born_ms
            if not same_start or target.layers == reported.layers:
                del self._reported_by_id[target.id]
                yield target
                continue
            yield target._replace(layers=reported.layers)

    def _log_changes(self, target_by_id: dict[str, targets.Target]) -> None:
        old = self._entry_target_by_id
        for target_id in old.keys() - target_by_id.keys():
            events.info('target_gone', target=target_id)
        for target_id, target in target_by_id.items():
            if old.get(target_id) == target:
                continue
            events.info(
                'target_changed',
                target=target_id,
                address=target.address,
                leaving=target.is_leaving,
                born_ms=target.born_ms,
                first=target.layers.first,
                end=target.layers.end,
            )
