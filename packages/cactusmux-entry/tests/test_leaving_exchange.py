"""A leaving target gets no new work within seconds, over the exchange."""

from cactusmux_entry import leaving_watch
import pytest

from bench import leaving_fleet

LIMIT_S = 3.0
# Listed in KNOWN-RED.txt: suspected members are sent no notices.
LOSSES = [
    0.0,
    0.1,
    pytest.param(0.2, marks=pytest.mark.xfail(reason='KNOWN-RED.txt')),
]


@pytest.mark.parametrize('loss', LOSSES)
@pytest.mark.parametrize('source', leaving_watch.Source)
def test_sign_at_one_instance_reaches_all_in_time(
    source: leaving_watch.Source, loss: float
) -> None:
    fleet = leaving_fleet.LeavingFleet(8, seed=3, loss=loss)
    for number in range(8):
        address = f'10.0.1.{number}:80'
        last_work_s = fleet.last_work_s(address, number, source)
        assert last_work_s <= LIMIT_S
