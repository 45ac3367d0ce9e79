"""The known targets: their reports, zones and whether they are leaving."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusmux_platform import instances
from cactusmux_platform import targets


class AgedReport(NamedTuple):
    """A report and its age in seconds."""

    report: targets.TargetReport
    age_s: float


class Target(NamedTuple):
    """A target as seen by routing.

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
    """All targets that may receive new requests."""

    target_by_address: Mapping[str, Target]


def build_table(
    reports: Iterable[AgedReport],
    listing: Iterable[instances.ListedInstance],
    leaving: frozenset[str],
    now: float,
    max_age_s: float,
) -> TargetTable:
    """Joins reports with the instance list.

    A target is left out if any source says that it is leaving, or if its
    report is older than ``max_age_s``. A target that is not listed yet is kept
    without zone and region, because the list is updated with a delay.
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
