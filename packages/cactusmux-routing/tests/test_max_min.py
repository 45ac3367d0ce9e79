"""Tests of the properties that define weighted max-min division."""

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
def test_division_is_known_by_hand(
    capacity: float, claims: dict, expected: dict
) -> None:
    claim_by_key = {key: max_min.Claim(*x) for key, x in claims.items()}
    got = max_min.divide(capacity, claim_by_key)
    granted = {key: portion.granted for key, portion in got.items()}
    assert granted == pytest.approx(expected)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(capacity=AMOUNT, claims=CLAIMS)
def test_division_is_max_min(
    capacity: float, claims: dict[int, max_min.Claim]
) -> None:
    portions = max_min.divide(capacity, claims)
    got = {key: portion.granted for key, portion in portions.items()}
    slack = 1e-6 * (1 + capacity)
    asked = sum(claim.demand for claim in claims.values())
    assert sum(got.values()) == pytest.approx(min(capacity, asked), abs=slack)
    floors = sum(claim.floor for claim in claims.values())
    scale = min(1.0, capacity / floors) if floors else 1.0
    for key, claim in claims.items():
        floor = claim.floor * scale
        assert min(claim.demand, floor) - slack <= got[key]
        assert got[key] <= claim.demand + slack
        if got[key] >= claim.demand - slack:
            continue
        # Who is not satisfied has no less by weight than anyone above
        # its floor.
        for other, rival in claims.items():
            if got[other] > rival.floor * scale + slack:
                level = got[other] / rival.weight
                assert got[key] / claim.weight >= level - slack * 100


@settings(derandomize=True, deadline=None, max_examples=100)
@given(capacity=st.floats(1, 1000), claims=CLAIMS)
def test_potential_is_what_asking_for_more_would_bring(
    capacity: float, claims: dict[int, max_min.Claim]
) -> None:
    portions = max_min.divide(capacity, claims)
    for key, claim in claims.items():
        greedy = {**claims, key: claim._replace(demand=1e6)}
        more = max_min.divide(capacity, greedy)[key].granted
        assert portions[key].potential >= portions[key].granted - 1e-6
        # Floors of others may be met first; that is seen as they ask.
        assert portions[key].potential <= capacity + 1e-6
        assert portions[key].granted <= more + 1e-6 * (1 + capacity)
