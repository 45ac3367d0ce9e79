"""Targets at which paths of a service can begin, and their rate limits.

An instance sends a stream to the first stage of its path, so that only the
rate limits of first stages apply.
"""

from collections.abc import Callable

from . import send_limits
from . import target_registry
from . import targets


class FirstStages:
    """Tells when paths may begin under the rate limits of targets.

    :param excluded: returns the ids of targets that aren't used at all.
    """

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        rates: send_limits.SendLimits,
        excluded: Callable[[], set[str]],
    ) -> None:
        self._registry = registry
        self._rates = rates
        self._excluded = excluded

    def record_request(self, service: str) -> None:
        """Records a request that looks for a path."""
        self._rates.record_request(service)

    def held_ids(self, service: str) -> frozenset[str]:
        """Returns ids of the targets at which no path may begin now."""
        return self._rates.held_ids(service)

    def wait_s(self, service: str, ahead: int) -> float:
        """Returns for how many seconds a request can't begin a path here.

        :param ahead: number of waiting requests that come before it.
        """
        if not self._rates.held_ids(service):
            return 0.0
        usable = self._usable(service)
        wait_s = min(map(self._rates.wait_s, usable), default=0.0)
        if not wait_s:
            return 0.0
        return wait_s + ahead / self._rates.turns_per_s(usable)

    def next_turn_s(self, service: str) -> float:
        """Returns when a path may begin at some instance, in seconds.

        0 unless all targets at which a path can begin have rate limits.
        """
        return self._rates.next_turn_s(self._usable(service))

    def _usable(self, service: str) -> list[targets.Target]:
        """Returns the usable targets that hold the first layer."""
        excluded = self._excluded()
        return [
            each
            for each in self._registry.ready(service)
            if each.id not in excluded
            and each.layers.size
            and each.layers.first == 0
        ]
