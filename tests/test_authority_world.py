"""Runs a few of the benchmark's fault sequences as tests."""

import pytest

from bench import authority_world


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_no_stale_order_is_effective(checks_fencing: bool) -> None:
    counts = authority_world.run_sequences(range(15), checks_fencing)
    assert counts.stale_taken > 0
    assert counts.effective == 0


def test_sequences_are_reproducible_by_seed() -> None:
    runs = [authority_world.run_sequences(range(2), True) for _ in range(2)]
    assert runs[0] == runs[1]
