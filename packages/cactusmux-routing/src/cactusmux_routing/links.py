"""Delay and capacity of the links between availability zones."""

from collections.abc import Mapping
from typing import NamedTuple

UNLIMITED_TPS = 1e9


class Link(NamedTuple):
    """Delay and capacity of a link for activations.

    :param delay_s: one-way delay in seconds for each token; more than 0.
    :param capacity_tps: capacity in tokens per second.
    """

    delay_s: float
    capacity_tps: float = UNLIMITED_TPS


SAME_ZONE = Link(0.0002)
SAME_REGION = Link(0.001)
OTHER_REGION = Link(0.05)


class LinkTable:
    """Links by zone pair, with defaults that depend on zone and region.

    :param region_by_zone: regions of all zones.
    :param link_by_zones: measured links, by (zone before, zone after).
    """

    def __init__(
        self,
        region_by_zone: Mapping[str, str],
        link_by_zones: Mapping[tuple[str, str], Link],
    ) -> None:
        self._region_by_zone = dict(region_by_zone)
        self._link_by_zones = dict(link_by_zones)

    def between(self, before: str, after: str) -> Link:
        """Returns the link that carries activations to the zone ``after``.

        An unknown zone is treated as one of the same region.
        """
        link = self._link_by_zones.get((before, after))
        if link is not None:
            return link
        if before == after:
            return SAME_ZONE
        regions = self._region_by_zone
        if regions.get(before, '') == regions.get(after, ''):
            return SAME_REGION
        if before in regions and after in regions:
            return OTHER_REGION
        return SAME_REGION


DEFAULT_LINKS = LinkTable({}, {})
