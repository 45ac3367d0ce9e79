from cactusmux_fakes import sample_engine
from cactusmux_relay import layer_orders
from cactusmux_relay import leaving_reports
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest
from returns import result

SERVICE = sample_engine.SERVICE


class _Reports(layer_orders.LayerOrders):
    def __init__(self, **said):
        self._report = layer_orders.LayerReport(
            targets.NO_LAYERS, 0, False, 1.0, **said
        )

    def set_layers(self, target, layers, number):
        return result.Success(None)

    def change_path(self, first, request_id, path):
        return result.Success(None)

    def report(self, target):
        return result.Success(self._report)


@pytest.mark.parametrize(
    'said, ready',
    [
        ({}, ['x']),
        ({'is_leaving': True}, []),
        ({'is_leaving': True, 'born_ms': 1}, []),
        # The start that reports isn't the one that the entry tells of.
        ({'is_leaving': True, 'born_ms': 2}, ['x']),
    ],
)
def test_report_that_says_so_counts_for_the_start_that_reports(said, ready):
    book = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    book.replace([target], {})
    asked = leaving_reports.LeavingReports(_Reports(**said), book)
    assert asked.report(target).unwrap().is_leaving == bool(said)
    assert [each.id for each in book.ready(SERVICE)] == ready
    assert asked.set_layers(target, targets.NO_LAYERS, 0) == result.Success(
        None
    )
