"""Tests of the properties that define weighted max-min fairness."""

from cactusmux_routing import max_min
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

AMOUNT = st.floats(0, 1000)
CLAIMS = st.dictionaries(
    st.integers(0, 9),
    st.builds(max_min.Claim, AMOUNT, st.floats(0.1, 10), st.floats(0, 300)),
    max_size=8,
)
KNOWN = [
    (100, {'a': (10, 1, 0), 'b': (200, 1, 0)}, {'a': 10, 'b': 90}),
    (100, {'a': (99, 3, 0), 'b': (99, 1, 0)}, {'a': 75, 'b': 25}),
    (100, {'a': (99, 3, 0), 'b': (99, 1, 40)}, {'a': 60, 'b': 40}),
    (100, {'a': (99, 3, 0), 'b': (9, 1, 40)}, {'a': 91, 'b': 9}),
    (100, {'a': (99, 1, 150), 'b': (99, 1, 50)}, {'a': 75, 'b': 25}),
    (100, {'a': (20, 1, 0), 'b': (30, 1, 0)}, {'a': 20, 'b': 30}),
    (0, {'a': (20, 1, 0)}, {'a': 0}),
]


@pytest.mark.parametrize('capacity, claims, expected', KNOWN)
def test_division_matches_the_solution_by_hand(
    capacity: float, claims: dict, expected: dict
) -> None:
    claim_by_key = {key: max_min.Claim(*x) for key, x in claims.items()}
    actual = max_min.divide(capacity, claim_by_key)
    granted = {key: portion.granted for key, portion in actual.items()}
    assert granted == pytest.approx(expected)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(capacity=AMOUNT, claims=CLAIMS)
def test_division_is_max_min(
    capacity: float, claims: dict[int, max_min.Claim]
) -> None:
    portions = max_min.divide(capacity, claims)
    actual = {key: portion.granted for key, portion in portions.items()}
    slack = 1e-6 * (1 + capacity)
    asked = sum(claim.demand for claim in claims.values())
    assert sum(actual.values()) == pytest.approx(
        min(capacity, asked), abs=slack
    )
    floors = sum(claim.floor for claim in claims.values())
    scale = min(1.0, capacity / floors) if floors else 1.0
    for key, claim in claims.items():
        floor = claim.floor * scale
        assert min(claim.demand, floor) - slack <= actual[key]
        assert actual[key] <= claim.demand + slack
        if actual[key] >= claim.demand - slack:
            continue
        # An unsatisfied claim has no less by weight than any claim above its
        # floor.
        for other, rival in claims.items():
            if actual[other] > rival.floor * scale + slack:
                level = actual[other] / rival.weight
                assert actual[key] / claim.weight >= level - slack * 100


@settings(derandomize=True, deadline=None, max_examples=100)
@given(capacity=st.floats(1, 1000), claims=CLAIMS)
def test_potential_is_between_the_grant_and_the_capacity(
    capacity: float, claims: dict[int, max_min.Claim]
) -> None:
    portions = max_min.divide(capacity, claims)
    for key, claim in claims.items():
        greedy = {**claims, key: claim._replace(demand=1e6)}
        more = max_min.divide(capacity, greedy)[key].granted
        assert portions[key].potential >= portions[key].granted - 1e-6
        # Floors of other claims may be met first, which shows only once they
        # have demand.
        assert portions[key].potential <= capacity + 1e-6
        assert portions[key].granted <= more + 1e-6 * (1 + capacity)
