"""Turns in what all instances share, without agreeing on anything."""

from typing import NamedTuple


class Turn(NamedTuple):
    """An instance's place, from 0, among those that share a task."""

    place: int
    instances: int
