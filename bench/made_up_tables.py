"""Made-up target tables: kinds, zones, splits and links of the target size.

They state capacities directly; nothing here runs a model.
"""

import random
from typing import NamedTuple

from cactusmux_platform import targets
from cactusmux_routing import flow_bound
from cactusmux_routing import links
from cactusmux_routing import target_table

LAYERS = 32
# Tokens a second through 8 layers, by kind of accelerator.
TPS_BY_KIND = {'small': 400.0, 'medium': 800.0, 'large': 1600.0, 'top': 3200.0}
SPLITS = (
    (0, 8, 16, 24, 32),
    (0, 16, 32),
    (0, 4, 8, 16, 24, 32),
    (0, 10, 20, 32),
)
# Links between regions carry a hundredth of those within one.
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
    """Makes ``size`` targets of 4 kinds; ``zones`` are spread on regions.

    Stages of a model are dealt out by weight of their layers, so that its
    narrowest stage is not far below the others, and unevenly over zones.
    """
    rng = random.Random(seed)
    zone_names = tuple(f'r{i % regions}-z{i}' for i in range(zones))
    made = []
    for number in range(size):
        model = f'm{number % models}'
        split = SPLITS[rng.choices(range(4), (4, 3, 2, 1))[0]]
        weights = [
            last - first for first, last in zip(split, split[1:], strict=False)
        ]
        place = rng.choices(range(len(weights)), weights)[0]
        made.append(
            _make_target(
                rng, number, model, split[place], split[place + 1], zone_names
            )
        )
    shapes = {
        f'm{i}': flow_bound.ModelShape('v1', LAYERS) for i in range(models)
    }
    return Fleet(tuple(made), shapes, _make_links(zone_names), zone_names)


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
    for before in zone_names:
        for after in zone_names:
            same = region_by_zone[before] == region_by_zone[after]
            if before == after:
                continue
            link_by_zones[before, after] = links.Link(
                links.SAME_REGION.delay_s if same else 0.1,
                FAST_TPS if same else SLOW_TPS,
            )
    return links.LinkTable(region_by_zone, link_by_zones)
