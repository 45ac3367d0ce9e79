"""Selects the instances that watch the store; the others follow these.

Each change ends all watches. If every instance of a large fleet watched, a
change would cost as many calls as there are instances, and a large
configuration sent by the store to all of them at once would fill the links
of the small ones.
"""

from collections.abc import Iterable

from . import membership
from . import watch_batching

# The second one of a zone covers a failure of the first.
WATCHERS_PER_ZONE = 2


def watcher_names(
    instances: Iterable[membership.Instance],
) -> frozenset[str]:
    """Returns the names of the instances that watch the store.

    All instances of a small fleet watch. In a large fleet, those with the
    widest links of each zone do, since the others fetch copies from them.
    """
    by_zone: dict[str, list[membership.Instance]] = {}
    for each in instances:
        by_zone.setdefault(each.zone, []).append(each)
    count = sum(len(members) for members in by_zone.values())
    count_per_zone = WATCHERS_PER_ZONE
    if count <= watch_batching.SMALL_FLEET_SIZE:
        count_per_zone = count
    return frozenset(
        each.name
        for members in by_zone.values()
        for each in sorted(members, key=_sort_key)[:count_per_zone]
    )


def _sort_key(instance: membership.Instance) -> tuple[float, str]:
    return -instance.link_mbps, instance.name
