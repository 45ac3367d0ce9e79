"""Selects the instance addresses that are given to callers."""

from collections.abc import Callable
import random

from cactusmux_base import timers

from . import instance_selection
from . import membership
from . import soft_exchange

# An instance not heard from for this long is left out of answers.
SILENT_S = 2.0
# With fewer instances in the caller's zone, those of all zones are returned.
MIN_IN_ZONE = 2
MAX_ADDRESSES = 64


def _none_troubled() -> frozenset[str]:
    return frozenset()


class Directory:
    """Chooses addresses for callers by their zone.

    :param troubled: returns the names of instances in trouble.
    """

    def __init__(
        self,
        exchange: soft_exchange.SoftExchange,
        timer: timers.TimerService,
        own_name: str,
        troubled: Callable[[], frozenset[str]] = _none_troubled,
        rng: random.Random | None = None,
    ) -> None:
        self._troubled = troubled
        self._rng = rng or random.Random()
        self._own_name = own_name
        self._exchange = exchange
        self._timer = timer
        self._instances: list[membership.Instance] = []
        self._listed_at_by_name: dict[str, float] = {}
        self._stopping: set[str] = set()

    def update(self, instances: list[membership.Instance]) -> None:
        """Replaces the list of instances."""
        now = self._timer.now()
        self._instances = instances
        listed = {each.name: now for each in instances}
        listed.update(
            (name, at)
            for name, at in self._listed_at_by_name.items()
            if name in listed
        )
        self._listed_at_by_name = listed

    def record_stopping(self, name: str, is_stopping: bool) -> None:
        """Records whether an instance is stopping: it gets no new callers."""
        if is_stopping:
            self._stopping.add(name)
        else:
            self._stopping.discard(name)

    def addresses(self, zone: str) -> list[str]:
        """Returns addresses for a caller in ``zone``, preferring that zone."""
        live = [each for each in self._instances if self._is_live(each.name)]
        if all(each.name == self._own_name for each in live):
            # No peer has been heard from: more likely a fault of this
            # instance than of all peers.
            live = [
                each
                for each in self._instances
                if each.name not in self._stopping
            ]
        in_zone = [each for each in live if each.zone == zone]
        chosen = in_zone if len(in_zone) >= MIN_IN_ZONE else live
        chosen_instances = instance_selection.select_instances(
            chosen, self._troubled(), MAX_ADDRESSES, self._rng
        )
        return [each.entry_address for each in chosen_instances]

    def _is_live(self, name: str) -> bool:
        if name in self._stopping:
            return False
        if len(self._instances) > soft_exchange.MAX_BROADCAST_PEERS + 1:
            # In a large fleet not all are heard from; the lease decides.
            return True
        heard_at = self._exchange.heard_at_by_name.get(name, 0.0)
        listed_at = self._listed_at_by_name.get(name, 0.0)
        silent_s = self._timer.now() - max(heard_at, listed_at)
        return silent_s < SILENT_S
