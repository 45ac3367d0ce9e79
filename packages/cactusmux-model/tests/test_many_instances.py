"""Outcomes with many instances that know little of each other's load."""

import pathlib

from cactusmux_model import deployments
from cactusmux_model import experiments
from cactusmux_model import policies
from cactusmux_model import simulated_pool
import msgspec

DEPLOYMENT = pathlib.Path(__file__).parents[3] / 'deploy/models/mixed-205.json'
# Heavy load right after the start, before any instance has reported its load
# to another one.
TIMES = 1.8
LENGTH_S = 1.2
SEED = 1


def _heavily_loaded_deployment():
    found = deployments.read(DEPLOYMENT.read_bytes()).unwrap()
    heavy = {
        name: msgspec.structs.replace(kind, per_s=kind.per_s * TIMES)
        for name, kind in found.request_by_kind.items()
    }
    return msgspec.structs.replace(
        found, length_s=LENGTH_S, request_by_kind=heavy
    )


def _worth(deployment, placement, policy):
    outcomes = experiments.simulate(
        deployment, policies.by_name(policy).unwrap(), placement, SEED
    )
    return experiments.summarise(deployment, outcomes).worth


def test_many_instances_do_not_all_choose_the_same_path_at_first():
    deployment = _heavily_loaded_deployment()
    placement = simulated_pool.initial_placement(deployment)
    without_variation = _worth(deployment, placement, 'unspread')
    with_variation = _worth(deployment, placement, 'marginal')
    assert without_variation < 0.9
    assert with_variation > 0.97
