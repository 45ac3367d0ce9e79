"""Rank of an instance in the list of instances, to divide periodic work."""

from typing import NamedTuple


class InstanceRank(NamedTuple):
    """Rank of an instance, from 0, among those that share a task.

    :ivar place: the rank.
    :ivar instances: number of instances.
    """

    place: int
    instances: int
