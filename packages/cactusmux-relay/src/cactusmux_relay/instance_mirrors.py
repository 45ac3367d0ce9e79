"""An instance's copies of the store, and how they keep up with it."""

from collections.abc import Callable, Mapping
import functools
from typing import NamedTuple

from cactusmux_base import timers

from . import deltas
from . import fleet
from . import membership
from . import relay_settings
from . import store_availability
from . import store_mirror
from . import watch_pace


class MirrorCallbacks(NamedTuple):
    """What mirrors ask of their instance, and give it to send.

    :ivar is_stopping: whether the instance stops.
    :ivar is_isolated: whether nothing is heard of other instances.
    :ivar send_delta: sends a change to other instances.
    """

    is_stopping: Callable[[], bool]
    is_isolated: Callable[[], bool]
    send_delta: Callable[[deltas.Delta, list[str]], None]


class InstanceMirrors:
    """The mirrors of all prefixes that an instance follows.

    :param change_by_prefix: what is called after a change, by the prefixes
        that are mirrored.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        given: relay_settings.Translations,
        timer: timers.TimerService,
        known: fleet.Fleet,
        contact: store_availability.StoreAvailability,
        links: MirrorCallbacks,
        change_by_prefix: Mapping[str, Callable[[], None]],
    ) -> None:
        self._settings = settings
        self._fleet = known
        self._contact = contact
        self._links = links
        self.by_prefix = {
            prefix: store_mirror.StoreMirror(
                given.store,
                given.reader,
                prefix,
                timer,
                on_change,
                functools.partial(self._batch_s, prefix),
                functools.partial(self._watches, prefix),
                self._tell_delta,
                contact,
            )
            for prefix, on_change in change_by_prefix.items()
        }

    def start(self) -> None:
        """Begins to mirror the store."""
        for mirror in self.by_prefix.values():
            mirror.start()

    def apply_delta(self, delta: deltas.Delta) -> None:
        """Takes a change that another instance's watch has brought."""
        mirror = self.by_prefix.get(delta.prefix)
        if mirror is not None:
            mirror.apply_delta(delta)

    def store_answered_at(self) -> float:
        """Returns when the store last answered this instance."""
        heard_at = [mirror.heard_at for mirror in self.by_prefix.values()]
        return max(self._contact.answered_at, *heard_at)

    def announce_all(self) -> None:
        """Has others take our copies, where entries may have gone unseen."""
        for prefix, mirror in self.by_prefix.items():
            if prefix != self._settings.state_prefix:
                mirror.announce_all()

    def _batch_s(self, prefix: str) -> float:
        """Changes of the configuration and of leases come at once."""
        if prefix in (self._settings.target_prefix, membership.PREFIX):
            return watch_pace.batch_s(self._fleet.watcher_count)
        return watch_pace.SHORTEST_S

    def _watches(self, prefix: str) -> bool:
        if self._links.is_stopping() and not self._fleet.is_small:
            # It isn't listed any more, and takes no new callers.
            return False
        return self._links.is_isolated() or self._fleet.should_watch(prefix)

    def _tell_delta(self, delta: deltas.Delta) -> None:
        """Sends what our watch has brought to those that don't watch.

        A configuration is too large for a datagram: its copies are pulled.
        """
        if delta.prefix != self._settings.state_prefix:
            addresses = self._fleet.follower_addresses()
            self._links.send_delta(delta, addresses)
