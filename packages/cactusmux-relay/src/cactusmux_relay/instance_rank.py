"""An instance's place in the list of instances, to share periodic work by."""

from typing import NamedTuple


class InstanceRank(NamedTuple):
    """An instance's place, from 0, among those that share a task."""

    place: int
    instances: int
