"""Which instances watch the store, the others live by what these bring.

Each change wakes all watches. With many instances that costs as many calls
as there are instances, and a large configuration that the store sends to
all of them at once fills the links of small ones.
"""

from collections.abc import Iterable

from . import membership
from . import watch_pace

# A zone's second one stands in for the first.
WATCHERS_A_ZONE = 2


def watcher_names(
    instances: Iterable[membership.Instance],
) -> frozenset[str]:
    """Returns the names of those that watch: all of a small fleet.

    In a large one those of each zone with the widest links, as the others
    take copies of them.
    """
    by_zone: dict[str, list[membership.Instance]] = {}
    for each in instances:
        by_zone.setdefault(each.zone, []).append(each)
    count = sum(len(members) for members in by_zone.values())
    most = WATCHERS_A_ZONE
    if count <= watch_pace.SMALL_FLEET:
        most = count
    return frozenset(
        each.name
        for members in by_zone.values()
        for each in sorted(members, key=_rank)[:most]
    )


def _rank(instance: membership.Instance) -> tuple[float, str]:
    return -instance.link_mbps, instance.name
