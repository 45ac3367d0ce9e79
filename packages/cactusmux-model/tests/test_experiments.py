"""Short simulations: outcomes by load, policy and disturbance."""

import pathlib

from cactusmux_model import deployments
from cactusmux_model import experiments
from cactusmux_model import policies
from cactusmux_model import reports
from cactusmux_model import simulated_pool
import msgspec
import pytest
from returns import result

ROOT = pathlib.Path(__file__).parents[3]
FILE = ROOT / 'deploy' / 'models' / 'mixed-38.json'


PLACEMENT = simulated_pool.initial_placement(
    deployments.read(FILE.read_bytes()).unwrap()
)


def _deployment(times=0.2, length_s=2.0, disturbances=()):
    """Returns the example deployment with scaled load and a short length."""
    found = deployments.read(FILE.read_bytes()).unwrap()
    kinds = {
        name: msgspec.structs.replace(kind, per_s=kind.per_s * times)
        for name, kind in found.request_by_kind.items()
    }
    return msgspec.structs.replace(
        found,
        request_by_kind=kinds,
        length_s=length_s,
        disturbances=tuple(disturbances),
    )


def _simulate(deployment, name='marginal', seed=1):
    policy = policies.by_name(name).unwrap()
    outcomes = experiments.simulate(deployment, policy, PLACEMENT, seed)
    return experiments.summarise(deployment, outcomes)


def test_light_load_is_served_in_time():
    summary = _simulate(_deployment())
    assert summary.asked > 3
    assert summary.in_aim == 1.0
    assert summary.worth == 1.0


def test_same_seed_gives_the_same_summary():
    assert _simulate(_deployment()) == _simulate(_deployment())


def test_policies_get_the_same_requests():
    deployment = _deployment(times=0.5)
    by_load = _simulate(deployment)
    shortest = _simulate(deployment, 'shortest')
    assert by_load.asked == shortest.asked


def test_paths_by_load_beat_the_shortest_path():
    """Requests on the same path slow each other down."""
    deployment = _deployment(times=1.2, length_s=4.0)
    by_load = _simulate(deployment)
    shortest = _simulate(deployment, 'shortest')
    assert by_load.in_aim > shortest.in_aim + 0.1
    assert by_load.worth > shortest.worth


def test_load_above_capacity_is_refused_rather_than_all_late():
    summary = _simulate(_deployment(times=3.0, length_s=3.0))
    assert summary.refused + summary.late > 0.0
    assert summary.in_aim > 0.2


def test_streams_on_a_lost_card_continue_on_other_cards():
    lost = deployments.Disturbance('lose', at_s=1.0, card='a100')
    summary = _simulate(_deployment(length_s=4.0, disturbances=[lost]))
    assert summary.broken == 0.0
    assert summary.refused == 0.0


@pytest.mark.parametrize(
    'each',
    [
        deployments.Disturbance('slow', 0.5, 'l4', 'a', 2, 1.0, 12.0),
        deployments.Disturbance('add', 0.5, 'l4', count=4),
        deployments.Disturbance('burst', 0.5, for_s=0.5, times=3.0),
    ],
)
def test_light_load_is_served_despite_disturbances(each):
    summary = _simulate(_deployment(disturbances=[each]))
    assert summary.refused == 0.0
    assert summary.broken == 0.0


def test_comparison_is_paired_by_seed(tmp_path):
    deployment = _deployment(length_s=1.0)
    names = ('marginal', 'impatient')
    compared = experiments.compare(
        deployment,
        {name: policies.by_name(name).unwrap() for name in names},
        [1, 2],
    )
    assert [each.policy for each in compared] == list(names)
    assert compared[0].gain == 0.0
    assert len(compared[1].summaries) == 2
    assert len(reports.table(compared).splitlines()) == 3
    reports.write(compared, tmp_path)
    summaries = msgspec.json.decode(
        (tmp_path / reports.JSON_NAME).read_bytes()
    )
    assert summaries['marginal'][0]['asked'] == compared[0].summaries[0].asked
    assert (tmp_path / reports.PLOT_NAME).stat().st_size > 0


def test_confidence_interval_of_equal_differences_has_no_width():
    assert experiments.half_width([0.1, 0.1, 0.1]) == pytest.approx(0.0)
    assert experiments.half_width([0.1]) == 0.0
    assert experiments.half_width([0.0, 0.2]) > 0.2


def _invalid(**changes):
    plain = msgspec.json.decode(FILE.read_bytes())
    plain.update(changes)
    return msgspec.json.encode(plain)


@pytest.mark.parametrize(
    ('data', 'named'),
    [
        (b'{', 'truncated'),
        (_invalid(instances=0), 'instances'),
        (_invalid(length_s=0.0), 'length_s'),
        (_invalid(colour='red'), 'colour'),
        (
            _invalid(disturbances=[{'kind': 'lose', 'at_s': 1, 'card': 'h9'}]),
            'h9',
        ),
        (_invalid(disturbances=[{'kind': 'melt', 'at_s': 1}]), 'melt'),
    ],
)
def test_error_for_an_invalid_file_names_the_fault(data, named):
    read = deployments.read(data)
    assert isinstance(read, result.Failure)
    assert named in str(read.failure())


def test_unknown_policy_is_named():
    found = policies.by_name('best')
    assert isinstance(found, result.Failure)
    assert "'best'" in str(found.failure())
