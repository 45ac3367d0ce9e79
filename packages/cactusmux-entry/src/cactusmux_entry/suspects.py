"""Finds which stages of a silent route do not answer."""

from typing import NamedTuple

from cactusmux_platform import targets
from cactusmux_routing import routes
import gevent
from returns import pipeline

PROBE_TIMEOUT_S = 0.25


class Suspects(NamedTuple):
    """Targets to avoid; ``are_silent`` when they were asked in vain."""

    addresses: frozenset[str]
    are_silent: bool


def find_unresponsive(
    client: targets.TargetClient, route: routes.Route
) -> Suspects:
    """Asks all stages of a route at once; returns those without answer.

    When all of them answer, the fault lies between them: the whole route is
    returned, to be avoided if that is possible.
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
