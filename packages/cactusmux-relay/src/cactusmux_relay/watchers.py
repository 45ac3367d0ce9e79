"""Which instances watch the configuration, the others take their copies.

A large configuration that the store sends to all instances at once fills the
links of small ones, and as text it is ten times the size of a packed copy.
"""

from collections.abc import Iterable

from . import membership
from . import watch_pace

# A zone's second one stands in for the first.
WATCHERS_A_ZONE = 2


def watches(name: str, instances: Iterable[membership.Instance]) -> bool:
    """Whether the instance ``name`` watches by itself.

    All of a small fleet do, and one that isn't listed (yet) does.
    """
    names_by_zone: dict[str, list[str]] = {}
    zone_by_name: dict[str, str] = {}
    for each in instances:
        names_by_zone.setdefault(each.zone, []).append(each.name)
        zone_by_name[each.name] = each.zone
    if len(zone_by_name) <= watch_pace.SMALL_FLEET:
        return True
    zone = zone_by_name.get(name)
    if zone is None:
        return True
    return name in sorted(names_by_zone[zone])[:WATCHERS_A_ZONE]
