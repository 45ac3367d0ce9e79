"""Decodes document revisions and demand from the records of an origin."""

from collections.abc import Mapping
from typing import NamedTuple

from . import levels
from . import payloads
from . import records
from . import slots

_NEVER = -1.0


class Demand(NamedTuple):
    """Requests per second by service and organisation.

    ``stamp`` is the time of the newest record on the local clock.
    """

    stamp: float
    rate_by_key: dict[payloads.DemandKey, float]


def revisions(
    record_by_slot: Mapping[int, records.Record],
) -> dict[str, int]:
    """Returns the document revisions of an origin by service."""
    revision_by_service: dict[str, int] = {}
    for record in record_by_slot.values():
        if _tag(record) != payloads.Tag.REVISION:
            continue
        service, revision = payloads.decode_revision(record.payload[1:])
        revision_by_service[service] = revision
    return revision_by_service


def demand(
    record_by_slot: Mapping[int, records.Record], oldest: float
) -> Demand:
    """Returns the demand in records of an origin since time ``oldest``."""
    stamp = _NEVER
    rate_by_key: dict[payloads.DemandKey, float] = {}
    for slot, record in record_by_slot.items():
        if _tag(record) != payloads.Tag.DEMAND_RATE or record.stamp < oldest:
            continue
        name = record_by_slot.get(slots.named_slot(slot))
        if name is None or _tag(name) != payloads.Tag.DEMAND_NAME:
            continue
        key = payloads.decode_demand_name(name.payload[1:])
        stamp = max(stamp, record.stamp)
        if record.payload[1]:
            rate_by_key[key] = levels.from_level(
                record.payload[1], levels.RATE_UNIT_PER_S
            )
    return Demand(stamp, rate_by_key)


def _tag(record: records.Record) -> int:
    return record.payload[0] if record.payload else 0
