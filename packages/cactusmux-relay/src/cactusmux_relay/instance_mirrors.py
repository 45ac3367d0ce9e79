"""An instance's mirrors of the store, and when each of them watches it."""

from collections.abc import Callable, Mapping
import functools
from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_platform import store_eras

from . import deltas
from . import fleet
from . import membership
from . import relay_settings
from . import store_availability
from . import store_mirror
from . import watch_batching


class MirrorCallbacks(NamedTuple):
    """Callbacks through which mirrors use their instance.

    :ivar is_stopping: whether the instance is shutting down.
    :ivar is_isolated: whether the instance receives nothing from peers.
    :ivar send_delta: sends a change to the given peer addresses.
    """

    is_stopping: Callable[[], bool]
    is_isolated: Callable[[], bool]
    send_delta: Callable[[deltas.Delta, list[str]], None]


class InstanceMirrors:
    """The mirrors of all prefixes that an instance uses.

    :param change_by_prefix: callback after a change, by mirrored prefix.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        translations: relay_settings.Translations,
        timer: timers.TimerService,
        known: fleet.Fleet,
        availability: store_availability.StoreAvailability,
        eras: store_eras.StoreEras,
        callbacks: MirrorCallbacks,
        change_by_prefix: Mapping[str, Callable[[], None]],
    ) -> None:
        self._settings = settings
        self._fleet = known
        self._availability = availability
        self._callbacks = callbacks
        self.by_prefix = {
            prefix: store_mirror.StoreMirror(
                translations.store,
                translations.reader,
                prefix,
                timer,
                on_change,
                functools.partial(self._batch_delay_s, prefix),
                functools.partial(self._should_watch, prefix),
                self._send_delta,
                availability,
                eras,
                settings.restored_settle_s,
            )
            for prefix, on_change in change_by_prefix.items()
        }

    def start(self) -> None:
        """Starts all mirrors."""
        for mirror in self.by_prefix.values():
            mirror.start()

    def apply_delta(self, delta: deltas.Delta) -> None:
        """Applies a change that a peer's watch returned."""
        mirror = self.by_prefix.get(delta.prefix)
        if mirror is not None:
            mirror.apply_delta(delta)

    def store_answered_at(self) -> float:
        """Returns the time of the store's last answer to this instance."""
        heard_at = [mirror.heard_at for mirror in self.by_prefix.values()]
        return max(self._availability.answered_at, *heard_at)

    def announce_all(self) -> None:
        """Makes peers fetch the copies that may lack unseen removals."""
        for prefix, mirror in self.by_prefix.items():
            if prefix != self._settings.state_prefix:
                mirror.announce_all()

    def _batch_delay_s(self, prefix: str) -> float:
        """Returns the batch delay; configuration and leases have the least."""
        if prefix in (self._settings.target_prefix, membership.PREFIX):
            return watch_batching.delay_s(self._fleet.watcher_count)
        return watch_batching.MIN_DELAY_S

    def _should_watch(self, prefix: str) -> bool:
        if self._callbacks.is_stopping() and not self._fleet.is_small:
            # It is no longer listed and accepts no new callers.
            return False
        return self._callbacks.is_isolated() or self._fleet.should_watch(
            prefix
        )

    def _send_delta(self, delta: deltas.Delta) -> None:
        """Sends a delta of the own watch to peers that don't watch.

        A configuration is too large for a datagram; peers fetch a copy.
        """
        if delta.prefix != self._settings.state_prefix:
            addresses = self._fleet.follower_addresses()
            self._callbacks.send_delta(delta, addresses)
