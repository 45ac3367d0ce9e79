"""Tests the comparison of benchmark figures with their targets."""

import pytest

from bench import figures

CASES = [
    ('<= 0.25', 0.25, True),
    ('<= 0.25', 0.26, False),
    ('>= 0.9', 0.89, False),
    ('== 0', 0.0, True),
    ('== 0', 1.0, False),
    ('', 5.0, True),
]


@pytest.mark.parametrize('target, value, met', CASES)
def test_figure_is_met_only_within_its_target(
    target: str, value: float, met: bool
) -> None:
    figure = figures.Figure('x', value, 's', target, 'make bench')
    assert figures.is_met(figure) is met
