"""Ranks of the urgencies that the routes of a service use."""

import bisect
from collections.abc import Iterable

from . import desired_state

# Urgencies on the wire are 0 to 9, so there are no more ranks than that.
MAX_RANKS = 10

Urgencies = tuple[int, ...]


def urgencies_by_service(
    routes: Iterable[desired_state.Route],
) -> dict[str, Urgencies]:
    """Returns the sorted urgencies of each service's routes.

    Services whose routes all have the same urgency are left out, because
    their callers don't compete by urgency.
    """
    found: dict[str, set[int]] = {}
    for route in routes:
        for each in route.services:
            if each.weight > 0:
                found.setdefault(each.service, set()).add(route.urgency)
    return {
        service: tuple(sorted(urgencies))[:MAX_RANKS]
        for service, urgencies in found.items()
        if len(urgencies) > 1
    }


def rank(urgencies: Urgencies, urgency: int) -> int:
    """Returns the index of an urgency among those of a service.

    0 is the most urgent. The urgency of an organisation may lie between or
    beyond those of the routes.
    """
    place = bisect.bisect_left(urgencies, urgency)
    return min(place, len(urgencies) - 1)
