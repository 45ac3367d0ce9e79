"""Synthetic target tables: kinds, zones, splits and links at target size.

They define capacities directly; no model runs.
"""

import random
from typing import NamedTuple

from cactusmux_platform import targets
from cactusmux_routing import flow_bound
from cactusmux_routing import links
from cactusmux_routing import target_table

LAYERS = 32
# Tokens per second through 8 layers, by type of accelerator.
TPS_BY_KIND = {'small': 400.0, 'medium': 800.0, 'large': 1600.0, 'top': 3200.0}
SPLITS = (
    (0, 8, 16, 24, 32),
    (0, 16, 32),
    (0, 4, 8, 16, 24, 32),
    (0, 10, 20, 32),
)
# Links between regions have a hundredth of the capacity of those within one.
FAST_TPS = 200_000.0
SLOW_TPS = FAST_TPS / 100.0


class Fleet(NamedTuple):
    """Targets with the models on them and the links between zones."""

    targets: tuple[target_table.Target, ...]
    shape_by_model: dict[str, flow_bound.ModelShape]
    links: links.LinkTable
    zones: tuple[str, ...]


def make_fleet(
    seed: int, size: int, models: int, regions: int, zones: int
) -> Fleet:
    """Makes ``size`` targets of 4 kinds; ``zones`` are spread over regions.

    Targets get stages with a probability proportional to their layers, so
    that no stage has far less capacity than the others, and random zones.
    """
    rng = random.Random(seed)
    zone_names = tuple(f'r{i % regions}-z{i}' for i in range(zones))
    members = []
    for number in range(size):
        model = f'm{number % models}'
        split = SPLITS[rng.choices(range(4), (4, 3, 2, 1))[0]]
        weights = [
            last - first for first, last in zip(split, split[1:], strict=False)
        ]
        stage = rng.choices(range(len(weights)), weights)[0]
        members.append(
            _make_target(
                rng, number, model, split[stage], split[stage + 1], zone_names
            )
        )
    shapes = {
        f'm{i}': flow_bound.ModelShape('v1', LAYERS) for i in range(models)
    }
    return Fleet(tuple(members), shapes, _make_links(zone_names), zone_names)


def _make_target(
    rng: random.Random,
    number: int,
    model: str,
    first: int,
    last: int,
    zone_names: tuple[str, ...],
) -> target_table.Target:
    kind = rng.choice(sorted(TPS_BY_KIND))
    zone = rng.choice(zone_names)
    return target_table.Target(
        f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80',
        zone,
        zone.split('-')[0],
        kind,
        (targets.Holding(model, 'v1', first, last),),
        TPS_BY_KIND[kind] * 8 / (last - first),
        0,
        0,
        0.0,
    )


def _make_links(zone_names: tuple[str, ...]) -> links.LinkTable:
    region_by_zone = {zone: zone.split('-')[0] for zone in zone_names}
    link_by_zones = {}
    for source in zone_names:
        for destination in zone_names:
            same = region_by_zone[source] == region_by_zone[destination]
            if source == destination:
                continue
            link_by_zones[source, destination] = links.Link(
                links.SAME_REGION.delay_s if same else 0.1,
                FAST_TPS if same else SLOW_TPS,
            )
    return links.LinkTable(region_by_zone, link_by_zones)
