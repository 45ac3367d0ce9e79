"""Keeps the route chooser's table of targets current."""

from collections.abc import Callable, Iterable

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import leaving_watch
from cactusmux_platform import instances
from cactusmux_routing import choosers
from cactusmux_routing import target_table
from returns import result

LIST_PERIOD_S = 1.0
TABLE_PERIOD_S = 0.25
MAX_REPORT_AGE_S = 10.0


class PoolView:
    """Merges the instance list with target reports and leaving targets.

    If the list can't be read, the last one remains in use.

    :param aged_reports: returns the latest report of each target.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        sink: metrics.Metrics,
        platform_list: instances.InstanceList,
        aged_reports: Callable[[], Iterable[target_table.AgedReport]],
        leaving: leaving_watch.LeavingWatch,
        chooser: choosers.RouteChooser,
    ) -> None:
        self.listed: tuple[instances.ListedInstance, ...] = ()
        self.table = target_table.TargetTable({})
        self._timer = timer
        self._metrics = sink
        self._list = platform_list
        self._aged_reports = aged_reports
        self._leaving = leaving
        self._chooser = chooser
        self._subscriptions: list[timers.Subscription] = []
        self._callbacks: list[Callable[[], None]] = []

    def start(self) -> None:
        """Reads the list and starts to refresh it and the table."""
        self.refresh_list()
        self.refresh_table()
        self._subscriptions = [
            self._timer.every(LIST_PERIOD_S, self.refresh_list),
            self._timer.every(TABLE_PERIOD_S, self.refresh_table),
        ]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls ``callback`` after each refresh of the table."""
        self._callbacks.append(callback)

    def stop(self) -> None:
        """Stops the periodic refreshes."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def refresh_list(self) -> None:
        """Reads the platform's instance list."""
        fetched = self._list.fetch()
        if isinstance(fetched, result.Failure):
            self._metrics.count('pool.list_failures')
            events.warning(
                'instance_list_failed', error=str(fetched.failure())
            )
            return
        self.listed = fetched.unwrap()
        self._leaving.record_listing(self.listed)

    def refresh_table(self) -> None:
        """Rebuilds the table of targets and passes it to the chooser."""
        self.table = target_table.build_table(
            self._aged_reports(),
            self.listed,
            self._leaving.leaving(),
            self._timer.now(),
            MAX_REPORT_AGE_S,
        )
        self._metrics.gauge('pool.targets', len(self.table.target_by_address))
        self._chooser.update(self.table)
        for callback in self._callbacks:
            callback()
