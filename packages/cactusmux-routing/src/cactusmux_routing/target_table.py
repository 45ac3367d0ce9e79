"""What an instance knows of all targets: reports, places, who leaves."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusmux_platform import instances
from cactusmux_platform import targets


class AgedReport(NamedTuple):
    """A report and how long ago the target made it, in seconds."""

    report: targets.TargetReport
    age_s: float


class Target(NamedTuple):
    """A target as routing sees it.

    ``taken_at`` is the time of its report on the local monotonic clock.
    """

    address: str
    zone: str
    region: str
    accelerator: str
    holdings: tuple[targets.Holding, ...]
    capacity_tps: float
    running: int
    queued: int
    taken_at: float


class TargetTable(NamedTuple):
    """All targets that may get new work."""

    target_by_address: Mapping[str, Target]


def build_table(
    reports: Iterable[AgedReport],
    listing: Iterable[instances.ListedInstance],
    leaving: frozenset[str],
    now: float,
    max_age_s: float,
) -> TargetTable:
    """Joins reports with the instance list.

    A target is left out when any source says that it leaves, or when its
    report is older than ``max_age_s``. One that is not listed yet is kept
    without a place, because the list lags.
    """
    listed_by_address = {listed.address: listed for listed in listing}
    target_by_address = {}
    for aged in reports:
        report = aged.report
        listed = listed_by_address.get(report.address)
        if aged.age_s > max_age_s or report.address in leaving:
            continue
        if report.leaving or (listed and listed.leaving):
            continue
        target_by_address[report.address] = Target(
            report.address,
            listed.zone if listed else '',
            listed.region if listed else '',
            listed.accelerator if listed else '',
            report.holdings,
            report.capacity_tps,
            report.running,
            report.queued,
            now - aged.age_s,
        )
    return TargetTable(target_by_address)
