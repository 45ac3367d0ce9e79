"""Detects leaving targets from several sources."""

from collections.abc import Callable, Iterable
import enum

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import instances

# Lifetime of a sign: without a new one, another target may have replaced the
# leaving one at the same address.
SIGN_LIFETIME_S = 60.0


class Source(enum.StrEnum):
    """Source of a sign that a target is leaving."""

    INSTANCE_LIST = 'instance_list'
    REFUSAL = 'refusal'
    REPORT = 'report'


class LeavingWatch:
    """Merges local signs with those reported by peers.

    :param publish: reports a target to peers; called immediately on the
        first sign for each target.
    :param reported_by_peers: returns the addresses reported by peers.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        publish: Callable[[str], None],
        reported_by_peers: Callable[[], frozenset[str]],
    ) -> None:
        self._timer = timer
        self._metric = metric
        self._publish = publish
        self._reported_by_peers = reported_by_peers
        self._seen_at_by_address: dict[str, float] = {}

    def record_sign(self, address: str, source: Source) -> None:
        """Records a sign that a target is leaving."""
        is_known = self.is_leaving(address)
        self._seen_at_by_address[address] = self._timer.now()
        if is_known:
            return
        self._metric.count(f'targets.leaving.{source}')
        events.info('target_leaves', target=address, source=source)
        self._publish(address)

    def record_listing(
        self, listing: Iterable[instances.ListedInstance]
    ) -> None:
        """Records the signs in the instance list.

        An entry without the mark is ignored, since the list lags.
        """
        for listed in listing:
            if listed.leaving and listed.role is not instances.Role.ENTRY:
                self.record_sign(listed.address, Source.INSTANCE_LIST)

    def is_leaving(self, address: str) -> bool:
        """Returns whether a target is leaving and gets no new work."""
        return address in self.leaving()

    def leaving(self) -> frozenset[str]:
        """Returns the addresses of all targets that get no new work."""
        oldest = self._timer.now() - SIGN_LIFETIME_S
        for address, seen_at in list(self._seen_at_by_address.items()):
            if seen_at < oldest:
                del self._seen_at_by_address[address]
        return self._reported_by_peers() | frozenset(self._seen_at_by_address)
