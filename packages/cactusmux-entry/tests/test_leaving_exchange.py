"""Leaving targets become known through gossip within 3 seconds."""

from cactusmux_entry import leaving_watch
import pytest

from bench import leaving_fleet

LIMIT_S = 3.0
LOSSES = [0.0, 0.1, 0.2]
SEEDS = range(1, 13)


@pytest.mark.parametrize('loss', LOSSES)
@pytest.mark.parametrize('source', leaving_watch.Source)
def test_sign_at_one_instance_reaches_all_within_the_limit(
    source: leaving_watch.Source, loss: float
) -> None:
    for seed in SEEDS:
        fleet = leaving_fleet.LeavingFleet(8, seed=seed, loss=loss)
        for number in range(8):
            address = f'10.0.1.{number}:80'
            last_work_s = fleet.last_work_s(address, number, source)
            assert last_work_s <= LIMIT_S, f'seed {seed}'
