"""An instance's rank among all instances, to divide periodic work."""

from typing import NamedTuple


class InstanceRank(NamedTuple):
    """An instance's place, from 0, among those that share a task."""

    place: int
    instances: int
