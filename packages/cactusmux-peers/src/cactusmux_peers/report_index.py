"""Index of target reports by address, updated as records arrive."""

from typing import NamedTuple

from cactusmux_platform import targets

from . import encodings
from . import levels
from . import payloads
from . import slots

MAX_REPORT_AGE_S = 10.0


class AgedReport(NamedTuple):
    """A target report and the seconds since it was published."""

    report: targets.TargetReport
    age_s: float


# Smaller changes of the load are only published at the next refresh.
_MIN_LOAD_CHANGE_FRACTION = 0.2
_MIN_LOAD_CHANGE = 2.0


class _Entry(NamedTuple):
    """A report without load, the joined report, and the load's time.

    ``report`` is ``None`` until the load record has arrived.
    """

    detail: targets.TargetReport
    report: targets.TargetReport | None
    stamp: float


class ReportIndex:
    """Joins the detail and load records of each report."""

    def __init__(self) -> None:
        self._entry_by_slot_by_origin: dict[int, dict[int, _Entry]] = {}

    def put_detail(self, origin: int, slot: int, body: bytes) -> None:
        """Stores the detail of a report; keeps a load already known."""
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
        """Stores the load of a report; ignored without its detail."""
        entry_by_slot = self._entry_by_slot_by_origin.get(origin, {})
        detail_slot = slots.named_slot(slot)
        known = entry_by_slot.get(detail_slot)
        if known is None:
            return
        report = encodings.with_load(known.detail, body)
        entry_by_slot[detail_slot] = _Entry(known.detail, report, stamp)

    def remove(self, origin: int, slot: int) -> None:
        """Removes the report of a slot, if there is one."""
        self._entry_by_slot_by_origin.get(origin, {}).pop(slot, None)

    def retain_only(self, origins: frozenset[int]) -> None:
        """Drops the reports of all origins except the given ones."""
        for origin in self._entry_by_slot_by_origin.keys() - origins:
            del self._entry_by_slot_by_origin[origin]

    def by_address(self, now: float) -> dict[str, AgedReport]:
        """Returns the newest report of each target.

        Reports older than ``MAX_REPORT_AGE_S`` are left out.
        """
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
    """Returns the detail and load payloads of a report."""
    return (
        payloads.encode(payloads.Tag.DETAIL, encodings.to_detail(report)),
        payloads.encode(payloads.Tag.LOAD, encodings.to_load(report)),
    )


def has_load_changed(last: bytes, now: bytes) -> bool:
    """Returns whether either count of a load record changed enough."""
    return any(
        levels.has_changed(
            levels.from_level(before, levels.COUNT_UNIT),
            levels.from_level(after, levels.COUNT_UNIT),
            _MIN_LOAD_CHANGE_FRACTION,
            _MIN_LOAD_CHANGE,
        )
        for before, after in zip(last[1:], now[1:], strict=True)
    )
