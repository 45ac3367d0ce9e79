"""Encoding of the quarantined parts in the configuration store."""

from cactusmux_base import decoding
from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import stores
import msgspec

from . import part_evidence
from . import prompt_parts
from . import targets

# Clocks of machines may differ, and jump: stored ends count as younger than
# this, so that a quarantine outlasts the restart.
MAX_AGE_S = part_evidence.LIFETIME_S / 2
# Ends that are stored for each part: as many as quarantine it again.
CRASHES_PER_PART = part_evidence.MIN_CRASHES
MS_PER_S = 1000.0


class StoredPart(msgspec.Struct, frozen=True):
    """A quarantined part, and whose request it was."""

    service: str
    part: str
    organisation: str


class StoredCrash(msgspec.Struct, frozen=True):
    """A target that ended under quarantined parts.

    :ivar last_ms: wall time in ms of the end, or of the last request for one
        of the parts.
    """

    target_id: str
    born_ms: int
    last_ms: int
    parts: list[StoredPart]


def encode(
    evidence: part_evidence.PartEvidence, timer: timers.TimerService
) -> bytes:
    """Returns the stored value: the ends that quarantine a part."""
    crash_by_start = {
        crash.start: crash
        for key in evidence.quarantined
        for crash in evidence.crashes(key)[-CRASHES_PER_PART:]
    }
    return msgspec.json.encode(
        [
            _stored_crash(crash, evidence, timer)
            for crash in crash_by_start.values()
        ]
    )


def decode(
    entry: stores.Entry, timer: timers.TimerService
) -> list[part_evidence.Crash]:
    """Returns the stored ends, none if they can't be decoded."""
    try:
        stored = decoding.from_json(entry.value, type=list[StoredCrash])
    except decoding.Unreadable:
        events.error('quarantine_unreadable', key=entry.key)
        return []
    return [_crash(each, timer) for each in stored]


def _stored_crash(
    crash: part_evidence.Crash,
    evidence: part_evidence.PartEvidence,
    timer: timers.TimerService,
) -> StoredCrash:
    keys = evidence.quarantined & crash.organisation_by_key.keys()
    requested_at = evidence.requested_at_by_key
    last_at = max(requested_at.get(key, crash.at) for key in keys)
    age_s = timer.now() - max(crash.at, last_at)
    return StoredCrash(
        crash.start.target_id,
        crash.start.born_ms,
        int((timer.wall() - age_s) * MS_PER_S),
        [
            StoredPart(key.service, key.part, crash.organisation_by_key[key])
            for key in sorted(keys)
        ],
    )


def _crash(
    stored: StoredCrash, timer: timers.TimerService
) -> part_evidence.Crash:
    age_s = timer.wall() - stored.last_ms / MS_PER_S
    return part_evidence.Crash(
        targets.Start(stored.target_id, stored.born_ms),
        timer.now() - min(max(0.0, age_s), MAX_AGE_S),
        {
            prompt_parts.PartKey(each.service, each.part): each.organisation
            for each in stored.parts
        },
    )
