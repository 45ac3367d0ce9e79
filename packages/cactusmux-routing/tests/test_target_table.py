"""Tests of the target table and of load estimates between reports."""

from cactusmux_platform import instances
from cactusmux_platform import targets
from cactusmux_routing import target_loads
from cactusmux_routing import target_table
import pytest

from . import test_choosers

LISTED = instances.ListedInstance('t', instances.Role.ENGINE, 'r', 'z')
REPORT = targets.TargetReport('t', (), 100.0, 1, 0)
EXCLUDED = [
    (REPORT._replace(leaving=True), 1.0, LISTED, frozenset()),
    (REPORT, 11.0, LISTED, frozenset()),
    (REPORT, 1.0, LISTED._replace(leaving=True), frozenset()),
    (REPORT, 1.0, LISTED, frozenset({'t'})),
]


@pytest.mark.parametrize('report, age_s, listed, leaving', EXCLUDED)
def test_leaving_or_outdated_target_is_left_out(
    report: targets.TargetReport,
    age_s: float,
    listed: instances.ListedInstance,
    leaving: frozenset[str],
) -> None:
    aged = [target_table.AgedReport(report, age_s)]
    table = target_table.build_table(aged, [listed], leaving, 100.0, 10.0)
    assert table.target_by_address == {}


def test_target_has_its_zone_from_the_list_or_none() -> None:
    aged = [target_table.AgedReport(REPORT, 1.0)]
    table = target_table.build_table(aged, [LISTED], frozenset(), 9.0, 10.0)
    assert table.target_by_address['t'].zone == 'z'
    assert table.target_by_address['t'].taken_at == 8.0
    table = target_table.build_table(aged, [], frozenset(), 9.0, 10.0)
    assert table.target_by_address['t'].zone == ''


def test_streams_started_after_a_report_are_added_to_it() -> None:
    target = test_choosers.make_target('t', 0, 8, running=5, taken_at=10.0)
    load = target_loads.TargetLoad(target)
    load.add_streams(1, 10.5)
    load.add_streams(1, 11.5)
    assert load.streams == 7
    load.apply_report(target._replace(running=6, taken_at=11.0))
    assert load.streams == 7
    load.apply_report(target._replace(running=7, taken_at=12.0))
    assert load.streams == 7


def test_streams_never_fall_below_own_streams() -> None:
    target = test_choosers.make_target('t', 0, 8, running=5, taken_at=10.0)
    load = target_loads.TargetLoad(target)
    load.apply_report(target._replace(running=50, taken_at=9.0))
    assert load.streams == 5
    load.add_streams(3, 10.5)
    load.apply_report(target._replace(running=0, taken_at=11.0))
    assert load.streams == 3
    load.add_streams(-3, 11.5)
    assert load.streams == 0
