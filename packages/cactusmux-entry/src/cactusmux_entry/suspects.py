"""Finds the unresponsive stages of a stalled route."""

from typing import NamedTuple

from cactusmux_platform import targets
from cactusmux_routing import routes
import gevent
from returns import pipeline

PROBE_TIMEOUT_S = 0.25


class Suspects(NamedTuple):
    """Targets to avoid; ``are_silent`` if they didn't answer a probe."""

    addresses: frozenset[str]
    are_silent: bool


def find_unresponsive(
    client: targets.TargetClient, route: routes.Route
) -> Suspects:
    """Probes all stages of a route concurrently.

    Returns the stages without an answer. If all of them answer, the fault
    lies between them, and all stages are returned, to be avoided if possible.
    """
    addresses = {stage.address for stage in route.stages}
    probes = {a: gevent.spawn(_answers, client, a) for a in addresses}
    gevent.joinall(list(probes.values()), timeout=PROBE_TIMEOUT_S)
    silent = frozenset(a for a, probe in probes.items() if not probe.value)
    gevent.killall(list(probes.values()), block=False)
    if silent:
        return Suspects(silent, True)
    return Suspects(frozenset(addresses), False)


def _answers(client: targets.TargetClient, address: str) -> bool:
    return pipeline.is_successful(client.report(address))
