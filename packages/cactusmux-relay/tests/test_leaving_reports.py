from cactusmux_fakes import sample_engine
from cactusmux_relay import layer_orders
from cactusmux_relay import leaving_reports
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest
from returns import result

SERVICE = sample_engine.SERVICE


class _Reports(layer_orders.LayerOrders):
    def __init__(self, **report_fields):
        self._report = layer_orders.LayerReport(
            targets.NO_LAYERS, 0, False, 1.0, **report_fields
        )

    def set_layers(self, target, layers, number):
        return result.Success(None)

    def change_path(self, first, request_id, path):
        return result.Success(None)

    def report(self, target):
        return result.Success(self._report)


@pytest.mark.parametrize(
    'report_fields, ready_ids',
    [
        ({}, ['x']),
        ({'is_leaving': True}, []),
        ({'is_leaving': True, 'born_ms': 1}, []),
        # The reporting start isn't the one of the entry.
        ({'is_leaving': True, 'born_ms': 2}, ['x']),
    ],
)
def test_reported_leaving_applies_to_the_reporting_start(
    report_fields, ready_ids
):
    registry = target_registry.TargetRegistry()
    target = sample_engine.target('x')
    registry.replace([target], {})
    orders = leaving_reports.LeavingReports(
        _Reports(**report_fields), registry
    )
    assert orders.report(target).unwrap().is_leaving == bool(report_fields)
    assert [each.id for each in registry.ready(SERVICE)] == ready_ids
    assert orders.set_layers(target, targets.NO_LAYERS, 0) == result.Success(
        None
    )
