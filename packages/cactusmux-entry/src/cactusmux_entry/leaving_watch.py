"""Finds out which targets are leaving, by the first sign from any source."""

from collections.abc import Callable, Iterable
import enum

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import instances

# A target that shows no sign for so long may have been replaced by another
# at the same address.
SIGN_KEPT_S = 60.0


class Source(enum.StrEnum):
    """Where a sign came from."""

    INSTANCE_LIST = 'instance_list'
    REFUSAL = 'refusal'
    REPORT = 'report'


class LeavingWatch:
    """Joins own signs with those that other instances tell of.

    :param publish: tells other instances of a target; called at once with
        the first sign of each.
    :param news: addresses that other instances told of.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        publish: Callable[[str], None],
        news: Callable[[], frozenset[str]],
    ) -> None:
        self._timer = timer
        self._metric = metric
        self._publish = publish
        self._news = news
        self._seen_at_by_address: dict[str, float] = {}

    def record_sign(self, address: str, source: Source) -> None:
        """Takes one sign that a target is leaving."""
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
        """Takes the signs in the instance list.

        An entry that is not marked proves nothing, as the list lags.
        """
        for listed in listing:
            if listed.leaving and listed.role is not instances.Role.ENTRY:
                self.record_sign(listed.address, Source.INSTANCE_LIST)

    def is_leaving(self, address: str) -> bool:
        """Tells whether a target gets no new work."""
        return address in self.leaving()

    def leaving(self) -> frozenset[str]:
        """Returns the addresses of all targets that get no new work."""
        oldest = self._timer.now() - SIGN_KEPT_S
        for address, seen_at in list(self._seen_at_by_address.items()):
            if seen_at < oldest:
                del self._seen_at_by_address[address]
        return self._news() | frozenset(self._seen_at_by_address)
