"""Which instances have requests for a service, to divide limits among them.

A share of a limit is lost at an instance without callers. Instances therefore
tell their peers for which services they have had requests in the last
seconds. In a large fleet an instance hears only a sample of its peers, and
all instances count as active.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusmux_base import timers

from . import soft_exchange

# An instance is active for this long after a request.
ACTIVE_S = 5.0
# Peers know within this time that an instance has become active: it sends
# its report at once and once more, in case it is lost.
ANNOUNCE_S = 0.5
# A peer without a report for longer counts as active.
REPORT_LIFETIME_S = 1.5


class _PeerReport(NamedTuple):
    at: float
    services: frozenset[str]


class ServiceDemand:
    """Tracks for which services this instance and its peers have requests.

    :param announce: called when a service becomes active here.
    """

    def __init__(
        self, timer: timers.TimerService, announce: Callable[[], None]
    ) -> None:
        self._timer = timer
        self._announce = announce
        self._active_since_by_service: dict[str, float] = {}
        self._requested_at_by_service: dict[str, float] = {}
        self._report_by_peer: dict[str, _PeerReport] = {}

    def record_request(self, service: str) -> None:
        """Records a request that looks for a target of a service."""
        now = self._timer.now()
        if not self._is_active(service, now):
            self._active_since_by_service[service] = now
            self._announce()
        self._requested_at_by_service[service] = now

    def announcing_s(self, service: str, instances: int) -> float:
        """Returns when the peers know that this instance is active.

        0 if they know it by now, or count it in any case.

        :param instances: number of all instances.
        """
        if _counts_all(instances):
            return 0.0
        now = self._timer.now()
        if not self._is_active(service, now):
            return ANNOUNCE_S
        until = self._active_since_by_service[service] + ANNOUNCE_S
        return max(0.0, until - now)

    def active_services(self) -> list[str]:
        """Returns the services for which this instance is active."""
        now = self._timer.now()
        for service in list(self._requested_at_by_service):
            if not self._is_active(service, now):
                del self._requested_at_by_service[service]
        return sorted(self._requested_at_by_service)

    def record_peer(self, name: str, services: Iterable[str]) -> None:
        """Records the services for which a peer is active."""
        found = _PeerReport(self._timer.now(), frozenset(services))
        self._report_by_peer[name] = found

    def count_active(self, service: str, instances: int) -> int:
        """Returns how many of the instances are active for a service.

        Instances that didn't say otherwise a short time ago count as active.

        :param instances: number of all instances.
        """
        if _counts_all(instances):
            return instances
        self._drop_old_reports()
        idle = sum(
            service not in each.services
            for each in self._report_by_peer.values()
        )
        return max(1, instances - idle)

    def _is_active(self, service: str, now: float) -> bool:
        requested_at = self._requested_at_by_service.get(service)
        return requested_at is not None and now - requested_at < ACTIVE_S

    def _drop_old_reports(self) -> None:
        oldest = self._timer.now() - REPORT_LIFETIME_S
        for name, report in list(self._report_by_peer.items()):
            if report.at < oldest:
                del self._report_by_peer[name]


def _counts_all(instances: int) -> bool:
    """Whether instances hear only a sample of their peers."""
    return instances - 1 > soft_exchange.MAX_BROADCAST_PEERS
