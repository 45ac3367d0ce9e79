"""Target reports by address, kept up as records come in."""

from typing import NamedTuple

from cactusmux_platform import targets

from . import encodings
from . import levels
from . import payloads
from . import slots

MAX_REPORT_AGE_S = 10.0


class AgedReport(NamedTuple):
    """A target's report and the seconds since it was published."""

    report: targets.TargetReport
    age_s: float


# A load that moved by less waits for the next refresh.
_LOAD_FRACTION = 0.2
_LOAD_LEAST = 2.0


class _Entry(NamedTuple):
    """A report without load, the load's record, and both joined."""

    detail: targets.TargetReport
    report: targets.TargetReport | None
    stamp: float


class ReportIndex:
    """Joins the two records of each report as they change."""

    def __init__(self) -> None:
        self._entry_by_slot_by_origin: dict[int, dict[int, _Entry]] = {}

    def put_detail(self, origin: int, slot: int, body: bytes) -> None:
        """Takes what changes rarely; keeps the load that is known."""
        entry_by_slot = self._entry_by_slot_by_origin.setdefault(origin, {})
        detail = encodings.from_detail(body)
        known = entry_by_slot.get(slot)
        if known is None or known.report is None:
            entry_by_slot[slot] = _Entry(detail, None, 0.0)
            return
        report = detail._replace(
            running=known.report.running, queued=known.report.queued
        )
        entry_by_slot[slot] = _Entry(detail, report, known.stamp)

    def put_load(
        self, origin: int, slot: int, body: bytes, stamp: float
    ) -> None:
        """Takes the load of a report whose detail came before."""
        entry_by_slot = self._entry_by_slot_by_origin.get(origin, {})
        named = slots.named_slot(slot)
        known = entry_by_slot.get(named)
        if known is None:
            return
        report = encodings.with_load(known.detail, body)
        entry_by_slot[named] = _Entry(known.detail, report, stamp)

    def remove(self, origin: int, slot: int) -> None:
        """Drops the report of a slot, if there is one."""
        self._entry_by_slot_by_origin.get(origin, {}).pop(slot, None)

    def retain_only(self, origins: frozenset[int]) -> None:
        """Drops the reports of all origins but the given ones."""
        for origin in self._entry_by_slot_by_origin.keys() - origins:
            del self._entry_by_slot_by_origin[origin]

    def by_address(self, now: float) -> dict[str, AgedReport]:
        """Returns the newest report of each target, none too old."""
        oldest = now - MAX_REPORT_AGE_S
        newest: dict[str, _Entry] = {}
        for entry_by_slot in self._entry_by_slot_by_origin.values():
            for entry in entry_by_slot.values():
                if entry.report is None or entry.stamp < oldest:
                    continue
                known = newest.get(entry.detail.address)
                if known is None or known.stamp < entry.stamp:
                    newest[entry.detail.address] = entry
        return {
            address: AgedReport(entry.report, now - entry.stamp)
            for address, entry in newest.items()
            if entry.report is not None
        }


def payloads_of(report: targets.TargetReport) -> tuple[bytes, bytes]:
    """Returns the two records of a report."""
    return (
        payloads.encode(payloads.Tag.DETAIL, encodings.to_detail(report)),
        payloads.encode(payloads.Tag.LOAD, encodings.to_load(report)),
    )


def has_load_moved(last: bytes, now: bytes) -> bool:
    """Tells whether one of the two counts of a load record moved far."""
    return any(
        levels.has_changed(
            levels.from_level(before, levels.COUNT_UNIT),
            levels.from_level(after, levels.COUNT_UNIT),
            _LOAD_FRACTION,
            _LOAD_LEAST,
        )
        for before, after in zip(last[1:], now[1:], strict=True)
    )
