"""Tests that a valid route computes every layer once, in order."""

from cactusmux_platform import targets
from cactusmux_routing import routes
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

LAYERS = 8
INVALID = [
    ([], 0),
    ([(0, 4)], 4),
    ([(0, 4), (5, 8)], 4),
    ([(0, 4), (3, 8)], 3),
    ([(4, 8), (0, 4)], 0),
    ([(0, 4), (4, 4), (4, 8)], 4),
    ([(0, 4), (4, 9)], 8),
    ([(0, 8), (0, 8)], 0),
    ([(0, 4), (4, 2), (2, 8)], 4),
]


def make_route(ranges: list[tuple[int, int]]) -> routes.Route:
    stages = tuple(
        targets.Stage(f'10.0.0.{number}:80', first, last)
        for number, (first, last) in enumerate(ranges)
    )
    return routes.Route('m', 'v1', '', stages)


@pytest.mark.parametrize('ranges, layer', INVALID)
def test_gap_overlap_or_disorder_names_its_layer(
    ranges: list[tuple[int, int]], layer: int
) -> None:
    failure = routes.check_route(make_route(ranges), LAYERS).failure()
    assert failure.layer == layer


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=5))
def test_route_is_valid_exactly_if_its_layers_are_consecutive(
    ranges: list[tuple[int, int]],
) -> None:
    run = [layer for first, last in ranges for layer in range(first, last)]
    is_complete = run == list(range(LAYERS)) and all(a < b for a, b in ranges)
    checked = routes.check_route(make_route(ranges), LAYERS)
    assert (checked.value_or(None) is not None) == is_complete
