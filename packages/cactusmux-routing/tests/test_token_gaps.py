"""Tests of stall timeouts from the observed token gaps of a route."""

import random

from cactusmux_routing import token_gaps
import pytest

KEY = token_gaps.GapKey('m', 'v1', 4)


def test_timeout_without_observations_is_the_maximum() -> None:
    assert token_gaps.GapEstimate().allowed_s == token_gaps.MAX_GAP_S


@pytest.mark.parametrize(
    'mean_s, spread, low_s, high_s',
    [
        (0.001, 0.1, token_gaps.MIN_GAP_S, token_gaps.MIN_GAP_S),
        (0.04, 0.5, token_gaps.MIN_GAP_S, token_gaps.MIN_GAP_S),
        (0.2, 0.5, 0.3, 1.0),
        (0.2, 0.0, token_gaps.MIN_GAP_S, token_gaps.MIN_GAP_S),
        (2.0, 0.5, token_gaps.MAX_GAP_S, token_gaps.MAX_GAP_S),
    ],
)
def test_timeout_follows_the_observed_gaps_within_bounds(
    mean_s: float, spread: float, low_s: float, high_s: float
) -> None:
    rng = random.Random(4)
    estimate = token_gaps.GapEstimate()
    for _ in range(500):
        gap_s = mean_s * rng.uniform(1 - spread, 1 + spread)
        assert gap_s <= estimate.allowed_s
        estimate.record(gap_s)
    assert low_s <= estimate.allowed_s <= high_s


def test_routes_and_first_tokens_have_separate_estimates() -> None:
    table = token_gaps.GapTable()
    for _ in range(50):
        table.next_token(KEY).record(0.04)
        table.first_token(KEY).record(0.3)
    assert table.next_token(KEY).allowed_s == token_gaps.MIN_GAP_S
    assert table.first_token(KEY).allowed_s == token_gaps.MIN_FIRST_S
    other = KEY._replace(stages=8)
    assert table.next_token(other).allowed_s == token_gaps.MAX_GAP_S
    assert table.first_token(other).allowed_s == token_gaps.MAX_FIRST_S
