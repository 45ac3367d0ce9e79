"""Builds the target list from store entries and more recent reports."""

from collections.abc import Callable, Iterable, Mapping

from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import stores

from . import down_targets
from . import leaving_targets
from . import request_handling
from . import restored_entries
from . import store_mirror
from . import target_registry
from . import targets

# How often targets without an entry are checked for removal.
REVIEW_PERIOD_S = 0.5


EntryDecoder = Callable[[stores.Entry], targets.Target | None]


class TargetRoster:
    """Updates the target registry from the mirror of the store entries.

    While the store is unavailable, entries of healthy targets expire too. A
    target without an entry is therefore kept until the store has been
    available again for some seconds. The same goes for a store that was
    restored; what it shows in an earlier form doesn't count either.
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
        self._decoded_by_key: dict[str, restored_entries.DecodedEntry] = {}
        self._entry_target_by_id: dict[str, targets.Target] = {}
        self._id_by_key: dict[str, str] = {}
        self._reported_by_id: dict[str, targets.Target] = {}
        self._restored = restored_entries.RestoredEntries()

    def read_from(self, mirror: store_mirror.StoreMirror) -> None:
        """Sets the mirror to read from; call before the mirror starts."""
        self._mirror = mirror
        self._timer.every(REVIEW_PERIOD_S, self._review)

    def update(self) -> None:
        """Rereads the entries; called on each change of the mirror."""
        mirror = self._mirror
        if mirror is None:
            return
        known_by_key = self._decoded_by_key
        self._decoded_by_key = self._decode_entries(mirror.entry_by_key)
        if self._restored.begins(mirror.position.era):
            self._keep_leaving_targets()
            self._restored.compare(known_by_key, self._decoded_by_key)
        elif mirror.is_settled:
            self._restored.settle()
        target_by_id = self._resolve_targets()
        if not mirror.is_settled:
            for target_id, known in self._entry_target_by_id.items():
                target_by_id.setdefault(target_id, known)
        for target_id in self._reported_by_id.keys() - target_by_id.keys():
            del self._reported_by_id[target_id]
        self._log_changes(target_by_id)
        self._record_gone(target_by_id)
        self._entry_target_by_id = target_by_id
        self._publish()

    def _record_gone(self, target_by_id: Mapping[str, targets.Target]) -> None:
        gone = [
            key
            for key, target_id in self._id_by_key.items()
            if target_id not in target_by_id
        ]
        self._restored.record_gone(gone)
        for key in gone:
            del self._id_by_key[key]

    def _keep_leaving_targets(self) -> None:
        """Keeps targets leaving whose earlier entries say otherwise."""
        for target in self._entry_target_by_id.values():
            if target.is_leaving:
                self._registry.record_leaving(
                    target.start, leaving_targets.Source.ENTRY
                )

    def _decode_entries(
        self, entry_by_key: Mapping[str, stores.Entry]
    ) -> dict[str, restored_entries.DecodedEntry]:
        """Decodes the entries that have changed since the last call."""
        decoded_by_key = {}
        for key, entry in entry_by_key.items():
            decoded = self._decoded_by_key.get(key)
            if decoded is None or decoded.entry != entry:
                decoded = self._decode_entry(entry)
            decoded_by_key[key] = decoded
        return decoded_by_key

    def _decode_entry(
        self, entry: stores.Entry
    ) -> restored_entries.DecodedEntry:
        """Decodes one entry; if that fails, the others still apply."""
        try:
            target = self._decode(entry)
        except Exception as error:
            events.error(
                'target_entry_failed',
                key=entry.key,
                revision=entry.revision,
                cause=repr(error),
            )
            target = None
        return restored_entries.DecodedEntry(entry, target)

    def _resolve_targets(self) -> dict[str, targets.Target]:
        target_by_id: dict[str, targets.Target] = {}
        for key, decoded in self._decoded_by_key.items():
            target = self._restored.resolve(key, decoded)
            if target is not None:
                target_by_id[target.id] = target
                self._id_by_key[key] = target.id
        return target_by_id

    def record_report(self, target: targets.Target) -> None:
        """Applies reported layers before the target's entry contains them."""
        self._reported_by_id[target.id] = target
        self._publish()

    def _review(self) -> None:
        mirror = self._mirror
        if mirror is None or not mirror.is_settled:
            return
        is_kept = len(mirror.entry_by_key) < len(self._entry_target_by_id)
        if is_kept or self._restored.has_outdated:
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
