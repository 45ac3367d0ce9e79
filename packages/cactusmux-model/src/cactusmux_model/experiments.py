"""Simulates a deployment under several policies and compares the outcomes."""

from collections.abc import Mapping, Sequence
import functools
import random
import statistics
from typing import NamedTuple

from cactusmux_relay import placement_search
from scipy import stats
import simpy

from . import callers
from . import deployments
from . import policies
from . import simulated_pool
from . import stages

CONFIDENCE_LEVEL = 0.95
# Time limit for the requests in flight after the last one was sent.
MAX_DRAIN_S = 30.0
DRAIN_STEP_S = 0.5


class Summary(NamedTuple):
    """The result of one simulation; shares are of all requests, 0 to 1.

    :ivar worth: earned worth as a share of the worth of all requests in time.
    :ivar refused_twice: share of the retried requests that were refused again.
    """

    asked: int
    in_aim: float
    late: float
    refused: float
    broken: float
    refused_twice: float
    worth: float
    first_p50_ms: float
    first_p99_ms: float


class Compared(NamedTuple):
    """A policy's results compared with the first policy's, seed by seed.

    :ivar gain: mean difference in worth; ``gain_error`` is the half width of
        its confidence interval.
    """

    policy: str
    summaries: tuple[Summary, ...]
    gain: float
    gain_error: float


def simulate(
    deployment: deployments.Deployment,
    policy: policies.PathPolicy,
    placement: placement_search.Placement,
    seed: int,
) -> list[callers.Outcome]:
    """Simulates a deployment once; equal seeds give equal requests."""
    env = simpy.Environment()
    sim_pool = simulated_pool.SimulatedPool(
        env, deployment, placement, random.Random(seed)
    )
    simulated_callers = callers.Callers(
        env, deployment, sim_pool, policy, random.Random(seed + 1)
    )
    simulated_callers.start()
    action_by_kind = {
        'lose': sim_pool.lose,
        'slow': sim_pool.slow,
        'add': sim_pool.add,
        'burst': simulated_callers.burst,
    }
    for each in deployment.disturbances:
        action = functools.partial(action_by_kind[each.kind], each)
        stages.call_after(env, each.at_s, action)
    env.run(until=deployment.length_s)
    simulated_callers.close()
    last_s = deployment.length_s + MAX_DRAIN_S
    while simulated_callers.in_flight and env.now < last_s:
        env.run(until=env.now + DRAIN_STEP_S)
    return simulated_callers.outcomes


def summarise(
    deployment: deployments.Deployment,
    outcomes: Sequence[callers.Outcome],
) -> Summary:
    """Returns the shares and times of one simulation."""
    count = max(1, len(outcomes))
    whole = [each for each in outcomes if each.is_whole]
    in_aim = sum(each.is_in_aim for each in outcomes)
    broken_off = sum(
        not each.is_whole and each.first_s > 0 for each in outcomes
    )
    returned = [each for each in outcomes if each.refusals]
    firsts = [each.first_s * 1000.0 for each in whole] or [0.0]
    return Summary(
        asked=len(outcomes),
        in_aim=in_aim / count,
        late=(len(whole) - in_aim) / count,
        refused=(len(outcomes) - len(whole) - broken_off) / count,
        broken=broken_off / count,
        refused_twice=sum(each.refusals > 1 for each in returned)
        / max(1, len(returned)),
        worth=_worth(deployment, outcomes),
        first_p50_ms=_quantile(firsts, 0.5),
        first_p99_ms=_quantile(firsts, 0.99),
    )


def _worth(
    deployment: deployments.Deployment,
    outcomes: Sequence[callers.Outcome],
) -> float:
    earned = 0.0
    possible = 0.0
    for each in outcomes:
        kind = deployment.request_by_kind[each.kind]
        possible += kind.worth
        if each.is_in_aim:
            earned += kind.worth
        elif each.is_whole:
            earned += kind.late_worth
    return earned / possible if possible else 0.0


def _quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compare(
    deployment: deployments.Deployment,
    policy_by_name: Mapping[str, policies.PathPolicy],
    seeds: Sequence[int],
) -> list[Compared]:
    """Simulates all policies with each seed before the next seed."""
    summaries_by_name: dict[str, list[Summary]] = {
        name: [] for name in policy_by_name
    }
    placement = simulated_pool.initial_placement(deployment)
    for seed in seeds:
        for name, policy in policy_by_name.items():
            outcomes = simulate(deployment, policy, placement, seed)
            summary = summarise(deployment, outcomes)
            summaries_by_name[name].append(summary)
    first = next(iter(summaries_by_name.values()))
    compared = []
    for name, summaries in summaries_by_name.items():
        gains = [
            one.worth - other.worth
            for one, other in zip(summaries, first, strict=True)
        ]
        compared.append(
            Compared(
                name,
                tuple(summaries),
                statistics.fmean(gains),
                half_width(gains),
            )
        )
    return compared


def half_width(values: Sequence[float]) -> float:
    """Returns half the width of the mean's confidence interval.

    It is 0 for a single value.
    """
    if len(values) < 2:
        return 0.0
    error = statistics.stdev(values) / len(values) ** 0.5
    quantile = stats.t.ppf((1.0 + CONFIDENCE_LEVEL) / 2.0, len(values) - 1)
    return float(quantile * error)
