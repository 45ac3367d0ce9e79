"""Targets usable for placement, from the instance list and reports."""

from collections.abc import Iterable, Mapping, Sequence
import math
import statistics
from typing import NamedTuple

from cactusmux_platform import instances
from cactusmux_platform import targets

from . import documents
from . import placement_types

DEAD_AFTER_S = 10.0
STEPS_PER_DOUBLING = 4


class KnownTarget(NamedTuple):
    """A listed target with its newest report and its age in seconds."""

    instance: instances.ListedInstance
    report: targets.TargetReport | None
    age_s: float


def is_usable(known: KnownTarget) -> bool:
    """Returns whether a target reports in time and is not leaving."""
    if known.report is None or known.age_s > DEAD_AFTER_S:
        return False
    return not known.instance.leaving and not known.report.leaving


def build_pool(
    known_targets: Iterable[KnownTarget],
    layer_mb_by_model: Mapping[str, int],
) -> tuple[placement_types.PoolTarget, ...]:
    """Returns the usable targets with their relative speeds."""
    chosen = [known for known in known_targets if is_usable(known)]
    speed_by_address = _measured_speeds(chosen, layer_mb_by_model)
    ratios_by_kind: dict[str, list[float]] = {}
    for known in chosen:
        address, kind = known.instance.address, known.instance.accelerator
        if address in speed_by_address and known.instance.memory_mb:
            ratio = speed_by_address[address] / known.instance.memory_mb
            ratios_by_kind.setdefault(kind, []).append(ratio)
    ratio_by_kind = {
        kind: _round_ratio(statistics.median(ratios))
        for kind, ratios in ratios_by_kind.items()
    }
    median_ratio = (
        statistics.median(ratio_by_kind.values()) if ratio_by_kind else 1.0
    )
    return tuple(
        placement_types.PoolTarget(
            address=known.instance.address,
            region=known.instance.region,
            zone=known.instance.zone,
            accelerator=known.instance.accelerator,
            memory_mb=known.instance.memory_mb,
            speed=known.instance.memory_mb
            * ratio_by_kind.get(known.instance.accelerator, median_ratio),
        )
        for known in chosen
        if known.instance.memory_mb > 0
    )


def _round_ratio(ratio: float) -> float:
    """Rounds a ratio, so that noise in the reports changes no plan."""
    return 2.0 ** (
        round(math.log2(ratio) * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING
    )


def reported_holdings(
    known_targets: Iterable[KnownTarget],
) -> dict[str, placement_types.Holdings]:
    """Returns the reported holdings by address."""
    return {
        known.instance.address: known.report.holdings
        for known in known_targets
        if known.report is not None
    }


def layer_mb_by_model(
    service_documents: Sequence[documents.ServiceDocument],
) -> dict[str, int]:
    """Returns the size of one layer's weights by model, in MB."""
    return {
        name: model.layer_mb
        for document in service_documents
        for name, model in document.model_by_name.items()
    }


def ignores_fencing(
    known: KnownTarget,
    service_documents: Sequence[documents.ServiceDocument],
) -> bool:
    """Returns whether a report or document says it ignores fencing."""
    if known.report is not None and not known.report.checks_fencing:
        return True
    return any(
        known.instance.accelerator in document.fencing_ignored_by
        for document in service_documents
    )


def _measured_speeds(
    chosen: Sequence[KnownTarget], layer_mb_by_model: Mapping[str, int]
) -> dict[str, float]:
    """Returns MB of weights applied per second, by loaded target."""
    speed_by_address = {}
    for known in chosen:
        assert known.report is not None
        held_mb = sum(
            (one.last - one.first) * layer_mb_by_model.get(one.model, 0)
            for one in known.report.holdings
        )
        if held_mb and known.report.capacity_tps > 0:
            speed = held_mb * known.report.capacity_tps
            speed_by_address[known.instance.address] = speed
    return speed_by_address
