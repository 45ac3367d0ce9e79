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
    """Returns the names of those that watch: all of a small fleet."""
    names_by_zone: dict[str, list[str]] = {}
    for each in instances:
        names_by_zone.setdefault(each.zone, []).append(each.name)
    all_names = [name for names in names_by_zone.values() for name in names]
    if len(all_names) <= watch_pace.SMALL_FLEET:
        return frozenset(all_names)
    return frozenset(
        name
        for names in names_by_zone.values()
        for name in sorted(names)[:WATCHERS_A_ZONE]
    )
